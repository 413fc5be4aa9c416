//! Checks through an entry process against direct starts on a worker, one at a time.

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

use crate::tally::{micros, new_histogram, summary};
use crate::{LoadError, TimeSummary};

/// Longest time of one call.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Length of the worker's lease, longer than any comparison.
const LEASE_TTL_MS: u64 = 600_000;

/// Pairs that are not measured: they open the connections.
const WARM_UP: usize = 100;

/// What is compared.
#[derive(Clone, Copy, Debug)]
pub struct CompareOptions {
    /// Caller address of the entry process, which needs the sample manifest.
    pub entry: SocketAddr,
    /// A worker that no entry process uses, since its lease is taken.
    pub worker: SocketAddr,
    /// Number of pairs of one direct start and one check.
    pub pairs: usize,
}

/// Times of both kinds of calls. Both run a task of zero length.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CompareReport {
    /// Direct starts on the worker.
    pub direct: TimeSummary,
    /// Checks through the entry process.
    pub check: TimeSummary,
    /// Differences of the pairs; those below a microsecond count as one.
    pub added: TimeSummary,
}

/// Sends pairs of a direct start and a check, one call at a time, so that a change of the load on
/// the machine concerns both alike.
///
/// # Errors
///
/// Returns the first call that did not end as expected.
pub async fn run_compare(options: CompareOptions) -> Result<CompareReport, LoadError> {
    let client = HttpClient::default();
    let prefix = SystemTime::now().duration_since(UNIX_EPOCH);
    let prefix = format!("pair-{:x}", prefix.unwrap_or_default().as_millis());
    let fence = lease(&client, options.worker, &prefix).await?;
    let mut direct = new_histogram()?;
    let mut check = new_histogram()?;
    let mut added = new_histogram()?;
    for number in 0..WARM_UP + options.pairs {
        let key = format!("{prefix}-{number:x}");
        let begin = Instant::now();
        start(&client, options.worker, &key, fence).await?;
        let between = Instant::now();
        submit(&client, options.entry, &key).await?;
        let (direct_time, check_time) = (between - begin, between.elapsed());
        if number >= WARM_UP {
            direct.saturating_record(micros(direct_time));
            check.saturating_record(micros(check_time));
            added.saturating_record(micros(check_time.saturating_sub(direct_time)).max(1));
        }
    }
    let [direct, check, added] =
        [direct, check, added].map(|times: Histogram<u64>| summary(&times));
    Ok(CompareReport {
        direct,
        check,
        added,
    })
}

async fn lease(client: &HttpClient, worker: SocketAddr, owner: &str) -> Result<u64, LoadError> {
    let request = LeaseRequest {
        owner: owner.to_owned(),
        ttl_ms: LEASE_TTL_MS,
        bump: false,
        list: false,
        query: Vec::new(),
    };
    let peer = worker.to_string();
    let call = client.post_json("lease", &peer, "/lease", &request, CALL_LIMIT);
    let reply = read(call.await)?;
    let grant: LeaseGrant = reply.json().map_err(|_| unexpected(&reply))?;
    Ok(grant.fence)
}

async fn start(
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
        wait_ms: CALL_LIMIT.as_millis() as u64,
        revision: 0,
        customer: "north".to_owned(),
        workload: "check".to_owned(),
        payload: payload(key),
    };
    let peer = worker.to_string();
    let call = client.post_json("direct start", &peer, "/start", &request, CALL_LIMIT);
    let reply = read(call.await)?;
    match reply.json::<StartReply>() {
        Ok(StartReply { task }) if task.phase == TaskPhase::Done && task.result == key => Ok(()),
        _ => Err(unexpected(&reply)),
    }
}

async fn submit(client: &HttpClient, entry: SocketAddr, key: &str) -> Result<(), LoadError> {
    let work = Submission {
        key: key.to_owned(),
        customer: "north".to_owned(),
        workload: "check".to_owned(),
        deadline_ms: CALL_LIMIT.as_millis() as u64,
        wait_ms: None,
        issued_at_ms: None,
        payload: payload(key),
    };
    let peer = entry.to_string();
    let call = client.post_json("check", &peer, "/v1/work", &work, CALL_LIMIT);
    let reply = read(call.await)?;
    match reply.json::<WorkReply>() {
        Ok(work) if work.outcome == Outcome::Done && work.results == [key] => Ok(()),
        _ => Err(unexpected(&reply)),
    }
}

fn payload(key: &str) -> String {
    format!("sleep=0 echo={key}")
}

fn read(call: Result<CallReply, CallError>) -> Result<CallReply, LoadError> {
    call.map_err(|error| LoadError::Compare {
        cause: error.to_string(),
    })
}

fn unexpected(reply: &CallReply) -> LoadError {
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
