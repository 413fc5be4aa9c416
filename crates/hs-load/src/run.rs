//! Execution of a load run, from the schedule to the report.

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
use crate::schedule::{Arrival, generate_arrivals};
use crate::tally::{LoadTally, micros};
use crate::{LoadError, LoadOptions, LoadReport};

/// Time from the generation of the schedule to the beginning of the run, in which the sender thread
/// can start.
const START_DELAY: Duration = Duration::from_millis(20);

/// Data from which the sender builds the call of each arrival.
struct LoadPlan {
    options: LoadOptions,
    targets: Arc<[SocketAddr]>,
    streams: Vec<LoadStream>,
    key_prefix: String,
    begin: Instant,
    follow_until: Instant,
    issued_at_ms: u64,
}

/// Sends the submissions of a scenario and reports outcomes and response times.
///
/// It must be called on a multi-threaded `tokio` runtime with time and I/O enabled. A separate
/// thread starts each call at its intended send time: the timer of the runtime has a resolution of
/// 1 ms, which is too coarse to measure added times below 1 ms.
///
/// # Errors
///
/// Returns an error if an option is out of range, or if a histogram or the sender thread fails.
/// Failed calls are part of the report instead.
pub async fn run_load(options: LoadOptions) -> Result<LoadReport, LoadError> {
    options.validate()?;
    let streams = options.scenario.streams(&options);
    let phases = options.scenario.phases(options.scale);
    let arrivals = generate_arrivals(&options, &streams);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = millis(since_epoch.unwrap_or_default());
    let begin = Instant::now() + START_DELAY;
    let last = arrivals.last().map_or(Duration::ZERO, |arrival| arrival.at);
    let plan = Arc::new(LoadPlan {
        // Entry processes remember the keys of durable work across runs, so a run with a
        // repeated seed needs new keys.
        key_prefix: format!("{now_ms:x}-{:x}", options.seed),
        follow_until: begin + last + Duration::from_millis(options.settle_ms),
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
        let phase = phase_at(&phases, arrival.at);
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
        latest_send_us: micros(tally.max_send_delay),
        wrong_answers: tally.wrong_answers,
        unanswered: tally.unanswered,
        rows: tally.rows(),
        examples: tally.examples,
    })
}

/// Starts each call at its intended send time. The channel closes after the last result.
fn send_all(
    plan: &Arc<LoadPlan>,
    arrivals: &[Arrival],
    handle: &Handle,
    results: &mpsc::UnboundedSender<(Arrival, CallResult)>,
) {
    let client = HttpClient::default();
    let permits = Arc::new(Semaphore::new(plan.options.max_in_flight));
    for (index, arrival) in arrivals.iter().copied().enumerate() {
        let intended_send = plan.begin + arrival.at;
        thread::sleep(intended_send.saturating_duration_since(Instant::now()));
        if results.is_closed() {
            // The caller dropped the run.
            return;
        }
        let call = plan.build_call(index, arrival, intended_send);
        let (client, permits, results) = (client.clone(), permits.clone(), results.clone());
        handle.spawn(async move {
            // The semaphore is never closed, so this cannot fail.
            let _permit = permits.acquire().await;
            let result = call.run(&client).await;
            let _ = results.send((arrival, result));
        });
    }
}

impl LoadPlan {
    fn build_call(&self, index: usize, arrival: Arrival, intended_send: Instant) -> LoadCall {
        let options = &self.options;
        let stream = &self.streams[arrival.stream];
        let key = format!("{}-{index:x}", self.key_prefix);
        let run_ms = arrival.run_ms;
        let (deadline_ms, wait_ms) = match stream.class {
            WorkClass::Check | WorkClass::Order => (options.short_deadline_ms, None),
            // Long work is polled, since a call that waits for it occupies a connection.
            WorkClass::Batch | WorkClass::Gang | WorkClass::Service => {
                (options.long_deadline_ms, Some(0))
            }
        };
        LoadCall {
            targets: self.targets.clone(),
            target_index: index,
            tasks: stream.tasks,
            durable: stream.class.is_durable(),
            run_time: Duration::from_millis(run_ms),
            intended_send,
            follow_until: self.follow_until,
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

fn phase_at(phases: &[LoadPhase], at: Duration) -> &'static str {
    let seconds = at.as_secs_f64();
    let mut started = phases
        .iter()
        .rev()
        .filter(|phase| phase.from_second <= seconds);
    started.next().map_or("all", |phase| phase.name)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
