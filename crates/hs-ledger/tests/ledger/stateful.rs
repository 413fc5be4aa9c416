//! Random histories of two processes, checked by the assertions of the simulation.

use std::collections::BTreeSet;

use quickcheck::{Arbitrary, Gen};

use crate::linear::{Call, CallResult};
use crate::simulation::Simulation;
use crate::step::Step;
use crate::{check_steps, seed};

/// Guards against work that runs twice, is lost, or runs after a reply of not run, in any order of
/// faults, takeovers and pauses.
#[test]
fn random_histories_keep_all_guarantees() {
    check_steps(3000, 300, |steps: Vec<Step>| {
        Simulation::run(&steps);
        true
    });
}

/// Guards against random histories that never reach the replies and starts that the simulation
/// checks.
#[test]
fn random_histories_reach_every_outcome() {
    let mut source = Gen::from_size_and_seed(300, seed());
    let (mut outcomes, mut reused, mut starts) = (BTreeSet::new(), 0, 0);
    for _ in 0..1000 {
        for (_, called, _, call) in Simulation::run(&Vec::arbitrary(&mut source)).log {
            match call {
                Call::Start => starts += u32::from(called),
                Call::Submit {
                    result: CallResult::Outcome(outcome),
                    ..
                } => _ = outcomes.insert(outcome.name()),
                Call::Submit {
                    result: CallResult::KeyReused,
                    ..
                } => reused += 1,
                Call::Submit {
                    result: CallResult::NoReply,
                    ..
                } => (),
            }
        }
    }
    let all = ["accepted", "cancelled", "done", "failed", "not_run"];
    assert!(outcomes.is_superset(&BTreeSet::from(all)), "{outcomes:?}");
    assert!(
        reused > 100 && starts > 1000,
        "{reused} replies of key reuse, {starts} starts"
    );
}
