//! Choice of owners, candidates and peers.

use smallvec::SmallVec;

use super::{MemberKey, Membership};
use crate::{MemberView, rendezvous};

/// Number of candidates for the ownership of a ledger partition.
const CANDIDATES: usize = 3;

impl Membership {
    /// Returns the preferred owner of a worker of the own data centre, which may be the own process.
    ///
    /// An entry VM that the VM list shows as leaving is chosen only if all live ones are leaving.
    /// `None` means that the own process is shutting down and there is no other.
    pub fn preferred_owner(&self, worker: &str) -> Option<MemberView<'_>> {
        let item = rendezvous::hash_name(worker);
        let mut best: Option<(u64, MemberKey)> = None;
        for (hash, key) in &self.owners {
            let weight = rendezvous::weight(item, *hash);
            if best.is_none_or(|(highest, _)| weight > highest) {
                best = Some((weight, *key));
            }
        }
        best.and_then(|(_, key)| self.get(key))
    }

    /// Returns the candidates for a ledger partition in order: the first three entry VMs of the VM
    /// list by rendezvous hashing, live or not. VMs that are listed as leaving come last.
    ///
    /// Without a VM list, the known members take its place.
    pub fn candidates(&self, partition: u32) -> SmallVec<[MemberView<'_>; CANDIDATES]> {
        let item = rendezvous::hash_number(partition);
        let mut ranked: SmallVec<[_; 16]> = self
            .members
            .iter()
            .filter(|(_, member)| self.list_version.is_none() || member.listing.is_some())
            .map(|(key, member)| {
                let weight = rendezvous::weight(item, member.hash);
                let rank = (member.is_listed_leaving(), u64::MAX - weight, &member.id);
                (rank, key, member)
            })
            .collect();
        ranked.sort_unstable_by(|left, right| left.0.cmp(&right.0));
        let first = ranked.into_iter().take(CANDIDATES);
        first
            .map(|(_, key, member)| self.view(key, member))
            .collect()
    }

    /// Draws two different live peers of the own data centre, and returns the one with more free
    /// room for a check; `None` if there is no live peer. The same seed draws the same peers.
    pub fn sample_peer(&self, seed: u64) -> Option<MemberView<'_>> {
        let count = self.peers.len() as u64;
        if count == 0 {
            return None;
        }
        let draw = rendezvous::mix(seed);
        let first = draw % count;
        // An offset of 1 to count - 1 gives a different peer.
        let offset = 1 + (draw >> 32) % (count - 1).max(1);
        let second = (first + offset) % count;
        let [first, second] = [first, second].map(|index| self.peers[index as usize]);
        let more = |key: MemberKey| {
            let free = self.members[key].free;
            // A check takes one slot and one connection; processors break a tie.
            (free.slots.min(free.connections), free.cpu_milli)
        };
        self.get(if more(second) > more(first) {
            second
        } else {
            first
        })
    }

    /// Returns whether the own process has the lowest id of the live ones in its data centre.
    pub fn is_watcher(&self) -> bool {
        let own = &self.members[self.own];
        let lowest = self.peers.first().map(|key| &self.members[*key].id);
        own.is_live() && lowest.is_none_or(|id| own.id < *id)
    }
}
