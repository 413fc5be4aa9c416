//! Selection of owners, candidates, sampled peers and the watcher.

use smallvec::SmallVec;

use super::{MemberKey, Membership};
use crate::{MemberView, rendezvous};

/// Maximum number of candidate owners of a ledger partition.
const MAX_CANDIDATES: usize = 3;

impl Membership {
    /// Returns the preferred owner of a worker in this data centre, which may be this process.
    ///
    /// A process on a VM that the VM list marks as leaving is chosen only if the VMs of all live
    /// processes in the data centre are leaving. Returns `None` if this process is shutting down
    /// and there is no live peer.
    pub fn preferred_owner(&self, worker: &str) -> Option<MemberView<'_>> {
        let item = rendezvous::hash_name(worker);
        let mut best: Option<(u64, MemberKey)> = None;
        for (hash, key) in &self.eligible_owners {
            let weight = rendezvous::weight(item, *hash);
            if best.is_none_or(|(highest, _)| weight > highest) {
                best = Some((weight, *key));
            }
        }
        best.and_then(|(_, key)| self.get(key))
    }

    /// Returns the candidate owners of a ledger partition in order of preference: the first three
    /// entry VMs in the VM list by rendezvous hashing, whether live or not. VMs that the list marks
    /// as leaving come last.
    ///
    /// Without a VM list, the candidates are chosen from all known members.
    pub fn candidates(&self, partition: u32) -> SmallVec<[MemberView<'_>; MAX_CANDIDATES]> {
        let item = rendezvous::hash_number(partition);
        let mut ranked: SmallVec<[_; 16]> = self
            .members
            .iter()
            .filter(|(_, member)| self.vm_list_version.is_none() || member.listing.is_some())
            .map(|(key, member)| {
                let weight = rendezvous::weight(item, member.hash);
                let rank = (member.is_listed_leaving(), u64::MAX - weight, &member.id);
                (rank, key, member)
            })
            .collect();
        ranked.sort_unstable_by(|left, right| left.0.cmp(&right.0));
        let chosen = ranked.into_iter().take(MAX_CANDIDATES);
        chosen
            .map(|(_, key, member)| self.view(key, member))
            .collect()
    }

    /// Samples two different live peers in this data centre by `seed`, and returns the one with
    /// more free capacity for a check. Returns `None` if there is no live peer. The same seed
    /// samples the same peers as long as the live peers are the same.
    pub fn sample_peer(&self, seed: u64) -> Option<MemberView<'_>> {
        let count = self.local_peers.len() as u64;
        if count == 0 {
            return None;
        }
        let random = rendezvous::mix(seed);
        let first = random % count;
        // An offset from 1 to count - 1 leads to a different peer.
        let offset = 1 + (random >> 32) % (count - 1).max(1);
        let second = (first + offset) % count;
        let [first, second] = [first, second].map(|index| self.local_peers[index as usize]);
        let free_capacity = |key: MemberKey| {
            let free = self.members[key].free;
            // A check takes one slot and one connection; free CPU breaks a tie.
            (free.slots.min(free.connections), free.cpu_milli)
        };
        self.get(if free_capacity(second) > free_capacity(first) {
            second
        } else {
            first
        })
    }

    /// Returns whether this process is the watcher: the live process with the lowest id in the data
    /// centre. The watcher reads the configuration store and the VM list for the data centre.
    pub fn is_watcher(&self) -> bool {
        let own = &self.members[self.own_key];
        let lowest = self.local_peers.first().map(|key| &self.members[*key].id);
        own.is_live() && lowest.is_none_or(|id| own.id < *id)
    }
}
