//! The platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, object};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time for which a connection on which an answer was lost stays open.
const LOST_ANSWER_TIME: Duration = Duration::from_secs(5);

/// Maximum number of entries in a transaction.
const MAX_TXN_ENTRIES: usize = 32;

/// Maximum number of items on a page.
const PAGE_ITEMS: usize = 500;

/// Interval at which a watch looks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

struct Event {
    revision: u64,
    key: String,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, (String, u64)>,
    events: Vec<Event>,
    revision: u64,
    /// Revision up to which the history has been dropped.
    dropped: u64,
    /// Time until which watches hear nothing.
    mute_until: Option<Instant>,
    /// Time until which all calls are answered 503.
    down_until: Option<Instant>,
    /// Number of writes of each process.
    writes: BTreeMap<usize, u64>,
    /// Process of which the answer to the next write of this text is lost.
    loses: Option<(usize, String)>,
    lost_answers: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a listener for one process.
    pub fn serve(&self, process: usize) -> SocketAddr {
        let listener = http::listen();
        let address = listener.local_addr().expect("a bound socket");
        let store = self.clone();
        http::serve(
            listener,
            Arc::new(move |request| store.answer(process, &request)),
        );
        address
    }

    /// Writes an item for the operator or a worker.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()));
    }

    /// Removes an item of a worker, whose lease has ended.
    pub fn remove(&self, key: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.remove(key);
    }

    /// The store is busy: it answers 503 for this time.
    pub fn go_down(&self, time: Duration) {
        self.state().down_until = Some(Instant::now() + time);
    }

    pub fn is_down(&self) -> bool {
        let down_until = self.state().down_until;
        down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Loses the answer to the next write of a process whose text contains `part`.
    pub fn lose_answer(&self, process: usize, part: &str) {
        self.state().loses = Some((process, part.to_owned()));
    }

    pub fn lost_answers(&self) -> u64 {
        self.state().lost_answers
    }

    /// Watches hear nothing for a second, then the history is dropped and they are cut.
    pub fn compact(&self) {
        let until = Instant::now() + Duration::from_secs(1);
        self.state().mute_until = Some(until);
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(until.saturating_duration_since(Instant::now()));
            let mut state = store.state();
            state.mute_until = None;
            state.dropped = state.revision;
            state.events.clear();
        });
    }

    /// Returns the process that writes most often, which seems to lead.
    pub fn leader(&self) -> usize {
        let state = self.state();
        let most = state.writes.iter().max_by_key(|(_, count)| **count);
        most.map_or(0, |(process, _)| *process)
    }

    /// Forgets who wrote how often.
    pub fn reset_writes(&self) {
        self.state().writes.clear();
    }

    fn answer(&self, process: usize, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        if self.is_down() {
            return Reply::Send(503, "{}".to_owned());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => self.state().read(request.query("key")),
            ("GET", "/v1/kv-range") => self
                .state()
                .range(request.query("prefix"), request.query("after")),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.state().write(process, &request.body),
            _ => Reply::Send(404, "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("prefix");
        let after = request.query_number("after");
        let until = Instant::now() + Duration::from_millis(request.query_number("waitMs"));
        loop {
            if let Some(reply) = self.state().changes(prefix, after) {
                return reply;
            }
            if Instant::now() >= until {
                let state = self.state();
                let heard = if state.mute_until.is_some() {
                    after
                } else {
                    state.revision
                };
                let body = object([
                    ("events", Vec::new().into()),
                    ("storeRevision", heard.into()),
                ]);
                return Reply::Send(200, body.to_string());
            }
            thread::sleep(WATCH_INTERVAL);
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String) {
        let revision = self.revision;
        self.events.push(Event {
            revision,
            key: key.to_owned(),
            value: Some(value.clone()),
        });
        self.items.insert(key.to_owned(), (value, revision));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.events.push(Event {
                revision,
                key: key.to_owned(),
                value: None,
            });
        }
    }

    fn item(&self, key: &str) -> Option<Json> {
        let (value, revision) = self.items.get(key)?;
        Some(object([
            ("key", key.into()),
            ("value", value.as_str().into()),
            ("revision", (*revision).into()),
        ]))
    }

    fn read(&self, key: &str) -> Reply {
        match self.item(key) {
            Some(item) => Reply::Send(200, item.to_string()),
            None => Reply::Send(404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let keys = self.items.keys();
        let keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<Json> = keys
            .take(PAGE_ITEMS + 1)
            .filter_map(|key| self.item(key))
            .collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let body = object([
            ("items", items.into()),
            ("hasMore", has_more.into()),
            ("storeRevision", self.revision.into()),
        ]);
        Reply::Send(200, body.to_string())
    }

    fn changes(&self, prefix: &str, after: u64) -> Option<Reply> {
        if self.mute_until.is_some() {
            return None;
        }
        if after < self.dropped {
            return Some(Reply::Send(410, "{}".to_owned()));
        }
        let events = self.events.iter();
        let events = events.filter(|event| event.revision > after && event.key.starts_with(prefix));
        let events: Vec<Json> = events.map(Event::to_json).collect();
        (!events.is_empty()).then(|| {
            let body = object([
                ("events", events.into()),
                ("storeRevision", self.revision.into()),
            ]);
            Reply::Send(200, body.to_string())
        })
    }

    fn write(&mut self, process: usize, body: &str) -> Reply {
        let Ok(txn) = Json::parse(body) else {
            return Reply::Send(400, "{}".to_owned());
        };
        *self.writes.entry(process).or_default() += 1;
        let expected = txn.get("expect").list();
        let writes = txn.get("writes").list();
        let deletes = txn.get("deletes").list();
        if expected.len() + writes.len() + deletes.len() > MAX_TXN_ENTRIES {
            return Reply::Send(400, "{}".to_owned());
        }
        let revision = |key: &str| self.items.get(key).map_or(0, |(_, revision)| *revision);
        let holds =
            |row: &Json| row.get("revision").number() == Some(revision(row.get("key").text()));
        let reply = if expected.iter().all(holds) {
            self.revision += 1;
            for row in writes {
                self.put(row.get("key").text(), row.get("value").text().to_owned());
            }
            for key in deletes {
                self.remove(key.text());
            }
            let body = object([("revision", self.revision.into())]);
            Reply::Send(200, body.to_string())
        } else {
            let items = expected.iter();
            let items: Vec<Json> = items
                .filter_map(|row| self.item(row.get("key").text()))
                .collect();
            Reply::Send(412, object([("items", items.into())]).to_string())
        };
        let loses = self.loses.as_ref();
        if loses.is_some_and(|(loser, part)| *loser == process && body.contains(part.as_str())) {
            self.loses = None;
            self.lost_answers += 1;
            return Reply::Silence(LOST_ANSWER_TIME);
        }
        reply
    }
}

impl Event {
    fn to_json(&self) -> Json {
        let (key, revision) = (self.key.as_str().into(), self.revision.into());
        match &self.value {
            Some(value) => object([
                ("key", key),
                ("value", value.as_str().into()),
                ("revision", revision),
            ]),
            None => object([
                ("key", key),
                ("revision", revision),
                ("deleted", true.into()),
            ]),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => {
                    let value = bits >> (18 - 6 * digit) & 63;
                    text.push(char::from(DIGITS[value as usize]));
                }
                false => text.push('='),
            }
        }
    }
    text
}
