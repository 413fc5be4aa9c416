//! Stand-in for the platform's metadata store, without leases, which this project does not use.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Handler, Reply, Request};
use crate::json::Json;
use crate::record::Record;

/// Maximum size of a value in bytes, as `valueBytes` in the settings.
pub const VALUE_BYTES: usize = 1 << 20;

/// Maximum number of entries of a transaction.
const MAX_TXN_ENTRIES: usize = 32;

/// Maximum number of items, and of bytes of their values, in a page.
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Time for which changes can be watched.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Debug)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
    at: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// Highest revision that the history no longer contains.
    forgotten: u64,
}

impl State {
    fn set(&mut self, key: &str, value: Option<String>) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = value.map(|value| Item {
            value,
            revision: self.revision,
            created,
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push(Change {
            key: key.to_owned(),
            revision: self.revision,
            item,
            at: Instant::now(),
        });
        let old = self
            .history
            .iter()
            .take_while(|change| change.at.elapsed() > HISTORY);
        let old = old.count();
        if let Some(change) = old.checked_sub(1).and_then(|last| self.history.get(last)) {
            self.forgotten = change.revision;
            self.history.drain(..old);
        }
    }
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

fn item_json(key: &str, item: &Item) -> Json {
    Json::object([
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", 0.into()),
    ])
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        let state = State {
            revision: 100,
            ..State::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            record,
        })
    }

    /// Writes a value, as the operator and the workers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.set(key, Some(encode(value.as_bytes())));
        self.changed.notify_all();
    }

    /// Removes a value.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.contains_key(key) {
            state.revision += 1;
            state.set(key, None);
            self.changed.notify_all();
        }
    }

    /// Returns a value as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let item = state.items.get(key)?;
        String::from_utf8(decode(&item.value)?).ok()
    }

    fn read(&self, key: &str) -> Reply {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let mut json = item_json(key, item);
                if let Json::Object(fields) = &mut json {
                    fields.insert("storeRevision".to_owned(), state.revision.into());
                }
                (200, json.to_string())
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in state.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            if items.len() >= MAX_PAGE_ITEMS
                || (bytes > 0 && bytes + item.value.len() > MAX_PAGE_BYTES)
            {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let reply = Json::object([
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(has_more)),
            ("storeRevision", state.revision.into()),
        ]);
        (200, reply.to_string())
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.forgotten {
                return (410, "{}".to_owned());
            }
            let is_new =
                |change: &&Change| change.revision > after && change.key.starts_with(prefix);
            let events = state
                .history
                .iter()
                .filter(is_new)
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => Json::object([
                        ("key", change.key.as_str().into()),
                        ("revision", change.revision.into()),
                        ("deleted", Json::Bool(true)),
                    ]),
                });
            let events: Vec<Json> = events.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let reply = Json::object([
                    ("events", Json::List(events)),
                    ("storeRevision", state.revision.into()),
                ]);
                return (200, reply.to_string());
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> Reply {
        let (expect, writes, deletes) =
            (body.get("expect"), body.get("writes"), body.get("deletes"));
        let entries = expect.list().len() + writes.list().len() + deletes.list().len();
        if entries > MAX_TXN_ENTRIES {
            return (400, "{}".to_owned());
        }
        for write in writes.list() {
            let size = write.get("value").text().len() / 4 * 3;
            if size > VALUE_BYTES {
                let key = write.get("key").text();
                self.record.detail(format!(
                    "store: value of {key} has {size} bytes, more than valueBytes; 400"
                ));
                return (400, "{}".to_owned());
            }
        }
        let mut state = self.state.lock().unwrap();
        let current = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Json| {
            current(row.get("key").text()) == row.get("revision").number().unwrap_or(0)
        };
        if !expect.list().iter().all(holds) {
            let items = expect.list().iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(item_json(key, state.items.get(key)?))
            });
            let reply = Json::object([("items", Json::List(items.collect()))]);
            return (412, reply.to_string());
        }
        state.revision += 1;
        for write in writes.list() {
            let value = write.get("value").text().to_owned();
            state.set(write.get("key").text(), Some(value));
        }
        for key in deletes.list() {
            if state.items.contains_key(key.text()) {
                state.set(key.text(), None);
            }
        }
        let revision = state.revision;
        self.changed.notify_all();
        (
            200,
            Json::object([("revision", revision.into())]).to_string(),
        )
    }
}

impl Handler for Store {
    fn handle(&self, request: &Request) -> Option<Reply> {
        let query = |name: &str| request.query.get(name).map_or("", String::as_str);
        let number = |name: &str| query(name).parse().unwrap_or(0);
        Some(match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => self.read(query("key")),
            ("GET", "/v1/kv-range") => self.range(query("prefix"), query("after")),
            ("GET", "/v1/kv-watch") => {
                let wait = Duration::from_millis(number("waitMs").min(30_000));
                self.watch(query("prefix"), number("after"), wait)
            }
            ("POST", "/v1/kv-txn") => match Json::parse(&request.body) {
                Some(body) => self.transact(&body),
                None => (400, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        })
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut bits = 0u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn decode(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = DIGITS.iter().position(|other| *other == byte)?;
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    Some(out)
}
