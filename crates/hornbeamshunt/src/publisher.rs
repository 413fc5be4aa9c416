//! Reads and replaces the manifest in the store.

use std::time::Duration;

use hs_config::{Manifest, parse_manifest};
use hs_node::{PortError, StorePort, StoreValue, StoreWrite};
use tokio::time::sleep;

use crate::exit::CommandError;

/// Key of the manifest in the store.
const MANIFEST_KEY: &str = "manifest";

/// Timeout of one store call. A healthy store responds within milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of reads to resolve a write without a reply.
const MAX_READ_BACKS: u32 = 5;

/// Delay before each of these reads.
const READ_BACK_DELAY: Duration = Duration::from_millis(300);

/// Largest value that the store accepts, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Outcome of a publication.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum PublishOutcome {
    /// The store has the manifest under this revision. With `read_back` the reply to the write was
    /// lost, and a later read found the manifest.
    Published { revision: u64, read_back: bool },
    /// Another manifest was published first. `winner` is its revision, if the store could be read.
    Conflict { winner: Option<u64> },
    /// The manifest may be in the store or may still arrive there. `finding` says what was read.
    Unknown { finding: String },
}

/// The manifest in the store at the time of the read, as base of a compare-and-swap.
pub(crate) struct StoredManifest {
    /// Revision of the store value, for the compare-and-swap; zero if there is none.
    store_revision: u64,
    /// Revision in the text of the manifest; zero if there is none.
    pub(crate) revision: u64,
    body: Vec<u8>,
}

impl StoredManifest {
    /// Parses the manifest; `None` if the store has none.
    pub(crate) fn parse(&self) -> Result<Option<Manifest>, CommandError> {
        if self.store_revision == 0 {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&self.body);
        let manifest = parse_manifest(&text).map_err(|error| {
            CommandError::failed(format!("the manifest in the store is not valid:\n{error}"))
        })?;
        Ok(Some(manifest))
    }
}

/// Publishes manifests by compare-and-swap.
pub(crate) struct ManifestPublisher<Store> {
    store: Store,
}

impl<Store: StorePort> ManifestPublisher<Store> {
    pub(crate) fn new(store: Store) -> Self {
        Self { store }
    }

    /// Reads the manifest in the store.
    pub(crate) async fn read(&self) -> Result<StoredManifest, CommandError> {
        match self.store.get(MANIFEST_KEY, STORE_TIMEOUT).await? {
            None => Ok(StoredManifest {
                store_revision: 0,
                revision: 0,
                body: Vec::new(),
            }),
            Some(value) => Ok(StoredManifest {
                store_revision: value.revision,
                // An unreadable revision must not count as zero: entry processes would ignore the
                // new manifest, since they never apply a lower revision.
                revision: revision_of(&value).ok_or_else(|| {
                    CommandError::failed("the manifest in the store has no readable revision")
                })?,
                body: value.body,
            }),
        }
    }

    /// Replaces the manifest that was read by `manifest`, which gets the next revision.
    pub(crate) async fn replace(
        &self,
        stored: &StoredManifest,
        mut manifest: Manifest,
    ) -> Result<PublishOutcome, CommandError> {
        let next = stored.revision.checked_add(1);
        let revision = next.ok_or_else(|| CommandError::failed("no higher revision exists"))?;
        manifest.revision = revision;
        let text = manifest.to_json();
        let text = text.map_err(|error| CommandError::failed(format!("manifest: {error}")))?;
        if text.len() > MAX_VALUE_BYTES {
            let message = format!(
                "the manifest has {} bytes, the store takes at most {MAX_VALUE_BYTES}",
                text.len()
            );
            return Err(CommandError::failed(message));
        }
        let body = text.into_bytes();
        let write = self
            .store
            .put(
                MANIFEST_KEY,
                stored.store_revision,
                body.clone(),
                STORE_TIMEOUT,
            )
            .await;
        match write {
            Ok(StoreWrite::Written(_)) => Ok(PublishOutcome::Published {
                revision,
                read_back: false,
            }),
            Ok(StoreWrite::Conflict(_)) => {
                let winner = self.store.get(MANIFEST_KEY, STORE_TIMEOUT).await;
                let winner = winner.ok().flatten();
                Ok(PublishOutcome::Conflict {
                    winner: winner.as_ref().and_then(revision_of),
                })
            }
            Err(error) if error.had_no_effect() => Err(error.into()),
            Err(error) => Ok(self.read_back(stored, revision, &body, &error).await),
        }
    }

    /// Determines the outcome of a write without a reply by reading the manifest again.
    async fn read_back(
        &self,
        stored: &StoredManifest,
        revision: u64,
        body: &[u8],
        error: &PortError,
    ) -> PublishOutcome {
        let mut finding = String::new();
        for _ in 0..MAX_READ_BACKS {
            sleep(READ_BACK_DELAY).await;
            let found = match self.store.get(MANIFEST_KEY, STORE_TIMEOUT).await {
                Ok(found) => found,
                Err(error) => {
                    finding = error.to_string();
                    continue;
                }
            };
            let found_revision = found.as_ref().map_or(0, |value| value.revision);
            match found.as_ref() {
                Some(value) if value.body == body => {
                    return PublishOutcome::Published {
                        revision,
                        read_back: true,
                    };
                }
                // The write may still be in transit, so an unchanged value proves nothing.
                _ if found_revision == stored.store_revision => {
                    finding = format!(
                        "the store still has manifest revision {}, and the write may still arrive; \
                         publishing again is safe, since at most one of the two writes succeeds",
                        stored.revision
                    );
                }
                found => match found.and_then(revision_of) {
                    // The same revision with a different text: its writer won the compare-and-swap.
                    Some(winner) if winner == revision => {
                        return PublishOutcome::Conflict {
                            winner: Some(winner),
                        };
                    }
                    winner => {
                        let winner = winner.map_or("none".into(), |winner| winner.to_string());
                        let finding = format!(
                            "the store has manifest revision {winner} by now; revision {revision} \
                             may have been in effect before"
                        );
                        return PublishOutcome::Unknown { finding };
                    }
                },
            }
        }
        let finding = format!("{error}; {finding}");
        PublishOutcome::Unknown { finding }
    }
}

/// Returns the revision of a stored manifest, even of one that this version cannot parse.
fn revision_of(value: &StoreValue) -> Option<u64> {
    let manifest: serde_json::Value = serde_json::from_slice(&value.body).ok()?;
    manifest.get("revision")?.as_u64()
}
