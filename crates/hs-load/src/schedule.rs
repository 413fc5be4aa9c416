//! The arrival schedule of a run, generated before the run begins.

use std::time::Duration;

use crate::LoadOptions;
use crate::scenario::{LoadStream, STRAGGLER_FACTOR};
use crate::split_mix::SplitMix64;

/// One scheduled submission.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Intended send time, relative to the beginning of the run.
    pub(crate) at: Duration,
    /// Index of the [`LoadStream`] that it belongs to.
    pub(crate) stream: usize,
    /// Run time of each task in milliseconds.
    pub(crate) run_ms: u64,
}

/// Generates the arrivals of all streams, sorted by intended send time.
///
/// Each stream is a Poisson process with its own random generator, so that a change to the rate or
/// the run times of one stream does not change the others.
pub(crate) fn generate_arrivals(options: &LoadOptions, streams: &[LoadStream]) -> Vec<Arrival> {
    let mut stream_seeds = SplitMix64::new(options.seed);
    let mut arrivals = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let mut generator = SplitMix64::new(stream_seeds.next_u64());
        let (from, until) = stream.span_seconds;
        let mut at = from;
        loop {
            at += generator.next_exponential(1.0 / stream.arrivals_per_second);
            if at >= until {
                break;
            }
            let factor = match generator.next_f64() < stream.straggler_share {
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
