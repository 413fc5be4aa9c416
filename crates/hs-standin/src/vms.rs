//! Stand-in for the platform's VM list.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hs_http::{HttpReply, HttpRequest};
use hs_wire::{VmEntry, VmList};
use hyper::Method;
use hyper::header::IF_NONE_MATCH;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::VmsFault;
use crate::fault::apply_delay;
use crate::server::serve_lossy;

/// Maximum size of a body in bytes, enough for a list of more than the planned 3,300 workers.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Options of a VM list stand-in.
#[derive(Clone, Debug, Default)]
pub struct VmsOptions {
    /// Time from an update of the list until readers get it, in milliseconds.
    pub lag_ms: u64,
    /// Initial list, which readers get without lag as version 1.
    pub vms: Vec<VmEntry>,
}

/// Body of `POST /vms`. A field `version` is ignored.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmsUpdate {
    /// The complete new list.
    pub vms: Vec<VmEntry>,
}

struct VmsState {
    /// Lists with the times from which readers get them, oldest first; never empty.
    lists: VecDeque<(Instant, VmList)>,
    lag: Duration,
    fault: VmsFault,
}

/// Runs a VM list stand-in until `stop` becomes true.
pub async fn run_vms(listener: TcpListener, options: VmsOptions, stop: watch::Receiver<bool>) {
    let first = VmList {
        version: 1,
        vms: options.vms,
        ..VmList::default()
    };
    let state = Arc::new(Mutex::new(VmsState {
        lists: VecDeque::from([(Instant::now(), first)]),
        lag: Duration::from_millis(options.lag_ms),
        fault: VmsFault::default(),
    }));
    serve_lossy(listener, MAX_LIST_BYTES, stop, move |request| {
        let state = state.clone();
        async move { handle_request(&state, &request).await }
    })
    .await;
}

async fn handle_request(state: &Mutex<VmsState>, request: &HttpRequest) -> Option<HttpReply> {
    match (request.method.clone(), request.path.as_str()) {
        (Method::GET, "/vms") => {
            let fault = lock(state).fault;
            apply_delay(fault.delay_ms).await;
            match fault.down {
                Some(mode) => mode.outage_reply(),
                None => Some(lock(state).list_reply(request)),
            }
        }
        (Method::POST, "/vms") => Some(match request.json::<VmsUpdate>() {
            Ok(update) => {
                let version = lock(state).replace_list(update.vms, Instant::now());
                HttpReply::json(200, &json!({ "version": version }))
            }
            Err(error) => HttpReply::error(400, "malformed", error.to_string()),
        }),
        (Method::POST, "/fault") => Some(match request.json::<VmsFault>() {
            Ok(fault) => {
                lock(state).fault = fault;
                HttpReply::json(200, &fault)
            }
            Err(error) => HttpReply::error(400, "malformed", error.to_string()),
        }),
        (_, path) => Some(HttpReply::error(404, "no_such_path", path)),
    }
}

impl VmsState {
    /// Returns the list, or 304 if the entity tag in the request matches its version.
    fn list_reply(&mut self, request: &HttpRequest) -> HttpReply {
        let list = self.visible_list(Instant::now());
        let tag = format!("\"{}\"", list.version);
        let known = request.headers.get(IF_NONE_MATCH);
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            return HttpReply::text(304, "");
        }
        HttpReply::json(200, list).with_header("etag", tag)
    }

    /// Returns the list that readers get now, and removes older ones.
    fn visible_list(&mut self, now: Instant) -> &VmList {
        while self.lists.get(1).is_some_and(|(from, _)| *from <= now) {
            self.lists.pop_front();
        }
        &self.lists[0].1
    }

    /// Adds a list that readers get after the lag, and returns its version.
    fn replace_list(&mut self, vms: Vec<VmEntry>, now: Instant) -> u64 {
        let version = self.lists.back().map_or(0, |(_, list)| list.version) + 1;
        let list = VmList {
            version,
            vms,
            ..VmList::default()
        };
        self.lists.push_back((now + self.lag, list));
        version
    }
}

fn lock(state: &Mutex<VmsState>) -> MutexGuard<'_, VmsState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
