//! Tests of VM lists in which another writer left odd entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hs_http::{HttpReply, HttpRequest, ServeLimits, serve};
use hs_standin::WorkerOptions;
use hs_wire::{Outcome, Resources, VmEntry, VmRole};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::harness::{Harness, HarnessOptions, listen, start_worker, vm};
use crate::log_lines;

/// Time in which the process reads the list at least twice and renews its leases several times.
const FOLLOW_TIME: Duration = Duration::from_millis(2500);

/// A VM list whose text the test writes.
struct TextList {
    address: SocketAddr,
    text: Arc<Mutex<String>>,
    entry: VmEntry,
    peer_listener: Option<TcpListener>,
    stopped: watch::Receiver<bool>,
    _stop: watch::Sender<bool>,
}

impl TextList {
    /// Starts a list with a process `e0` and no worker. It ignores entity tags, so that each reading
    /// gets the whole list.
    async fn start() -> Self {
        let (stop, stopped) = watch::channel(false);
        let (listener, address) = listen().await;
        let (peer_listener, peer) = listen().await;
        let text = Arc::new(Mutex::new(String::new()));
        let served = text.clone();
        let handler = move |_: HttpRequest| {
            let body = served
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            async move { HttpReply::bytes(200, "application/json", body) }
        };
        let limits = ServeLimits::default();
        tokio::spawn(serve(listener, limits, stopped.clone(), handler));
        Self {
            address,
            text,
            entry: vm("e0", peer, VmRole::Entry, Resources::ZERO),
            peer_listener: Some(peer_listener),
            stopped,
            _stop: stop,
        }
    }

    async fn worker(&self, name: &str) -> VmEntry {
        start_worker(name, WorkerOptions::default(), self.stopped.clone()).await
    }

    /// Publishes a list of the process, these workers, and further entries.
    fn publish(&self, version: u64, workers: &[&VmEntry], odd: &[String]) {
        let entries = [&self.entry].into_iter().chain(workers.iter().copied());
        let entries = entries.map(|vm| serde_json::to_string(vm).expect("an entry"));
        let entries: Vec<String> = odd.iter().cloned().chain(entries).collect();
        let text = format!("{{\"version\":{version},\"vms\":[{}]}}", entries.join(","));
        *self.text.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }

    /// Starts a process that reads the list, and waits until it has work to give.
    async fn start_process(&mut self, worker: &VmEntry) -> Harness {
        let options = HarnessOptions {
            workers: vec![worker.clone()],
            peer_listener: self.peer_listener.take(),
            vm_list: Some(self.address),
            ..HarnessOptions::default()
        };
        Harness::start(options).await
    }
}

/// Returns an entry with one field replaced by a JSON text.
fn with_field(vm: &VmEntry, name: &str, value: &str) -> String {
    let mut entry = serde_json::to_value(vm).expect("an entry");
    entry[name] = Value::String("replaced".to_owned());
    let text = entry.to_string();
    text.replacen("\"replaced\"", value, 1)
}

