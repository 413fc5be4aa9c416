//! The arrivals of a run, fixed before it begins.

use std::time::Duration;

use crate::LoadOptions;
use crate::draw::SeededDraw;
use crate::scenario::{LoadStream, STRAGGLER_FACTOR};

/// One submission to come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Intended send time from the beginning of the run.
    pub(crate) at: Duration,
    /// Index of its stream.
    pub(crate) stream: usize,
    /// Run time of each task in milliseconds.
    pub(crate) run_ms: u64,
}

/// Draws the arrivals of all streams, in the order of their times.
///
/// Each stream is a Poisson process with a generator of its own, so that a change to one stream
/// leaves the others as they are.
pub(crate) fn draw_arrivals(options: &LoadOptions, streams: &[LoadStream]) -> Vec<Arrival> {
    let mut seeds = SeededDraw::new(options.seed);
    let mut arrivals = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let mut draw = SeededDraw::new(seeds.bits());
        let (from, until) = stream.span;
        let mut at = from;
        loop {
            at += draw.exponential(1.0 / stream.per_second);
            if at >= until {
                break;
            }
            let factor = match draw.unit() < stream.stragglers {
                true => STRAGGLER_FACTOR,
                false => 1.0,
            };
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                stream: index,
                run_ms: (stream.run_ms * factor).round() as u64,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
