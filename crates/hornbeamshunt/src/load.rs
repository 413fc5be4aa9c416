//! `load` command: sends open-loop load to running entry processes.

use std::fmt::Display;
use std::net::SocketAddr;

use argh::FromArgs;
use hs_load::{
    CompareOptions, LoadError, LoadOptions, LoadReport, SAMPLE_MANIFEST, Scenario, run_compare,
    run_load,
};
use hs_wire::Outcome;
use serde::Serialize;

use crate::exit::{CommandError, CommandExit};

/// Send the submissions of a scenario to entry processes and print what was measured.
///
/// The entry processes need the manifest that --manifest prints. Exit codes: 0 every answer is its
/// caller's own and every outcome became known; 1 an answer was another caller's, an entry process
/// could not be reached, or the run did not take place; 2 wrong usage; 4 the outcome of some work is
/// unknown. Work that was refused does not change the exit code.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadCommand {
    /// caller address of an entry process; may be repeated
    #[argh(option)]
    entry: Vec<SocketAddr>,

    /// smoke, steady, burst, long or mixed (default smoke)
    #[argh(option, default = "Scenario::Smoke")]
    scenario: Scenario,

    /// seed of arrival times and run times (default 1)
    #[argh(option)]
    seed: Option<u64>,

    /// factor on the length of the scenario and on the run times of batch work and gangs (default 1)
    #[argh(option)]
    scale: Option<f64>,

    /// submissions per second, without a burst and without --long-rate (default 200)
    #[argh(option)]
    rate: Option<f64>,

    /// batch tasks per second in the scenario long (default 20)
    #[argh(option)]
    long_rate: Option<f64>,

    /// run time of a check in milliseconds (default 5)
    #[argh(option)]
    check_run_ms: Option<u64>,

    /// deadline of checks and orders in milliseconds (default 10000)
    #[argh(option)]
    short_deadline_ms: Option<u64>,

    /// deadline of batch work and gangs in milliseconds (default 120000)
    #[argh(option)]
    long_deadline_ms: Option<u64>,

    /// time after the last arrival for which durable work is followed, in milliseconds (default
    /// 30000)
    #[argh(option)]
    settle_ms: Option<u64>,

    /// most calls in flight (default 4000)
    #[argh(option)]
    max_in_flight: Option<usize>,

    /// instead of a scenario, compare checks through the first --entry with direct starts on this
    /// worker, one call at a time; its lease is taken, so no entry process may use it
    #[argh(option)]
    direct: Option<SocketAddr>,

    /// pairs of calls with --direct (default 5000)
    #[argh(option, default = "5000")]
    pairs: usize,

    /// print the report as JSON
    #[argh(switch)]
    json: bool,

    /// print the manifest that the scenarios need, and end
    #[argh(switch)]
    manifest: bool,
}

impl LoadCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        if self.manifest {
            print!("{SAMPLE_MANIFEST}");
            return Ok(CommandExit::Success);
        }
        let json = self.json;
        if let Some(worker) = self.direct {
            let entry = self.entry.first().copied();
            let entry = entry.ok_or_else(|| CommandError::usage("--direct needs an --entry"))?;
            let pairs = self.pairs;
            let report = run_compare(CompareOptions {
                entry,
                worker,
                pairs,
            });
            let report = report.await;
            let report = report.map_err(|error| CommandError::failed(error.to_string()))?;
            print_report(&report, json)?;
            return Ok(CommandExit::Success);
        }
        let report = run_load(self.into_options()).await;
        let report = report.map_err(|error| match error {
            LoadError::Histogram { .. } | LoadError::Sender { .. } | LoadError::Compare { .. } => {
                CommandError::failed(error.to_string())
            }
            _ => CommandError::usage(error.to_string()),
        })?;
        print_report(&report, json)?;
        Ok(exit_code(&report))
    }

    fn into_options(self) -> LoadOptions {
        let defaults = LoadOptions::default();
        LoadOptions {
            targets: self.entry,
            scenario: self.scenario,
            seed: self.seed.unwrap_or(defaults.seed),
            scale: self.scale.unwrap_or(defaults.scale),
            rate: self.rate.unwrap_or(defaults.rate),
            long_rate: self.long_rate.unwrap_or(defaults.long_rate),
            check_run_ms: self.check_run_ms.unwrap_or(defaults.check_run_ms),
            short_deadline_ms: self.short_deadline_ms.unwrap_or(defaults.short_deadline_ms),
            long_deadline_ms: self.long_deadline_ms.unwrap_or(defaults.long_deadline_ms),
            settle_ms: self.settle_ms.unwrap_or(defaults.settle_ms),
            max_in_flight: self.max_in_flight.unwrap_or(defaults.max_in_flight),
        }
    }
}

fn print_report(report: &(impl Display + Serialize), json: bool) -> Result<(), CommandError> {
    match json {
        true => {
            let text = serde_json::to_string_pretty(report);
            let text = text.map_err(|error| CommandError::failed(format!("report: {error}")))?;
            println!("{text}");
        }
        false => print!("{report}"),
    }
    Ok(())
}

/// Derives the exit code from the answers and the outcomes of all classes.
fn exit_code(report: &LoadReport) -> CommandExit {
    let classes = report.rows.iter().filter(|row| row.customer.is_none());
    let outcomes: Vec<&String> = classes.flat_map(|row| row.outcomes.keys()).collect();
    let has_outcome = |name: &str| outcomes.iter().any(|outcome| outcome.starts_with(name));
    if report.wrong_answers > 0 || has_outcome("not_sent") {
        return CommandExit::Failed;
    }
    match report.unanswered > 0 || has_outcome(Outcome::Unknown.name()) {
        true => CommandExit::Unknown,
        false => CommandExit::Success,
    }
}
