//! Changes to the list of draining workers in the manifest.

use std::net::SocketAddr;

use hs_config::parse_manifest;
use hs_http::HttpClient;
use hs_node::port::HttpStore;

use crate::exit::{CommandError, CommandExit};
use crate::publisher::ManifestPublisher;
use crate::rollout::{ManifestRollout, report_and_wait};

/// A change to the list of draining workers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DrainChange {
    /// Adds the worker, which then takes no new work.
    Add,
    /// Removes the worker, which then takes new work again.
    Remove,
}

impl DrainChange {
    /// Applies the change to the manifest in the store and publishes the result.
    ///
    /// If the list stays the same, nothing is written, but a given rollout still waits for the
    /// revision in the store.
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
        let is_listed = manifest.draining.iter().any(|name| name == worker);
        match (self, is_listed) {
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
        let outcome = publisher.replace(&stored, manifest).await?;
        Ok(report_and_wait(outcome, rollout).await)
    }
}
