//! Linearizability of the submissions and starts of one key.

use std::collections::HashSet;

use hs_wire::Outcome;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::check_steps;
use crate::simulation::Simulation;
use crate::step::Step;

/// Result of a submission for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The reply is missing; the submission may have taken effect.
    NoReply,
    /// The key has a record with another body.
    KeyReused,
    /// The reply has this outcome.
    Outcome(Outcome),
}

/// Operation on a key, as the simulation logs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    Submit { body: usize, result: CallResult },
    Start,
}

/// Operation on a key, as the checker sees it. A submission that gets a reply takes effect at two
/// points between its call and its reply: it is admitted, and later its outcome is observed.
#[derive(Clone, Copy, Debug)]
enum KeyOperation {
    Admit { body: usize, replied: bool },
    Observe { body: usize, result: CallResult },
    Start,
}

/// Possible state of a key.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct KeyState {
    /// Body of the admitted submission.
    body: Option<usize>,
    started: bool,
    /// Index into [`OUTCOMES`] of the final outcome that a caller observed.
    ended: Option<usize>,
}

const OUTCOMES: [Outcome; 5] = [
    Outcome::Done,
    Outcome::Failed,
    Outcome::NotRun,
    Outcome::Unknown,
    Outcome::Cancelled,
];

/// Specification of a key whose work may start only once. Its state is the set of possible key
/// states, since a submission without a reply may have taken effect or not.
struct NonRepeatableKey;

impl KeyState {
    fn admit(self, body: usize, replied: bool) -> Vec<Self> {
        let body = self.body.or(Some(body));
        let admitted = Self { body, ..self };
        match replied {
            true => vec![admitted],
            false => vec![self, admitted],
        }
    }

    fn observe(self, body: usize, result: CallResult) -> Option<Self> {
        let same = self.body? == body;
        let outcome = match result {
            CallResult::Outcome(Outcome::Accepted) => return same.then_some(self),
            CallResult::Outcome(outcome) => outcome,
            CallResult::KeyReused | CallResult::NoReply => return (!same).then_some(self),
        };
        let ended = OUTCOMES.iter().position(|other| *other == outcome);
        let possible = match outcome {
            Outcome::Done | Outcome::Failed => self.started,
            Outcome::NotRun => !self.started,
            _ => true,
        };
        let agrees = self.ended.is_none() || self.ended == ended;
        (same && possible && agrees).then_some(Self { ended, ..self })
    }

    fn start(self) -> Option<Self> {
        let allowed = self.body.is_some() && !self.started && self.ended.is_none();
        allowed.then_some(Self {
            started: true,
            ..self
        })
    }
}

impl Specification for NonRepeatableKey {
    type State = Vec<KeyState>;
    type Operation = KeyOperation;

    fn init() -> Self::State {
        vec![KeyState::default()]
    }

    fn apply(operation: &KeyOperation, states: &Self::State) -> (bool, Self::State) {
        let after = states.iter().flat_map(|state| match *operation {
            KeyOperation::Admit { body, replied } => state.admit(body, replied),
            KeyOperation::Observe { body, result } => {
                state.observe(body, result).into_iter().collect()
            }
            KeyOperation::Start => state.start().into_iter().collect(),
        });
        let mut after: Vec<KeyState> = after.collect();
        after.sort_unstable();
        after.dedup();
        (!after.is_empty(), after)
    }
}

/// Turns a log of calls (`true`) and replies into actions. Calls without a reply end after all
/// others. Of those with the same body only the first is kept, since it can take effect whenever
/// the others can.
fn actions(log: &[(usize, bool, Call)]) -> Vec<(usize, Action<KeyOperation>)> {
    let replies = log.iter().filter(|entry| !entry.1);
    let replied: HashSet<usize> = replies.map(|entry| entry.0).collect();
    let mut open_bodies = HashSet::new();
    let (mut actions, mut open) = (Vec::new(), Vec::new());
    for (id, called, call) in log {
        let action = match called {
            true => Action::Call,
            false => Action::Response,
        };
        match *call {
            Call::Start => actions.push((2 * id, action(KeyOperation::Start))),
            Call::Submit { body, result } => {
                let replied = replied.contains(id);
                let admit = KeyOperation::Admit { body, replied };
                if replied {
                    actions.push((2 * id, action(admit)));
                    let observe = KeyOperation::Observe { body, result };
                    actions.push((2 * id + 1, action(observe)));
                } else if open_bodies.insert(body) {
                    actions.push((2 * id, action(admit)));
                    open.push((2 * id, Action::Response(admit)));
                }
            }
        }
    }
    actions.extend(open);
    actions
}

fn is_linearizable(log: &[(usize, bool, Call)]) -> bool {
    log.is_empty()
        || WGLChecker::<NonRepeatableKey>::is_linearizable(History::from_actions(actions(log)))
}

/// Guards against a checker that accepts every history or rejects every history.
#[test]
fn checker_distinguishes_linearizable_histories() {
    struct Case {
        name: &'static str,
        log: Vec<(usize, bool, Call)>,
        linearizable: bool,
    }
    let submit = |body, result| Call::Submit { body, result };
    let no_reply = submit(0, CallResult::NoReply);
    let done = submit(0, CallResult::Outcome(Outcome::Done));
    let not_run = submit(0, CallResult::Outcome(Outcome::NotRun));
    let cancelled = submit(0, CallResult::Outcome(Outcome::Cancelled));
    let start = |id| vec![(id, true, Call::Start), (id, false, Call::Start)];
    let replies = |first, second| {
        let calls = [
            (0, true, no_reply),
            (1, true, submit(1, CallResult::NoReply)),
        ];
        [calls.to_vec(), vec![(0, false, first), (1, false, second)]].concat()
    };
    let same_replies = |reply| replies(reply, reply);
    let with_starts = |starts: usize, reply| {
        let mut log = same_replies(reply);
        for id in 2..2 + starts {
            log.splice(2..2, start(id));
        }
        log
    };
    let two_outcomes = replies(not_run, cancelled);
    let other = submit(1, CallResult::Outcome(Outcome::Accepted));
    let two_bodies = replies(submit(0, CallResult::Outcome(Outcome::Accepted)), other);
    #[rustfmt::skip]
    let cases = [
        Case { name: "one start, two callers", log: with_starts(1, done), linearizable: true },
        Case { name: "two starts", log: with_starts(2, done), linearizable: false },
        Case { name: "done without a start", log: same_replies(done), linearizable: false },
        Case { name: "not run", log: same_replies(not_run), linearizable: true },
        Case { name: "not run after a start", log: with_starts(1, not_run), linearizable: false },
        Case { name: "start after not run", log: [same_replies(not_run), start(2)].concat(), linearizable: false },
        Case { name: "two outcomes", log: two_outcomes, linearizable: false },
        Case { name: "two bodies", log: two_bodies, linearizable: false },
        Case { name: "lost reply", log: [vec![(0, true, no_reply)], start(1)].concat(), linearizable: true },
        Case { name: "start without a submission", log: start(0), linearizable: false },
    ];
    for case in cases {
        assert_eq!(
            is_linearizable(&case.log),
            case.linearizable,
            "{}",
            case.name
        );
    }
}

/// Guards against replies and starts that no sequential order of the calls explains.
#[test]
fn submissions_of_one_key_are_linearizable() {
    check_steps(500, 150, |steps: Vec<Step>| {
        let simulation = Simulation::run(&steps);
        let log = simulation.log.iter().filter(|entry| entry.2 == "k0");
        let log: Vec<_> = log
            .map(|(id, called, _, call)| (*id, *called, *call))
            .collect();
        is_linearizable(&log)
    });
}
