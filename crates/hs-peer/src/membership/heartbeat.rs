//! Schedule and contents of the heartbeats that this process sends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hs_wire::Resources;

use super::Membership;
use crate::member::{Member, MemberState};
use crate::message::HeartbeatRequest;
use crate::rendezvous;

impl Membership {
    /// Returns the addresses to which a heartbeat is due, and schedules the next heartbeats.
    ///
    /// These are all peers in this data centre, including lost ones, and up to
    /// [`MemberOptions::remote_fanout`](crate::MemberOptions::remote_fanout) peers in each other
    /// data centre. There, live peers come first, in an order that differs between senders. The
    /// remaining heartbeats rotate over the peers that are not live, so that failed peers cannot
    /// prevent contact with their data centre. Without a VM list, the seeds are included.
    pub fn heartbeat_targets(&mut self, now: Instant) -> Vec<String> {
        let mut targets = Vec::new();
        if advance_if_due(
            &mut self.next_local_heartbeat,
            self.options.heartbeat_interval,
            now,
        ) {
            let own_data_centre = &self.options.data_centre;
            let peers = self.members.iter().filter(|(key, member)| {
                *key != self.own_key
                    && member.data_centre == *own_data_centre
                    && self.may_exist(member)
            });
            targets.extend(peers.map(|(_, member)| member.address.clone()));
            if self.vm_list_version.is_none() {
                let is_known = |seed: &String| {
                    let mut members = self.members.values();
                    members.any(|member| member.address == *seed)
                };
                let seeds = self.options.seeds.iter();
                targets.extend(seeds.filter(|seed| !is_known(seed)).cloned());
            }
        }
        if advance_if_due(
            &mut self.next_remote_heartbeat,
            self.options.remote_heartbeat_interval,
            now,
        ) {
            self.add_remote_targets(&mut targets);
            self.remote_round = self.remote_round.wrapping_add(1);
        }
        targets
    }

    /// Builds a heartbeat of this process from its free capacity, its number of queued work items
    /// and the revision of its current manifest.
    pub fn heartbeat(&self, free: Resources, queued: u32, revision: u64) -> HeartbeatRequest {
        let own = &self.members[self.own_key];
        HeartbeatRequest {
            id: own.id.clone(),
            data_centre: own.data_centre.clone(),
            address: own.address.clone(),
            incarnation: own.incarnation,
            free: Some(free.into()),
            queued,
            manifest_revision: revision,
            vm_list_version: self.vm_list_version(),
            leaving: !own.is_live(),
        }
    }

    fn add_remote_targets(&self, targets: &mut Vec<String>) {
        let own_hash = self.members[self.own_key].hash;
        let mut peers_by_data_centre: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
        for member in self.members.values() {
            let is_remote = member.data_centre != self.options.data_centre;
            if is_remote && member.state != MemberState::Departed && self.may_exist(member) {
                let peers = peers_by_data_centre.entry(&member.data_centre).or_default();
                peers.push(member);
            }
        }
        for mut peers in peers_by_data_centre.into_values() {
            peers.sort_unstable_by_key(|member| {
                let weight = rendezvous::weight(own_hash, member.hash);
                (!member.is_live(), weight, &member.id)
            });
            let live_count = peers.iter().filter(|member| member.is_live()).count();
            let live_target_count = live_count.min(self.options.remote_fanout);
            let unreachable = &peers[live_count..];
            let unreachable_target_count =
                (self.options.remote_fanout - live_target_count).min(unreachable.len());
            let start = self.remote_round.wrapping_mul(unreachable_target_count);
            let rotated = (0..unreachable_target_count)
                .map(|offset| unreachable[start.wrapping_add(offset) % unreachable.len()]);
            let chosen = peers[..live_target_count].iter().copied().chain(rotated);
            targets.extend(chosen.map(|member| member.address.clone()));
        }
    }
}

/// Returns whether `next` has been reached, and if so advances it beyond `now` by at most
/// `interval`.
fn advance_if_due(next: &mut Instant, interval: Duration, now: Instant) -> bool {
    if now < *next {
        return false;
    }
    // Heartbeats missed during a pause are not sent later.
    *next = (*next + interval).max(now);
    if *next == now {
        *next = now + interval;
    }
    true
}
