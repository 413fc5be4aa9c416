//! The membership state machine.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hs_wire::{VmList, VmRole, VmState};
use slotmap::SlotMap;

use crate::member::{Member, MemberListing, MemberState};
use crate::message::HeartbeatRequest;
use crate::{LossReason, MemberEvent, MemberOptions, MemberView};

mod beat;
mod owner;

slotmap::new_key_type! {
    /// Key of a member, valid until the member has left the VM list and is forgotten.
    pub struct MemberKey;
}

/// Tracks which entry processes are live, and derives ownership from it.
///
/// It does no I/O. The process passes in the time, VM lists and heartbeats, and calls
/// [`Membership::tick`] more often than once per [`MemberOptions::liveness_timeout`].
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use hs_peer::message::HeartbeatRequest;
/// use hs_peer::{MemberEvent, MemberOptions, Membership};
///
/// let options = MemberOptions {
///     id: "entry-1".to_owned(),
///     data_centre: "north".to_owned(),
///     address: "10.0.0.1:9000".to_owned(),
///     ..MemberOptions::default()
/// };
/// let now = Instant::now();
/// let mut membership = Membership::new(options, now);
/// // Without a VM list, peers are learned from their heartbeats.
/// let heartbeat = HeartbeatRequest {
///     id: "entry-2".to_owned(),
///     data_centre: "north".to_owned(),
///     address: "10.0.0.2:9000".to_owned(),
///     incarnation: 1,
///     ..HeartbeatRequest::default()
/// };
/// let events = membership.handle_heartbeat(&heartbeat, now);
/// assert!(matches!(events[..], [MemberEvent::Joined { .. }]));
/// assert!(membership.preferred_owner("worker-1").is_some());
/// assert_eq!(membership.heartbeat_targets(now), ["10.0.0.2:9000"]);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    options: MemberOptions,
    members: SlotMap<MemberKey, Member>,
    keys: HashMap<String, MemberKey>,
    own: MemberKey,
    /// Version of the VM list in use; `None` before the first one.
    list_version: Option<u64>,
    /// Hashes and keys of possible owners of workers, ordered by id.
    owners: Vec<(u64, MemberKey)>,
    /// Live peers of the own data centre, ordered by id.
    peers: Vec<MemberKey>,
    last_tick: Instant,
    next_beat: Instant,
    next_remote_beat: Instant,
    remote_round: usize,
}

impl Membership {
    /// Creates a membership that contains only the own process.
    pub fn new(options: MemberOptions, now: Instant) -> Self {
        let mut member = Member::new(&options.id, &options.address, &options.data_centre, now);
        member.state = MemberState::Live;
        member.incarnation = options.incarnation;
        let mut members = SlotMap::with_key();
        let own = members.insert(member);
        let mut membership = Self {
            keys: HashMap::from([(options.id.clone(), own)]),
            options,
            members,
            own,
            list_version: None,
            owners: Vec::new(),
            peers: Vec::new(),
            last_tick: now,
            next_beat: now,
            next_remote_beat: now,
            remote_round: 0,
        };
        membership.rebuild();
        membership
    }

    /// Takes over a VM list, which tells who may exist, and returns the members that were lost.
    ///
    /// A list that is not newer than the present one is ignored, and so is one without any entry
    /// VM: the own process is the proof that it is wrong.
    pub fn set_vm_list(&mut self, list: &VmList, now: Instant) -> Vec<MemberEvent> {
        let entries = || list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let is_newer = self.list_version.is_none_or(|have| list.version > have);
        if !is_newer || entries().next().is_none() {
            return Vec::new();
        }
        self.list_version = Some(list.version);
        for member in self.members.values_mut() {
            member.listing = None;
        }
        for vm in entries() {
            let key = self.key_or_insert(&vm.id, &vm.addr, &vm.data_centre, now);
            let member = &mut self.members[key];
            member.listing = Some(MemberListing {
                address: vm.addr.clone(),
                leaving: vm.state == VmState::Leaving,
            });
            if key != self.own {
                member.data_centre.clone_from(&vm.data_centre);
                if !member.is_live() {
                    member.address.clone_from(&vm.addr);
                }
            }
        }
        let events = self.drop_unlisted(list.version);
        self.rebuild();
        events
    }

