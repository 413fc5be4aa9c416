//! Builders shared by the tests of this crate.
#![expect(dead_code, reason = "each test binary uses a part of the builders")]

use std::time::{Duration, Instant};

use hs_peer::message::HeartbeatRequest;
use hs_peer::{LossReason, MemberEvent, MemberOptions, Membership};
use hs_wire::{Resources, VmEntry, VmList, VmRole, VmState};

/// Converts milliseconds.
pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Builds a membership of `id` in the data centre `a`.
pub fn membership(id: &str, now: Instant) -> Membership {
    let options = MemberOptions {
        id: id.to_owned(),
        data_centre: "a".to_owned(),
        address: format!("{id}:1"),
        ..MemberOptions::default()
    };
    Membership::new(options, now)
}

/// Builds a heartbeat of `id` in the data centre `a`.
pub fn beat(id: &str, incarnation: u64) -> HeartbeatRequest {
    HeartbeatRequest {
        id: id.to_owned(),
        data_centre: "a".to_owned(),
        address: format!("{id}:1"),
        incarnation,
        ..HeartbeatRequest::default()
    }
}

/// Builds an entry VM.
pub fn vm(id: &str, data_centre: &str, state: VmState) -> VmEntry {
    VmEntry {
        id: id.to_owned(),
        addr: format!("{id}:1"),
        data_centre: data_centre.to_owned(),
        rack: String::new(),
        role: VmRole::Entry,
        state,
        capacity: Resources::ZERO,
    }
}

/// Builds a list of live entry VMs in the data centre `a`.
pub fn list(version: u64, ids: &[&str]) -> VmList {
    let vms = ids.iter().map(|id| vm(id, "a", VmState::Live)).collect();
    VmList { version, vms }
}

/// Shortens events to `+id` for a join, `-id:Reason` for a loss and `woke` for a pause.
pub fn brief(events: &[MemberEvent]) -> Vec<String> {
    let brief = |event: &MemberEvent| match event {
        MemberEvent::Joined { id, .. } => format!("+{id}"),
        MemberEvent::Lost { id, reason, .. } => format!("-{id}:{}", reason_name(*reason)),
        MemberEvent::Woke { .. } => "woke".to_owned(),
    };
    events.iter().map(brief).collect()
}

fn reason_name(reason: LossReason) -> &'static str {
    match reason {
        LossReason::Timeout => "timeout",
        LossReason::Leaving => "leaving",
        LossReason::Restarted => "restarted",
        LossReason::Unlisted => "unlisted",
    }
}
