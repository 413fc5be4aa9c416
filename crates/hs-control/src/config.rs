//! The cluster configuration, and the task that keeps it up to date in each process.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hs_cell::{CapExceeded, JobSpec, QueueSpec, TeamSpec};
use tokio::time::{sleep, timeout};

use crate::config_state::{ConfigSource, ConfigState};
use crate::port::{ConfigReply, Platform, PortError};
use crate::store_health::StoreHealth;

/// Longest wait of one call for changes. It is short so that a dead connection is detected soon.
const WATCH_WAIT: Duration = Duration::from_millis(900);

/// Timeout of a call for the configuration, which gives it more time if this process is late.
const CALL_TIMEOUT: Duration = Duration::from_millis(1300);

/// Time after which a call is given up in any case, so that a connection that is silent for good does not hold up a
/// process that is always late. It is longer than the timeout, with which later calls get new connections.
const MAX_CALL_TIME: Duration = Duration::from_millis(1600);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A configuration of the whole cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterConfig {
    /// Version number, which increases with each configuration.
    pub version: u64,
    /// Queues, and which requests go to each.
    pub routes: Vec<QueueRoute>,
    /// Teams; empty if the deployment has none.
    pub teams: Vec<TeamConfig>,
    /// Limits of client requests.
    pub limits: RequestLimits,
}

/// A team and the keys of its clients.
#[derive(Clone, PartialEq)]
pub struct TeamConfig {
    /// Keys that the team's calls carry.
    pub keys: Vec<Arc<str>>,
    /// Settings of the team that the cell schedules by.
    pub spec: TeamSpec,
}

/// Leaves out the keys.
impl fmt::Debug for TeamConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = f.debug_struct("TeamConfig");
        fields.field("spec", &self.spec).finish_non_exhaustive()
    }
}

/// Limits of client requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestLimits {
    /// Largest accepted request body in bytes.
    pub max_body_bytes: usize,
    /// Largest accepted request head in bytes; `None` if the configuration sets no limit.
    pub max_head_bytes: Option<usize>,
    /// Maximum time for a request head to arrive; `None` if the configuration sets no limit.
    pub head_timeout: Option<Duration>,
    /// Time after which an idle connection is closed; `None` if the configuration sets no limit.
    pub idle_timeout: Option<Duration>,
}

/// A queue and the requests that go to it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Host name in the requests.
    pub host: String,
    /// Prefix of the path in the requests.
    pub prefix: String,
    /// Whether calls need no key of a team.
    pub public: bool,
    /// Settings of the queue.
    pub queue: QueueSpec,
}

impl ClusterConfig {
    /// Returns the matching route with the longest path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueRoute> {
        let matches = |route: &&QueueRoute| route.host == host && path.starts_with(&route.prefix);
        let routes = self.routes.iter().filter(matches);
        routes.max_by_key(|route| route.prefix.len())
    }

    /// Checks that a job can run under the cap of its team. A job without a known team has no limit.
    ///
    /// # Errors
    ///
    /// Returns the first step that cannot run, however little else the team runs.
    pub fn check_cap(&self, job: &JobSpec) -> Result<(), CapExceeded> {
        let mut teams = self.teams.iter().map(|team| &team.spec);
        let team = teams.find(|team| Some(&team.name) == job.team.as_ref());
        team.map_or(Ok(()), |team| team.check_job(job))
    }
}

/// Watches the configuration and publishes each newer version. An older version never replaces a newer
/// one.
pub(crate) async fn follow<P: Platform>(platform: P, health: StoreHealth, state: ConfigState) {
    let mut known = None;
    loop {
        let sent = platform.boot_now();
        let call = platform.config(known, WATCH_WAIT, CALL_TIMEOUT);
        let answer = match timeout(MAX_CALL_TIME, call).await {
            Ok(answer) => answer,
            Err(_) => Err(given_up()),
        };
        health.record_call(answer.is_ok(), platform.now());
        let now = platform.boot_now();
        // Without a known configuration the call is a read, and otherwise a watch, which confirms nothing.
        let source = match known {
            None => ConfigSource::Read,
            Some(_) => ConfigSource::Watch,
        };
        if let (ConfigSource::Read, Ok(reply)) = (source, &answer) {
            state.record_read(sent, now, reply);
        }
        match answer {
            Ok(ConfigReply::Newest(config, revision)) => {
                let version = state.apply(config, revision, source, now);
                state.record_heard(now);
                known = Some((version, revision));
            }
            Ok(ConfigReply::Unchanged(revision)) => {
                state.record_heard(now);
                match &mut known {
                    Some((_, old)) => *old = revision.max(*old),
                    // The configuration is unreadable, and without a known one the call does not wait for changes.
                    None => sleep(RETRY_PAUSE).await,
                }
            }
            Ok(ConfigReply::Unknown) => {
                known = None;
                sleep(RETRY_PAUSE).await;
            }
            Err(error) => {
                state.record_failure(source, sent, now, &error);
                known = None;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns the error of a call that took [`MAX_CALL_TIME`].
fn given_up() -> PortError {
    PortError::NoReply {
        operation: "configuration",
        peer: "the store".to_owned(),
        opened_at: None,
        cause: format!("given up after {} ms", MAX_CALL_TIME.as_millis()),
    }
}