fn deep(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn names(status: &Value) -> Vec<&str> {
    let workers = status["workers"].as_array().map_or(&[][..], Vec::as_slice);
    workers
        .iter()
        .filter_map(|it| it["name"].as_str())
        .collect()
}

/// Guards against one odd entry that stops the following of the list: neither the workers beside it
/// nor any later change was seen.
#[tokio::test]
async fn the_list_is_followed_beside_odd_entries() {
    log_lines::keep();
    let mut list = TextList::start().await;
    let (w0, w1, w2) = (
        list.worker("w0").await,
        list.worker("w1").await,
        list.worker("w2").await,
    );
    let mut odd = vec![
        deep(10_000),
        deep(100_000),
        "1e400".to_owned(),
        with_field(&w1, "id", "\"odd\\nE5001 forged\""),
        with_field(&w1, "id", "7"),
    ];
    let port = format!("\"127.0.0.1:{}\"", 65_536);
    let mut odd_port = w1.clone();
    odd_port.id = "odd-port".to_owned();
    odd.push(with_field(&odd_port, "addr", &port));
    list.publish(1, &[&w0], &odd);
    let harness = list.start_process(&w0).await;
    harness.assert_serves("beside odd entries").await;
    list.publish(2, &[&w0, &w1], &odd);
    harness
        .wait_status("w1", |status| names(status) == ["w0", "w1"])
        .await;
    // Another writer damages the entry of a worker that is in use.
    odd.push(with_field(&w0, "addr", &port));
    list.publish(3, &[&w1, &w2], &odd);
    harness
        .wait_status("w2", |status| names(status) == ["w0", "w1", "w2"])
        .await;
    tokio::time::sleep(FOLLOW_TIME).await;
    harness.assert_serves("beside a damaged entry").await;
    assert_eq!(names(&harness.status().await), ["w0", "w1", "w2"]);
    list.publish(4, &[&w1], &odd[..1]);
    harness
        .wait_status("w0 and w2 gone", |status| names(status) == ["w1"])
        .await;
    let lines = log_lines::with(&["E3006", "vm=odd-port"]);
    assert_eq!(lines.len(), 1, "one line for the entry: {lines:?}");
}

/// Guards against work that is stopped and started again elsewhere because the entry of its worker
/// can't be read, as if the worker were gone.
#[tokio::test]
async fn work_goes_on_while_its_entry_is_damaged() {
    let mut list = TextList::start().await;
    let (w0, w1) = (list.worker("w0").await, list.worker("w1").await);
    list.publish(1, &[&w0], &[]);
    let harness = list.start_process(&w0).await;
    let submit = harness.submit("k", "batch", 9000, "sleep=4000");
    let damage = async {
        while harness.running(&w0.addr).await == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let fence = harness.status().await["workers"][0]["fence"].clone();
        list.publish(2, &[&w1], &[with_field(&w0, "state", "{}")]);
        harness
            .wait_status("w1", |status| names(status) == ["w0", "w1"])
            .await;
        // The state can't be read, so that the worker may be leaving.
        let check = harness.submit("c", "check", 2000, "").await;
        assert_eq!(check.workers, ["w1"], "{check:?}");
        let status = harness.status().await;
        assert_eq!(status["workers"][0]["draining"], true, "{status}");
        assert_eq!(status["workers"][0]["fence"], fence, "{status}");
    };
    let (reply, ()) = tokio::join!(submit, damage);
    assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    let log = harness.worker_log(&w0.addr).await;
    assert_eq!(log.0.len(), 1, "{log:?}");
}

/// A second entry beside that of the worker `w0`, which is in use.
struct SecondEntryCase {
    name: &'static str,
    /// Whether the entry has the id of the worker, else its address.
    has_same_id: bool,
    is_first: bool,
}

/// Guards against two entries of one id or one address whose links take the lease from each other
/// without end, so that no start has a valid fencing token.
#[tokio::test]
async fn a_second_entry_does_not_disturb_a_worker() {
    let case = |name, has_same_id, is_first| SecondEntryCase {
        name,
        has_same_id,
        is_first,
    };
    let cases = [
        case("other address, before", true, true),
        case("other address, behind", true, false),
        case("other id, before", false, true),
        case("other id, behind", false, false),
    ];
    for SecondEntryCase {
        name,
        has_same_id,
        is_first,
    } in cases
    {
        let mut list = TextList::start().await;
        let (w0, other) = (list.worker("w0").await, list.worker("x").await);
        let mut second = other.clone();
        match has_same_id {
            true => second.id.clone_from(&w0.id),
            false => second.addr.clone_from(&w0.addr),
        }
        list.publish(1, &[&w0], &[]);
        let harness = list.start_process(&w0).await;
        let fence = harness.status().await["workers"][0]["fence"].clone();
        match is_first {
            true => list.publish(2, &[&second, &w0], &[]),
            false => list.publish(2, &[&w0, &second], &[]),
        }
        harness
            .wait_status(name, |status| status["vm_list_version"] == 2)
            .await;
        tokio::time::sleep(FOLLOW_TIME).await;
        let status = harness.status().await;
        assert_eq!(names(&status), ["w0"], "{name}: {status}");
        assert_eq!(status["workers"][0]["fence"], fence, "{name}: {status}");
        harness.assert_serves(name).await;
        let log = harness.worker_log(&other.addr).await;
        assert!(log.0.is_empty(), "{name}: {log:?}");
    }
}

/// Guards against an order that is never started, because the ledger has no room for the id of the
/// worker that was chosen for it.
#[tokio::test]
async fn a_worker_with_a_long_id_gets_no_order() {
    let mut list = TextList::start().await;
    let w0 = list.worker("w0").await;
    let long = list.worker(&"x".repeat(60)).await;
    list.publish(1, &[&w0, &long], &[]);
    let harness = list.start_process(&w0).await;
    tokio::time::sleep(FOLLOW_TIME).await;
    let submit = |number| {
        let harness = &harness;
        async move {
            harness
                .submit(&format!("k{number}"), "order", 4000, "sleep=300")
                .await
        }
    };
    let (k0, k1, k2, k3, k4, k5, k6, k7, k8, k9) = tokio::join!(
        submit(0),
        submit(1),
        submit(2),
        submit(3),
        submit(4),
        submit(5),
        submit(6),
        submit(7),
        submit(8),
        submit(9),
    );
    for reply in [k0, k1, k2, k3, k4, k5, k6, k7, k8, k9] {
        assert_eq!(reply.outcome, Outcome::Done, "{reply:?}");
    }
    assert_eq!(names(&harness.status().await), ["w0"]);
}
