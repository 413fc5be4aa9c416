//! Stand-in for the configuration store.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hs_http::{HttpReply, HttpRequest};
use hyper::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::StoreFault;
use crate::fault::{LossGate, hold};
use crate::front::serve_front;

/// Largest value in bytes; a larger one gets status 413.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Options of a store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOptions {
    /// Seed of the faults that depend on chance.
    pub seed: u64,
    /// Fault switches at the start.
    pub fault: StoreFault,
}

/// Reply of `GET /calls`: calls that arrived since the start, those during an outage included.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCalls {
    /// Calls of `GET /kv`.
    pub reads: u64,
    /// Calls of `PUT /kv`, refused ones included.
    pub writes: u64,
    /// Calls of `GET /watch`.
    pub watches: u64,
}

struct StoreState {
    /// Value and revision of each key.
    values: HashMap<String, (u64, Bytes)>,
    /// Revision of the last write to any key.
    revision: u64,
    calls: StoreCalls,
    fault: StoreFault,
    gate: LossGate,
}

#[derive(Clone)]
struct Store {
    state: Arc<Mutex<StoreState>>,
    /// Wakes pending watches after a write and after a change of the fault switches.
    changes: watch::Sender<()>,
}

/// Runs a store until `stop` becomes true. Its content is in memory.
///
/// Revisions rise over all keys together, so those of one key have gaps.
pub async fn run_store(listener: TcpListener, options: StoreOptions, stop: watch::Receiver<bool>) {
    let store = Store {
        state: Arc::new(Mutex::new(StoreState {
            values: HashMap::new(),
            revision: 0,
            calls: StoreCalls::default(),
            fault: options.fault,
            gate: LossGate::new(options.seed),
        })),
        changes: watch::Sender::new(()),
    };
    serve_front(listener, MAX_VALUE_BYTES, stop, move |request| {
        let store = store.clone();
        async move { store.answer(request).await }
    })
    .await;
}

impl Store {
    async fn answer(&self, request: HttpRequest) -> Option<HttpReply> {
        let method = request.method.clone();
        let path = request.path.clone();
        if let Some(key) = path.strip_prefix("/kv/") {
            match method {
                Method::GET => {
                    self.lock().calls.reads += 1;
                    return self.read(key).await;
                }
                Method::PUT => {
                    self.lock().calls.writes += 1;
                    return self.write(key, request).await;
                }
                _ => {}
            }
        }
        match (method, path.strip_prefix("/watch/"), path.as_str()) {
            (Method::GET, Some(key), _) => {
                self.lock().calls.watches += 1;
                self.watch(key, &request).await
            }
            (Method::GET, None, "/calls") => Some(HttpReply::json(200, &self.lock().calls)),
            (Method::POST, None, "/fault") => Some(self.switch(&request)),
            _ => Some(HttpReply::error(404, "no_such_path", path)),
        }
    }

    /// Applies the delay, then returns the reply of a store that is down, if it is.
    async fn enter(&self) -> Result<(), Option<HttpReply>> {
        let fault = self.lock().fault;
        hold(fault.delay_ms).await;
        let down = self.lock().fault.down;
        down.map_or(Ok(()), |mode| Err(mode.reply()))
    }

    async fn read(&self, key: &str) -> Option<HttpReply> {
        if let Err(reply) = self.enter().await {
            return reply;
        }
        let state = self.lock();
        Some(match state.values.get(key) {
            Some((revision, body)) => value_reply(*revision, body.clone()),
            None => HttpReply::error(404, "no_such_key", key),
        })
    }

    async fn write(&self, key: &str, request: HttpRequest) -> Option<HttpReply> {
        if let Err(reply) = self.enter().await {
            return reply;
        }
        let Some(expected) = request.query_number("if_revision") else {
            return Some(HttpReply::error(
                400,
                "no_revision",
                "if_revision is missing",
            ));
        };
        let mut guard = self.lock();
        let state = &mut *guard;
        let current = state.values.get(key).map_or(0, |(revision, _)| *revision);
        let reply = if current == expected {
            state.revision += 1;
            let value = (state.revision, request.body);
            state.values.insert(key.to_owned(), value);
            self.changes.send_replace(());
            HttpReply::json(200, &json!({ "revision": state.revision }))
        } else {
            HttpReply::json(409, &json!({ "revision": current }))
        };
        let lost = state.gate.loses(&mut state.fault.lose_replies);
        (!lost).then_some(reply)
    }

    async fn watch(&self, key: &str, request: &HttpRequest) -> Option<HttpReply> {
        let after = request.query_number("after").unwrap_or(0);
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        if let Err(reply) = self.enter().await {
            return reply;
        }
        loop {
            changes.borrow_and_update();
            {
                let state = self.lock();
                if let Some(mode) = state.fault.down {
                    return mode.reply();
                }
                match state.values.get(key) {
                    Some((revision, body)) if *revision > after => {
                        return Some(value_reply(*revision, body.clone()));
                    }
                    _ => {}
                }
            }
            if timeout_at(deadline, changes.changed()).await.is_err() {
                return Some(HttpReply::bytes(
                    204,
                    "application/octet-stream",
                    Bytes::new(),
                ));
            }
        }
    }

    fn switch(&self, request: &HttpRequest) -> HttpReply {
        match request.json::<StoreFault>() {
            Ok(fault) => {
                self.lock().fault = fault;
                self.changes.send_replace(());
                HttpReply::json(200, &fault)
            }
            Err(error) => HttpReply::error(400, "malformed", error.to_string()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn value_reply(revision: u64, body: Bytes) -> HttpReply {
    HttpReply::bytes(200, "application/octet-stream", body).with_header("x-revision", revision)
}
