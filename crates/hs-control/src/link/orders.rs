//! Starts and stops.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{StartOrder, StartRefusal, StartTaker};
use hs_timer::timeout;
use tokio::sync::SemaphorePermit;
use tokio::time::sleep;

use super::pending_stops::PendingStop;
use super::{LinkEvent, RETRY_PAUSE, WorkerContact, WorkerLink};
use crate::port::{Platform, StartReply, StopReply};

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

/// Maximum number of orders to a worker that are sent at a time, unless one takes longer than [`MAX_TURN_WAIT`].
pub(super) const MAX_ORDERS_AT_ONCE: usize = 1;

/// Maximum time that an order waits for the connection that earlier ones use. After that it opens another one, which
/// costs more than the few milliseconds of an order.
const MAX_TURN_WAIT: Duration = Duration::from_millis(40);

/// Maximum time until a stop is sent again to a worker that does not answer renewals.
const MAX_STOP_PAUSE: Duration = Duration::from_secs(2);

impl<P: Platform> WorkerLink<P> {
    /// Waits until the earlier orders to the worker have been answered, but at most [`MAX_TURN_WAIT`].
    async fn order_turn(&self) -> Option<SemaphorePermit<'_>> {
        let turn = timeout(MAX_TURN_WAIT, self.order_turns.acquire()).await;
        turn.ok()?.ok()
    }

    /// Sends a start until the worker answers, with a bounded number of attempts. Repeating it is safe,
    /// because a worker starts a run only once.
    pub(super) async fn send_start(self: Arc<Self>, order: StartOrder) {
        let run = order.run;
        let mut in_doubt = false;
        let mut taker = StartTaker::Reported;
        let mut was_sent = false;
        let mut failures = 0;
        for number in 1..=MAX_ALL_START_ATTEMPTS {
            let turn = self.order_turn().await;
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
            was_sent = true;
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
            self.check_attempt(run, attempt, &sent).await;
            drop(turn);
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
            // This process was too late to renew the lease, which does not show that the worker is unhealthy.
            (false, false) => LinkEvent::StartRefused(run, StartRefusal::Late),
        };
        self.emit(event).await;
    }

    /// Returns whether this process was late during an order that has failed.
    fn was_late_since(&self, sent_at: Instant) -> bool {
        let elapsed = self.platform.now().saturating_duration_since(sent_at);
        elapsed >= ORDER_TIMEOUT + MIN_LATENESS
    }

    /// Sends a stop until the worker answers. Its first contact comes before, since that is limited to a number
    /// of workers at a time.
    pub(super) async fn send_stop(self: Arc<Self>, pending: PendingStop) {
        let run = pending.run();
        self.first_contact().await;
        loop {
            let turn = self.order_turn().await;
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
