//! Waits until a manifest is in effect.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::control::ControlClient;
use crate::exit::{CommandError, CommandExit};
use crate::publisher::PublishOutcome;
use crate::token;

/// Delay between two rounds of status queries.
const POLL_DELAY: Duration = Duration::from_millis(250);

/// Longest wait accepted on the command line, in seconds.
const MAX_WAIT_S: u64 = 3600;

/// The entry processes that have to apply a manifest, and the time to wait for them.
pub(crate) struct ManifestRollout {
    controls: Vec<SocketAddr>,
    client: ControlClient,
    timeout: Duration,
}

impl ManifestRollout {
    /// Builds the rollout from the options of a command; returns `None` without `--wait`.
    pub(crate) fn new(
        wait: bool,
        wait_s: u64,
        controls: &[SocketAddr],
        token_file: Option<&str>,
    ) -> Result<Option<Self>, CommandError> {
        if !wait {
            return Ok(None);
        }
        if controls.is_empty() {
            let message = "--wait needs --control ADDR, once for each entry process";
            return Err(CommandError::usage(message));
        }
        Ok(Some(Self {
            controls: controls.to_vec(),
            client: ControlClient::new(token::read(token_file)?),
            timeout: Duration::from_secs(wait_s.min(MAX_WAIT_S)),
        }))
    }

    /// Waits until every entry process reports at least `revision`. At the timeout, prints those
    /// that do not.
    pub(crate) async fn wait(&self, revision: u64) -> CommandExit {
        let deadline = Instant::now() + self.timeout;
        let mut pending = self.controls.clone();
        loop {
            // Queries all concurrently, since each one that does not answer takes a full call
            // timeout.
            let mut queries = JoinSet::new();
            for control in pending {
                queries.spawn(find_behind(self.client.clone(), control, revision));
            }
            let behind: Vec<BehindEntry> = queries.join_all().await.into_iter().flatten().collect();
            if behind.is_empty() {
                println!("revision {revision} is in effect on every entry process asked");
                return CommandExit::Success;
            }
            if Instant::now() >= deadline {
                for entry in behind {
                    println!("behind: {}: {}", entry.control, entry.found);
                }
                return CommandExit::Behind;
            }
            pending = behind.into_iter().map(|entry| entry.control).collect();
            sleep(POLL_DELAY).await;
        }
    }
}

/// An entry process that does not report the revision, and what it reports instead.
struct BehindEntry {
    control: SocketAddr,
    found: String,
}

/// Returns the entry process if it does not report at least `revision`.
async fn find_behind(
    client: ControlClient,
    control: SocketAddr,
    revision: u64,
) -> Option<BehindEntry> {
    let found = match client.status(control).await {
        Err(error) => error,
        Ok(status) => match status["manifest_revision"].as_u64() {
            Some(found) if found >= revision => return None,
            Some(found) => format!("revision {found}"),
            None => "no manifest in effect".into(),
        },
    };
    Some(BehindEntry { control, found })
}

/// Prints the outcome of a publication, and waits for the rollout if there is one.
pub(crate) async fn report_and_wait(
    outcome: PublishOutcome,
    rollout: Option<ManifestRollout>,
) -> CommandExit {
    match outcome {
        PublishOutcome::Published {
            revision,
            read_back,
        } => {
            match read_back {
                true => println!("published revision {revision} (reply lost, found in the store)"),
                false => println!("published revision {revision}"),
            }
            match rollout {
                Some(rollout) => rollout.wait(revision).await,
                None => CommandExit::Success,
            }
        }
        PublishOutcome::Conflict { winner } => {
            match winner {
                Some(winner) => println!("not published: revision {winner} was published first"),
                None => println!("not published: another manifest was published first"),
            }
            CommandExit::Conflict
        }
        PublishOutcome::Unknown { finding } => {
            println!("unknown whether published: {finding}");
            CommandExit::Unknown
        }
    }
}
