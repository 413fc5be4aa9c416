//! The membership at one moment.

use std::time::Instant;

use hs_peer::{MemberOptions, Membership};
use hs_wire::Resources;

/// The membership as of the last heartbeat or tick.
#[derive(Clone, Debug)]
pub struct MemberSnapshot {
    membership: Membership,
    own: String,
    data_centre: String,
}

impl MemberSnapshot {
    /// Builds the snapshot of a process that has heard of no other.
    pub fn alone(options: &MemberOptions, now: Instant) -> Self {
        let membership = Membership::new(options.clone(), now);
        Self::new(membership, &options.id, &options.data_centre)
    }

    /// Copies a membership.
    pub fn new(membership: Membership, own: &str, data_centre: &str) -> Self {
        Self {
            membership,
            own: own.to_owned(),
            data_centre: data_centre.to_owned(),
        }
    }

    /// Returns whether this process is the preferred owner of a worker of its data centre.
    pub fn is_preferred_owner(&self, worker: &str) -> bool {
        self.membership
            .preferred_owner(worker)
            .is_some_and(|view| view.is_self)
    }

    /// Returns whether this process reads the store and the VM list for its data centre.
    pub fn is_watcher(&self) -> bool {
        self.membership.is_watcher()
    }

    /// Returns the number of live members of the data centre, this process included.
    pub fn local_count(&self) -> u32 {
        self.local_peers().len() as u32 + 1
    }

    /// Returns the addresses of the live peers of the data centre.
    pub fn local_peers(&self) -> Vec<String> {
        let local = self
            .membership
            .live()
            .filter(|view| view.data_centre == self.data_centre);
        local.map(|view| view.address.to_owned()).collect()
    }

    /// Returns the ids of the live members, this process included.
    pub fn live_ids(&self) -> Vec<String> {
        let mut ids: Vec<String> = self
            .membership
            .live()
            .map(|view| view.id.to_owned())
            .collect();
        ids.push(self.own.clone());
        ids.sort();
        ids
    }

    /// Returns the addresses of every live peer.
    pub fn live_peers(&self) -> Vec<String> {
        self.membership
            .live()
            .map(|view| view.address.to_owned())
            .collect()
    }

    /// Returns the address of a live peer of the data centre whose workers together have the room.
    ///
    /// With `idle_only`, a peer with a queue is left out: its own work takes what room it has, so that
    /// thousands of waiting requests would ask it in vain several times a second.
    pub fn sample_peer(&self, seed: u64, need: Resources, idle_only: bool) -> Option<String> {
        let view = self.membership.sample_peer(seed)?;
        let is_likely = need.fits(view.free) && (view.queued == 0 || !idle_only);
        is_likely.then(|| view.address.to_owned())
    }

    /// Returns the preferred owner of a worker of this data centre, and whether it is this process.
    pub fn preferred_owner(&self, worker: &str) -> Option<(String, bool)> {
        let view = self.membership.preferred_owner(worker)?;
        Some((view.address.to_owned(), view.is_self))
    }

    /// Returns the candidates for a ledger partition as address and whether it is this process.
    pub fn candidates(&self, partition: u32) -> Vec<(String, bool)> {
        let candidates = self.membership.candidates(partition);
        candidates
            .iter()
            .map(|view| (view.address.to_owned(), view.is_self))
            .collect()
    }
}
