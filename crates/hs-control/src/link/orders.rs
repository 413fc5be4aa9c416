//! Starts and stops.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{StartOrder, StartRefusal, StartTaker, TaskRun};
use hs_event::{EventCode, LogText};
use hs_timer::timeout;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use super::order_turns::OrderTurn;
use super::pending_stops::PendingStop;
use super::{LinkEvent, RETRY_PAUSE, WorkerContact, WorkerLink};
use crate::port::{Platform, PortError, StartReply, StopReply};

/// Timeout of a start or a stop.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of attempts to send a start before it is reported as unanswered or refused. Those during which this
/// process was late do not count, since the reply may only not have been read in time.
const MAX_START_ATTEMPTS: u32 = 3;

/// Maximum number of attempts to send a start, including those during which this process was late.
const MAX_ALL_START_ATTEMPTS: u32 = 8;

/// Time beyond the timeout from which a failed order shows that this process was late. Timeouts are only extended by
/// the lateness of the process.
const MIN_LATENESS: Duration = Duration::from_millis(20);

/// Maximum time until a stop is sent again to a worker that does not answer renewals.
const MAX_STOP_PAUSE: Duration = Duration::from_secs(2);

impl<P: Platform> WorkerLink<P> {
    /// Waits for the turn of an order that is sent again.
    async fn next_turn(&self) -> OrderTurn {
        let now = self.platform.now();
        self.order_turns.next(now, now).await
    }

    /// Sends a start until the worker answers, with a bounded number of attempts. Repeating it is safe,
    /// because a worker starts a run only once.
    ///
    /// The first attempt has got its turn already.
    pub(super) async fn send_start(self: Arc<Self>, order: StartOrder, turn: OrderTurn) {
        let run = order.run;
        let mut turn = Some(turn);
        let mut in_doubt = false;
        let mut taker = StartTaker::Reported;
        let mut was_sent = false;
        let mut failures = 0;
        for number in 1..=MAX_ALL_START_ATTEMPTS {
            let turn = match turn.take() {
                Some(turn) => turn,
                None => self.next_turn().await,
            };
            if !was_sent && self.is_silent() {
                break;
            }
            if self.with_state(|state| state.is_replaced) {
                // The next incarnation would start the run under a lease that does not end when this one assumes.
                break;
            }
            if self.pending_stops.contains(run) {
                // The cell no longer wants the run, and the worker may not have received the stop.
                break;
            }
            let Some(attempt) = self.start_attempt(number) else {
                break;
            };
            let fence = attempt.fence;
            let sent = self
                .platform
                .start(
                    &self.peer,
                    fence,
                    attempt.lease_end_ms,
                    &order,
                    ORDER_TIMEOUT,
                )
                .await;
            if let Err(PortError::NoResources { cause, .. }) = &sent {
                drop(turn);
                self.note_shortage(run, cause).await;
                continue;
            }
            was_sent = true;
            // The next order may only have its turn once it is known whether another incarnation has answered.
            self.check_attempt(run, attempt, &sent).await;
            drop(turn);
            if sent.is_ok() {
                self.order_contact.note_answer();
            }
            match sent.map(|answer| answer.reply) {
                Ok(StartReply::Started) => return self.emit(LinkEvent::Started(run)).await,
                Ok(StartReply::Fenced) if self.is_fenced_by_other(fence) => {
                    return self.emit(LinkEvent::Fenced).await;
                }
                // A later call of this link has overtaken it.
                Ok(StartReply::Fenced) => {}
                Ok(StartReply::Refused(why)) if !in_doubt => {
                    return self.emit(LinkEvent::StartRefused(run, why)).await;
                }
                // An earlier attempt has started the run, and it has ended; the worker's report contains
                // the end.
                Ok(StartReply::Refused(StartRefusal::Old)) => {
                    return self.emit(LinkEvent::Stopped(run)).await;
                }
                // An earlier attempt may still be carried out.
                Ok(StartReply::Refused(_)) => break,
                Err(error) => {
                    log::debug!("failed to start run={} {}: {error}", run.run, run.task);
                    self.record_failed_call();
                    self.order_contact.note_failure();
                    in_doubt = in_doubt || !error.is_refused();
                    if attempt.taker(&error) == StartTaker::Any {
                        taker = StartTaker::Any;
                    }
                    failures += u32::from(!self.was_late_since(attempt.sent_at));
                    if failures >= MAX_START_ATTEMPTS {
                        break;
                    }
                    if error.is_refused() {
                        sleep(RETRY_PAUSE).await;
                    }
                }
            }
        }
        let event = match (was_sent, in_doubt) {
            (_, true) => LinkEvent::StartUnanswered(run, taker),
            (true, false) => LinkEvent::StartRefused(run, StartRefusal::Unhealthy),
            // This process was too late to renew the lease, or could not send the start, which does not show that the
            // worker is unhealthy.
            (false, false) => LinkEvent::StartRefused(run, StartRefusal::Late),
        };
        let has_failed = matches!(
            event,
            LinkEvent::StartUnanswered(..) | LinkEvent::StartRefused(_, StartRefusal::Unhealthy)
        );
        self.emit(event).await;
        if has_failed {
            self.order_contact.note_silence(self.platform.now());
        }
    }

