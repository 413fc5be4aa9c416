//! Changes of the list of draining workers.

use std::net::SocketAddr;

use hs_config::parse_manifest;
use hs_http::HttpClient;
use hs_node::port::HttpStore;

use crate::exit::{CommandError, CommandExit};
use crate::publisher::ManifestPublisher;
use crate::rollout::{ManifestRollout, conclude};

/// How the list changes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Draining {
    /// The worker takes no new work.
    Add,
    /// The worker takes new work again.
    Remove,
}

impl Draining {
    /// Publishes the manifest in the store with the change. Without a difference nothing is
    /// written, but the revision in the store is still waited for.
    pub(crate) async fn publish(
        self,
        worker: &str,
        store: SocketAddr,
        rollout: Option<ManifestRollout>,
    ) -> Result<CommandExit, CommandError> {
        let publisher = ManifestPublisher::new(HttpStore::new(HttpClient::default(), store));
        let stored = publisher.read().await?;
        let manifest = stored.parse()?;
        let mut manifest =
            manifest.ok_or_else(|| CommandError::failed("the store has no manifest"))?;
        let listed = manifest.draining.iter().any(|name| name == worker);
        match (self, listed) {
            (Self::Add, false) => manifest.draining.push(worker.to_owned()),
            (Self::Remove, true) => manifest.draining.retain(|name| name != worker),
            (Self::Add, true) | (Self::Remove, false) => {
                println!("no change: the draining list is already as asked for");
                return Ok(match rollout {
                    Some(rollout) => rollout.wait(stored.revision).await,
                    None => CommandExit::Success,
                });
            }
        }
        let text = manifest.to_json();
        let text = text.map_err(|error| CommandError::failed(format!("manifest: {error}")))?;
        parse_manifest(&text).map_err(|error| CommandError::usage(error.to_string()))?;
        let end = publisher.replace(&stored, manifest).await?;
        Ok(conclude(end, rollout).await)
    }
}
