//! The live set: heartbeats, silence, pauses and VM lists.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use common::{beat, list, membership, vm};
use hs_peer::message::{HeartbeatRequest, Resources};
use hs_peer::{LossReason, MemberEvent, Membership, rendezvous};
use hs_wire::{VmList, VmState};
use quickcheck::{Gen, QuickCheck, TestResult};

const SEED: u64 = 0x5eed_0003;
const NAMES: [&str; 5] = ["a", "c", "d", "e", "f"];

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn brief(event: &MemberEvent) -> String {
    match event {
        MemberEvent::Joined { id, .. } => format!("+{id}"),
        MemberEvent::Lost { id, reason, .. } => format!("-{id}:{reason:?}"),
        MemberEvent::Woke { .. } => "woke".to_owned(),
    }
}

#[derive(Clone, Copy)]
enum Step {
    /// Heartbeat of a peer with an incarnation.
    Heard(&'static str, u64),
    /// Heartbeat that announces a shutdown.
    Leaving(&'static str, u64),
    /// Heartbeat with a version of the VM list.
    Version(&'static str, u64),
    /// Ticks every 100 ms for some milliseconds.
    Run(u64),
    /// One tick after a pause of some milliseconds.
    Pause(u64),
    /// VM list of a version.
    List(u64, &'static [&'static str]),
}

use Step::{Heard, Leaving, List, Pause, Run, Version};

struct StepCase {
    /// The failure that the case guards against.
    fault: &'static str,
    steps: &'static [Step],
    events: &'static str,
}

const fn case(fault: &'static str, steps: &'static [Step], events: &'static str) -> StepCase {
    StepCase {
        fault,
        steps,
        events,
    }
}

const CASES: [StepCase; 14] = [
    case("late loss", &[Heard("a", 1), Run(1_200)], "+a -a:Timeout"),
    case(
        "early loss",
        &[Heard("a", 1), Run(1_100), Heard("a", 1), Run(1_100)],
        "+a",
    ),
    case(
        "flapping member that is reported twice or not at all",
        &[
            Heard("a", 1),
            Run(1_300),
            Run(900),
            Heard("a", 1),
            Heard("a", 1),
            Run(1_300),
        ],
        "+a -a:Timeout +a -a:Timeout",
    ),
    case(
        "lower incarnation that revives",
        &[Heard("a", 2), Run(1_300), Heard("a", 1)],
        "+a -a:Timeout",
    ),
    case(
        "lower incarnation that keeps alive",
        &[Heard("a", 2), Run(900), Heard("a", 1), Run(300)],
        "+a -a:Timeout",
    ),
    case(
        "unnoticed restart",
        &[Heard("a", 1), Heard("a", 2)],
        "+a -a:Restarted +a",
    ),
    case(
        "late heartbeat after leaving",
        &[Heard("a", 1), Leaving("a", 1), Heard("a", 1)],
        "+a -a:Leaving",
    ),
    case(
        "restart after leaving",
        &[Leaving("a", 1), Leaving("a", 1), Heard("a", 2)],
        "+a",
    ),
    case(
        "pause that makes all peers dead",
        &[
            Heard("a", 1),
            Heard("c", 1),
            Pause(9_000),
            Run(1_100),
            Heard("c", 1),
            Run(200),
        ],
        "+a +c woke -a:Timeout",
    ),
    case(
        "two pauses",
        &[
            Heard("a", 1),
            Pause(1_300),
            Run(100),
            Pause(1_300),
            Run(1_100),
        ],
        "+a woke woke",
    ),
    case(
        "member that is gone from the list",
        &[Heard("a", 1), List(1, &["b", "c"])],
        "+a -a:Unlisted",
    ),
    case(
        "older list",
        &[Heard("a", 1), List(5, &["a", "b"]), List(4, &["b"])],
        "+a",
    ),
    case(
        "list without entry VMs",
        &[List(1, &["a", "b"]), Heard("a", 1), List(2, &[])],
        "+a",
    ),
    case(
        "unknown peer with a list that is not newer",
        &[
            List(3, &["b"]),
            Version("a", 3),
            Version("c", 4),
            List(4, &["b"]),
        ],
        "+c -c:Unlisted",
    ),
];

#[test]
fn step_table() {
    for case in CASES {
        let mut now = Instant::now();
        let mut membership = membership("b", now);
        let mut events = Vec::new();
        for step in case.steps {
            events.extend(apply(&mut membership, *step, &mut now));
        }
        let events: Vec<_> = events.iter().map(brief).collect();
        assert_eq!(events.join(" "), case.events, "{}", case.fault);
    }
}

fn apply(membership: &mut Membership, step: Step, now: &mut Instant) -> Vec<MemberEvent> {
    let (leaving, vm_list_version) = match step {
        Leaving(..) => (true, 0),
        Version(_, version) => (false, version),
        _ => (false, 0),
    };
    match step {
        Heard(id, count) | Leaving(id, count) | Version(id, count) => {
            let heartbeat = HeartbeatRequest {
                leaving,
                vm_list_version,
                ..beat(id, count)
            };
            membership.heard(&heartbeat, *now)
        }
        Run(time) => {
            let tick = |_| {
                *now += ms(100);
                membership.tick(*now)
            };
            (0..time / 100).flat_map(tick).collect()
        }
        Pause(time) => {
            *now += ms(time);
            membership.tick(*now)
        }
        List(version, ids) => membership.set_vm_list(&list(version, ids), *now),
    }
}

/// Guards against any sequence of steps after which the live set differs from the reported events,
/// an owner is not the live member of the highest weight, or a peer is lost without silence.
fn state_matches_events(codes: Vec<(u8, u8, u8)>) -> TestResult {
    let mut now = Instant::now();
    let mut membership = membership("b", now);
    let mut live = BTreeSet::new();
    let mut listed: Option<(u64, &[&str])> = None;
    // When each peer counts as lost, and its highest incarnation.
    let mut deadlines: BTreeMap<_, _> = NAMES.map(|id| (id, (now, 0))).into();
    for code in codes {
        let id = NAMES[usize::from(code.1) % NAMES.len()];
        let step = match code.0 % 16 {
            0..8 => Heard(id, u64::from(code.2 % 4)),
            8 => Leaving(id, u64::from(code.2 % 4)),
            9..14 => Run(u64::from(code.2) * 8),
            14 => Pause(u64::from(code.2) * 16),
            _ => List(
                u64::from(code.2),
                &NAMES[..1 + usize::from(code.1) % NAMES.len()],
            ),
        };
        let events = apply(&mut membership, step, &mut now);
        match step {
            Heard(_, count) | Leaving(_, count)
                if listed.is_none_or(|(_, ids)| ids.contains(&id)) && count >= deadlines[id].1 =>
            {
                deadlines.insert(id, (now + ms(1_200), count));
            }
            List(version, ids) if listed.is_none_or(|(have, _)| version > have) => {
                listed = Some((version, ids));
            }
            _ => {}
        }
        for event in &events {
            let is_right = match event {
                MemberEvent::Joined { id, .. } => live.insert(id.clone()),
                MemberEvent::Lost { id, reason, .. } => {
                    let is_silent = deadlines[id.as_str()].0 <= now;
                    live.remove(id) && (*reason != LossReason::Timeout || is_silent)
                }
                MemberEvent::Woke { pause } => {
                    let graced = now + ms(1_200);
                    deadlines.values_mut().for_each(|entry| entry.0 = graced);
                    *pause > ms(1_200) && events.len() == 1
                }
            };
            if !is_right {
                return TestResult::error(format!("{event:?} with {live:?}"));
            }
        }
        let is_due = |id: &String| deadlines[id.as_str()].0 <= now;
        if matches!(step, Run(100..)) && live.iter().any(is_due) {
            return TestResult::error("a silent peer is live");
        }
        let ids: Vec<_> = live.iter().map(String::as_str).collect();
        let mut views: Vec<_> = membership.live().map(|member| member.id).collect();
        views.sort_unstable();
        let mut owners = ids.clone();
        owners.push("b");
        let item = rendezvous::hash_name("w");
        owners.sort_by_key(|id| rendezvous::weight(item, rendezvous::hash_name(id)));
        let owner = membership.preferred_owner("w").map(|member| member.id);
        let is_watcher = ids.first().is_none_or(|id| "b" < *id);
        if views != ids || owner != owners.pop() || membership.is_watcher() != is_watcher {
            return TestResult::error(format!("{views:?} {owner:?} with {ids:?}"));
        }
    }
    TestResult::passed()
}

#[test]
fn random_steps() {
    eprintln!("seed {SEED:#x}");
    let random = Gen::from_size_and_seed(60, SEED);
    let property: fn(_) -> _ = state_matches_events;
    QuickCheck::new()
        .rng(random)
        .tests(2_000)
        .quickcheck(property);
}

/// Guards against all-to-all traffic between data centres, lost or dead peers that receive no
/// heartbeats any more, and seeds that are forgotten while there is no VM list.
#[test]
fn beat_targets() {
    let start = Instant::now();
    let mut membership = membership("b", start);
    let mut far = beat("x3", 1);
    far.data_centre = "x".to_owned();
    let local = ["a", "b", "c"].map(|id| vm(id, "a", VmState::Live));
    let remote = ["x1", "x2", "x3", "x4", "x5"].map(|id| vm(id, "x", VmState::Live));
    let vms = local.into_iter().chain(remote).collect();
    membership.set_vm_list(&VmList { version: 1, vms }, start);
    membership.heard(&far, start);
    let mut counts = BTreeMap::new();
    for step in 0..80 {
        let now = start + ms(100 * step);
        let targets = membership.beat_targets(now);
        let far = targets.iter().filter(|address| address.starts_with('x'));
        assert_eq!(
            far.count(),
            if step % 20 == 0 { 2 } else { 0 },
            "step {step}"
        );
        for address in targets {
            *counts.entry(address).or_insert(0) += 1;
        }
        membership.tick(now);
    }
    let expected = [
        ("a:1", 27),
        ("c:1", 27),
        ("x1:1", 1),
        ("x2:1", 1),
        ("x3:1", 4),
        ("x4:1", 1),
        ("x5:1", 1),
    ];
    assert_eq!(
        counts,
        expected.map(|(id, count)| (id.to_owned(), count)).into()
    );
}

/// Guards against a sample that ignores free room, or fails with few peers.
#[test]
fn sample_prefers_room() {
    let now = Instant::now();
    let mut membership = membership("b", now);
    assert!(membership.sample_peer(0).is_none());
    for (count, id) in NAMES.into_iter().enumerate() {
        let slots = count as u32;
        let free = Some(Resources {
            slots,
            connections: 9,
            ..Resources::default()
        });
        membership.heard(
            &HeartbeatRequest {
                free,
                ..beat(id, 1)
            },
            now,
        );
        let sample = |seed| membership.sample_peer(seed).map(|member| member.id);
        let least = (0..200)
            .filter(|seed| sample(*seed) == Some(NAMES[0]))
            .count();
        let most = (0..200).filter(|seed| sample(*seed) == Some(id)).count();
        assert_eq!(
            least,
            if count == 0 { 200 } else { 0 },
            "the member with least room"
        );
        // Of n peers, the best is one of two drawn with probability 2 / n.
        let expected = if count == 0 { 200 } else { 400 / (count + 1) };
        assert!(
            most.abs_diff(expected) <= 40,
            "{most} instead of {expected} for {id}"
        );
    }
}
