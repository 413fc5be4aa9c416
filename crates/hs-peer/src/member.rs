//! State of one member.

use std::time::Instant;

use hs_wire::Resources;

use crate::message::HeartbeatRequest;
use crate::rendezvous;

/// What the VM list says about a member.
#[derive(Clone, Debug)]
pub(crate) struct MemberListing {
    pub(crate) address: String,
    pub(crate) leaving: bool,
}

/// Whether a member takes part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MemberState {
    /// Not heard from within the timeout.
    Silent,
    /// Heard from within the timeout.
    Live,
    /// Announced its shutdown. Only a newer incarnation ends this state.
    Departed,
}

/// One entry process, the own one included.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) id: String,
    pub(crate) address: String,
    pub(crate) data_centre: String,
    /// Hash of the id for rendezvous hashing.
    pub(crate) hash: u64,
    /// `None` if the VM list does not contain the member.
    pub(crate) listing: Option<MemberListing>,
    pub(crate) state: MemberState,
    /// When a live member counts as lost.
    pub(crate) deadline: Instant,
    /// Highest incarnation that was heard of; zero before the first heartbeat.
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
            state: MemberState::Silent,
            deadline: now,
            incarnation: 0,
            free: Resources::ZERO,
            queued: 0,
            manifest_revision: 0,
            vm_list_version: 0,
        }
    }

    /// Takes over the contents of a heartbeat, except for its state and data centre.
    pub(crate) fn update(&mut self, heartbeat: &HeartbeatRequest) {
        if self.address != heartbeat.address {
            self.address.clone_from(&heartbeat.address);
        }
        self.incarnation = heartbeat.incarnation;
        self.free = heartbeat.free.map_or(Resources::ZERO, Resources::from);
        self.queued = heartbeat.queued;
        self.manifest_revision = heartbeat.manifest_revision;
        self.vm_list_version = heartbeat.vm_list_version;
    }

    /// Ends the live state. A replacement under the same name may have another address, so the
    /// listed address applies until the next heartbeat.
    pub(crate) fn end(&mut self, state: MemberState) {
        self.state = state;
        if let Some(listing) = &self.listing {
            self.address.clone_from(&listing.address);
        }
    }

    pub(crate) fn is_live(&self) -> bool {
        self.state == MemberState::Live
    }

    /// Whether the VM list shows the VM as leaving.
    pub(crate) fn is_listed_leaving(&self) -> bool {
        self.listing.as_ref().is_some_and(|listing| listing.leaving)
    }
}
