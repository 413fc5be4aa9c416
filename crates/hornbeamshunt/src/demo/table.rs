//! The table of the demonstration.

use std::fmt::Write;

use hs_wire::{Outcome, WorkClass};

use super::audit::DemoAudit;

const CLASSES: [WorkClass; 4] = [
    WorkClass::Check,
    WorkClass::Order,
    WorkClass::Batch,
    WorkClass::Gang,
];

/// Returns one line for each class.
pub(super) fn render(audits: &[DemoAudit]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>12} {:>12}",
        "class", "count", "done", "not run", "unknown", "other", "wait p50 ms", "wait p99 ms"
    );
    for class in CLASSES {
        let own: Vec<&DemoAudit> = audits.iter().filter(|audit| audit.class == class).collect();
        let count = |outcome| {
            own.iter()
                .filter(|audit| audit.outcome() == outcome)
                .count()
        };
        let (done, not_run, unknown) = (
            count(Outcome::Done),
            count(Outcome::NotRun),
            count(Outcome::Unknown),
        );
        let mut waits: Vec<u64> = own.iter().filter_map(|audit| audit.waited_ms()).collect();
        waits.sort_unstable();
        let _ = writeln!(
            text,
            "{:<6} {:>6} {done:>6} {not_run:>8} {unknown:>8} {:>6} {:>12} {:>12}",
            class.name(),
            own.len(),
            own.len() - done - not_run - unknown,
            quantile(&waits, 0.5),
            quantile(&waits, 0.99),
        );
    }
    text
}

/// Returns a quantile of sorted values by the nearest rank.
fn quantile(sorted: &[u64], share: f64) -> String {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    let value = sorted.get(rank.saturating_sub(1));
    value.map_or("-".to_owned(), u64::to_string)
}
