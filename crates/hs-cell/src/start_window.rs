//! Window of the starts that may be without an answer at a time.
//!
//! A start that has been given out waits behind those before it, in no order of priority: on its link, in this process, on the
//! network and on the worker. The window keeps this queue short, and leaves the other tasks in the cell, where the
//! next pass takes them in their order. It follows the delay of the answers, as congestion control does (CoDel, LEDBAT): it
//! grows while it keeps tasks waiting and the queue empties at times, and shrinks while the queue never does.

use std::time::{Duration, Instant};

/// Delay of all answers in a round from which the starts before them count as a standing queue. A link only uses further
/// connections after an order has waited for 40 ms.
const MAX_STANDING_DELAY: Duration = Duration::from_millis(60);

/// Longest round. The window changes at most once in each.
const MAX_ROUND: Duration = Duration::from_millis(100);

/// Factor by which the window grows after a round in which it has kept tasks waiting, until it has shrunk once.
const INITIAL_GROWTH: f64 = 2.0;

/// The same factor after that.
const GROWTH: f64 = 1.25;

/// Factor by which the window shrinks after a round with a standing queue.
const SHRINKAGE: f64 = 0.75;

/// Factor by which the window shrinks after a start without an answer.
const FAILURE_SHRINKAGE: f64 = 0.5;

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
    /// Factor by which it grows.
    growth: f64,
    round: Option<WindowRound>,
    /// Whether the window has kept tasks waiting since it last changed.
    is_limiting: bool,
}

/// Answers since the window last changed.
#[derive(Clone, Copy, Debug)]
struct WindowRound {
    began_at: Instant,
    answers: u32,
    shortest_delay: Duration,
}

impl StartWindow {
    pub(crate) fn new(bounds: WindowBounds) -> Self {
        Self {
            bounds,
            size: f64::from(bounds.initial),
            growth: INITIAL_GROWTH,
            round: None,
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

    /// Records an answer, and the time for which its start has waited for others.
    pub(crate) fn record_answer(&mut self, delay: Duration, now: Instant) {
        let round = self.round.get_or_insert(WindowRound {
            began_at: now,
            answers: 0,
            shortest_delay: delay,
        });
        round.answers += 1;
        round.shortest_delay = round.shortest_delay.min(delay);
        let round = *round;
        let time = now.saturating_duration_since(round.began_at);
        if round.answers < self.size() && time < MAX_ROUND {
            return;
        }
        if round.shortest_delay > MAX_STANDING_DELAY {
            self.shrink(SHRINKAGE);
        } else if self.is_limiting {
            self.resize(self.growth);
        } else {
            self.begin_round();
        }
    }

    /// Records a start that remains without an answer.
    pub(crate) fn record_failure(&mut self) {
        self.shrink(FAILURE_SHRINKAGE);
    }

    fn shrink(&mut self, factor: f64) {
        self.growth = GROWTH;
        self.resize(factor);
    }

    fn resize(&mut self, factor: f64) {
        let (min, max) = (f64::from(self.bounds.min), f64::from(self.bounds.max));
        self.size = (self.size * factor).clamp(min, max);
        self.begin_round();
    }

    fn begin_round(&mut self) {
        self.round = None;
        self.is_limiting = false;
    }
}
