//! Result table of the demonstration.

use std::fmt::Write;

use hs_wire::{Outcome, WorkClass};

use super::audit::DemoAudit;

const CLASSES: [WorkClass; 4] = [
    WorkClass::Check,
    WorkClass::Order,
    WorkClass::Batch,
    WorkClass::Gang,
];

/// Returns a table with a row for each class.
pub(super) fn render(audits: &[DemoAudit]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>12} {:>12}",
        "class", "count", "done", "not run", "unknown", "other", "wait p50 ms", "wait p99 ms"
    );
    for class in CLASSES {
        let of_class: Vec<&DemoAudit> =
            audits.iter().filter(|audit| audit.class == class).collect();
        let count = |outcome| {
            of_class
                .iter()
                .filter(|audit| audit.outcome() == outcome)
                .count()
        };
        let (done, not_run, unknown) = (
            count(Outcome::Done),
            count(Outcome::NotRun),
            count(Outcome::Unknown),
        );
        let mut waits: Vec<u64> = of_class
            .iter()
            .filter_map(|audit| audit.waited_ms())
            .collect();
        waits.sort_unstable();
        let _ = writeln!(
            text,
            "{:<6} {:>6} {done:>6} {not_run:>8} {unknown:>8} {:>6} {:>12} {:>12}",
            class.name(),
            of_class.len(),
            of_class.len() - done - not_run - unknown,
            quantile(&waits, 0.5),
            quantile(&waits, 0.99),
        );
    }
    text
}

/// Returns a quantile of sorted values by the nearest-rank method, or `-` if there are none.
fn quantile(sorted: &[u64], fraction: f64) -> String {
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    let value = sorted.get(rank.saturating_sub(1));
    value.map_or("-".to_owned(), u64::to_string)
}
