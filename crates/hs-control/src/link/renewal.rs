//! Renewals of the worker's lease, which also return its reports.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{CLOCK_DRIFT_MARGIN, WorkerReport};
use hs_event::EventCode;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::{LinkEvent, RETRY_PAUSE, WorkerClock, WorkerContact, WorkerLink};
use crate::port::{LeaseRenewal, Platform, PortError, RenewalReply};

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

/// Returns whether another incarnation may have taken a renewal than the one whose clock maps the end of the lease.
fn is_maybe_stale(
    renewal: LeaseRenewal,
    clock: Option<WorkerClock>,
    reply: &Result<RenewalReply, PortError>,
) -> bool {
    let is_other = match (reply, clock) {
        (Ok(RenewalReply::OtherIncarnation), _) => true,
        (Err(error), Some(clock)) => error.may_have_reached_later_process(clock.requested_at),
        (Ok(_), _) | (Err(_), None) => false,
    };
    is_other && renewal.lease_end_ms.is_some()
}

/// The task of a link that renews the lease of its worker.
pub(super) struct RenewalTask<P> {
    link: Arc<WorkerLink<P>>,
    /// Number up to which the worker may forget the ends of runs.
    cursor: watch::Receiver<u64>,
    last_seen_end: u64,
    /// Whether this owner has called an earlier incarnation.
    is_successor: bool,
    /// Whether the last call was answered. After an unanswered one, the next only requests the worker's report: a
    /// renewal that arrives late would keep runs going that the owner considers ended.
    answered: bool,
    /// Pause after the next failure.
    retry_pause: Duration,
    /// Whether a renewal of the lease was answered since the worker was last doubtful. A worker that fails each
    /// renewal but not the calls in between would otherwise be called without a pause.
    was_renewed: bool,
    /// Whether the answer of another incarnation was logged since the last report.
    is_replacement_logged: bool,
}

impl<P: Platform> RenewalTask<P> {
    pub(super) fn new(link: Arc<WorkerLink<P>>, cursor: watch::Receiver<u64>) -> Self {
        Self {
            link,
            cursor,
            last_seen_end: 0,
            is_successor: false,
            answered: false,
            retry_pause: RETRY_PAUSE,
            was_renewed: true,
            is_replacement_logged: false,
        }
    }

    /// Renews the lease until the worker has seen a higher fencing token.
    pub(super) async fn run(mut self) {
        let link = &self.link;
        let first = link.fences.for_incarnation(&link.peer).await;
        link.with_state(|state| state.fence = first.fence);
        self.is_successor = first.is_successor;
        loop {
            let are_recorded = self.await_records().await;
            let Some(lease_end) = self.link.next_lease_end() else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let renewal = self.begin_renewal(lease_end, are_recorded).await;
            let clock = self.link.with_state(|state| state.clock);
            let (reply, requested_at) = self.call(renewal).await;
            if is_maybe_stale(renewal, clock, &reply) {
                self.link.emit(LinkEvent::StaleRenewal).await;
            }
            self.answered = matches!(reply, Ok(RenewalReply::Report { .. }));
            match reply {
                Ok(RenewalReply::Report { clock_ms, report }) => {
                    self.link.set_replaced(false);
                    self.is_replacement_logged = false;
                    self.was_renewed |= renewal.lease_end_ms.is_some();
                    let call = RenewalCall {
                        wait: renewal.wait,
                        requested_at,
                    };
                    self.handle_report(clock_ms, report, call).await;
                }
                Ok(RenewalReply::Fenced) if self.link.is_fenced_by_other(renewal.fence) => {
                    return self.link.emit(LinkEvent::Fenced).await;
                }
                // An order with a higher token has overtaken it.
                Ok(RenewalReply::Fenced) => {}
                // The registry will list the new incarnation.
                Ok(RenewalReply::OtherIncarnation) => {
                    self.note_replacement();
                    self.handle_silence().await;
                }
                // It says nothing about the worker.
                Err(PortError::NoResources { .. }) => sleep(RETRY_PAUSE).await,
                Err(error) => {
                    log::debug!("{error}");
                    self.link.record_failed_call();
                    self.handle_failure().await;
                }
            }
        }
    }

    /// Keeps further starts from reaching the incarnation that has answered in place of the one that was called.
    fn note_replacement(&mut self) {
        let peer = &self.link.peer;
        self.link.set_replaced(true);
        if !std::mem::replace(&mut self.is_replacement_logged, true) {
            let (id, started_ms) = (&peer.id, peer.started_ms);
            EventCode::WorkerReplaced.log(format_args!("worker={id} born_ms={started_ms}"));
        }
    }

