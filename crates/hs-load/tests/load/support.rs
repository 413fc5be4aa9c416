//! A fake entry process whose replies a test chooses.

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

/// How the fake entry process replies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Waits for the run time in the payload and returns correct results.
    Correct,
    /// Returns the results of the previous submission.
    PreviousResults,
    /// Returns the key of the previous submission.
    PreviousKey,
    /// Omits the last result.
    MissingResult,
    /// Refuses every submission with `queue_full`.
    QueueFull,
    /// Replies with a body that is not a `WorkReply`.
    InvalidBody,
    /// Replies `unknown` with a retry hint to the first attempt of durable work, then `done`.
    UnknownOnce,
    /// Accepts durable work and reports it as done from the second query on.
    DoneAtSecondQuery,
    /// Accepts durable work and never reports its end.
    NeverDone,
    /// Accepts durable work and replies 404 to later queries for it.
    LostAfterAccept,
}

/// A running fake entry process. It stops when this is dropped.
pub struct FakeEntry {
    pub address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
    stop: watch::Sender<bool>,
}

#[derive(Default)]
struct FakeState {
    /// Submissions in the order of arrival, including retries.
    submissions: Vec<Submission>,
    /// Key and number of tasks of the last submission.
    previous: Option<(String, usize)>,
    /// Number of queries for each key.
    queries: HashMap<String, u32>,
}

impl FakeEntry {
    pub async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (stop, stopped) = watch::channel(false);
        let state = Arc::new(Mutex::new(FakeState::default()));
        let manifest = Arc::new(parse_manifest(SAMPLE_MANIFEST).expect("a valid manifest"));
        let shared = state.clone();
        let service = serve(listener, ServeLimits::default(), stopped, move |request| {
            reply_to(behaviour, manifest.clone(), shared.clone(), request)
        });
        tokio::spawn(service);
        Self {
            address,
            state,
            stop,
        }
    }

    /// Returns the submissions in the order of arrival, including retries.
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

async fn reply_to(
    behaviour: Behaviour,
    manifest: Arc<Manifest>,
    state: Arc<Mutex<FakeState>>,
    request: HttpRequest,
) -> HttpReply {
    if request.method == Method::GET {
        return query(behaviour, &manifest, &state, &request);
    }
    let submission: Submission = request.json().expect("a submission");
    let is_known = |customer: &hs_config::CustomerEntry| customer.name == submission.customer;
    assert!(manifest.customers.iter().any(is_known));
    let mut workloads = manifest.workloads.iter();
    let workload = workloads
        .find(|workload| workload.name == submission.workload)
        .expect("a workload of the manifest");
    let (first, previous) = {
        let mut state = state.lock().expect("no handler panicked");
        let same = |earlier: &Submission| earlier.key == submission.key;
        let first = !state.submissions.iter().any(same);
        state.submissions.push(submission.clone());
        let current = (submission.key.clone(), usize::from(workload.tasks));
        (first, state.previous.replace(current))
    };
    let (previous_key, _) = previous.unwrap_or(("none".to_owned(), 1));
    let key = submission.key.as_str();
    let mut reply = done_reply(key, usize::from(workload.tasks));
    let durable = workload.class.is_durable();
    match behaviour {
        Behaviour::Correct => run_for_requested_time(&submission.payload).await,
        Behaviour::PreviousResults => reply.results.fill(previous_key),
        Behaviour::PreviousKey => reply.key = previous_key,
        Behaviour::MissingResult => drop(reply.results.pop()),
        Behaviour::QueueFull => reply = WorkReply::not_run(key, NotRunReason::QueueFull, ""),
        Behaviour::InvalidBody => return HttpReply::text(500, "no reply"),
        Behaviour::UnknownOnce if first && durable => {
            reply = WorkReply::unknown(key, "");
            reply.retry_after_ms = Some(1);
        }
        Behaviour::DoneAtSecondQuery | Behaviour::NeverDone | Behaviour::LostAfterAccept
            if durable =>
        {
            reply = WorkReply::new(key, Outcome::Accepted);
        }
        Behaviour::UnknownOnce
        | Behaviour::DoneAtSecondQuery
        | Behaviour::NeverDone
        | Behaviour::LostAfterAccept => {}
    }
    HttpReply::json(reply.status(), &reply)
}

fn query(
    behaviour: Behaviour,
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
    match (behaviour, *queries) {
        (Behaviour::LostAfterAccept, _) => HttpReply::error(404, "no_such_record", key),
        (Behaviour::DoneAtSecondQuery, 2..) => HttpReply::json(200, &done_reply(key, tasks)),
        _ => HttpReply::json(202, &WorkReply::new(key, Outcome::Accepted)),
    }
}

fn done_reply(key: &str, tasks: usize) -> WorkReply {
    let mut reply = WorkReply::new(key, Outcome::Done);
    reply.results = vec![key.to_owned(); tasks];
    reply
}

async fn run_for_requested_time(payload: &str) {
    let mut words = payload.split(' ');
    let run_ms = words.find_map(|word| word.strip_prefix("sleep=")?.parse().ok());
    let run_ms = run_ms.expect("a run time");
    if run_ms > 0 {
        tokio::time::sleep(Duration::from_millis(run_ms)).await;
    }
}
