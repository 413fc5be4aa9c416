//! The manifest in force never reverts.

use std::sync::{Barrier, Mutex};
use std::thread;

use hs_peer::ManifestOffer::{self, Applied, Conflict, Same, Stale};
use hs_peer::ManifestState;
use quickcheck::{Gen, QuickCheck, TestResult};
use todc_utils::Action::{self, Call, Response};
use todc_utils::{History, Specification, WGLChecker};

const SEED: u64 = 0x5eed_0002;
const THREADS: usize = 4;
const TEXTS: [&str; 2] = ["{}", "{ /* other */ }"];

/// Guards against a lower revision, or another text of the same revision, that is applied.
#[test]
fn offers_in_order() {
    let mut state = ManifestState::new();
    assert_eq!((state.revision(), state.text()), (0, None));
    let offers = [
        (0, "a", Stale, 0),
        (2, "b", Applied, 2),
        (2, "b", Same, 2),
        (2, "c", Conflict, 2),
        (1, "a", Stale, 2),
        (7, "b", Applied, 7),
        (2, "b", Stale, 7),
        (0, "b", Stale, 7),
        (u64::MAX, "d", Applied, u64::MAX),
        (u64::MAX, "e", Conflict, u64::MAX),
    ];
    for (revision, text, expected, in_force) in offers {
        assert_eq!(state.offer(revision, text), expected, "{revision} {text}");
        assert_eq!(state.revision(), in_force);
    }
    assert_eq!(state.text().as_deref(), Some("d"));
}

fn never_reverts(offers: Vec<(u8, bool)>) -> TestResult {
    let mut state = ManifestState::new();
    let mut highest = (0, None);
    for (revision, text) in offers {
        let (revision, text) = (u64::from(revision % 8), TEXTS[usize::from(text)]);
        state.offer(revision, text);
        if revision > highest.0 {
            highest = (revision, Some(text));
        }
        if (state.revision(), state.text().as_deref()) != highest {
            return TestResult::error(format!("{state:?} instead of {highest:?}"));
        }
    }
    TestResult::passed()
}

/// Guards against any order of offers that reverts the manifest or replaces its text.
#[test]
fn never_reverts_in_any_order() {
    eprintln!("seed {SEED:#x}");
    let random = Gen::from_size_and_seed(40, SEED);
    let property: fn(_) -> _ = never_reverts;
    QuickCheck::new()
        .rng(random)
        .tests(500)
        .quickcheck(property);
}

#[derive(Clone, Debug)]
enum ManifestCall {
    Publish(u64, &'static str, Option<ManifestOffer>),
    Read(Option<(u64, String)>),
}

use ManifestCall::{Publish, Read};

struct ManifestSpec;

impl Specification for ManifestSpec {
    type State = (u64, String);
    type Operation = ManifestCall;

    fn init() -> Self::State {
        (0, String::new())
    }

    fn apply(call: &ManifestCall, state: &Self::State) -> (bool, Self::State) {
        match call {
            Read(seen) => (seen.as_ref() == Some(state), state.clone()),
            Publish(revision, text, offer) => match offer {
                Some(Applied) => (*revision > state.0, (*revision, (*text).to_owned())),
                Some(Stale) => (*revision < state.0, state.clone()),
                Some(Same) => ((*revision, *text) == (state.0, &state.1), state.clone()),
                Some(Conflict) => (*revision == state.0 && *text != state.1, state.clone()),
                None => (false, state.clone()),
            },
        }
    }
}

type Actions = Vec<(usize, Action<ManifestCall>)>;

fn is_linearizable(actions: Actions) -> bool {
    WGLChecker::<ManifestSpec>::is_linearizable(History::from_actions(actions))
}

/// Records publishes and reads of several threads that share one state. The calls of one step all
/// overlap.
fn record(round: usize) -> Actions {
    let state = Mutex::new(ManifestState::new());
    let log = Mutex::new(Vec::new());
    let barrier = Barrier::new(THREADS);
    let run = |thread: usize| {
        for step in 0..6 {
            let note = |action| log.lock().expect("log").push((thread, action));
            if (thread + step).is_multiple_of(2) {
                // Revisions overlap between threads, with equal and with different texts.
                let revision = (step + 1 + (thread * 7 + round) % 3) as u64;
                let text = TEXTS[(thread + round) % 2];
                note(Call(Publish(revision, text, None)));
                barrier.wait();
                let offer = state.lock().expect("state").offer(revision, text);
                note(Response(Publish(revision, text, Some(offer))));
            } else {
                note(Call(Read(None)));
                barrier.wait();
                let state = state.lock().expect("state").clone();
                let text = state.text().as_deref().unwrap_or_default().to_owned();
                note(Response(Read(Some((state.revision(), text)))));
            }
        }
    };
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let run = &run;
            scope.spawn(move || run(thread));
        }
    });
    log.into_inner().expect("log")
}

/// Guards against a state that readers on several threads could see revert.
#[test]
fn recorded_histories_are_linearizable() {
    for round in 0..50 {
        let actions = record(round);
        assert!(
            is_linearizable(actions.clone()),
            "round {round}: {actions:?}"
        );
    }
}

/// Guards against a check that accepts everything.
#[test]
fn reverting_histories_are_rejected() {
    let publish = |revision, text, offer| {
        let call = Call(Publish(revision, text, None));
        vec![
            (0, call),
            (0, Response(Publish(revision, text, Some(offer)))),
        ]
    };
    let read = |revision, text: &str| {
        let seen = Some((revision, text.to_owned()));
        vec![(1, Call(Read(None))), (1, Response(Read(seen)))]
    };
    let (first, second) = (publish(1, "a", Applied), publish(2, "b", Applied));
    let cases = [
        (
            true,
            vec![first.clone(), read(1, "a"), second.clone(), read(2, "b")],
        ),
        (
            false,
            vec![first.clone(), second.clone(), read(2, "b"), read(1, "a")],
        ),
        (false, vec![first.clone(), second.clone(), read(1, "a")]),
        (false, vec![second.clone(), first.clone(), read(1, "a")]),
        (
            false,
            vec![second.clone(), publish(2, "c", Conflict), read(2, "c")],
        ),
        (false, vec![second.clone(), publish(2, "c", Applied)]),
    ];
    for (index, (expected, parts)) in cases.into_iter().enumerate() {
        assert_eq!(is_linearizable(parts.concat()), expected, "case {index}");
    }
    // Reads that overlap both publishes may see them in order, but not revert either.
    for (expected, reads) in [(true, [1, 2]), (false, [2, 1])] {
        let mut actions = vec![
            (2, Call(Publish(1, "a", None))),
            (3, Call(Publish(2, "a", None))),
        ];
        actions.extend(reads.into_iter().flat_map(|revision| read(revision, "a")));
        actions.push((2, Response(Publish(1, "a", Some(Applied)))));
        actions.push((3, Response(Publish(2, "a", Some(Applied)))));
        assert_eq!(is_linearizable(actions), expected, "{reads:?}");
    }
}
