//! A manifest and the values that the process derives from it.

use std::collections::HashMap;
use std::time::Duration;

use hs_config::{Manifest, PolicyName, WorkloadEntry};
use hs_core::{CustomerPolicy, PlacerPolicy, PolicyMode};
use hs_wire::Resources;

/// An applied manifest, with its workloads indexed by name.
#[derive(Clone, Debug)]
pub struct ManifestView {
    /// The parsed manifest.
    pub manifest: Manifest,
    /// The text of the manifest as it was published.
    pub text: String,
    workloads: HashMap<String, u32>,
}

impl ManifestView {
    /// Creates the view of a manifest and indexes its workloads.
    pub fn new(manifest: Manifest, text: String) -> Self {
        let names = manifest.workloads.iter().enumerate();
        let workloads = names
            .map(|(index, entry)| (entry.name.clone(), index as u32))
            .collect();
        Self {
            manifest,
            text,
            workloads,
        }
    }

    /// Returns the revision of the manifest.
    pub fn revision(&self) -> u64 {
        self.manifest.revision
    }

    /// Returns a workload and its index in the manifest, or `None` if there is no such workload.
    pub fn workload(&self, name: &str) -> Option<(u32, &WorkloadEntry)> {
        let index = *self.workloads.get(name)?;
        Some((index, &self.manifest.workloads[index as usize]))
    }

    /// Returns whether the manifest lists the customer, who may then submit work.
    pub fn has_customer(&self, name: &str) -> bool {
        self.manifest
            .customers
            .iter()
            .any(|entry| entry.name == name)
    }

    /// Returns how long the records of ended work are kept.
    pub fn retention(&self) -> Duration {
        Duration::from_secs(self.manifest.retention_s)
    }

    /// Returns the settings of the manifest that the placer applies.
    ///
    /// A quota applies to a whole data centre. Each of its `members` entry processes enforces an
    /// equal share, rounded up, because a shared count would need a message for each start.
    pub fn policy(&self, members: u32, minute_of_day: u16) -> PlacerPolicy {
        let manifest = &self.manifest;
        let quota_share = |quota: Resources| {
            Resources::from_dimensions(
                quota
                    .dimensions()
                    .map(|amount| amount.div_ceil(members.max(1))),
            )
        };
        let customers = manifest.customers.iter().map(|entry| CustomerPolicy {
            name: entry.name.clone(),
            weight: entry.weight,
            quota: entry.quota.map(quota_share),
            queue_limit: entry.queue_limit,
        });
        let is_open = manifest.short_reserve.is_open(minute_of_day);
        PlacerPolicy {
            mode: match manifest.policy {
                PolicyName::Fair => PolicyMode::Fair,
                PolicyName::Baseline => PolicyMode::Baseline,
            },
            customers: customers.collect(),
            short_reserve: match is_open {
                true => manifest.short_reserve.resources,
                false => Resources::ZERO,
            },
            long_ceiling: manifest.long_ceiling,
        }
    }
}
