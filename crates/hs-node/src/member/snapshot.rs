//! Snapshots of the membership.

use std::time::Instant;

use hs_peer::{MemberOptions, Membership};
use hs_wire::Resources;

/// The membership of the entry processes at one point in time, as this process knows it.
#[derive(Clone, Debug)]
pub struct MemberSnapshot {
    membership: Membership,
    own_id: String,
    data_centre: String,
}

impl MemberSnapshot {
    /// Creates the snapshot of a process that does not know any peer yet.
    pub fn without_peers(options: &MemberOptions, now: Instant) -> Self {
        let membership = Membership::new(options.clone(), now);
        Self::new(membership, &options.id, &options.data_centre)
    }

    /// Creates the snapshot of a membership, with the id and data centre of this process.
    pub fn new(membership: Membership, own_id: &str, data_centre: &str) -> Self {
        Self {
            membership,
            own_id: own_id.to_owned(),
            data_centre: data_centre.to_owned(),
        }
    }

    /// Returns whether this process is the preferred owner of a worker in its data centre.
    pub fn is_preferred_owner(&self, worker: &str) -> bool {
        self.membership
            .preferred_owner(worker)
            .is_some_and(|view| view.is_self)
    }

    /// Returns whether this process reads the configuration store and the VM list on behalf of its
    /// data centre.
    pub fn is_watcher(&self) -> bool {
        self.membership.is_watcher()
    }

    /// Returns the number of live members in the data centre, including this process.
    pub fn local_count(&self) -> u32 {
        self.local_peers().len() as u32 + 1
    }

    /// Returns the addresses of the live peers in the data centre.
    pub fn local_peers(&self) -> Vec<String> {
        let local = self
            .membership
            .live_peers()
            .filter(|view| view.data_centre == self.data_centre);
        local.map(|view| view.address.to_owned()).collect()
    }

    /// Returns the sorted ids of the live members of all data centres, including this process.
    pub fn live_ids(&self) -> Vec<String> {
        let mut ids: Vec<String> = self
            .membership
            .live_peers()
            .map(|view| view.id.to_owned())
            .collect();
        ids.push(self.own_id.clone());
        ids.sort();
        ids
    }

    /// Returns the addresses of the live peers in all data centres.
    pub fn live_peers(&self) -> Vec<String> {
        self.membership
            .live_peers()
            .map(|view| view.address.to_owned())
            .collect()
    }

    /// Samples a live peer in the data centre by `seed`, and returns its address if the total free
    /// capacity of its workers covers `need`.
    ///
    /// With `idle_only`, a peer with queued work is rejected: that work takes the free capacity of
    /// the peer, so thousands of waiting requests would query it in vain several times a second.
    pub fn sample_peer(&self, seed: u64, need: Resources, idle_only: bool) -> Option<String> {
        let view = self.membership.sample_peer(seed)?;
        let may_fit = need.fits(view.free) && (view.queued == 0 || !idle_only);
        may_fit.then(|| view.address.to_owned())
    }

    /// Returns the address of the preferred owner of a worker in this data centre, and whether that
    /// is this process.
    pub fn preferred_owner(&self, worker: &str) -> Option<(String, bool)> {
        let view = self.membership.preferred_owner(worker)?;
        Some((view.address.to_owned(), view.is_self))
    }

    /// Returns the candidate owners of a ledger partition, with the address of each and whether
    /// it is this process.
    pub fn candidates(&self, partition: u32) -> Vec<(String, bool)> {
        let candidates = self.membership.candidates(partition);
        candidates
            .iter()
            .map(|view| (view.address.to_owned(), view.is_self))
            .collect()
    }
}
