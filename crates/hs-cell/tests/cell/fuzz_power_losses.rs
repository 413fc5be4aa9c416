//! Fuzz test of starts that are taken by incarnations which the registry does not list yet, under the faults of the `fuzz`
//! module except for delayed starts and deadly tasks.

use std::time::Duration;

use crate::fuzz::{Roominess, apply, check_sequences, cut_off, finish_sequence, new_world};
use crate::fuzz_command::{Command, Sequence, WORKER_COUNT};
use crate::world::{UnlistedIncarnation, World};

/// Number of sequences per test run.
const SEQUENCE_COUNT: u64 = 1_200;

/// One of this many commands comes after a power loss.
const COMMANDS_PER_LOSS: u64 = 8;

/// Upper bound of the time for which a worker is cut off after its return, in milliseconds.
const MAX_CUT_MS: u64 = 12_000;

/// Time that a lease lasts on a clock which is far behind.
const LEASE_ON_LATER_CLOCK: Duration = Duration::from_secs(3600);

/// Upper bound of the time that a lease lasts on a clock which is nearly the same, in milliseconds.
const MAX_LEASE_ON_NEAR_CLOCK_MS: u64 = 11_000;

/// Lets a worker lose power. Its next incarnation takes some starts, and is cut off or goes on unlisted.
fn lose_power(world: &mut World) {
    let number = world.random_below(WORKER_COUNT as u64) as usize;
    let asked = match world.random_below(4) {
        0 => Duration::ZERO,
        1 => Duration::from_millis(world.random_below(MAX_LEASE_ON_NEAR_CLOCK_MS)),
        _ => LEASE_ON_LATER_CLOCK,
    };
    let answers = world.random_below(2) == 0;
    world.lose_power(number, UnlistedIncarnation { asked, answers });
    world.start_round();
    if world.random_below(2) == 0 {
        let time = Duration::from_millis(world.random_below(MAX_CUT_MS));
        cut_off(world, number, time);
    }
    if world.random_below(2) == 0 {
        world.list(number);
    }
}

fn run_sequence(sequence: &Sequence) {
    let mut world = new_world(sequence, Roominess::Tight);
    let mut jobs = 0;
    for command in &sequence.commands {
        if world.random_below(COMMANDS_PER_LOSS) == 0 {
            lose_power(&mut world);
        }
        match *command {
            // A delayed start may reach an incarnation that nobody has reached, see KNOWN-RED.txt.
            Command::DelayStarts { .. } => {}
            Command::SubmitDeadly { kind, .. } => {
                apply(&mut world, &mut jobs, Command::Submit { kind });
            }
            command => apply(&mut world, &mut jobs, command),
        }
    }
    finish_sequence(&mut world, jobs);
}

/// Guards against tasks that start elsewhere while an incarnation that the owner has not heard from keeps them.
#[test]
fn starts_on_unlisted_incarnations_violate_no_invariant() {
    check_sequences(SEQUENCE_COUNT, |sequence| {
        run_sequence(&sequence);
        true
    });
}
