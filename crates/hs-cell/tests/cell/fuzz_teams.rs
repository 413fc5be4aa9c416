//! Fuzz test of teams with caps and weights that change, and with owed and surplus jobs, under the faults of the
//! `fuzz` module.

use std::sync::Arc;

use hs_cell::{JobSpec, JobState, RunEnd, StepId, TaskRun};
use hs_wire::Resources;

use crate::fixture::{cpu, id};
use crate::fuzz::{
    Roominess, apply, check_sequences, finish_sequence, new_world, settle, steps_of_kind,
};
use crate::fuzz_command::{Command, Sequence};
use crate::readiness::overlooked_steps;
use crate::team_jobs::team_job;
use crate::world::World;

/// Number of sequences per test run.
const SEQUENCE_COUNT: u64 = 6_000;

/// Number of sequences with spare room per test run.
const ROOMY_SEQUENCE_COUNT: u64 = 1_000;

/// Names of the teams. Jobs without a team run beside them.
const TEAMS: [&str; 2] = ["a", "b"];

/// Caps that change in a sequence, in thousandths of a CPU core; 0 is no limit. Some are below a single task.
const CAPS: [u32; 6] = [0, 1000, 3000, 5000, 9000, 16_000];

/// Cap under which each job of a sequence can run.
const AMPLE_CAP: u32 = 9000;

/// One of this many commands comes after a change of a cap, and as many after one of a weight.
const COMMANDS_PER_CAP: u64 = 12;

/// Weights that change in a sequence. With the first one nearly all jobs are surplus, with the last one none.
const WEIGHTS: [f64; 3] = [0.01, 1.0, 1000.0];

/// Time over which the acceptance of jobs is spread, in milliseconds. They arrive out of order.
const ACCEPTANCE_SPREAD_MS: u64 = 4000;

/// Number of rounds after which nothing counts for a team without runs.
const IDLE_ROUNDS: usize = 60;

fn change_cap(world: &mut World) {
    let team = TEAMS[world.random_below(TEAMS.len() as u64) as usize];
    let cap = CAPS[world.random_below(CAPS.len() as u64) as usize];
    world.set_cap(team, cpu(cap));
}

fn change_weight(world: &mut World) {
    let team = TEAMS[world.random_below(TEAMS.len() as u64) as usize];
    let weight = WEIGHTS[world.random_below(WEIGHTS.len() as u64) as usize];
    world.set_weight(team, weight);
}

/// Applies a command of a sequence in which most jobs have a team.
fn apply_with_teams(world: &mut World, jobs: &mut u64, command: Command) {
    if world.random_below(COMMANDS_PER_CAP) == 0 {
        change_cap(world);
    }
    if world.random_below(COMMANDS_PER_CAP) == 0 {
        change_weight(world);
    }
    let Command::Submit { kind } = command else {
        apply(world, jobs, command);
        return;
    };
    let (queue, steps) = steps_of_kind(kind);
    let team = TEAMS.get(usize::from(kind / 6) % (TEAMS.len() + 1));
    let spec = Arc::unwrap_or_clone(team_job(queue, steps, team.copied()));
    let accepted_ms = world.random_below(ACCEPTANCE_SPREAD_MS);
    let spec = Arc::new(JobSpec {
        accepted_ms,
        ..spec
    });
    world.submit(id(*jobs), spec);
    *jobs += 1;
}

fn begin_sequence(sequence: &Sequence, roominess: Roominess) -> (World, u64) {
    let mut world = new_world(sequence, roominess);
    for team in TEAMS {
        world.set_cap(team, cpu(AMPLE_CAP));
    }
    let mut jobs = 0;
    for command in &sequence.commands {
        apply_with_teams(&mut world, &mut jobs, *command);
    }
    (world, jobs)
}

fn run_sequence(sequence: &Sequence) {
    let (mut world, jobs) = begin_sequence(sequence, Roominess::Tight);
    for team in TEAMS {
        world.set_cap(team, cpu(AMPLE_CAP));
    }
    finish_sequence(&mut world, jobs);
    for _ in 0..IDLE_ROUNDS {
        world.finish_runs(1);
    }
    for team in TEAMS {
        assert_eq!(world.running_of_team(team), Resources::ZERO, "team {team}");
        assert_eq!(world.cell.team_usage(team), [0; 5], "team {team}");
    }
    assert_eq!(world.cell.parked_steps(), 0);
}

fn run_sequence_with_room(sequence: &Sequence) {
    let (mut world, jobs) = begin_sequence(sequence, Roominess::Roomy);
    settle(&mut world);
    assert_eq!(overlooked_steps(&world), Vec::<StepId>::new(), "settled");
    let is_ended = |number: &u64| matches!(world.state(id(*number)), Some(JobState::Ended(_)));
    let ended = (0..jobs).filter(is_ended).count();
    for team in TEAMS {
        let used = world.running_of_team(team).dimensions().map(u64::from);
        assert_eq!(world.cell.team_usage(team), used, "{ended} jobs have ended");
    }
    // Room that appears at one end is used soon.
    let runs = world
        .workers
        .iter()
        .enumerate()
        .flat_map(|(number, worker)| {
            let runs = worker.running.keys().copied();
            runs.map(move |run| (number, run))
        });
    let runs: Vec<(usize, TaskRun)> = runs.collect();
    if let Some((number, run)) = runs.first().copied() {
        world.end(number, run, RunEnd::Done);
    }
    change_cap(&mut world);
    crate::fuzz::run_start_bound_rounds(&mut world);
    assert_eq!(
        overlooked_steps(&world),
        Vec::<StepId>::new(),
        "after an end"
    );
}

/// Guards against starts that bring a team over its cap, against usage that is never given back, and against jobs that
/// never run although their team has room, under any order of faults and of changes of the caps.
#[test]
fn no_start_brings_a_team_over_its_cap() {
    check_sequences(SEQUENCE_COUNT, |sequence| {
        run_sequence(&sequence);
        true
    });
}

/// Guards against ready tasks that wait beside free workers although their team has room for them.
#[test]
fn ready_tasks_start_while_their_team_has_room() {
    check_sequences(ROOMY_SEQUENCE_COUNT, |sequence| {
        run_sequence_with_room(&sequence);
        true
    });
}
