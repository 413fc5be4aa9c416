//! Comparison of checks through an entry process with direct starts on a worker.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use hs_http::{CallError, CallReply, HttpClient};
use hs_wire::{
    LeaseGrant, LeaseRequest, Outcome, Resources, StartReply, StartRequest, Submission, TaskPhase,
    WorkId, WorkReply,
};
use serde::{Deserialize, Serialize};

use crate::tally::{micros, new_histogram, summarize};
use crate::{LoadError, TimeSummary};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Length of the worker's lease, which is not renewed and so has to outlast the comparison.
const LEASE_TTL_MS: u64 = 600_000;

/// Number of pairs before the measurement. They open the connections and are not counted.
const WARM_UP_PAIRS: usize = 100;

/// Options of a comparison.
#[derive(Clone, Copy, Debug)]
pub struct CompareOptions {
    /// Caller address of the entry process, which has to run with [`crate::SAMPLE_MANIFEST`].
    pub entry: SocketAddr,
    /// Address of a worker that no entry process uses, since the comparison acquires its lease.
    pub worker: SocketAddr,
    /// Number of measured pairs, each of one direct start and one check.
    pub pairs: usize,
}

/// Response times of direct starts and checks, both with a task of zero run time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CompareReport {
    /// Response times of direct starts on the worker.
    pub direct: TimeSummary,
    /// Response times of checks through the entry process.
    pub check: TimeSummary,
    /// Added time of each pair: check minus direct start. Values below 1 µs count as 1 µs.
    pub added: TimeSummary,
}

/// Measures pairs of a direct start and a check, one call at a time. Alternating the two exposes
/// both to the same changes of the load on the machine.
///
/// # Errors
///
/// Returns an error for the first call that fails or gets an unexpected reply.
pub async fn run_compare(options: CompareOptions) -> Result<CompareReport, LoadError> {
    let client = HttpClient::default();
    let prefix = SystemTime::now().duration_since(UNIX_EPOCH);
    let prefix = format!("pair-{:x}", prefix.unwrap_or_default().as_millis());
    let fence = acquire_lease(&client, options.worker, &prefix).await?;
    let mut direct = new_histogram()?;
    let mut check = new_histogram()?;
    let mut added = new_histogram()?;
    for number in 0..WARM_UP_PAIRS + options.pairs {
        let key = format!("{prefix}-{number:x}");
        let direct_begin = Instant::now();
        start_directly(&client, options.worker, &key, fence).await?;
        let check_begin = Instant::now();
        submit_check(&client, options.entry, &key).await?;
        let (direct_time, check_time) = (check_begin - direct_begin, check_begin.elapsed());
        if number >= WARM_UP_PAIRS {
            direct.saturating_record(micros(direct_time));
            check.saturating_record(micros(check_time));
            added.saturating_record(micros(check_time.saturating_sub(direct_time)).max(1));
        }
    }
    let [direct, check, added] =
        [direct, check, added].map(|times: Histogram<u64>| summarize(&times));
    Ok(CompareReport {
        direct,
        check,
        added,
    })
}

async fn acquire_lease(
    client: &HttpClient,
    worker: SocketAddr,
    owner: &str,
) -> Result<u64, LoadError> {
    let request = LeaseRequest {
        owner: owner.to_owned(),
        ttl_ms: LEASE_TTL_MS,
        bump: false,
        list: false,
        query: Vec::new(),
    };
    let peer = worker.to_string();
    let call = client.post_json("lease", &peer, "/lease", &request, CALL_TIMEOUT);
    let reply = map_call_error(call.await)?;
    let grant: LeaseGrant = reply.json().map_err(|_| unexpected_reply(&reply))?;
    Ok(grant.fence)
}

async fn start_directly(
    client: &HttpClient,
    worker: SocketAddr,
    key: &str,
    fence: u64,
) -> Result<(), LoadError> {
    let request = StartRequest {
        id: WorkId(key.to_owned()),
        fence,
        resources: Resources {
            cpu_milli: 1000,
            memory_mib: 512,
            accelerators: 0,
            slots: 1,
            connections: 1,
        },
        leased: false,
        wait_ms: CALL_TIMEOUT.as_millis() as u64,
        revision: 0,
        customer: "north".to_owned(),
        workload: "check".to_owned(),
        payload: payload(key),
    };
    let peer = worker.to_string();
    let call = client.post_json("direct start", &peer, "/start", &request, CALL_TIMEOUT);
    let reply = map_call_error(call.await)?;
    match reply.json::<StartReply>() {
        Ok(StartReply { task }) if task.phase == TaskPhase::Done && task.result == key => Ok(()),
        _ => Err(unexpected_reply(&reply)),
    }
}

async fn submit_check(client: &HttpClient, entry: SocketAddr, key: &str) -> Result<(), LoadError> {
    let work = Submission {
        key: key.to_owned(),
        customer: "north".to_owned(),
        workload: "check".to_owned(),
        deadline_ms: CALL_TIMEOUT.as_millis() as u64,
        wait_ms: None,
        issued_at_ms: None,
        payload: payload(key),
    };
    let peer = entry.to_string();
    let call = client.post_json("check", &peer, "/v1/work", &work, CALL_TIMEOUT);
    let reply = map_call_error(call.await)?;
    match reply.json::<WorkReply>() {
        Ok(work) if work.outcome == Outcome::Done && work.results == [key] => Ok(()),
        _ => Err(unexpected_reply(&reply)),
    }
}

fn payload(key: &str) -> String {
    format!("sleep=0 echo={key}")
}

fn map_call_error(call: Result<CallReply, CallError>) -> Result<CallReply, LoadError> {
    call.map_err(|error| LoadError::Compare {
        cause: error.to_string(),
    })
}

fn unexpected_reply(reply: &CallReply) -> LoadError {
    let text = String::from_utf8_lossy(&reply.body);
    LoadError::Compare {
        cause: format!("unexpected reply: HTTP {}: {text}", reply.status),
    }
}

impl fmt::Display for CompareReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<8} {:>8} {:>10} {:>10} {:>10}",
            "us", "count", "p50", "p99", "max"
        )?;
        let rows = [
            ("direct", self.direct),
            ("check", self.check),
            ("added", self.added),
        ];
        rows.iter().try_for_each(|(name, times)| {
            writeln!(
                formatter,
                "{name:<8} {:>8} {:>10} {:>10} {:>10}",
                times.count, times.p50_us, times.p99_us, times.max_us
            )
        })
    }
}
