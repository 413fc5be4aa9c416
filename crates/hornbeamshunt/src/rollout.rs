//! Waiting until a manifest is in effect.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::control::ControlClient;
use crate::exit::{CommandError, CommandExit};
use crate::publisher::PublishEnd;
use crate::token;

/// Pause between two rounds of queries.
const POLL_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait accepted on the command line, in seconds.
const MAX_WAIT_S: u64 = 3600;

/// The entry processes that have to apply a manifest, and for how long to wait.
pub(crate) struct ManifestRollout {
    controls: Vec<SocketAddr>,
    client: ControlClient,
    limit: Duration,
}

impl ManifestRollout {
    /// Builds the wait from the options of a command; `None` without `--wait`.
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
            limit: Duration::from_secs(wait_s.min(MAX_WAIT_S)),
        }))
    }

    /// Waits until every entry process shows at least a revision, and prints those that do not.
    pub(crate) async fn wait(&self, revision: u64) -> CommandExit {
        let deadline = Instant::now() + self.limit;
        let mut waiting = self.controls.clone();
        loop {
            // Asks all at once, since each one that does not answer takes the whole call limit.
            let mut queries = JoinSet::new();
            for control in waiting {
                queries.spawn(ask(self.client.clone(), control, revision));
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
            waiting = behind.into_iter().map(|entry| entry.control).collect();
            sleep(POLL_PAUSE).await;
        }
    }
}

/// An entry process that does not show the revision.
struct BehindEntry {
    control: SocketAddr,
    found: String,
}

async fn ask(client: ControlClient, control: SocketAddr, revision: u64) -> Option<BehindEntry> {
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

/// Prints what became of a publication, and waits if that was asked for.
pub(crate) async fn conclude(end: PublishEnd, rollout: Option<ManifestRollout>) -> CommandExit {
    match end {
        PublishEnd::Published {
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
        PublishEnd::Conflict { winner } => {
            match winner {
                Some(winner) => println!("not published: revision {winner} was published first"),
                None => println!("not published: another manifest was published first"),
            }
            CommandExit::Conflict
        }
        PublishEnd::Unknown { finding } => {
            println!("unknown whether published: {finding}");
            CommandExit::Unknown
        }
    }
}
