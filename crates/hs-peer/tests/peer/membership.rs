//! Tests of the live members: heartbeats, timeouts, pauses and VM lists.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use hs_peer::message::Resources;
use hs_peer::{LossReason, MemberEvent, MemberOptions, Membership, rendezvous};
use hs_wire::{VmList, VmState};
use quickcheck::TestResult;

use crate::common::{check_property, heartbeat, membership, ms, vm};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Shortens an event to `+id` for a join and `-id` with the first letter of the reason for a loss.
fn abbreviate(event: &MemberEvent) -> String {
    match event {
        MemberEvent::Joined { id, .. } => format!("+{id}"),
        MemberEvent::Lost { id, reason, .. } => format!("-{id}{:.1}", format!("{reason:?}")),
        MemberEvent::Resumed { .. } => "resumed".to_owned(),
    }
}

use Step::{Heartbeat, Pause, SetVmList, Ticks};

#[derive(Clone, Copy)]
enum Step {
    /// Heartbeat with an id, an incarnation, a version of the VM list, and whether the peer is
    /// leaving.
    Heartbeat(&'static str, u64, u64, bool),
    /// Ticks every 100 ms for a number of milliseconds.
    Ticks(u64),
    /// One tick after a pause of a number of milliseconds.
    Pause(u64),
    /// VM list with a version and the ids of the VMs.
    SetVmList(u64, &'static [&'static str]),
}