    /// Takes over a heartbeat, and returns what it changed.
    ///
    /// Ignored are heartbeats of a lower incarnation than one already seen, of the own name, without
    /// name or address, and of peers that the VM list does not contain, unless the sender's list is
    /// newer or there is no list yet.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &HeartbeatRequest,
        now: Instant,
    ) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        let Some(key) = self.sender(heartbeat, now) else {
            return events;
        };
        let member = &self.members[key];
        if heartbeat.incarnation < member.incarnation {
            return events;
        }
        let is_restarted = heartbeat.incarnation > member.incarnation;
        if is_restarted && member.is_live() {
            events.push(self.lose(key, LossReason::Restarted));
        }
        let timeout = self.timeout_of(key);
        let member = &mut self.members[key];
        member.update(heartbeat);
        member.deadline = now + timeout;
        let is_departed = member.state == MemberState::Departed && !is_restarted;
        match (heartbeat.leaving || is_departed, member.is_live()) {
            (true, true) => events.push(self.lose(key, LossReason::Leaving)),
            (true, false) => member.state = MemberState::Departed,
            (false, true) => {}
            (false, false) => {
                member.state = MemberState::Live;
                let id = member.id.clone();
                events.push(MemberEvent::Joined { key, id });
            }
        }
        if !events.is_empty() {
            self.rebuild();
        }
        events
    }

    /// Declares silent peers lost.
    ///
    /// If the last tick is longer ago than the timeout, the own process was paused: heartbeats may
    /// have been missed for that reason alone, so all peers get one more timeout.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberEvent> {
        let pause = now.saturating_duration_since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if pause > self.options.liveness_timeout {
            for key in self.live_peer_keys() {
                let timeout = self.timeout_of(key);
                self.members[key].deadline = now + timeout;
            }
            return vec![MemberEvent::Resumed { pause }];
        }
        let mut events = Vec::new();
        for key in self.live_peer_keys() {
            if self.members[key].deadline <= now {
                events.push(self.lose(key, LossReason::Timeout));
            }
        }
        if !events.is_empty() {
            self.rebuild();
        }
        events
    }

    /// Excludes the own process from ownership, since it is shutting down. Its heartbeats announce
    /// this from now on, and it never counts as live again.
    pub fn leave(&mut self) {
        self.members[self.own].state = MemberState::Departed;
        self.rebuild();
    }

    /// Returns the live peers of all data centres, without the own process.
    ///
    /// Of other data centres, only those peers are live that send their heartbeats to this process.
    pub fn live_peers(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.members
            .iter()
            .filter(|(key, member)| *key != self.own && member.is_live())
            .map(|(key, member)| self.view(key, member))
    }

    /// Returns a member, or `None` if it has left the VM list and is forgotten.
    pub fn get(&self, key: MemberKey) -> Option<MemberView<'_>> {
        self.members.get(key).map(|member| self.view(key, member))
    }

    /// Returns the version of the VM list in use; zero for none.
    pub fn vm_list_version(&self) -> u64 {
        self.list_version.unwrap_or(0)
    }

    /// Returns the member that sent a heartbeat, or `None` if the heartbeat is to be ignored.
    fn sender(&mut self, heartbeat: &HeartbeatRequest, now: Instant) -> Option<MemberKey> {
        if heartbeat.id.is_empty() || heartbeat.address.is_empty() {
            return None;
        }
        let known = self.keys.get(&heartbeat.id).copied();
        if known == Some(self.own) {
            return None;
        }
        let is_listed = known.is_some_and(|key| self.members[key].listing.is_some());
        let version = heartbeat.vm_list_version;
        if !is_listed && self.list_version.is_some_and(|have| version <= have) {
            return None;
        }
        let limit = self.options.max_members;
        if known.is_none() && self.members.len() >= limit && !self.forget_oldest() {
            return None;
        }
        let centre = &heartbeat.data_centre;
        Some(self.key_or_insert(&heartbeat.id, &heartbeat.address, centre, now))
    }

    /// Forgets the unlisted peer that has been lost for the longest time; returns whether there is
    /// one. Peers are remembered until then so that their lower incarnations stay ignored if they
    /// come back to the VM list.
    fn forget_oldest(&mut self) -> bool {
        let lost = self.members.iter().filter(|(key, member)| {
            *key != self.own && !member.is_live() && member.listing.is_none()
        });
        let oldest = lost.min_by_key(|(_, member)| member.deadline);
        let Some(key) = oldest.map(|(key, _)| key) else {
            return false;
        };
        if let Some(member) = self.members.remove(key) {
            self.keys.remove(&member.id);
        }
        true
    }

    /// Ends the live members that the VM list does not contain, and forgets some of the others if
    /// there are too many.
    fn drop_unlisted(&mut self, version: u64) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        for key in self.live_peer_keys() {
            let member = &self.members[key];
            if member.listing.is_none() && member.vm_list_version <= version {
                events.push(self.lose(key, LossReason::Unlisted));
            }
        }
        while self.members.len() > self.options.max_members && self.forget_oldest() {}
        events
    }

    fn key_or_insert(&mut self, id: &str, address: &str, centre: &str, now: Instant) -> MemberKey {
        match self.keys.get(id) {
            Some(key) => *key,
            None => {
                let key = self.members.insert(Member::new(id, address, centre, now));
                self.keys.insert(id.to_owned(), key);
                key
            }
        }
    }

    fn lose(&mut self, key: MemberKey, reason: LossReason) -> MemberEvent {
        let member = &mut self.members[key];
        member.end(match reason {
            LossReason::Leaving => MemberState::Departed,
            LossReason::Timeout | LossReason::Restarted | LossReason::Unlisted => {
                MemberState::Silent
            }
        });
        let id = member.id.clone();
        MemberEvent::Lost { key, id, reason }
    }

    /// Returns whether a member may exist: it is listed or live, or there is no VM list.
    fn may_exist(&self, member: &Member) -> bool {
        self.list_version.is_none() || member.listing.is_some() || member.is_live()
    }

    fn timeout_of(&self, key: MemberKey) -> Duration {
        if self.members[key].data_centre == self.options.data_centre {
            self.options.liveness_timeout
        } else {
            self.options.remote_liveness_timeout
        }
    }

    fn live_peer_keys(&self) -> Vec<MemberKey> {
        self.live_peers().map(|member| member.key).collect()
    }

    /// Derives owners and peers from the members after any change of the live set.
    fn rebuild(&mut self) {
        let mut live: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member.is_live() && member.data_centre == self.options.data_centre
            })
            .collect();
        live.sort_unstable_by_key(|(_, member)| &member.id);
        let are_all_leaving = live.iter().all(|(_, member)| member.is_listed_leaving());
        self.owners = live
            .iter()
            .filter(|(_, member)| are_all_leaving || !member.is_listed_leaving())
            .map(|(key, member)| (member.hash, *key))
            .collect();
        let peers = live.iter().filter(|(key, _)| *key != self.own);
        self.peers = peers.map(|(key, _)| *key).collect();
    }

    fn view<'a>(&self, key: MemberKey, member: &'a Member) -> MemberView<'a> {
        MemberView {
            key,
            id: &member.id,
            address: &member.address,
            data_centre: &member.data_centre,
            incarnation: member.incarnation,
            free: member.free,
            queued: member.queued,
            manifest_revision: member.manifest_revision,
            vm_list_version: member.vm_list_version,
            is_self: key == self.own,
        }
    }
}
