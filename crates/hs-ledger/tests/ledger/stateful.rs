//! Random histories of two owners, checked by the world's oracle.

use std::collections::BTreeSet;

use quickcheck::{Arbitrary, Gen};

use crate::linear::{Call, Seen};
use crate::step::Step;
use crate::world::World;
use crate::{check_steps, seed};

/// Guards against work that runs twice, is lost, or runs after a reply of not run, whatever the order
/// of faults, takeovers and pauses.
#[test]
fn random_histories_keep_all_guarantees() {
    check_steps(3000, 300, |steps: Vec<Step>| {
        World::run(&steps);
        true
    });
}

/// Guards against histories that never get to the replies and starts that the oracle checks.
#[test]
fn random_histories_reach_every_outcome() {
    let mut source = Gen::from_size_and_seed(300, seed());
    let (mut outcomes, mut reused, mut starts) = (BTreeSet::new(), 0, 0);
    for _ in 0..1000 {
        for (_, called, _, call) in World::run(&Vec::arbitrary(&mut source)).log {
            match call {
                Call::Start => starts += u32::from(called),
                Call::Submit {
                    seen: Seen::Outcome(outcome),
                    ..
                } => _ = outcomes.insert(outcome.name()),
                Call::Submit {
                    seen: Seen::Reused, ..
                } => reused += 1,
                Call::Submit {
                    seen: Seen::Nothing,
                    ..
                } => (),
            }
        }
    }
    let all = ["accepted", "cancelled", "done", "failed", "not_run"];
    assert!(outcomes.is_superset(&BTreeSet::from(all)), "{outcomes:?}");
    assert!(
        reused > 100 && starts > 1000,
        "{reused} replies of reuse, {starts} starts"
    );
}
