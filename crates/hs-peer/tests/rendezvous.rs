//! Ownership of workers by rendezvous hashing: balance, minimal movement, stability.

mod common;

use std::collections::BTreeMap;
use std::time::Instant;

use common::{beat, list, membership, vm};
use hs_peer::{Membership, rendezvous};
use hs_wire::VmState;

fn members_of(ids: &[String], now: Instant) -> Membership {
    let mut membership = membership(&ids[0], now);
    for id in &ids[1..] {
        membership.heard(&beat(id, 1), now);
    }
    membership
}

fn owners(membership: &Membership, workers: &[String]) -> Vec<String> {
    let owner = |worker: &String| {
        membership
            .preferred_owner(worker)
            .expect("a live member")
            .id
            .to_owned()
    };
    workers.iter().map(owner).collect()
}

fn highest_share(owners: &[String]) -> usize {
    let mut counts = BTreeMap::new();
    for owner in owners {
        *counts.entry(owner).or_insert(0) += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

struct NamingCase {
    members: fn(usize) -> String,
    workers: fn(usize) -> String,
}

const NAMINGS: [NamingCase; 6] = [
    NamingCase {
        members: |n| format!("entry-{n}"),
        workers: |n| format!("worker-{n}"),
    },
    NamingCase {
        members: |n| format!("e{n}"),
        workers: |n| format!("w{n}"),
    },
    NamingCase {
        members: |n| format!("entry-{n:02}"),
        workers: |n| format!("worker-{n:02}"),
    },
    NamingCase {
        members: |n| format!("10.0.0.{n}"),
        workers: |n| format!("10.0.1.{n}"),
    },
    NamingCase {
        members: |n| format!("dc{}-entry-{n}", n % 4),
        workers: |n| format!("dc{}-r{}-w{n}", n % 4, n / 6),
    },
    NamingCase {
        members: |n| format!("vm-{}", 9_000 + n),
        workers: |n| format!("vm-{n:05}"),
    },
];

/// Guards against a hash that leaves similar names close together, and against a removal that moves
/// the workers of other members.
#[test]
fn balance_and_minimal_movement() {
    let now = Instant::now();
    for (index, case) in NAMINGS.iter().enumerate() {
        let ids: Vec<_> = (1..=7).map(case.members).collect();
        let workers: Vec<_> = (1..=48).map(case.workers).collect();
        let before = owners(&members_of(&ids, now), &workers);
        let highest = highest_share(&before);
        assert!(
            highest * 7 <= 2 * 48,
            "naming {index}: one member has {highest} of 48"
        );
        for gone in 1..7 {
            let mut ids = ids.clone();
            let gone = ids.remove(gone);
            let after = owners(&members_of(&ids, now), &workers);
            for (before, after) in before.iter().zip(&after) {
                assert!(
                    before == after || *before == gone,
                    "naming {index}: {before} -> {after}"
                );
            }
        }
        let many: Vec<_> = (1..=3_300).map(case.workers).collect();
        let highest = highest_share(&owners(&members_of(&ids, now), &many));
        assert!(
            highest * 7 <= 3_300 * 5 / 4,
            "naming {index}: one member has {highest} of 3300"
        );
    }
}

/// Guards against a change of the hash, which would make processes of two releases disagree.
#[test]
fn hash_is_stable() {
    // Computed by an independent implementation.
    let cases = [
        ("", 0xf52a_15e9_a9b5_e89b),
        ("worker-1", 0xecd1_384d_da7e_32f2),
        ("entry-7", 0xc24e_401e_c02f_6136),
    ];
    for (name, expected) in cases {
        assert_eq!(rendezvous::hash_name(name), expected, "{name:?}");
    }
    assert_eq!(rendezvous::hash_number(3), 0xb99c_408c_3a3e_a0fb);
    assert_eq!(rendezvous::weight(1, 2), 0xc72c_0d73_624b_3f8e);
}

/// Guards against two processes that hold the same members and disagree on an owner or a candidate.
#[test]
fn all_members_agree() {
    let now = Instant::now();
    let ids: Vec<_> = (1..=7).map(|n| format!("entry-{n}")).collect();
    let names: Vec<_> = ids.iter().map(String::as_str).collect();
    let workers: Vec<_> = (1..=48).map(|n| format!("worker-{n}")).collect();
    let mut views = Vec::new();
    for first in 0..ids.len() {
        let mut ids = ids.clone();
        ids.rotate_left(first);
        let mut membership = members_of(&ids, now);
        membership.set_vm_list(&list(1, &names), now);
        let candidates = |partition| {
            let candidates = membership.candidates(partition);
            let ids = candidates.iter().map(|member| member.id.to_owned());
            ids.collect::<Vec<_>>()
        };
        let candidates: Vec<_> = (0..4).map(candidates).collect();
        assert!(candidates.iter().all(|ids| ids.len() == 3));
        views.push((owners(&membership, &workers), candidates));
    }
    assert!(views.windows(2).all(|pair| pair[0] == pair[1]));
}

/// Guards against new work for entry VMs that are about to end, and against workers without any
/// owner while every entry VM is being replaced.
#[test]
fn leaving_vms_have_no_preference() {
    let now = Instant::now();
    let ids: Vec<_> = (1..=4).map(|n| format!("entry-{n}")).collect();
    let workers: Vec<_> = (1..=48).map(|n| format!("worker-{n}")).collect();
    for leaving in 0..=4 {
        let mut membership = members_of(&ids, now);
        let state = |n| {
            if n < leaving {
                VmState::Leaving
            } else {
                VmState::Live
            }
        };
        let vms = ids.iter().enumerate().map(|(n, id)| vm(id, "a", state(n)));
        let list = hs_wire::VmList {
            version: 1,
            vms: vms.collect(),
        };
        membership.set_vm_list(&list, now);
        for owner in owners(&membership, &workers) {
            let is_leaving = ids[..leaving].contains(&owner);
            assert!(
                !is_leaving || leaving == 4,
                "{owner} owns with {leaving} leaving"
            );
        }
        let candidates = membership.candidates(0);
        let usable = candidates.iter().take((4 - leaving).min(3));
        assert!(
            usable
                .clone()
                .all(|member| !ids[..leaving].contains(&member.id.to_owned()))
        );
    }
}