    /// Waits until the reported ends of runs have been recorded. Without a higher acknowledgement, the worker would
    /// report the same ends again at once. Returns whether they were recorded in time.
    async fn await_records(&mut self) -> bool {
        let last_seen_end = self.last_seen_end;
        let recorded = self.cursor.wait_for(|number| *number >= last_seen_end);
        timeout(MAX_RECORD_WAIT, recorded).await.is_ok()
    }

    /// Returns the next call, which renews the lease if the worker's clock is known.
    ///
    /// After a call that has failed it only requests the worker's report: another incarnation may answer, whose clock
    /// and numbers of ends begin anew. It would grant a lease that the owner does not know of, and forget ends that
    /// nobody has read. After a long wait for the store it only acknowledges nothing: the worker may have started again
    /// meanwhile with no call in progress that would have failed.
    async fn begin_renewal(&mut self, lease_end: Instant, are_recorded: bool) -> LeaseRenewal {
        let link = &self.link;
        let (fence, has_failed_call) = link.with_state(|state| {
            let has_failed_call = std::mem::take(&mut state.has_failed_call);
            (state.fence, has_failed_call)
        });
        let is_known = self.answered && !has_failed_call;
        let lease_end_ms = link.to_worker_clock_ms(lease_end).filter(|_| is_known);
        if lease_end_ms.is_some() {
            let now = link.platform.now();
            link.with_state(|state| state.lease_end = Some(lease_end));
            let lease = lease_end.saturating_duration_since(now);
            let runs_ended_at = lease_end + lease.mul_f64(CLOCK_DRIFT_MARGIN) + STOP_MARGIN;
            link.emit(LinkEvent::Renewing(runs_ended_at)).await;
        }
        let recorded = *self.cursor.borrow_and_update();
        let wait = match recorded >= self.last_seen_end && lease_end_ms.is_some() {
            true => RENEWAL_WAIT,
            false => Duration::ZERO,
        };
        LeaseRenewal {
            fence,
            lease_end_ms,
            acknowledged: if is_known && are_recorded {
                recorded
            } else {
                0
            },
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
            WorkerContact::None => link.contact_permits.call(call).await,
            WorkerContact::Answering | WorkerContact::Doubtful | WorkerContact::Silent => {
                call.await
            }
        }
    }

    async fn handle_report(&mut self, clock_ms: u64, report: WorkerReport, call: RenewalCall) {
        let link = &self.link;
        let read_at = link.platform.now();
        let clock = WorkerClock {
            clock_ms,
            requested_at: call.requested_at,
            read_at,
        };
        let is_first = link.with_state(|state| state.clock.replace(clock).is_none());
        if is_first {
            link.emit(LinkEvent::FirstAnswer).await;
        }
        link.contact.send_replace(WorkerContact::Answering);
        self.retry_pause = RETRY_PAUSE;
        let has_new_ends = self.record_new_ends(&report, clock_ms);
        let is_early = !has_new_ends && read_at < call.requested_at + call.wait / 2;
        self.link
            .emit(LinkEvent::Report(report, call.requested_at))
            .await;
        if is_early {
            // The worker retains an end that can't be read and is not acknowledged, and therefore answers each
            // renewal at once.
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Logs and counts the ends that were not seen before. Returns whether there are any.
    fn record_new_ends(&mut self, report: &WorkerReport, clock_ms: u64) -> bool {
        let link = &self.link;
        let mut last_number = self.last_seen_end;
        for end in &report.ended {
            if end.number <= self.last_seen_end {
                continue;
            }
            let (run, how) = (end.run, end.end);
            link.metrics.record_run_end(how);
            link.run_lines.log(
                EventCode::RunEnded,
                run,
                link.platform.now(),
                format_args!(" how={how:?} worker={} clock_ms={clock_ms}", link.peer.id),
            );
            last_number = last_number.max(end.number);
        }
        let is_first_list = self.last_seen_end == 0 && last_number > 0;
        if is_first_list && self.is_successor {
            self.report_forgotten_ends(report);
        }
        let has_new_ends = last_number > self.last_seen_end;
        self.last_seen_end = last_number;
        has_new_ends
    }

    /// Logs the ends of a new incarnation that are missing before its first list. Their numbers begin at 1.
    fn report_forgotten_ends(&self, report: &WorkerReport) {
        let numbers = report.ended.iter().map(|end| end.number);
        let forgotten = numbers.min().map_or(0, |first| first.saturating_sub(1));
        if forgotten > 0 {
            EventCode::EndsForgotten.log(format_args!(
                "worker={} count={forgotten}",
                self.link.peer.id
            ));
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
