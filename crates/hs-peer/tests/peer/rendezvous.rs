//! Tests of ownership by rendezvous hashing: balance, minimal movement and stability.

use std::cmp::Reverse;
use std::time::Instant;

use crate::common::{heartbeat, membership, vm};
use hs_peer::{Membership, rendezvous};
use hs_wire::{VmList, VmState};

/// Patterns of the names of members and workers, in which `#` stands for a number, `##` for the
/// number with at least two digits, and `%` for the number modulo 4.
struct NamingCase(&'static str, &'static str);

const NAMING_CASES: [NamingCase; 6] = [
    NamingCase("entry-#", "worker-#"),
    NamingCase("e#", "w#"),
    NamingCase("entry-##", "worker-##"),
    NamingCase("10.0.0.#", "10.0.1.#"),
    NamingCase("dc%-entry-#", "dc%-r##-w#"),
    NamingCase("vm-90##", "vm-00##"),
];

fn names(pattern: &str, count: usize) -> Vec<String> {
    let name = |n: usize| {
        let name = pattern.replace("##", &format!("{n:02}"));
        let name = name.replace('#', &n.to_string());
        name.replace('%', &(n % 4).to_string())
    };
    (1..=count).map(name).collect()
}

fn members_of(ids: &[String], now: Instant) -> Membership {
    let mut membership = membership(&ids[0], now);
    for id in &ids[1..] {
        membership.handle_heartbeat(&heartbeat(id, 1), now);
    }
    membership
}

fn owners(membership: &Membership, workers: &[String]) -> Vec<String> {
    let owner = |worker: &String| membership.preferred_owner(worker).expect("a live member");
    let owners = workers.iter().map(owner);
    owners.map(|member| member.id.to_owned()).collect()
}

/// Guards against a hash that gives close values for similar names, and against a removal of a
/// member that moves the workers of other members.
#[test]
fn balance_and_minimal_movement() {
    let now = Instant::now();
    for NamingCase(members, workers) in NAMING_CASES {
        let ids = names(members, 7);
        // No member may own more workers than this multiple of the mean.
        for (count, limit) in [(48, 2.0), (3_300, 1.25)] {
            let workers = names(workers, count);
            let before = owners(&members_of(&ids, now), &workers);
            let limit = (limit * count as f64 / 7.0) as usize;
            for id in &ids {
                let share = before.iter().filter(|owner| *owner == id).count();
                assert!(share <= limit, "{id}: {share} of {count}");
            }
            for removed in 1..7 {
                let mut rest = ids.clone();
                rest.remove(removed);
                let after = owners(&members_of(&rest, now), &workers);
                let mut moves = before.iter().zip(&after);
                assert!(moves.all(|(old, new)| old == new || *old == ids[removed]));
            }
        }
    }
}

/// Guards against a change of the hash, after which processes of different releases would choose
/// different owners. The expected values were computed by an independent implementation.
#[test]
fn hash_is_stable() {
    assert_eq!(rendezvous::hash_name(""), 0xf52a_15e9_a9b5_e89b);
    assert_eq!(rendezvous::hash_name("worker-1"), 0xecd1_384d_da7e_32f2);
    assert_eq!(rendezvous::hash_name("entry-7"), 0xc24e_401e_c02f_6136);
    assert_eq!(rendezvous::hash_number(3), 0xb99c_408c_3a3e_a0fb);
    assert_eq!(rendezvous::weight(1, 2), 0xc72c_0d73_624b_3f8e);
}

/// Guards against a leaving entry VM that is preferred as owner, against workers without any owner
/// while all entry VMs are being replaced, and against candidates that depend on anything but the
/// ids and on which VMs are leaving.
#[test]
fn leaving_vms_have_no_preference() {
    let now = Instant::now();
    let ids = names("entry-#", 4);
    for count in 0..=4 {
        let mut membership = members_of(&ids, now);
        let states = [VmState::Live, VmState::Leaving];
        let state = |id: &String| states[usize::from(ids[..count].contains(id))];
        let vms = ids.iter().map(|id| vm(id, "a", state(id))).collect();
        membership.set_vm_list(
            &VmList {
                version: 1,
                vms,
                ..VmList::default()
            },
            now,
        );
        let mut owners = owners(&membership, &names("worker-#", 48)).into_iter();
        assert!(owners.all(|id| state(&id) == VmState::Live || count == 4));
        for partition in 0..4 {
            let item = rendezvous::hash_number(partition);
            let weight = |id: &String| rendezvous::weight(item, rendezvous::hash_name(id));
            let mut expected = ids.clone();
            expected.sort_by_key(|id| (state(id) == VmState::Leaving, Reverse(weight(id))));
            let candidates = membership.candidates(partition);
            assert!(candidates.iter().map(|member| member.id).eq(&expected[..3]));
        }
    }
}
