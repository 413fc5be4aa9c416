//! A tiny entry process that answers as a test says.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hs_config::{Manifest, parse_manifest};
use hs_http::{HttpReply, HttpRequest, ServeLimits, serve};
use hs_load::SAMPLE_MANIFEST;
use hs_wire::{NotRunReason, Outcome, Submission, WorkReply};
use hyper::Method;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How the process answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// Runs the work and returns its own results.
    Honest,
    /// Returns the results of the previous submission.
    Swapped,
    /// Returns the key of the previous submission.
    SwappedKey,
    /// Leaves out the last result.
    Short,
    /// Refuses everything.
    QueueFull,
    /// Replies with something else than a work reply.
    Garbled,
    /// Answers `unknown` with a retry hint once, then as `Honest`.
    Forgetful,
    /// Accepts durable work, and reports it as done from the second query on.
    Patient,
    /// Accepts durable work that never ends.
    Endless,
    /// Accepts durable work and does not know it afterwards.
    Losing,
}

/// A running process. It stops when this is dropped.
pub struct FakeEntry {
    pub address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
    stop: watch::Sender<bool>,
}

#[derive(Default)]
struct FakeState {
    /// Submissions in the order of their arrival, repeated ones included.
    submissions: Vec<Submission>,
    /// Key and number of tasks of the last submission.
    previous: Option<(String, usize)>,
    queries: HashMap<String, u32>,
}

impl FakeEntry {
    pub async fn start(manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (stop, stopped) = watch::channel(false);
        let state = Arc::new(Mutex::new(FakeState::default()));
        let manifest = Arc::new(parse_manifest(SAMPLE_MANIFEST).expect("a valid manifest"));
        let shared = state.clone();
        let service = serve(listener, ServeLimits::default(), stopped, move |request| {
            answer(manner, manifest.clone(), shared.clone(), request)
        });
        tokio::spawn(service);
        Self {
            address,
            state,
            stop,
        }
    }

    /// Returns the submissions in the order of their arrival, repeated ones included.
    pub fn submissions(&self) -> Vec<Submission> {
        self.state
            .lock()
            .expect("no handler panicked")
            .submissions
            .clone()
    }
}

impl Drop for FakeEntry {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

async fn answer(
    manner: Manner,
    manifest: Arc<Manifest>,
    state: Arc<Mutex<FakeState>>,
    request: HttpRequest,
) -> HttpReply {
    if request.method == Method::GET {
        return query(manner, &manifest, &state, &request);
    }
    let submission: Submission = request.json().expect("a submission");
    let known = |customer: &hs_config::CustomerEntry| customer.name == submission.customer;
    assert!(manifest.customers.iter().any(known));
    let mut workloads = manifest.workloads.iter();
    let workload = workloads
        .find(|workload| workload.name == submission.workload)
        .expect("a workload of the manifest");
    let (first, previous) = {
        let mut state = state.lock().expect("no handler panicked");
        let same = |other: &Submission| other.key == submission.key;
        let first = !state.submissions.iter().any(same);
        state.submissions.push(submission.clone());
        let own = (submission.key.clone(), usize::from(workload.tasks));
        (first, state.previous.replace(own))
    };
    let (other, _) = previous.unwrap_or(("none".to_owned(), 1));
    let key = submission.key.as_str();
    let mut reply = done(key, usize::from(workload.tasks));
    let durable = workload.class.is_durable();
    match manner {
        Manner::Honest => sleep_as_told(&submission.payload).await,
        Manner::Swapped => reply.results.fill(other),
        Manner::SwappedKey => reply.key = other,
        Manner::Short => drop(reply.results.pop()),
        Manner::QueueFull => reply = WorkReply::not_run(key, NotRunReason::QueueFull, ""),
        Manner::Garbled => return HttpReply::text(500, "no reply"),
        Manner::Forgetful if first && durable => {
            reply = WorkReply::unknown(key, "");
            reply.retry_after_ms = Some(1);
        }
        Manner::Patient | Manner::Endless | Manner::Losing if durable => {
            reply = WorkReply::new(key, Outcome::Accepted);
        }
        Manner::Forgetful | Manner::Patient | Manner::Endless | Manner::Losing => {}
    }
    HttpReply::json(reply.status(), &reply)
}

fn query(
    manner: Manner,
    manifest: &Manifest,
    state: &Mutex<FakeState>,
    request: &HttpRequest,
) -> HttpReply {
    let segments = request.segments();
    let ["v1", "work", customer, key] = segments[..] else {
        panic!("unexpected path {}", request.path);
    };
    let mut state = state.lock().expect("no handler panicked");
    let mut submissions = state.submissions.iter();
    let submission = submissions
        .find(|submission| submission.key == key && submission.customer == customer)
        .expect("a known submission");
    let mut workloads = manifest.workloads.iter();
    let workload = workloads.find(|workload| workload.name == submission.workload);
    let tasks = usize::from(workload.expect("a known workload").tasks);
    let queries = state.queries.entry(key.to_owned()).or_default();
    *queries += 1;
    match (manner, *queries) {
        (Manner::Losing, _) => HttpReply::error(404, "no_such_record", key),
        (Manner::Patient, 2..) => HttpReply::json(200, &done(key, tasks)),
        _ => HttpReply::json(202, &WorkReply::new(key, Outcome::Accepted)),
    }
}

fn done(key: &str, tasks: usize) -> WorkReply {
    let mut reply = WorkReply::new(key, Outcome::Done);
    reply.results = vec![key.to_owned(); tasks];
    reply
}

async fn sleep_as_told(payload: &str) {
    let mut words = payload.split(' ');
    let run_ms = words.find_map(|word| word.strip_prefix("sleep=")?.parse().ok());
    let run_ms = run_ms.expect("a run time");
    if run_ms > 0 {
        tokio::time::sleep(Duration::from_millis(run_ms)).await;
    }
}
