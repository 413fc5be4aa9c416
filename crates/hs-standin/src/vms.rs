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
use crate::fault::hold;
use crate::front::serve_front;

/// Largest body in bytes, enough for more than the planned 3,300 workers.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Options of a VM list.
#[derive(Clone, Debug, Default)]
pub struct VmsOptions {
    /// How old the list is that readers get, in milliseconds.
    pub lag_ms: u64,
    /// The list at the start, which readers get at once as version 1.
    pub vms: Vec<VmEntry>,
}

/// Body of `POST /vms`. A `version` in it is ignored.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct VmsUpdate {
    /// The complete new list.
    pub vms: Vec<VmEntry>,
}

struct VmsState {
    /// Lists and the times from which readers get them, oldest first; never empty.
    lists: VecDeque<(Instant, VmList)>,
    lag: Duration,
    fault: VmsFault,
}

/// Runs a VM list until `stop` becomes true.
pub async fn run_vms(listener: TcpListener, options: VmsOptions, stop: watch::Receiver<bool>) {
    let first = VmList {
        version: 1,
        vms: options.vms,
    };
    let state = Arc::new(Mutex::new(VmsState {
        lists: VecDeque::from([(Instant::now(), first)]),
        lag: Duration::from_millis(options.lag_ms),
        fault: VmsFault::default(),
    }));
    serve_front(listener, MAX_LIST_BYTES, stop, move |request| {
        let state = state.clone();
        async move { answer(&state, &request).await }
    })
    .await;
}

async fn answer(state: &Mutex<VmsState>, request: &HttpRequest) -> Option<HttpReply> {
    match (request.method.clone(), request.path.as_str()) {
        (Method::GET, "/vms") => {
            let fault = lock(state).fault;
            hold(fault.delay_ms).await;
            match fault.down {
                Some(mode) => mode.reply(),
                None => Some(lock(state).reply(request)),
            }
        }
        (Method::POST, "/vms") => Some(match request.json::<VmsUpdate>() {
            Ok(update) => {
                let version = lock(state).replace(update.vms, Instant::now());
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
    /// Returns the list, or 304 to a reader that names its version as entity tag.
    fn reply(&mut self, request: &HttpRequest) -> HttpReply {
        let list = self.visible(Instant::now());
        let tag = format!("\"{}\"", list.version);
        let known = request.headers.get(IF_NONE_MATCH);
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            return HttpReply::text(304, "");
        }
        HttpReply::json(200, list).with_header("etag", tag)
    }

    /// Returns the list that readers get now, and forgets older ones.
    fn visible(&mut self, now: Instant) -> &VmList {
        while self.lists.get(1).is_some_and(|(from, _)| *from <= now) {
            self.lists.pop_front();
        }
        &self.lists[0].1
    }

    fn replace(&mut self, vms: Vec<VmEntry>, now: Instant) -> u64 {
        let version = self.lists.back().map_or(0, |(_, list)| list.version) + 1;
        let list = VmList { version, vms };
        self.lists.push_back((now + self.lag, list));
        version
    }
}

fn lock(state: &Mutex<VmsState>) -> MutexGuard<'_, VmsState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
