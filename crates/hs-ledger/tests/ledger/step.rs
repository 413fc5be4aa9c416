//! Steps of the randomized tests.

use quickcheck::{Arbitrary, Gen};

/// Kind of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    Submit,
    Place,
    Start,
    Finish,
    Resolve,
    Refuse,
    Cancel,
    Reply,
    BeginWrite,
    EndWrite,
    ReadBack,
    TakeOver,
    Release,
    DelayedWrite,
    DelayedStart,
    Advance,
}

/// Actions with the weights of their random choice.
const WEIGHTS: [(Action, usize); 16] = [
    (Action::Submit, 12),
    (Action::Place, 14),
    (Action::Start, 16),
    (Action::Finish, 6),
    (Action::Resolve, 8),
    (Action::Refuse, 2),
    (Action::Cancel, 1),
    (Action::Reply, 6),
    (Action::BeginWrite, 16),
    (Action::EndWrite, 18),
    (Action::ReadBack, 4),
    (Action::TakeOver, 3),
    (Action::Release, 1),
    (Action::DelayedWrite, 1),
    (Action::DelayedStart, 1),
    (Action::Advance, 2),
];

/// Step of a random history. A process that takes no steps for a while acts as if it were paused.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub action: Action,
    /// Index of one of two processes. The first takes most steps, so that the work makes progress.
    pub process_index: usize,
    /// Selects one of the variants of the action.
    pub choice: usize,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let actions = WEIGHTS
            .map(|(action, weight)| vec![action; weight])
            .concat();
        Self {
            action: *source.choose(&actions).unwrap(),
            process_index: usize::from(u8::arbitrary(source) < 50),
            choice: usize::arbitrary(source) % 60,
        }
    }
}
