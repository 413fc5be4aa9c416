//! The platform over HTTP.

use std::net::SocketAddr;

use hs_http::HttpClient;

use super::{HttpStore, HttpVms, HttpWorkers, Platform, SystemClock};

/// HTTP adapters to the store, the VM list and the workers, and the system clock.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    store: HttpStore,
    vms: HttpVms,
    workers: HttpWorkers,
    clock: SystemClock,
}

impl HttpPlatform {
    /// Creates the adapters. They open no connection before the first call.
    pub fn new(store: SocketAddr, vm_list: SocketAddr) -> Self {
        let client = HttpClient::default();
        Self {
            store: HttpStore::new(client.clone(), store),
            vms: HttpVms::new(client.clone(), vm_list),
            workers: HttpWorkers::new(client),
            clock: SystemClock,
        }
    }
}

impl Platform for HttpPlatform {
    type Store = HttpStore;
    type Vms = HttpVms;
    type Workers = HttpWorkers;
    type Clock = SystemClock;

    fn store(&self) -> &HttpStore {
        &self.store
    }

    fn vms(&self) -> &HttpVms {
        &self.vms
    }

    fn workers(&self) -> &HttpWorkers {
        &self.workers
    }

    fn clock(&self) -> &SystemClock {
        &self.clock
    }
}
