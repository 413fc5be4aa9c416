//! Read access to one member.

use hs_wire::Resources;

use crate::MemberKey;

/// What is known of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberView<'a> {
    /// Key in the membership.
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
    /// Free room on the member's workers as of its last heartbeat; zero for the own process.
    pub free: Resources,
    /// Number of queued pieces of work as of the last heartbeat.
    pub queued: u32,
    /// Revision of the manifest as of the last heartbeat.
    pub manifest_revision: u64,
    /// Version of the VM list as of the last heartbeat.
    pub vm_list_version: u64,
    /// Whether this is the own process.
    pub is_self: bool,
}