    /// Reports that a start was not sent, so that its task starts elsewhere at once.
    pub(super) async fn refuse_unsent(&self, run: TaskRun) {
        self.emit(LinkEvent::StartRefused(run, StartRefusal::Late))
            .await;
    }

    /// Logs that this process lacks resources for an order, and pauses. That says nothing about the worker.
    async fn note_shortage(&self, run: TaskRun, cause: &str) {
        self.log_shortage(run, cause);
        sleep(RETRY_PAUSE).await;
    }

    /// Logs it. The arguments of a line must not live across a pause.
    fn log_shortage(&self, run: TaskRun, cause: &str) {
        let (now, worker) = (self.platform.now(), &self.peer.id);
        let fields = format_args!(" worker={worker} cause={}", LogText(cause));
        self.run_lines
            .log(EventCode::OrderNotSent, run, now, fields);
    }

    /// Returns whether this process was late during an order that has failed.
    fn was_late_since(&self, sent_at: Instant) -> bool {
        let elapsed = self.platform.now().saturating_duration_since(sent_at);
        elapsed >= ORDER_TIMEOUT + MIN_LATENESS
    }

    /// Sends a stop until the worker answers. The first attempt has got its turn already.
    pub(super) async fn send_stop(
        self: Arc<Self>,
        pending: PendingStop,
        _permit: OwnedSemaphorePermit,
        turn: OrderTurn,
    ) {
        let run = pending.run();
        let mut turn = Some(turn);
        loop {
            let turn = match turn.take() {
                Some(turn) => turn,
                None => self.next_turn().await,
            };
            let (fence, clock) = self.with_state(|state| (state.fence, state.clock));
            let sent_at = self.platform.now();
            let sent = self
                .platform
                .stop(&self.peer, fence, run, ORDER_TIMEOUT)
                .await;
            if let Ok(answer) = &sent {
                self.check_stop_clock(clock, sent_at, answer).await;
            }
            drop(turn);
            match sent.map(|answer| answer.reply) {
                Ok(StopReply::Stopped) => return self.emit(LinkEvent::Stopped(run)).await,
                Ok(StopReply::Fenced) if self.is_fenced_by_other(fence) => {
                    return self.emit(LinkEvent::Fenced).await;
                }
                Ok(StopReply::Fenced) => continue,
                // The run ended with the incarnation of the worker that had it.
                Ok(StopReply::OtherIncarnation) => return,
                Err(PortError::NoResources { cause, .. }) => {
                    self.note_shortage(run, &cause).await;
                    continue;
                }
                Err(error) => {
                    log::debug!("failed to stop {}: {error}", run.task);
                    self.record_failed_call();
                }
            }
            sleep(RETRY_PAUSE).await;
            self.answer_to_renewal().await;
        }
    }

    /// Waits until the worker answers renewals, but at most [`MAX_STOP_PAUSE`]. Each of its runs that has to be
    /// stopped would otherwise open a connection every few hundred milliseconds.
    async fn answer_to_renewal(&self) {
        let mut contact = self.contact.subscribe();
        let answer = contact.wait_for(|contact| *contact == WorkerContact::Answering);
        let _ = timeout(MAX_STOP_PAUSE, answer).await;
    }
}
