//! Tests that the current manifest never reverts.

use std::sync::{Barrier, Mutex};
use std::thread;

use hs_peer::ManifestState;
use hs_peer::OfferOutcome::{self, Applied, Conflict, Same, Stale};
use quickcheck::TestResult;
use todc_utils::Action::{self, Call, Response};
use todc_utils::{History, Specification, WGLChecker};

use crate::common::check_property;

const THREADS: usize = 4;

/// A call with its outcome. The checker ignores the outcome in the action that begins a call.
#[derive(Clone, Debug)]
enum ManifestCall {
    Offer(u64, &'static str, OfferOutcome),
    Read(u64, String),
}

use ManifestCall::{Offer, Read};

struct ManifestSpec;

impl Specification for ManifestSpec {
    type State = (u64, String);
    type Operation = ManifestCall;

    fn init() -> Self::State {
        (0, String::new())
    }

    fn apply(call: &ManifestCall, state: &Self::State) -> (bool, Self::State) {
        let (current_revision, current_text) = state;
        let is_valid = match call {
            Read(revision, text) => revision == current_revision && text == current_text,
            Offer(revision, _, Applied) => revision > current_revision,
            Offer(revision, _, Stale) => revision < current_revision || *revision == 0,
            Offer(0, _, _) => false,
            Offer(revision, text, Same) => revision == current_revision && text == current_text,
            Offer(revision, text, Conflict) => revision == current_revision && text != current_text,
        };
        match call {
            Offer(revision, text, Applied) => (is_valid, (*revision, (*text).to_owned())),
            _ => (is_valid, state.clone()),
        }
    }
}

type Actions = Vec<(usize, Action<ManifestCall>)>;

fn is_linearizable(actions: Actions) -> bool {
    WGLChecker::<ManifestSpec>::is_linearizable(History::from_actions(actions))
}

/// Guards against any order of offers that reverts the manifest, replaces its text, or has an
/// outcome other than the specified one.
fn never_reverts(offers: Vec<(u8, bool)>) -> TestResult {
    let mut state = ManifestState::new();
    let mut expected = ManifestSpec::init();
    for (revision, choice) in offers {
        let revision = [0, 1, 2, 3, 4, 5, 6, u64::MAX][usize::from(revision % 8)];
        let text = ["a", "b"][usize::from(choice)];
        let call = Offer(revision, text, state.offer(revision, text));
        let (is_valid, next) = ManifestSpec::apply(&call, &expected);
        expected = next;
        let text = state.text().unwrap_or_default();
        if !is_valid || (state.revision(), &*text) != (expected.0, &*expected.1) {
            return TestResult::error(format!("{call:?}, {state:?}, {expected:?}"));
        }
    }
    TestResult::passed()
}

#[test]
fn never_reverts_in_any_order() {
    check_property(0x5eed_0002, 40, 500, never_reverts as fn(_) -> _);
}

/// Records offers and reads by threads that share one state. The calls in one step all overlap.
fn record_history(round: usize) -> Actions {
    let (state, log) = (Mutex::new(ManifestState::new()), Mutex::new(Vec::new()));
    let barrier = Barrier::new(THREADS);
    let run = |thread: usize| {
        for step in 0..6 {
            let record_action = |action| log.lock().expect("log").push((thread, action));
            // Several threads offer the same revision, with equal and with different texts.
            let revision = (step + 1 + (thread * 7 + round) % 3) as u64;
            let text = ["a", "b"][(thread + round) % 4 / 2];
            record_action(Call(Read(0, String::new())));
            barrier.wait();
            let mut state = state.lock().expect("state");
            let call = if (thread + step).is_multiple_of(2) {
                Offer(revision, text, state.offer(revision, text))
            } else {
                let text = state.text();
                Read(state.revision(), text.as_deref().unwrap_or("").to_owned())
            };
            drop(state);
            record_action(Response(call));
        }
    };
    thread::scope(|scope| (0..THREADS).for_each(|thread| drop(scope.spawn(move || run(thread)))));
    log.into_inner().expect("log")
}

/// Guards against a manifest that reverts in the view of readers on several threads.
#[test]
fn recorded_histories_are_linearizable() {
    for actions in (0..50).map(record_history) {
        assert!(is_linearizable(actions.clone()), "{actions:?}");
    }
}

/// Whether a history is linearizable, and its calls: `2b` offers revision 2 with text `b`, `2b!` is
/// an offer with a conflict, `r2b` reads, `2b(` and `2b)` are the start and the end of an offer.
struct HistoryCase(bool, &'static str);

const HISTORIES: [HistoryCase; 8] = [
    HistoryCase(true, "1a r1a 2b r2b 2c! r2b"),
    HistoryCase(true, "1a( 2b( r1a r2b 1a) 2b)"),
    HistoryCase(false, "1a( 2b( r2b r1a 1a) 2b)"),
    HistoryCase(false, "1a 2b r2b r1a"),
    HistoryCase(false, "1a 2b r1a"),
    HistoryCase(false, "2b 1a r1a"),
    HistoryCase(false, "2b 2c! r2c"),
    HistoryCase(false, "2b 2c"),
];

fn parse_actions(name: &'static str) -> Actions {
    let offer = name.trim_start_matches('r');
    let (revision, text) = (u64::from(offer.as_bytes()[0] - b'0'), &offer[1..2]);
    let call = match name.as_bytes() {
        [b'r', ..] => Read(revision, text.to_owned()),
        [.., b'!'] => Offer(revision, text, Conflict),
        _ => Offer(revision, text, Applied),
    };
    let process = revision as usize;
    match name.as_bytes() {
        [.., b'('] => vec![(process, Call(call))],
        [.., b')'] => vec![(process, Response(call))],
        _ => vec![(0, Call(call.clone())), (0, Response(call))],
    }
}

/// Guards against a checker that accepts every history.
#[test]
fn reverting_histories_are_rejected() {
    for HistoryCase(expected, calls) in HISTORIES {
        let history = calls.split(' ').flat_map(parse_actions).collect();
        assert_eq!(is_linearizable(history), expected, "{calls}");
    }
}