/// Steps, expected events, and the fault that the case guards against.
///
/// Steps: `a2` is a heartbeat from `a` with incarnation 2, `a2!` the same when leaving, `a2v3` the
/// same with version 3 of the VM list, `900` are ticks over 900 ms, `p900` is a pause of 900 ms,
/// `l4ab` is a VM list of version 4 with `a` and `b`.
struct StepCase(&'static str, &'static str, &'static str);

const CASES: [StepCase; 17] = [
    StepCase("a1 1200", "+a -aT", "loss is late"),
    StepCase("a1 1100 a1 1100", "+a", "loss is early"),
    StepCase("a1 1300 900 a1 a1 1300", "+a -aT +a -aT", "peer flaps"),
    StepCase(
        "a2 1300 a1",
        "+a -aT",
        "old incarnation restores a lost peer",
    ),
    StepCase(
        "a2 900 a1 300",
        "+a -aT",
        "old incarnation prevents the loss",
    ),
    StepCase("a1 a2", "+a -aR +a", "restart is not detected"),
    StepCase("a1 a1! a1", "+a -aL", "late heartbeat undoes leaving"),
    StepCase("a1! a1! a2", "+a", "member cannot return after leaving"),
    StepCase(
        "a1 c1 p9000 1100 c1 200",
        "+a +c resumed -aT",
        "pause causes a loss",
    ),
    StepCase(
        "a1 p1300 100 p1300 1100",
        "+a resumed resumed",
        "repeated pauses cause a loss",
    ),
    StepCase("a1 l1bc", "+a -aU", "unlisted peer stays live"),
    StepCase("a1 l5ab l4b", "+a", "older list is used"),
    StepCase("l1ab a1 l2", "+a", "empty list is used"),
    StepCase("l3b a1v3 c1v4 l4b", "+c -cU", "unlisted peer joins"),
    StepCase(
        "l1ab a2 l2b l3ab a1",
        "+a -aU",
        "old incarnation restores a lost peer",
    ),
    StepCase(
        "a9 1300 29000 a1 2000 a1 900",
        "+a -aT +a",
        "clock that was set back excludes a restarted peer",
    ),
    StepCase(
        "a9 a9! 32000 a1 900",
        "+a -aL +a",
        "clock that was set back excludes a peer that left",
    ),
];

fn parse(step: &'static str) -> Step {
    let number = |text: &str| text.parse().expect("a number");
    match step.as_bytes()[0] {
        b'0'..=b'9' => Ticks(number(step)),
        b'p' => Pause(number(&step[1..])),
        b'l' => {
            let ids = NAMES.iter().filter(|id| step[2..].contains(**id));
            SetVmList(number(&step[1..2]), ids.copied().collect::<Vec<_>>().leak())
        }
        _ => {
            let (incarnation, version) = step[1..].split_once('v').unwrap_or((&step[1..], "0"));
            let incarnation = number(incarnation.trim_end_matches('!'));
            Heartbeat(
                &step[..1],
                incarnation,
                number(version),
                step.ends_with('!'),
            )
        }
    }
}

#[test]
fn steps_give_expected_events() {
    for StepCase(steps, expected, fault) in CASES {
        let mut now = Instant::now();
        let mut membership = membership("b", now);
        let mut events = Vec::new();
        for step in steps.split(' ') {
            events.extend(apply(&mut membership, parse(step), &mut now));
        }
        let events: Vec<_> = events.iter().map(abbreviate).collect();
        assert_eq!(events.join(" "), expected, "{fault}: {steps}");
    }
}

fn apply(membership: &mut Membership, step: Step, now: &mut Instant) -> Vec<MemberEvent> {
    match step {
        Heartbeat(id, incarnation, vm_list_version, leaving) => {
            let mut heartbeat = heartbeat(id, incarnation);
            (heartbeat.vm_list_version, heartbeat.leaving) = (vm_list_version, leaving);
            membership.handle_heartbeat(&heartbeat, *now)
        }
        Ticks(duration_ms) => {
            let ticks = 0..duration_ms / 100;
            ticks
                .flat_map(|_| apply(membership, Pause(100), now))
                .collect()
        }
        Pause(pause_ms) => {
            *now += ms(pause_ms);
            membership.tick(*now)
        }
        SetVmList(version, ids) => {
            let vms = ids.iter().map(|id| vm(id, "a", VmState::Live)).collect();
            membership.set_vm_list(
                &VmList {
                    version,
                    vms,
                    ..VmList::default()
                },
                *now,
            )
        }
    }
}

/// Guards against any sequence of steps after which the live members differ from the reported
/// events, an owner is not the live member with the highest weight, or a peer is lost before its
/// timeout.
fn state_matches_events(codes: Vec<(u8, u8, u8)>) -> TestResult {
    let mut now = Instant::now();
    let mut membership = membership("b", now);
    let mut live = BTreeSet::new();
    let mut listed: Option<(u64, &[&str])> = None;
    // Deadline and highest incarnation of each peer.
    let mut peers: BTreeMap<_, _> = NAMES.map(|id| (id, (now, 0))).into();
    for (kind, choice, amount) in codes {
        let (index, amount) = (usize::from(choice) % NAMES.len(), u64::from(amount));
        let version = listed.map_or(0, |(current, _)| current) + amount % 3;
        let step = match kind % 16 {
            0..9 => Heartbeat(NAMES[index], amount % 4, 0, amount > 224),
            9..14 => Ticks(amount * 8),
            14 => Pause(amount * 16),
            _ => SetVmList(version, &NAMES[..=index]),
        };
        let events = apply(&mut membership, step, &mut now);
        let deadline = now + ms(1_200);
        match step {
            Heartbeat(id, incarnation, ..) => {
                let is_listed = listed.is_none_or(|(_, ids)| ids.contains(&id));
                let (last_deadline, highest) = peers[id];
                let is_forgotten = now >= last_deadline + ms(30_000);
                if is_listed && (incarnation >= highest || is_forgotten) {
                    peers.insert(id, (deadline, incarnation));
                }
            }
            SetVmList(version, ids) if listed.is_none_or(|(current, _)| version > current) => {
                listed = Some((version, ids));
            }
            _ => {}
        }
        for event in &events {
            let is_expected = match event {
                MemberEvent::Joined { id, .. } => live.insert(id.clone()),
                MemberEvent::Lost { id, reason, .. } => {
                    let is_timed_out = peers[id.as_str()].0 <= now;
                    live.remove(id) && (*reason != LossReason::Timeout || is_timed_out)
                }
                MemberEvent::Resumed { pause } => {
                    peers.values_mut().for_each(|peer| peer.0 = deadline);
                    *pause > ms(1_200) && events.len() == 1
                }
            };
            if !is_expected {
                return TestResult::error(format!("{event:?} with {live:?}"));
            }
        }
        let is_due = |id: &String| matches!(step, Ticks(100..)) && peers[id.as_str()].0 <= now;
        let mut views: Vec<_> = membership.live_peers().map(|member| member.id).collect();
        views.sort_unstable();
        let item = rendezvous::hash_name("w");
        let weight = |id: &&str| rendezvous::weight(item, rendezvous::hash_name(id));
        let owner = views.iter().copied().chain(["b"]).max_by_key(weight);
        let is_watcher = views.first().is_none_or(|id| "b" < *id);
        if live.iter().any(is_due)
            || !views.iter().eq(&live)
            || owner != membership.preferred_owner("w").map(|member| member.id)
            || is_watcher != membership.is_watcher()
        {
            return TestResult::error(format!("{views:?} with {live:?} after {events:?}"));
        }
    }
    TestResult::passed()
}

#[test]
fn state_matches_events_after_random_steps() {
    check_property(0x5eed_0003, 60, 2_000, state_matches_events as fn(_) -> _);
}

/// Guards against heartbeats from all to all between data centres, and against lost or dead peers
/// to which no heartbeats are sent any more.
#[test]
fn heartbeat_targets() {
    let start = Instant::now();
    let mut membership = membership("ab", start);
    let mut remote_heartbeat = heartbeat("x3", 1);
    remote_heartbeat.data_centre = "x".to_owned();
    let names = ["aa", "ab", "ac", "x1", "x2", "x3", "x4", "x5"];
    let vms = names.map(|id| vm(id, &id[..1], VmState::Live)).into();
    membership.set_vm_list(
        &VmList {
            version: 1,
            vms,
            ..VmList::default()
        },
        start,
    );
    membership.handle_heartbeat(&remote_heartbeat, start);
    let mut counts = BTreeMap::new();
    for step in 0..80 {
        let now = start + ms(100 * step);
        let targets = membership.heartbeat_targets(now);
        let remote_targets = targets.iter().filter(|address| address.starts_with('x'));
        let is_due = step % 20 == 0;
        assert_eq!(
            remote_targets.count(),
            if is_due { 2 } else { 0 },
            "step {step}"
        );
        for address in targets {
            *counts.entry(address).or_insert(0_u32) += 1;
        }
        membership.tick(now);
    }
    let counts: Vec<_> = counts.values().copied().collect();
    // In the order of aa, ac, x1 to x5, of which only x3 sends heartbeats.
    assert_eq!(counts, [27, 27, 1, 1, 4, 1, 1]);
}

/// Guards against a start without a VM list in which no peer gets a heartbeat, seeds that are
/// dropped while there is no VM list, memory that grows with unknown ids, and a process that still
/// owns workers while it shuts down.
#[test]
fn start_without_list() {
    let now = Instant::now();
    let options = MemberOptions {
        id: "b".to_owned(),
        seeds: vec!["a:1".to_owned(), "z:1".to_owned()],
        max_members: 3,
        ..MemberOptions::default()
    };
    let mut membership = Membership::new(options, now);
    let joins = ["a", "c", "d"].map(|id| membership.handle_heartbeat(&heartbeat(id, 1), now).len());
    assert_eq!(joins, [1, 1, 0], "a third peer is above the limit");
    // This process has no data centre, so the timeout for other data centres applies.
    let losses = [1, 2, 3, 4, 5, 6, 7, 8].map(|s| membership.tick(now + ms(s * 1_000)).len());
    assert_eq!(losses, [0, 0, 0, 0, 0, 0, 0, 2]);
    let mut targets = membership.heartbeat_targets(now);
    targets.sort_unstable();
    assert_eq!(targets, ["a:1", "c:1", "z:1"]);
    membership.leave();
    assert!(membership.preferred_owner("w").is_none() && !membership.is_watcher());
    assert!(membership.heartbeat(hs_wire::Resources::ZERO, 0, 0).leaving);
}

/// Guards against a sample that ignores free capacity, or fails with few peers.
#[test]
fn sample_prefers_free_capacity() {
    let now = Instant::now();
    let mut membership = membership("b", now);
    assert!(membership.sample_peer(0).is_none());
    for (count, id) in ["a", "c", "d", "e", "f"].into_iter().enumerate() {
        let mut heartbeat = heartbeat(id, 1);
        heartbeat.free = Some(Resources {
            slots: count as u32,
            connections: 9,
            ..Resources::default()
        });
        membership.handle_heartbeat(&heartbeat, now);
        let sample = |seed| membership.sample_peer(seed).map(|member| member.id);
        let sampled_count = |id| (0..200).filter(|seed| sample(*seed) == Some(id)).count();
        // Of n peers, the best is one of the two samples with probability 2 / n, and the worst is
        // never returned.
        let expected = if count == 0 { 200 } else { 400 / (count + 1) };
        assert!(
            sampled_count(id).abs_diff(expected) <= 40,
            "{} of {id}",
            sampled_count(id)
        );
        assert!(count == 0 || sampled_count("a") == 0);
    }
}
