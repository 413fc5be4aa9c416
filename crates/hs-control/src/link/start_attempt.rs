//! Attempts to send a start, and whose clock has answered them.

use std::time::{Duration, Instant};

use hs_cell::{StartTaker, TaskRun};
use hs_event::EventCode;

use super::{LinkEvent, MAX_START_PAST_CONFIRMATION, MIN_LEASE, WorkerClock, WorkerLink};
use crate::port::{OrderAnswer, Platform, PortError, StartReply};

/// One attempt to send a start.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartAttempt {
    /// Number of the attempt, from 1.
    pub number: u32,
    pub fence: u64,
    /// Reading of the worker's clock that maps the end of the lease.
    clock: WorkerClock,
    /// End of the lease on the worker's clock in milliseconds.
    pub lease_end_ms: u64,
    /// Time at which the start is sent.
    pub sent_at: Instant,
}

/// Whose clock an answer shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnsweringClock {
    /// The clock of the last report.
    Reported,
    /// Another one, by which the lease that was asked for ends after this time.
    Other(Duration),
    /// None, since there is no answer or it contains no reading. The worker has done nothing.
    None,
}

impl StartAttempt {
    fn answering_clock(
        &self,
        sent: &Result<OrderAnswer<StartReply>, PortError>,
        now: Instant,
    ) -> AnsweringClock {
        let Ok(answer) = sent else {
            return AnsweringClock::None;
        };
        match answer.clock_ms {
            Some(clock_ms) if self.clock.agrees_with(clock_ms, self.sent_at, now) => {
                AnsweringClock::Reported
            }
            Some(clock_ms) => {
                let asked_ms = self.lease_end_ms.saturating_sub(clock_ms);
                AnsweringClock::Other(Duration::from_millis(asked_ms))
            }
            None if answer.reply == StartReply::Started => AnsweringClock::Other(Duration::MAX),
            None => AnsweringClock::None,
        }
    }

    /// Returns which incarnations may have taken the start, after a call that has failed. A process that has started since
    /// the last report was requested can't have a connection that was open before.
    pub(super) fn taker(&self, error: &PortError) -> StartTaker {
        match error.may_have_reached_later_process(self.clock.requested_at) {
            true => StartTaker::Any,
            false => StartTaker::Reported,
        }
    }
}

impl<P: Platform> WorkerLink<P> {
    /// Returns what a start that is sent now carries, or `None` if too little of the lease remains that the last renewal
    /// asked for, or if the claim was confirmed too long ago.
    ///
    /// Starts never ask for a longer lease, so that they don't prolong the lease of an unreachable worker.
    pub(super) fn start_attempt(&self, number: u32) -> Option<StartAttempt> {
        let state = self.with_state(|state| *state);
        let (clock, end) = (state.clock?, state.lease_end?);
        let sent_at = self.platform.now();
        let confirmed_at = self.confirmation.borrow().at;
        let is_permitted = sent_at <= confirmed_at + MAX_START_PAST_CONFIRMATION;
        if end < sent_at + MIN_LEASE || !is_permitted {
            return None;
        }
        Some(StartAttempt {
            number,
            fence: state.fence,
            clock,
            lease_end_ms: clock.at(end)?,
            sent_at,
        })
    }

    /// Checks whether the clock of the last report has answered an attempt. If not, the worker has probably started again
    /// and takes the end of the lease for one on its own clock, so that the lease is as long as the answer shows.
    pub(super) async fn check_attempt(
        &self,
        run: TaskRun,
        attempt: StartAttempt,
        sent: &Result<OrderAnswer<StartReply>, PortError>,
    ) {
        let clock = attempt.answering_clock(sent, self.platform.now());
        self.log_attempt(run, attempt, clock, sent);
        if let AnsweringClock::Other(asked) = clock {
            self.note_other_clock(asked).await;
        }
    }

    /// Checks whether the clock of the last report has answered a stop.
    pub(super) async fn check_stop_clock<R>(
        &self,
        clock: Option<WorkerClock>,
        sent_at: Instant,
        answer: &OrderAnswer<R>,
    ) {
        let now = self.platform.now();
        let agrees = |clock: WorkerClock, ms| clock.agrees_with(ms, sent_at, now);
        if let (Some(clock), Some(clock_ms)) = (clock, answer.clock_ms)
            && !agrees(clock, clock_ms)
        {
            self.note_other_clock(Duration::ZERO).await;
        }
    }

    /// Keeps starts from the worker until its next report, since another clock than that of its last one has answered an
    /// order.
    async fn note_other_clock(&self, asked: Duration) {
        self.record_failed_call();
        self.set_replaced(true);
        self.emit(LinkEvent::OtherClock(asked)).await;
    }

    /// Logs an attempt, unless it is the first one and the clock of the last report has answered.
    fn log_attempt(
        &self,
        run: TaskRun,
        attempt: StartAttempt,
        clock: AnsweringClock,
        sent: &Result<OrderAnswer<StartReply>, PortError>,
    ) {
        if attempt.number == 1 && clock == AnsweringClock::Reported {
            return;
        }
        let age = attempt
            .sent_at
            .saturating_duration_since(attempt.clock.read_at);
        let (answer_ms, taker) = match sent {
            Ok(answer) => (answer.clock_ms, None),
            Err(error) if error.is_refused() => (None, None),
            Err(error) => (None, Some(attempt.taker(error))),
        };
        let fields = format_args!(
            " worker={} attempt={} fence={} until_ms={} clock_age_ms={} answered={} \
             clock_ms={answer_ms:?} clock={clock:?} taker={taker:?}",
            self.peer.id,
            attempt.number,
            attempt.fence,
            attempt.lease_end_ms,
            age.as_millis(),
            sent.is_ok(),
        );
        let now = self.platform.now();
        self.run_lines
            .log(EventCode::StartAttempted, run, now, fields);
    }
}
