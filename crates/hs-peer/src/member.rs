//! Internal state of a member.

use std::time::{Duration, Instant};

use hs_wire::Resources;

use crate::message::HeartbeatRequest;
use crate::rendezvous;

/// Time after the loss of a member in which heartbeats of its lower incarnations are ignored. It is far
/// longer than a heartbeat can be delayed. Without an end, a process that once started with a clock in
/// the future would be excluded until all of its peers restart.
const INCARNATION_MEMORY: Duration = Duration::from_secs(30);

/// Entry of a member in the VM list.
#[derive(Clone, Debug)]
pub(crate) struct MemberListing {
    pub(crate) address: String,
    pub(crate) leaving: bool,
}

/// Liveness of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MemberState {
    /// No heartbeat has arrived yet, or the member was lost for a reason other than its shutdown.
    Unreachable,
    /// A heartbeat arrived within the liveness timeout, or the member is this process.
    Live,
    /// The member announced its shutdown. Only a newer incarnation ends this state.
    Departed,
}

/// An entry process: a peer or this process.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) id: String,
    pub(crate) address: String,
    pub(crate) data_centre: String,
    /// Hash of `id` for rendezvous hashing.
    pub(crate) hash: u64,
    /// `None` if the VM list does not contain the member.
    pub(crate) listing: Option<MemberListing>,
    pub(crate) state: MemberState,
    /// When a live member counts as lost unless another heartbeat arrives.
    pub(crate) deadline: Instant,
    /// Incarnation of the last heartbeat that was accepted; zero before the first one.
    pub(crate) incarnation: u64,
    pub(crate) free: Resources,
    pub(crate) queued: u32,
    pub(crate) manifest_revision: u64,
    pub(crate) vm_list_version: u64,
}

impl Member {
    pub(crate) fn new(id: &str, address: &str, data_centre: &str, now: Instant) -> Self {
        Self {
            id: id.to_owned(),
            address: address.to_owned(),
            data_centre: data_centre.to_owned(),
            hash: rendezvous::hash_name(id),
            listing: None,
            state: MemberState::Unreachable,
            deadline: now,
            incarnation: 0,
            free: Resources::ZERO,
            queued: 0,
            manifest_revision: 0,
            vm_list_version: 0,
        }
    }

    /// Stores the fields of a heartbeat, except for `leaving` and the data centre.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: &HeartbeatRequest) {
        if self.address != heartbeat.address {
            self.address.clone_from(&heartbeat.address);
        }
        self.incarnation = heartbeat.incarnation;
        self.free = heartbeat.free.map_or(Resources::ZERO, Resources::from);
        self.queued = heartbeat.queued;
        self.manifest_revision = heartbeat.manifest_revision;
        self.vm_list_version = heartbeat.vm_list_version;
    }

    /// Sets a state other than live. A replacement with the same id may have another address, so
    /// the address in the VM list applies until the next heartbeat.
    pub(crate) fn mark_not_live(&mut self, state: MemberState) {
        self.state = state;
        if let Some(listing) = &self.listing {
            self.address.clone_from(&listing.address);
        }
    }

    /// Returns whether no heartbeat has arrived for so long that the incarnation no longer matters.
    pub(crate) fn is_forgotten(&self, now: Instant) -> bool {
        !self.is_live() && now.saturating_duration_since(self.deadline) >= INCARNATION_MEMORY
    }

    pub(crate) fn is_live(&self) -> bool {
        self.state == MemberState::Live
    }

    /// Returns whether the VM list marks the VM as leaving.
    pub(crate) fn is_listed_leaving(&self) -> bool {
        self.listing.as_ref().is_some_and(|listing| listing.leaving)
    }
}
