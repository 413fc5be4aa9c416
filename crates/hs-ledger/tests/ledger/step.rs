//! Steps of the randomised tests.

use quickcheck::{Arbitrary, Gen};

/// What happens in a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    Submit,
    Place,
    Start,
    Finish,
    Resolve,
    Refuse,
    Cancel,
    Answer,
    BeginWrite,
    EndWrite,
    ReadBack,
    TakeOver,
    Release,
    LateWrite,
    LateStart,
    Advance,
}

/// Actions with their weights.
const WEIGHTS: [(Action, usize); 16] = [
    (Action::Submit, 12),
    (Action::Place, 14),
    (Action::Start, 16),
    (Action::Finish, 6),
    (Action::Resolve, 8),
    (Action::Refuse, 2),
    (Action::Cancel, 1),
    (Action::Answer, 6),
    (Action::BeginWrite, 16),
    (Action::EndWrite, 18),
    (Action::ReadBack, 4),
    (Action::TakeOver, 3),
    (Action::Release, 1),
    (Action::LateWrite, 1),
    (Action::LateStart, 1),
    (Action::Advance, 2),
];

/// One step. A process that takes no steps for a while is paused.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub action: Action,
    /// One of two processes. The first takes most steps, so that histories get far.
    pub who: usize,
    /// Selects among the variants of the action.
    pub pick: usize,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let actions = WEIGHTS
            .map(|(action, weight)| vec![action; weight])
            .concat();
        Self {
            action: *source.choose(&actions).unwrap(),
            who: usize::from(u8::arbitrary(source) < 50),
            pick: usize::arbitrary(source) % 60,
        }
    }
}
