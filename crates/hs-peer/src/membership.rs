//! The membership state machine.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hs_wire::{VmList, VmRole, VmState};
use slotmap::SlotMap;

use crate::member::{Member, MemberListing, MemberState};
use crate::message::HeartbeatRequest;
use crate::{LossReason, MemberEvent, MemberOptions, MemberView};

mod heartbeat;
mod owner;

slotmap::new_key_type! {
    /// Key of a member. It stays valid until the member is evicted, which happens only to lost
    /// members that are not in the VM list.
    pub struct MemberKey;
}

/// Tracks which entry processes are live, and determines the owners of workers and partitions.
///
/// It does no I/O. The caller passes the current time, VM lists and received heartbeats, and must
/// call [`Membership::tick`] more often than once per [`MemberOptions::liveness_timeout`].
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
/// // Without a VM list, peers become known by their heartbeats.
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
    keys_by_id: HashMap<String, MemberKey>,
    own_key: MemberKey,
    /// Version of the current VM list; `None` before the first one.
    vm_list_version: Option<u64>,
    /// Hashes and keys of the members that may own workers of this data centre, ordered by id.
    eligible_owners: Vec<(u64, MemberKey)>,
    /// Live peers in this data centre, ordered by id.
    local_peers: Vec<MemberKey>,
    last_tick: Instant,
    next_local_heartbeat: Instant,
    next_remote_heartbeat: Instant,
    /// Number of rounds of heartbeats to the other data centres so far; it may wrap around.
    remote_round: usize,
}

impl Membership {
    /// Creates a membership that contains only this process.
    pub fn new(options: MemberOptions, now: Instant) -> Self {
        let mut member = Member::new(&options.id, &options.address, &options.data_centre, now);
        member.state = MemberState::Live;
        member.incarnation = options.incarnation;
        let mut members = SlotMap::with_key();
        let own_key = members.insert(member);
        let mut membership = Self {
            keys_by_id: HashMap::from([(options.id.clone(), own_key)]),
            options,
            members,
            own_key,
            vm_list_version: None,
            eligible_owners: Vec::new(),
            local_peers: Vec::new(),
            last_tick: now,
            next_local_heartbeat: now,
            next_remote_heartbeat: now,
            remote_round: 0,
        };
        membership.update_owners_and_peers();
        membership
    }

    /// Applies a VM list, which determines the possible members, and returns an event for each peer
    /// that is lost because it is not in the list.
    ///
    /// Ignores a list that is not newer than the current one. Also ignores a list without any entry
    /// VM, which is certainly wrong, because this process runs on an entry VM.
    pub fn set_vm_list(&mut self, list: &VmList, now: Instant) -> Vec<MemberEvent> {
        let entries = || list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let is_newer = self
            .vm_list_version
            .is_none_or(|current| list.version > current);
        if !is_newer || entries().next().is_none() {
            return Vec::new();
        }
        self.vm_list_version = Some(list.version);
        for member in self.members.values_mut() {
            member.listing = None;
        }
        for vm in entries() {
            let key = self.get_or_insert(&vm.id, &vm.addr, &vm.data_centre, now);
            let member = &mut self.members[key];
            member.listing = Some(MemberListing {
                address: vm.addr.clone(),
                leaving: vm.state == VmState::Leaving,
            });
            if key != self.own_key {
                member.data_centre.clone_from(&vm.data_centre);
                if !member.is_live() {
                    member.address.clone_from(&vm.addr);
                }
            }
        }
        let events = self.drop_unlisted(list.version);
        self.update_owners_and_peers();
        events
    }

