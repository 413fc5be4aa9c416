//! The HTTP adapters of one process.

use std::net::SocketAddr;

use hs_http::HttpClient;

use super::{HttpStore, HttpVms, HttpWorkers, Platform, SystemClock};

/// Store, VM list and workers over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    store: HttpStore,
    vms: HttpVms,
    workers: HttpWorkers,
    clock: SystemClock,
}

impl HttpPlatform {
    /// Builds the adapters. No connection is opened before the first call.
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
