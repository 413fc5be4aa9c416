//! Window of the starts that may be without an answer at a time.
//!
//! A start that has been given out waits behind those before it, in no order of priority: on its link, in this process, on the
//! network and on the worker. The window keeps this queue short, and leaves the other tasks in the cell, where the
//! next pass takes them in their order. It follows the delay of the answers, as congestion control does (Vegas, FAST TCP).
//!
//! A change shows only in the answers to starts that are placed after it. The window therefore changes once in the time from a
//! placement to its answer, however long the way and the write of the placement take. At first it doubles, for as long as that
//! brings more answers. After that it keeps as many starts open as are answered in that time without the delay, and those
//! of a short queue.

use std::time::{Duration, Instant};

/// Delay that starts may have in a queue. A link only uses further connections after an order has waited for 40 ms.
const MAX_STANDING_DELAY: Duration = Duration::from_millis(60);

/// Longest time in which the answers that decide on a change are collected.
const MAX_COLLECTION: Duration = Duration::from_millis(100);

/// Largest factor by which the window grows at a time.
const MAX_GROWTH: f64 = 2.0;

/// Factor of the rate of answers from which the window goes on to double.
const MIN_RATE_GROWTH: f64 = 1.25;

/// Bounds of the size of a window, in starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowBounds {
    pub min: u32,
    pub initial: u32,
    pub max: u32,
}

/// Number of starts that may be without an answer, as it follows their delays.
#[derive(Clone, Debug)]
pub(crate) struct StartWindow {
    bounds: WindowBounds,
    size: f64,
    /// Whether it still doubles.
    is_initial: bool,
    round: Option<WindowRound>,
    /// Answers per second in the round before it last doubled.
    last_rate: f64,
    /// Whether the window has kept tasks waiting since it last changed.
    is_limiting: bool,
}

/// An answer to a start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartAnswer {
    pub placed_at: Instant,
    pub answered_at: Instant,
    /// Time for which the start has waited for others.
    pub delay: Duration,
}

/// Answers since the window last changed.
#[derive(Clone, Copy, Debug)]
struct WindowRound {
    began_at: Instant,
    answers: u32,
    fresh: Option<FreshAnswers>,
}

/// Answers to starts that were placed in the round, which show the effect of the last change.
#[derive(Clone, Copy, Debug)]
struct FreshAnswers {
    count: u32,
    since: Instant,
    /// The one with the shortest delay.
    shortest: StartAnswer,
}

impl WindowRound {
    fn new(began_at: Instant) -> Self {
        Self {
            began_at,
            answers: 0,
            fresh: None,
        }
    }

    /// Adds an answer. Returns the fresh ones, if there are any.
    fn record(&mut self, answer: StartAnswer) -> Option<FreshAnswers> {
        self.answers += 1;
        if answer.placed_at <= self.began_at {
            return None;
        }
        let fresh = self.fresh.get_or_insert(FreshAnswers {
            count: 0,
            since: answer.answered_at,
            shortest: answer,
        });
        fresh.count += 1;
        if answer.delay < fresh.shortest.delay {
            fresh.shortest = answer;
        }
        Some(*fresh)
    }

    /// Returns the answers per second.
    fn rate(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.began_at);
        f64::from(self.answers) / time.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

impl StartWindow {
    pub(crate) fn new(bounds: WindowBounds) -> Self {
        Self {
            bounds,
            size: f64::from(bounds.initial),
            is_initial: true,
            round: None,
            last_rate: 0.0,
            is_limiting: false,
        }
    }

    /// Returns the number of starts that may be without an answer.
    pub(crate) fn size(&self) -> u32 {
        self.size as u32
    }

    /// Records that the window keeps tasks waiting.
    pub(crate) fn record_limit(&mut self) {
        self.is_limiting = true;
    }

    /// Records an answer.
    pub(crate) fn record_answer(&mut self, answer: StartAnswer) {
        let (size, now) = (self.size(), answer.answered_at);
        let round = self.round.get_or_insert(WindowRound::new(now));
        let Some(fresh) = round.record(answer) else {
            return;
        };
        if fresh.count < size && now.saturating_duration_since(fresh.since) < MAX_COLLECTION {
            return;
        }
        let rate = round.rate(now);
        let factor = self.factor(fresh.shortest, rate);
        self.resize(factor, now);
    }

    /// Returns the factor by which the window changes after a round.
    fn factor(&mut self, shortest: StartAnswer, rate: f64) -> f64 {
        let is_standing = shortest.delay > MAX_STANDING_DELAY;
        if !is_standing && !self.is_limiting {
            return 1.0;
        }
        if !is_standing && self.is_initial && rate >= self.last_rate * MIN_RATE_GROWTH {
            self.last_rate = rate;
            return MAX_GROWTH;
        }
        self.is_initial = false;
        let time = shortest
            .answered_at
            .saturating_duration_since(shortest.placed_at);
        let wanted = time.saturating_sub(shortest.delay) + MAX_STANDING_DELAY;
        let factor = wanted.as_secs_f64() / time.as_secs_f64().max(f64::MIN_POSITIVE);
        factor.min(MAX_GROWTH)
    }

    fn resize(&mut self, factor: f64, now: Instant) {
        let (min, max) = (f64::from(self.bounds.min), f64::from(self.bounds.max));
        self.size = (self.size * factor).clamp(min, max);
        self.round = Some(WindowRound::new(now));
        self.is_limiting = false;
    }
}
