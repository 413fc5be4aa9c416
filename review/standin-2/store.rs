//! The platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, base64, num, table, text};

const PAGE: usize = 500;
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    revision: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn put(&mut self, key: &str, value: String, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.events.push((revision, key.to_owned(), None));
        }
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    table([
        ("key", text(key)),
        ("value", text(item.value.clone())),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(0)),
    ])
}

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 1;
        store
    }

    /// Writes a key of the operator or of a worker.
    pub fn write(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, base64(value.to_string().as_bytes()), revision);
        drop(state);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.delete(key, revision);
        drop(state);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Option<Reply> {
        std::thread::sleep(ANSWER_TIME);
        Some(match request.path() {
            "/v1/kv-key" => self.key(request),
            "/v1/kv-range" => self.range(request),
            "/v1/kv-watch" => self.watch(request),
            "/v1/kv-txn" => self.txn(request),
            _ => (404, "{}".to_owned()),
        })
    }

    fn key(&self, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let mut body = item_json(&key, item);
                if let Json::Table(fields) = &mut body {
                    fields.insert("storeRevision".to_owned(), num(state.revision));
                }
                (200, body.to_string())
            }
            None => (
                404,
                table([("storeRevision", num(state.revision))]).to_string(),
            ),
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let found = state.items.iter();
        let mut found: Vec<_> = found
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .take(PAGE + 1)
            .collect();
        let has_more = found.len() > PAGE;
        found.truncate(PAGE);
        let items = found
            .into_iter()
            .map(|(key, item)| item_json(key, item))
            .collect();
        let body = table([
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(has_more)),
            ("storeRevision", num(state.revision)),
        ]);
        (200, body.to_string())
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until =
            Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let start = state
                .events
                .partition_point(|(revision, ..)| *revision <= after);
            let events = state.events[start..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix));
            let events: Vec<Json> = events
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => table([
                        ("key", text(key.clone())),
                        ("revision", num(*revision)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = table([
                    ("events", Json::List(events)),
                    ("storeRevision", num(state.revision)),
                ]);
                return (200, body.to_string());
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn txn(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let (expect, writes) = (body.get("expect").list(), body.get("writes").list());
        let deletes = body.get("deletes").list();
        let too_long = |row: &Json| row.get("value").str().len() > (1 << 20) * 4 / 3;
        if expect.len() + writes.len() + deletes.len() > 32 || writes.iter().any(too_long) {
            return (400, "{}".to_owned());
        }
        let mut state = self.state.lock().unwrap();
        let holds = |row: &Json| {
            let revision = state
                .items
                .get(row.get("key").str())
                .map_or(0, |item| item.revision);
            row.get("revision").u64() == Some(revision)
        };
        if !expect.iter().all(holds) {
            let items = expect.iter().filter_map(|row| {
                let key = row.get("key").str();
                state.items.get(key).map(|item| item_json(key, item))
            });
            let body = table([("items", Json::List(items.collect()))]);
            return (412, body.to_string());
        }
        state.revision += 1;
        let revision = state.revision;
        for row in writes {
            state.put(
                row.get("key").str(),
                row.get("value").str().to_owned(),
                revision,
            );
        }
        for key in deletes {
            state.delete(key.str(), revision);
        }
        drop(state);
        self.changed.notify_all();
        (200, table([("revision", num(revision))]).to_string())
    }
}
