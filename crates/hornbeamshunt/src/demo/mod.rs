//! `demo` command: runs a complete installation in one process.

mod audit;
mod call;
mod cluster;
mod table;

use std::time::{Duration, Instant};

use argh::FromArgs;
use tokio::time::timeout;

use crate::exit::{CommandError, CommandExit};
use cluster::DemoCluster;

/// Timeout of the whole demonstration. It takes 2 s with the release build at a load average of 9,
/// and its test allows 20 s.
const DEMO_TIMEOUT: Duration = Duration::from_secs(18);

/// Run store, VM list, workers and three entry processes as tasks of this process, and send work.
///
/// Nothing but loopback is used. Exits with 0 if all work is done and every answer is its caller's
/// own, else with 1.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoCommand {}

impl DemoCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
        let result = timeout(DEMO_TIMEOUT, run_demo()).await;
        result.unwrap_or_else(|_| {
            let message = format!("the demonstration did not end within {DEMO_TIMEOUT:?}");
            Err(CommandError::failed(message))
        })
    }
}

async fn run_demo() -> Result<CommandExit, CommandError> {
    let begin = Instant::now();
    let cluster = DemoCluster::start().await?;
    println!(
        "{} workers, {} entry processes ready after {:.1} s",
        cluster::WORKER_COUNT,
        cluster.entries().len(),
        begin.elapsed().as_secs_f64()
    );
    let audits = call::send_all(&cluster.entries()).await?;
    print!("{}", table::render(&audits));
    let faults: Vec<&str> = audits.iter().filter_map(|audit| audit.fault()).collect();
    for fault in faults.iter().take(10) {
        println!("  {fault}");
    }
    cluster.stop().await;
    let elapsed = begin.elapsed().as_secs_f64();
    match faults.len() {
        0 => {
            println!("every answer is its caller's own; {elapsed:.1} s in total");
            Ok(CommandExit::Success)
        }
        count => Err(CommandError::failed(format!(
            "{count} of {} pieces of work did not end as expected",
            audits.len()
        ))),
    }
}
