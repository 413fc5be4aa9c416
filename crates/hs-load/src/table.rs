//! Text table of a load report.

use std::fmt;

use crate::{LoadReport, LoadRow, TimeSummary};

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "scenario {} seed {} scale {} keys {}: {} submissions in {:.1} s, latest send {:.3} ms late",
            self.scenario,
            self.seed,
            self.scale,
            self.key_prefix,
            self.submissions,
            self.elapsed_ms as f64 / 1e3,
            self.latest_send_us as f64 / 1e3,
        )?;
        writeln!(
            formatter,
            "wrong answers {}, unanswered {}",
            self.wrong_answers, self.unanswered
        )?;
        for example in &self.examples {
            writeln!(formatter, "  {example}")?;
        }
        writeln!(
            formatter,
            "{:<6} {:<8} {:<7} {:>8}  {:^29}  {:^29}  {:^29}  outcomes",
            "class", "customer", "phase", "count", "wait ms", "total ms", "added ms",
        )?;
        let quantiles = format!("{:>9} {:>9} {:>9}", "p50", "p99", "max");
        writeln!(
            formatter,
            "{:32}  {quantiles}  {quantiles}  {quantiles}",
            ""
        )?;
        self.rows
            .iter()
            .try_for_each(|row| write_row(formatter, row))
    }
}

fn write_row(formatter: &mut fmt::Formatter<'_>, row: &LoadRow) -> fmt::Result {
    write!(
        formatter,
        "{:<6} {:<8} {:<7} {:>8}",
        row.class,
        row.customer.as_deref().unwrap_or("*"),
        row.phase.as_deref().unwrap_or("*"),
        row.count,
    )?;
    for summary in [&row.wait, &row.total, &row.added] {
        write_times(formatter, summary)?;
    }
    write!(formatter, " ")?;
    for (name, count) in &row.outcomes {
        write!(formatter, " {name}={count}")?;
    }
    if row.resent > 0 {
        write!(formatter, " resent={}", row.resent)?;
    }
    writeln!(formatter)
}

fn write_times(formatter: &mut fmt::Formatter<'_>, summary: &TimeSummary) -> fmt::Result {
    let [p50, p99, max] =
        [summary.p50_us, summary.p99_us, summary.max_us].map(|micros| micros as f64 / 1e3);
    match summary.count {
        0 => write!(formatter, "  {:>9} {:>9} {:>9}", "-", "-", "-"),
        _ => write!(formatter, "  {p50:>9.2} {p99:>9.2} {max:>9.2}"),
    }
}
