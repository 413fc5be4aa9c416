//! Schedule of heartbeats.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hs_wire::Resources;

use super::Membership;
use crate::member::{Member, MemberState};
use crate::message::HeartbeatRequest;
use crate::rendezvous;

impl Membership {
    /// Returns the addresses that are due for a heartbeat, and counts them as sent.
    ///
    /// These are all peers of the own data centre, lost ones included, and some of each other data
    /// centre. There, live peers come first, in an order that differs between senders. The other
    /// places rotate over the peers that were not heard from, so that no dead peer can cut off a
    /// data centre. Without a VM list, the seeds are included.
    pub fn heartbeat_targets(&mut self, now: Instant) -> Vec<String> {
        let mut targets = Vec::new();
        if is_due(&mut self.next_beat, self.options.heartbeat_interval, now) {
            let own_centre = &self.options.data_centre;
            let peers = self.members.iter().filter(|(key, member)| {
                *key != self.own && member.data_centre == *own_centre && self.may_exist(member)
            });
            targets.extend(peers.map(|(_, member)| member.address.clone()));
            if self.list_version.is_none() {
                let is_known = |seed: &String| {
                    let mut members = self.members.values();
                    members.any(|member| member.address == *seed)
                };
                let seeds = self.options.seeds.iter();
                targets.extend(seeds.filter(|seed| !is_known(seed)).cloned());
            }
        }
        if is_due(
            &mut self.next_remote_beat,
            self.options.remote_heartbeat_interval,
            now,
        ) {
            self.remote_targets(&mut targets);
            self.remote_round = self.remote_round.wrapping_add(1);
        }
        targets
    }

    /// Builds the heartbeat of the own process, with what it has free and queued and the revision of
    /// its manifest.
    pub fn heartbeat(&self, free: Resources, queued: u32, revision: u64) -> HeartbeatRequest {
        let own = &self.members[self.own];
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

    fn remote_targets(&self, targets: &mut Vec<String>) {
        let own_hash = self.members[self.own].hash;
        let mut centres: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
        for member in self.members.values() {
            let is_remote = member.data_centre != self.options.data_centre;
            if is_remote && member.state != MemberState::Departed && self.may_exist(member) {
                let centre = centres.entry(&member.data_centre).or_default();
                centre.push(member);
            }
        }
        for mut centre in centres.into_values() {
            centre.sort_unstable_by_key(|member| {
                let weight = rendezvous::weight(own_hash, member.hash);
                (!member.is_live(), weight, &member.id)
            });
            let live = centre.iter().filter(|member| member.is_live()).count();
            let kept = live.min(self.options.remote_fanout);
            let silent = &centre[live..];
            let rest = (self.options.remote_fanout - kept).min(silent.len());
            let start = self.remote_round.wrapping_mul(rest);
            let rotated = (0..rest).map(|place| silent[start.wrapping_add(place) % silent.len()]);
            let chosen = centre[..kept].iter().copied().chain(rotated);
            targets.extend(chosen.map(|member| member.address.clone()));
        }
    }
}

/// Returns whether `next` has passed, and if so advances it beyond `now` by at most `interval`.
fn is_due(next: &mut Instant, interval: Duration, now: Instant) -> bool {
    if now < *next {
        return false;
    }
    // Missed beats are not made up for after a pause.
    *next = (*next + interval).max(now);
    if *next == now {
        *next = now + interval;
    }
    true
}
