//! Renewals of the worker's lease, which also return its reports.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::WorkerReport;
use hs_event::EventCode;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::{LinkEvent, RETRY_PAUSE, WorkerClock, WorkerContact, WorkerLink};
use crate::port::{LeaseRenewal, Platform, PortError, RenewalReply};

/// Fraction of a lease's duration that is added to its end on the owner's clock, because a worker's clock
/// may be 2 % slow. `CLOCK_DRIFT_FACTOR` of the owner task is 1 plus this.
const CLOCK_DRIFT_MARGIN: f64 = 0.025;

/// Time added to the end of a lease for the worker to stop its runs.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Maximum time that a worker may delay its reply to a renewal until a run ends (long polling).
const RENEWAL_WAIT: Duration = Duration::from_millis(1000);

/// Added to the wait to get the timeout of a renewal.
const RENEWAL_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// Maximum pause after a failed renewal. Each further failure doubles the pause up to this.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest time that a renewal is delayed until the reported ends of runs have been recorded.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(400);

/// A call that was answered.
#[derive(Clone, Copy, Debug)]
struct RenewalCall {
    requested_at: Instant,
    /// How long the worker was allowed to delay its reply.
    wait: Duration,
}

/// The task of a link that renews the lease of its worker.
pub(super) struct RenewalTask<P> {
    link: Arc<WorkerLink<P>>,
    /// Number up to which the worker may forget the ends of runs.
    cursor: watch::Receiver<u64>,
    last_seen_end: u64,
    /// Whether the last call was answered. After an unanswered one, the next only requests the worker's report: a
    /// renewal that arrives late would keep runs going that the owner considers ended.
    answered: bool,
    /// Pause after the next failure.
    retry_pause: Duration,
    /// Whether a renewal of the lease was answered since the worker was last doubtful. A worker that fails each
    /// renewal but not the calls in between would otherwise be called without a pause.
    was_renewed: bool,
}

impl<P: Platform> RenewalTask<P> {
    pub(super) fn new(link: Arc<WorkerLink<P>>, cursor: watch::Receiver<u64>) -> Self {
        Self {
            link,
            cursor,
            last_seen_end: 0,
            answered: false,
            retry_pause: RETRY_PAUSE,
            was_renewed: true,
        }
    }

    /// Renews the lease until the worker has seen a higher fencing token.
    pub(super) async fn run(mut self) {
        loop {
            self.await_records().await;
            let Some(lease_end) = self.link.next_lease_end() else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let renewal = self.begin_renewal(lease_end).await;
            let (reply, requested_at) = self.call(renewal).await;
            self.answered = matches!(reply, Ok(RenewalReply::Report { .. }));
            match reply {
                Ok(RenewalReply::Report { clock_ms, report }) => {
                    self.was_renewed |= renewal.lease_end_ms.is_some();
                    let call = RenewalCall {
                        wait: renewal.wait,
                        requested_at,
                    };
                    self.handle_report(clock_ms, report, call).await;
                }
                Ok(RenewalReply::Fenced) => return self.link.emit(LinkEvent::Fenced).await,
                // The registry will list the new incarnation.
                Ok(RenewalReply::OtherIncarnation) => self.handle_silence().await,
                Err(error) => {
                    log::debug!("{error}");
                    self.handle_failure().await;
                }
            }
        }
    }

    /// Waits until the reported ends of runs have been recorded. Without a higher acknowledgement, the worker would
    /// report the same ends again at once.
    async fn await_records(&mut self) {
        let last_seen_end = self.last_seen_end;
        let recorded = self.cursor.wait_for(|number| *number >= last_seen_end);
        let _ = timeout(MAX_RECORD_WAIT, recorded).await;
    }

    /// Returns the next call, which renews the lease if the worker's clock is known.
    async fn begin_renewal(&mut self, lease_end: Instant) -> LeaseRenewal {
        let link = &self.link;
        let lease_end_ms = link.to_worker_clock_ms(lease_end).filter(|_| self.answered);
        if lease_end_ms.is_some() {
            let now = link.platform.now();
            link.with_state(|state| state.lease_end = Some(lease_end));
            let lease = lease_end.saturating_duration_since(now);
            let runs_ended_at = lease_end + lease.mul_f64(CLOCK_DRIFT_MARGIN) + STOP_MARGIN;
            link.emit(LinkEvent::Renewing(runs_ended_at)).await;
        }
        let acknowledged = *self.cursor.borrow_and_update();
        let wait = match acknowledged >= self.last_seen_end && lease_end_ms.is_some() {
            true => RENEWAL_WAIT,
            false => Duration::ZERO,
        };
        LeaseRenewal {
            fence: link.fence,
            lease_end_ms,
            acknowledged,
            wait,
        }
    }

    /// Calls the worker. Returns its reply, and when the call was made.
    async fn call(&self, renewal: LeaseRenewal) -> (Result<RenewalReply, PortError>, Instant) {
        let link = &self.link;
        let call = async {
            let requested_at = link.platform.now();
            let timeout = renewal.wait + RENEWAL_TIMEOUT_MARGIN;
            let reply = link.platform.renew_lease(&link.peer, renewal, timeout);
            (reply.await, requested_at)
        };
        let contact = *link.contact.borrow();
        match contact {
            WorkerContact::None => link.permits.call(call).await,
            WorkerContact::Answering | WorkerContact::Doubtful | WorkerContact::Silent => {
                call.await
            }
        }
    }

    async fn handle_report(&mut self, clock_ms: u64, report: WorkerReport, call: RenewalCall) {
        let link = &self.link;
        let read_at = link.platform.now();
        link.with_state(|state| state.clock = Some(WorkerClock { clock_ms, read_at }));
        link.contact.send_replace(WorkerContact::Answering);
        self.retry_pause = RETRY_PAUSE;
        let new_ends = report.ended.iter();
        for end in new_ends.filter(|end| end.number > self.last_seen_end) {
            let (run, how) = (end.run, end.end);
            link.metrics.record_run_end(how);
            EventCode::RunEnded.log(format_args!(
                "task={} run={} how={how:?} worker={} clock_ms={clock_ms}",
                run.task, run.run, link.peer.id
            ));
        }
        let numbers = report.ended.iter().map(|end| end.number);
        let last = numbers.max().unwrap_or(0);
        let is_early = last <= self.last_seen_end && read_at < call.requested_at + call.wait / 2;
        self.last_seen_end = self.last_seen_end.max(last);
        link.emit(LinkEvent::Report(report, call.requested_at))
            .await;
        if is_early {
            // The worker retains an end that can't be read and is not acknowledged, and therefore answers each
            // renewal at once.
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Calls the worker again at once after the first failure, and considers it silent after the second.
    async fn handle_failure(&mut self) {
        let contact = *self.link.contact.borrow();
        match contact {
            WorkerContact::Answering if self.was_renewed => {
                self.was_renewed = false;
                self.link.contact.send_replace(WorkerContact::Doubtful);
            }
            WorkerContact::None
            | WorkerContact::Answering
            | WorkerContact::Doubtful
            | WorkerContact::Silent => self.handle_silence().await,
        }
    }

    /// Reports the worker as unreachable, and pauses.
    async fn handle_silence(&mut self) {
        match self.link.contact.send_replace(WorkerContact::Silent) {
            WorkerContact::Answering | WorkerContact::Doubtful => {
                EventCode::WorkerUnresponsive.log(format_args!("worker={}", self.link.peer.id));
            }
            WorkerContact::None | WorkerContact::Silent => {}
        }
        self.link.emit(LinkEvent::Unreachable).await;
        sleep(self.retry_pause).await;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }
}
