//! Reading and replacing the manifest in the store.

use std::time::Duration;

use hs_config::{Manifest, parse_manifest};
use hs_node::{PortError, StorePort, StoreValue, StoreWrite};
use tokio::time::sleep;

use crate::exit::CommandError;

/// Key of the manifest in the store.
const MANIFEST_KEY: &str = "manifest";

/// Longest time of one store call. The store responds in milliseconds when it is well.
const STORE_LIMIT: Duration = Duration::from_secs(2);

/// Reads after a write without a reply, and the pause before each.
const READ_BACKS: u32 = 5;
const READ_BACK_PAUSE: Duration = Duration::from_millis(300);

/// Largest value that the store takes, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// What became of a publication.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum PublishEnd {
    /// The store has the manifest under this manifest revision.
    Published { revision: u64, read_back: bool },
    /// Another manifest was published first; its revision, if the store could be read.
    Conflict { winner: Option<u64> },
    /// The manifest may be in the store or may still arrive there.
    Unknown { finding: String },
}

/// The value that is to be replaced.
pub(crate) struct StoredManifest {
    /// Revision of the store value, for the compare-and-swap; zero if there is none.
    store_revision: u64,
    /// Revision inside the manifest; zero if there is none.
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
        match self.store.get(MANIFEST_KEY, STORE_LIMIT).await? {
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

    /// Replaces what was read by a manifest with the next revision.
    pub(crate) async fn replace(
        &self,
        stored: &StoredManifest,
        mut manifest: Manifest,
    ) -> Result<PublishEnd, CommandError> {
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
                STORE_LIMIT,
            )
            .await;
        match write {
            Ok(StoreWrite::Written(_)) => Ok(PublishEnd::Published {
                revision,
                read_back: false,
            }),
            Ok(StoreWrite::Conflict(_)) => {
                let winner = self.store.get(MANIFEST_KEY, STORE_LIMIT).await;
                let winner = winner.ok().flatten();
                Ok(PublishEnd::Conflict {
                    winner: winner.as_ref().and_then(revision_of),
                })
            }
            Err(error) if error.had_no_effect() => Err(error.into()),
            Err(error) => Ok(self.read_back(stored, revision, &body, &error).await),
        }
    }

    /// Finds out what became of a write without a reply.
    async fn read_back(
        &self,
        stored: &StoredManifest,
        revision: u64,
        body: &[u8],
        error: &PortError,
    ) -> PublishEnd {
        let mut finding = String::new();
        for _ in 0..READ_BACKS {
            sleep(READ_BACK_PAUSE).await;
            let found = match self.store.get(MANIFEST_KEY, STORE_LIMIT).await {
                Ok(found) => found,
                Err(error) => {
                    finding = error.to_string();
                    continue;
                }
            };
            let found_revision = found.as_ref().map_or(0, |value| value.revision);
            match found.as_ref() {
                Some(value) if value.body == body => {
                    return PublishEnd::Published {
                        revision,
                        read_back: true,
                    };
                }
                // The write may be delayed on its way, so an unchanged value proves nothing.
                _ if found_revision == stored.store_revision => {
                    finding = format!(
                        "the store still has manifest revision {}, and the write may still arrive; \
                         publishing again is safe, since at most one of the two writes succeeds",
                        stored.revision
                    );
                }
                found => match found.and_then(revision_of) {
                    // The next revision with another text: its writer won the compare-and-swap.
                    Some(winner) if winner == revision => {
                        return PublishEnd::Conflict {
                            winner: Some(winner),
                        };
                    }
                    winner => {
                        let winner = winner.map_or("none".into(), |winner| winner.to_string());
                        let finding = format!(
                            "the store has manifest revision {winner} by now; revision {revision} \
                             may have been in effect before"
                        );
                        return PublishEnd::Unknown { finding };
                    }
                },
            }
        }
        let finding = format!("{error}; {finding}");
        PublishEnd::Unknown { finding }
    }
}

/// Returns the revision inside a manifest, also of one that this version cannot parse.
fn revision_of(value: &StoreValue) -> Option<u64> {
    let manifest: serde_json::Value = serde_json::from_slice(&value.body).ok()?;
    manifest.get("revision")?.as_u64()
}
