//! Tests of the admission of jobs of congested teams.

use std::sync::Arc;

use hs_cell::{AdmissionVerdict, JobClass, JobSpec};

use crate::fixture::{WORKER_CPU, id, queue, step};
use crate::team_jobs::accepted_job;
use crate::world::World;

/// Time of a round, in which the worker runs one job.
const ROUND_MS: u64 = 250;

/// Rounds of a surge after which the team is congested: its objective of 1 s has been over for long.
const SURGE_ROUNDS: u64 = 60;

/// Number of the first of the jobs that ask for admission.
const ASKING: u64 = 10_000;

fn job_of(team: &str, accepted_ms: u64) -> Arc<JobSpec> {
    accepted_job("check", step(1, WORKER_CPU, ROUND_MS), team, accepted_ms)
}

/// Runs a surge of team `a` that sends three jobs in the time in which one runs, beside an idle team.
fn surge() -> World {
    let mut world = World::with_reports(1, vec![queue("check", 0, 3)]);
    world.set_weight("a", 1.0);
    world.set_weight("b", 1.0);
    for round in 0..SURGE_ROUNDS {
        for n in 0..3 {
            world.submit(id(round * 3 + n), job_of("a", round * ROUND_MS));
        }
        world.finish_runs(1);
    }
    world
}

fn admit(world: &mut World, number: u64, spec: &JobSpec) -> AdmissionVerdict {
    let now_ms = SURGE_ROUNDS * ROUND_MS;
    world.cell.admit(id(number), spec, world.now, now_ms)
}

/// Load pattern: a lasting surge of one team. Guards against teams that are congested without a surge, and against
/// congestion that lasts after it.
#[test]
fn only_a_team_with_a_long_surplus_is_congested() {
    let mut world = surge();
    let now = world.now;
    assert_eq!(world.cell.congested_teams(now), [Arc::from("a")]);
    world.finish_runs(200);
    let now = world.now;
    assert_eq!(world.cell.congested_teams(now), <[Arc<str>; 0]>::default());
}

/// Load pattern: a lasting surge of one team, each of whose jobs asks. Guards against surplus that is stored although
/// it cannot end in time, against refusals of other teams, and against refusals of owed or known jobs.
#[test]
fn surplus_that_cannot_end_in_time_is_refused() {
    let mut world = surge();
    let late_ms = SURGE_ROUNDS * ROUND_MS;
    let mut refused = 0;
    for number in ASKING..ASKING + 20 {
        if let AdmissionVerdict::Refused { retry_after } =
            admit(&mut world, number, &job_of("a", late_ms))
        {
            assert!((1..=60).contains(&retry_after.as_secs()), "{retry_after:?}");
            refused += 1;
        }
    }
    assert!(refused >= 15, "{refused}");
    for (number, team) in [(0, "a"), (ASKING + 50, "b"), (ASKING + 51, "unknown")] {
        let verdict = admit(&mut world, number, &job_of(team, late_ms));
        assert_eq!(verdict, AdmissionVerdict::Admitted, "{team}");
    }
}

/// Guards against a job that takes a second token when it is offered, and against a retry that gets another answer.
#[test]
fn an_admitted_job_keeps_its_class() {
    let mut world = surge();
    // The second after the last job has added one token.
    let later_ms = (SURGE_ROUNDS - 1) * ROUND_MS + 1000;
    let now = world.now;
    let owed = job_of("a", later_ms);
    for _ in 0..3 {
        let verdict = world.cell.admit(id(ASKING), &owed, now, later_ms);
        assert_eq!(verdict, AdmissionVerdict::Admitted);
    }
    world.submit(id(ASKING), owed.clone());
    assert_eq!(world.cell.job_class(id(ASKING)), Some(JobClass::Owed));
    let next = world.cell.admit(id(ASKING + 1), &owed, now, later_ms);
    assert!(matches!(next, AdmissionVerdict::Refused { .. }), "{next:?}");
}

/// Load pattern: a takeover during a surge. Guards against a new owner that refuses jobs before it knows how fast the
/// surplus is served.
#[test]
fn a_new_owner_admits_until_it_knows_the_rate() {
    let mut world = surge();
    world.take_over();
    let spec = job_of("a", SURGE_ROUNDS * ROUND_MS);
    assert_eq!(admit(&mut world, ASKING, &spec), AdmissionVerdict::Admitted);
    world.finish_runs(10);
    let verdict = admit(&mut world, ASKING + 1, &spec);
    assert!(
        matches!(verdict, AdmissionVerdict::Refused { .. }),
        "{verdict:?}"
    );
}
