//! Read-only view of a member.

use hs_wire::Resources;

use crate::MemberKey;

/// What this process knows about a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberView<'a> {
    /// Key for [`Membership::get`](crate::Membership::get).
    pub key: MemberKey,
    /// Unique name of the VM.
    pub id: &'a str,
    /// Address of the peer listener.
    pub address: &'a str,
    /// Name of the data centre.
    pub data_centre: &'a str,
    /// Start time of the process in milliseconds since the Unix epoch; zero before its first
    /// heartbeat.
    pub incarnation: u64,
    /// Free capacity of the member's workers as of its last heartbeat; zero for this process.
    pub free: Resources,
    /// Number of queued work items as of the last heartbeat.
    pub queued: u32,
    /// Revision of the member's current manifest as of the last heartbeat; zero for none.
    pub manifest_revision: u64,
    /// Version of the member's VM list as of the last heartbeat; zero for none.
    pub vm_list_version: u64,
    /// Whether the member is this process.
    pub is_self: bool,
}
