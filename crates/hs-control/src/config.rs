//! The configuration in force in a process.

use hs_event::EventCode;
use std::sync::Arc;
use std::time::Duration;

use hs_cell::QueueSpec;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::port::{ConfigReply, Platform};
use crate::store_health::StoreHealth;

/// Longest wait of one call for changes. Short, so that a silent connection is noticed in time.
const WATCH_WAIT: Duration = Duration::from_millis(900);

/// Longest time that an answer may take beyond the wait.
const WATCH_SLACK: Duration = Duration::from_millis(400);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A configuration of the whole cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterConfig {
    /// Version; later ones are higher.
    pub version: u64,
    /// Queues and the requests that they serve.
    pub routes: Vec<QueueRoute>,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
}

/// A queue and the requests that belong to it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Host name that clients use.
    pub host: String,
    /// First part of the path.
    pub prefix: String,
    /// The queue.
    pub queue: QueueSpec,
}

impl ClusterConfig {
    /// Returns the route with the longest prefix that fits.
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueRoute> {
        let fits = |route: &&QueueRoute| route.host == host && path.starts_with(&route.prefix);
        let routes = self.routes.iter().filter(fits);
        routes.max_by_key(|route| route.prefix.len())
    }
}

/// Keeps the newest configuration. Versions never go back.
pub(crate) async fn follow<P: Platform>(
    platform: P,
    health: StoreHealth,
    sender: watch::Sender<Option<Arc<ClusterConfig>>>,
) {
    let mut known = None;
    loop {
        let limit = WATCH_WAIT + WATCH_SLACK;
        let answer = platform.config(known, WATCH_WAIT, limit).await;
        health.note(answer.is_ok(), platform.now());
        match answer {
            Ok(ConfigReply::Newest(config, revision)) => {
                let current = sender.borrow().as_ref().map_or(0, |config| config.version);
                let newer = config.version > current || sender.borrow().is_none();
                known = Some((config.version.max(current), revision));
                if newer {
                    EventCode::ManifestApplied.log(format_args!(
                        "version={} previous={current} routes={} revision={revision}",
                        config.version,
                        config.routes.len()
                    ));
                    sender.send_replace(Some(config));
                }
            }
            Ok(ConfigReply::Unchanged(revision)) => {
                known = known.map(|(version, old)| (version, revision.max(old)));
            }
            Ok(ConfigReply::Unknown) => {
                known = None;
                sleep(RETRY_PAUSE).await;
            }
            Err(error) => {
                log::debug!("configuration not read: {error}");
                known = None;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