    /// Applies a heartbeat from a peer, and returns the changes in the membership.
    ///
    /// Ignores a heartbeat that
    ///
    /// - has a lower incarnation than an earlier heartbeat with the same id, of which the last one
    ///   is less than 30 s older than the liveness timeout,
    /// - has the id of this process,
    /// - has no id or no address,
    /// - comes from a peer that is not in the VM list, unless the sender's list is newer or there
    ///   is no list yet, or
    /// - has an unknown id while [`MemberOptions::max_members`] is reached and no member can be
    ///   evicted.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &HeartbeatRequest,
        now: Instant,
    ) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        let Some(key) = self.sender_key(heartbeat, now) else {
            return events;
        };
        let member = &self.members[key];
        if heartbeat.incarnation < member.incarnation && !member.is_forgotten(now) {
            return events;
        }
        let is_restarted = heartbeat.incarnation != member.incarnation;
        if is_restarted && member.is_live() {
            events.push(self.mark_lost(key, LossReason::Restarted));
        }
        let timeout = self.liveness_timeout_of(key);
        let member = &mut self.members[key];
        member.apply_heartbeat(heartbeat);
        member.deadline = now + timeout;
        let is_departed = member.state == MemberState::Departed && !is_restarted;
        match (heartbeat.leaving || is_departed, member.is_live()) {
            (true, true) => events.push(self.mark_lost(key, LossReason::Leaving)),
            (true, false) => member.state = MemberState::Departed,
            (false, true) => {}
            (false, false) => {
                member.state = MemberState::Live;
                let id = member.id.clone();
                events.push(MemberEvent::Joined { key, id });
            }
        }
        if !events.is_empty() {
            self.update_owners_and_peers();
        }
        events
    }

    /// Marks live peers as lost if no heartbeat has arrived from them within the liveness timeout.
    ///
    /// If the last tick is longer ago than that timeout, this process was paused. Heartbeats may
    /// have been missed for that reason alone, so the timeouts of all live peers start again.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberEvent> {
        let pause = now.saturating_duration_since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if pause > self.options.liveness_timeout {
            for key in self.live_peer_keys() {
                let timeout = self.liveness_timeout_of(key);
                self.members[key].deadline = now + timeout;
            }
            return vec![MemberEvent::Resumed { pause }];
        }
        let mut events = Vec::new();
        for key in self.live_peer_keys() {
            if self.members[key].deadline <= now {
                events.push(self.mark_lost(key, LossReason::Timeout));
            }
        }
        if !events.is_empty() {
            self.update_owners_and_peers();
        }
        events
    }

    /// Excludes this process from ownership because it is shutting down. Its heartbeats announce
    /// the shutdown from now on, and it never counts as live again.
    pub fn leave(&mut self) {
        self.members[self.own_key].state = MemberState::Departed;
        self.update_owners_and_peers();
    }

    /// Returns the live peers in all data centres, without this process.
    ///
    /// In other data centres, only the peers that send heartbeats to this process count as live.
    pub fn live_peers(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.members
            .iter()
            .filter(|(key, member)| *key != self.own_key && member.is_live())
            .map(|(key, member)| self.view(key, member))
    }

    /// Returns a member, or `None` if it was evicted.
    pub fn get(&self, key: MemberKey) -> Option<MemberView<'_>> {
        self.members.get(key).map(|member| self.view(key, member))
    }

    /// Returns the version of the current VM list, or zero if there is none.
    pub fn vm_list_version(&self) -> u64 {
        self.vm_list_version.unwrap_or(0)
    }

    /// Returns the key of the sender of a heartbeat, or `None` if the heartbeat is to be ignored.
    /// Adds the sender if it is new.
    fn sender_key(&mut self, heartbeat: &HeartbeatRequest, now: Instant) -> Option<MemberKey> {
        if heartbeat.id.is_empty() || heartbeat.address.is_empty() {
            return None;
        }
        let known_key = self.keys_by_id.get(&heartbeat.id).copied();
        if known_key == Some(self.own_key) {
            return None;
        }
        let is_listed = known_key.is_some_and(|key| self.members[key].listing.is_some());
        let version = heartbeat.vm_list_version;
        if !is_listed
            && self
                .vm_list_version
                .is_some_and(|current| version <= current)
        {
            return None;
        }
        let max_members = self.options.max_members;
        if known_key.is_none() && self.members.len() >= max_members && !self.evict_oldest() {
            return None;
        }
        let data_centre = &heartbeat.data_centre;
        Some(self.get_or_insert(&heartbeat.id, &heartbeat.address, data_centre, now))
    }

    /// Evicts the unlisted, lost peer with the oldest deadline, and returns whether there was one.
    /// Lost peers are kept until then so that lower incarnations of them are still ignored when
    /// they return to the VM list.
    fn evict_oldest(&mut self) -> bool {
        let evictable = self.members.iter().filter(|(key, member)| {
            *key != self.own_key && !member.is_live() && member.listing.is_none()
        });
        let oldest = evictable.min_by_key(|(_, member)| member.deadline);
        let Some(key) = oldest.map(|(key, _)| key) else {
            return false;
        };
        if let Some(member) = self.members.remove(key) {
            self.keys_by_id.remove(&member.id);
        }
        true
    }

    /// Marks live peers as lost if they are not in the VM list, unless they know a newer list.
    /// Evicts lost peers that are not in the list while there are more members than the maximum.
    fn drop_unlisted(&mut self, version: u64) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        for key in self.live_peer_keys() {
            let member = &self.members[key];
            if member.listing.is_none() && member.vm_list_version <= version {
                events.push(self.mark_lost(key, LossReason::Unlisted));
            }
        }
        while self.members.len() > self.options.max_members && self.evict_oldest() {}
        events
    }

    fn get_or_insert(
        &mut self,
        id: &str,
        address: &str,
        data_centre: &str,
        now: Instant,
    ) -> MemberKey {
        match self.keys_by_id.get(id) {
            Some(key) => *key,
            None => {
                let key = self
                    .members
                    .insert(Member::new(id, address, data_centre, now));
                self.keys_by_id.insert(id.to_owned(), key);
                key
            }
        }
    }

    fn mark_lost(&mut self, key: MemberKey, reason: LossReason) -> MemberEvent {
        let member = &mut self.members[key];
        member.mark_not_live(match reason {
            LossReason::Leaving => MemberState::Departed,
            LossReason::Timeout | LossReason::Restarted | LossReason::Unlisted => {
                MemberState::Unreachable
            }
        });
        let id = member.id.clone();
        MemberEvent::Lost { key, id, reason }
    }

    /// Returns whether the VM of a member may exist: it is in the VM list, the member is live, or
    /// there is no VM list.
    fn may_exist(&self, member: &Member) -> bool {
        self.vm_list_version.is_none() || member.listing.is_some() || member.is_live()
    }

    fn liveness_timeout_of(&self, key: MemberKey) -> Duration {
        if self.members[key].data_centre == self.options.data_centre {
            self.options.liveness_timeout
        } else {
            self.options.remote_liveness_timeout
        }
    }

    fn live_peer_keys(&self) -> Vec<MemberKey> {
        self.live_peers().map(|member| member.key).collect()
    }

    /// Recomputes `eligible_owners` and `local_peers` after a change to the live members or to the
    /// VM list.
    fn update_owners_and_peers(&mut self) {
        let mut live: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member.is_live() && member.data_centre == self.options.data_centre
            })
            .collect();
        live.sort_unstable_by_key(|(_, member)| &member.id);
        let are_all_leaving = live.iter().all(|(_, member)| member.is_listed_leaving());
        self.eligible_owners = live
            .iter()
            .filter(|(_, member)| are_all_leaving || !member.is_listed_leaving())
            .map(|(key, member)| (member.hash, *key))
            .collect();
        let peers = live.iter().filter(|(key, _)| *key != self.own_key);
        self.local_peers = peers.map(|(key, _)| *key).collect();
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
            is_self: key == self.own_key,
        }
    }
}
