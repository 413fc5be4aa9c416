//! A run from schedule to report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hs_http::HttpClient;
use hs_wire::{Submission, WorkClass};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

use crate::call::{CallResult, LoadCall};
use crate::scenario::{LoadPhase, LoadStream};
use crate::schedule::{Arrival, draw_arrivals};
use crate::tally::{LoadTally, micros};
use crate::{LoadError, LoadOptions, LoadReport};

/// Time between building the schedule and the first intended send, in which the sender starts.
const LEAD: Duration = Duration::from_millis(20);

/// Everything that the sender needs to turn an arrival into a call.
struct LoadPlan {
    options: LoadOptions,
    targets: Arc<[SocketAddr]>,
    streams: Vec<LoadStream>,
    key_prefix: String,
    begin: Instant,
    give_up: Instant,
    issued_at_ms: u64,
}

/// Sends the submissions of a scenario and measures the answers.
///
/// It must be called on a multi-threaded `tokio` runtime with time and I/O, since a thread of its
/// own sends at the intended times: the timer of the runtime has a resolution of a millisecond,
/// which is too coarse for added times below one.
///
/// # Errors
///
/// Returns an error if the options are out of range. Failed calls are part of the report.
pub async fn run_load(options: LoadOptions) -> Result<LoadReport, LoadError> {
    options.check()?;
    let streams = options.scenario.streams(&options);
    let phases = options.scenario.phases(options.scale);
    let arrivals = draw_arrivals(&options, &streams);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = millis(since_epoch.unwrap_or_default());
    let begin = Instant::now() + LEAD;
    let last = arrivals.last().map_or(Duration::ZERO, |arrival| arrival.at);
    let plan = Arc::new(LoadPlan {
        // Durable keys are remembered across runs, so that a repeated seed needs fresh keys.
        key_prefix: format!("{now_ms:x}-{:x}", options.seed),
        give_up: begin + last + Duration::from_millis(options.settle_ms),
        targets: options.targets.as_slice().into(),
        streams,
        begin,
        issued_at_ms: now_ms,
        options,
    });

    let submissions = arrivals.len() as u64;
    let (results, mut received) = mpsc::unbounded_channel();
    let sender = {
        let plan = plan.clone();
        let handle = Handle::current();
        tokio::task::spawn_blocking(move || send_all(&plan, &arrivals, &handle, &results))
    };
    let mut tally = LoadTally::default();
    while let Some((arrival, result)) = received.recv().await {
        let stream = &plan.streams[arrival.stream];
        let phase = phase_of(&phases, arrival.at);
        tally.add(stream.class.name(), stream.customer, phase, result)?;
    }
    sender.await.map_err(|error| LoadError::Sender {
        cause: error.to_string(),
    })?;
    Ok(LoadReport {
        scenario: plan.options.scenario,
        seed: plan.options.seed,
        scale: plan.options.scale,
        key_prefix: plan.key_prefix.clone(),
        submissions,
        elapsed_ms: millis(plan.begin.elapsed()),
        latest_send_us: micros(tally.latest_send),
        wrong_answers: tally.wrong_answers,
        unanswered: tally.unanswered,
        rows: tally.rows(),
        examples: tally.examples,
    })
}

/// Starts each call at its intended time. The channel closes when the last call has ended.
fn send_all(
    plan: &Arc<LoadPlan>,
    arrivals: &[Arrival],
    handle: &Handle,
    results: &mpsc::UnboundedSender<(Arrival, CallResult)>,
) {
    let client = HttpClient::default();
    let permits = Arc::new(Semaphore::new(plan.options.max_in_flight));
    for (index, arrival) in arrivals.iter().copied().enumerate() {
        let intended = plan.begin + arrival.at;
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        if results.is_closed() {
            // The run was cancelled.
            return;
        }
        let call = plan.call(index, arrival, intended);
        let (client, permits, results) = (client.clone(), permits.clone(), results.clone());
        handle.spawn(async move {
            // The semaphore is never closed, so that this waits for a permit.
            let _permit = permits.acquire().await;
            let result = call.run(&client).await;
            let _ = results.send((arrival, result));
        });
    }
}

impl LoadPlan {
    fn call(&self, index: usize, arrival: Arrival, intended: Instant) -> LoadCall {
        let options = &self.options;
        let stream = &self.streams[arrival.stream];
        let key = format!("{}-{index:x}", self.key_prefix);
        let run_ms = arrival.run_ms;
        let (deadline_ms, wait_ms) = match stream.class {
            WorkClass::Check | WorkClass::Order => (options.short_deadline_ms, None),
            // Long work is queried instead, since a waiting call takes a connection.
            WorkClass::Batch | WorkClass::Gang | WorkClass::Service => {
                (options.long_deadline_ms, Some(0))
            }
        };
        LoadCall {
            targets: self.targets.clone(),
            turn: index,
            tasks: stream.tasks,
            durable: stream.class.is_durable(),
            run_time: Duration::from_millis(run_ms),
            intended,
            give_up: self.give_up,
            submission: Submission {
                payload: format!("sleep={run_ms} echo={key}"),
                key,
                customer: stream.customer.to_owned(),
                workload: stream.workload.to_owned(),
                deadline_ms,
                wait_ms,
                issued_at_ms: Some(self.issued_at_ms + millis(arrival.at)),
            },
        }
    }
}

fn phase_of(phases: &[LoadPhase], at: Duration) -> &'static str {
    let seconds = at.as_secs_f64();
    let mut begun = phases.iter().rev().filter(|phase| phase.from <= seconds);
    begun.next().map_or("all", |phase| phase.name)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
