//! Random sequences of work and faults against the oracle in `world`.
//!
//! The oracle checks at each start that no worker is over its capacity, that no task runs twice at a
//! time or again after an acknowledged end, that earlier steps are done, and that attempts are left. At
//! the end of a sequence everything heals, and every job has to end.

use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::Duration;

use hs_cell::{JobState, RunEnd, StepSpec};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::fixture::{advised_queue, id, job, queue, step};
use crate::world::World;

/// Workers of a sequence.
const WORKERS: usize = 4;

/// Sequences of a run; a failure prints its commands and its seed.
const SEQUENCES: u64 = 10_000;

/// Commands of a sequence at the most.
const SEQUENCE_COMMANDS: usize = 90;

/// Variable that repeats a run of the fuzz.
const SEED_VARIABLE: &str = "CELL_FUZZ_SEED";

/// Rounds after which everything has to have ended: leases, advice and retries take a few seconds.
const SETTLE_ROUNDS: usize = 160;

#[derive(Clone, Copy, Debug)]
enum Command {
    Submit { kind: u8 },
    Cancel { nth: u8 },
    Hold { worker: u8 },
    End { worker: u8, nth: u8, how: u8 },
    Pass { ms: u16 },
    Crash { worker: u8 },
    Restart { worker: u8 },
    Cut { worker: u8 },
    Heal { worker: u8 },
    Pump,
    Advise,
    BeginCommit,
    FinishCommit,
    LoseOwner { written: bool },
    LateStarts { percent: u8 },
}

impl Arbitrary for Command {
    fn arbitrary(g: &mut Gen) -> Self {
        let worker = u8::arbitrary(g) % WORKERS as u8;
        let nth = u8::arbitrary(g);
        match u8::arbitrary(g) % 40 {
            0..=4 => Self::Submit { kind: nth },
            5 => Self::Cancel { nth },
            6..=13 => Self::Hold { worker },
            14..=17 => Self::End {
                worker,
                nth,
                how: u8::arbitrary(g),
            },
            18..=20 => Self::Pass {
                ms: u16::arbitrary(g) % 3000,
            },
            21 => Self::Crash { worker },
            22 => Self::Restart { worker },
            23 => Self::Cut { worker },
            24 => Self::Heal { worker },
            25..=29 => Self::Pump,
            30..=31 => Self::Advise,
            32..=34 => Self::BeginCommit,
            35..=37 => Self::FinishCommit,
            38 => Self::LoseOwner {
                written: bool::arbitrary(g),
            },
            _ => Self::LateStarts { percent: nth % 60 },
        }
    }
}

#[derive(Clone, Debug)]
struct Sequence {
    commands: Vec<Command>,
    seed: u64,
}

impl Arbitrary for Sequence {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            commands: Vec::arbitrary(g),
            seed: u64::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        let shorter = self.commands.shrink();
        Box::new(shorter.map(move |commands| Self { commands, seed }))
    }
}

fn steps(kind: u8) -> (&'static str, Vec<StepSpec>) {
    let gang = StepSpec {
        gang: true,
        ..step(3, 3000, 800)
    };
    let spread = StepSpec {
        max_per_worker: 1,
        ..step(2, 1000, 400)
    };
    let second = StepSpec {
        after: [0].into_iter().collect(),
        ..step(2, 2500, 600)
    };
    match kind % 6 {
        0 => ("check", vec![step(2, 1500, 300)]),
        1 => ("plan", vec![gang]),
        2 => ("recon", vec![step(3, 2000, 500), second]),
        3 => ("recon", vec![spread]),
        4 => ("check", vec![step(1, 8000, 300)]),
        _ => (
            "plan",
            vec![
                step(1, 1000, 200),
                StepSpec {
                    gang: true,
                    ..second
                },
            ],
        ),
    }
}

/// Plays a sequence. Panics where the oracle disagrees.
fn play(sequence: &Sequence) {
    let queues = vec![
        queue("check", 0, 2),
        advised_queue("plan", 1, Duration::from_millis(300)),
        queue("recon", 2, 3),
    ];
    let mut world = World::new(WORKERS, queues, sequence.seed);
    let mut jobs = 0u64;
    for command in &sequence.commands {
        apply(&mut world, &mut jobs, *command);
    }
    for number in 0..WORKERS {
        world.workers[number].reachable = true;
        if !world.workers[number].up {
            world.restart(number);
        }
    }
    world.settle(SETTLE_ROUNDS);
    for number in 0..jobs {
        let state = world.state(id(number));
        let ended = matches!(state, Some(JobState::Ended(_)));
        assert!(
            ended,
            "job {number} is {state:?} after everything has healed"
        );
    }
}

fn apply(world: &mut World, jobs: &mut u64, command: Command) {
    match command {
        Command::Submit { kind } => {
            let (queue, steps) = steps(kind);
            world.submit(id(*jobs), job(queue, steps));
            *jobs += 1;
        }
        Command::Cancel { nth } if *jobs > 0 => world.cancel(id(u64::from(nth) % *jobs)),
        Command::Cancel { .. } => {}
        Command::Hold { worker } => world.hold(usize::from(worker)),
        Command::End { worker, nth, how } => {
            let number = usize::from(worker);
            let runs = &world.workers[number].running;
            if runs.is_empty() {
                return;
            }
            let run = *runs
                .keys()
                .nth(usize::from(nth) % runs.len())
                .expect("the number is below the length");
            let how = match how % 4 {
                0 => RunEnd::Failed,
                _ => RunEnd::Done,
            };
            world.end(number, run, how);
        }
        Command::Pass { ms } => world.pass(Duration::from_millis(ms.into())),
        Command::Crash { worker } => world.crash(usize::from(worker)),
        Command::Restart { worker } => world.restart(usize::from(worker)),
        Command::Cut { worker } => world.workers[usize::from(worker)].reachable = false,
        Command::Heal { worker } => world.workers[usize::from(worker)].reachable = true,
        Command::Pump => world.pump(),
        Command::Advise => world.answer_advice(),
        Command::BeginCommit => world.begin_commit(),
        Command::FinishCommit => world.finish_commit(),
        Command::LoseOwner { written } => world.lose_owner(written),
        Command::LateStarts { percent } => world.late_percent = percent.into(),
    }
}

/// Returns a fresh seed, from the random keys of the standard library's hasher.
fn rand_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Guards against work that runs twice, is lost or breaks a limit, under any order of faults.
#[test]
fn random_faults_break_no_promise() {
    fn holds(sequence: Sequence) -> bool {
        play(&sequence);
        true
    }
    let fixed = std::env::var(SEED_VARIABLE).ok();
    let seed = fixed.and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or_else(rand_seed);
    println!("{SEED_VARIABLE}={seed}");
    QuickCheck::new()
        .tests(SEQUENCES)
        .max_tests(SEQUENCES)
        .rng(Gen::from_size_and_seed(SEQUENCE_COMMANDS, seed))
        .quickcheck(holds as fn(Sequence) -> bool);
}
