//! Builders of test data, and a runner for property tests with a seed.

use std::time::{Duration, Instant};

use hs_peer::message::HeartbeatRequest;
use hs_peer::{MemberOptions, Membership};
use hs_wire::{Resources, VmEntry, VmRole, VmState};
use quickcheck::{Gen, QuickCheck, Testable};

/// Checks a property with the random inputs that the seed determines, which are the same on each
/// run.
pub fn check_property(seed: u64, size: usize, tests: u64, property: impl Testable) {
    eprintln!("seed {seed:#x}, size {size}");
    let random = Gen::from_size_and_seed(size, seed);
    let mut quickcheck = QuickCheck::new().rng(random).tests(tests);
    quickcheck.quickcheck(property);
}

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Builds the membership of the process `id` in the data centre `a`.
pub fn membership(id: &str, now: Instant) -> Membership {
    let options = MemberOptions {
        id: id.to_owned(),
        data_centre: "a".to_owned(),
        address: format!("{id}:1"),
        ..MemberOptions::default()
    };
    Membership::new(options, now)
}

/// Builds a heartbeat from `id` in the data centre `a`.
pub fn heartbeat(id: &str, incarnation: u64) -> HeartbeatRequest {
    HeartbeatRequest {
        id: id.to_owned(),
        data_centre: "a".to_owned(),
        address: format!("{id}:1"),
        incarnation,
        ..HeartbeatRequest::default()
    }
}

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
