//! Tests of owed and surplus jobs of teams.

use std::time::Duration;

use hs_cell::{JobClass, JobId, JobState, QueueSpec, StepSpec};

use crate::fixture::{WORKER_CPU, advised_queue, id, queue, step};
use crate::team_jobs::{accepted_job, team_job};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

/// Jobs that a team of the weight 1 is owed at once.
const OWED_AT_ONCE: u64 = 5;

/// Number of the first of the jobs that take the tokens of a team.
const FILLER: u64 = 1000;

fn queues() -> Vec<QueueSpec> {
    vec![
        queue("check", 0, 3),
        advised_queue("plan", 1, Duration::from_millis(20)),
        queue("recon", 2, 3),
    ]
}

fn rounds(world: &mut World, count: usize) {
    for _ in 0..count {
        world.fault_free_round(ROUND_TIME);
    }
}

/// Builds a world with two teams of the weight 1.
fn world_of(workers: usize) -> World {
    let mut world = World::with_reports(workers, queues());
    world.set_weight("a", 1.0);
    world.set_weight("b", 1.0);
    world
}

/// Takes all tokens of a team with jobs that no worker can run.
fn take_tokens(world: &mut World, team: &str, first: u64) {
    let unplaceable = StepSpec {
        requires: Some("missing".into()),
        ..step(1, 1000, 500)
    };
    for number in first..first + OWED_AT_ONCE {
        world.submit(
            id(number),
            accepted_job("recon", unplaceable.clone(), team, 0),
        );
    }
}

fn gang(count: u16, cpu_milli: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu_milli, 20_000)
    }
}

fn classes(world: &World, jobs: impl Iterator<Item = u64>) -> Vec<Option<JobClass>> {
    jobs.map(|number| world.cell.job_class(id(number)))
        .collect()
}

/// Load pattern: one team sends many jobs at once beside calm teams. Guards against surplus that goes before owed
/// jobs of a lower priority, and against surplus that never ends.
#[test]
fn surplus_waits_behind_owed_jobs_of_every_priority() {
    let mut world = world_of(1);
    let whole = || step(1, WORKER_CPU, 60_000);
    for number in 0..20 {
        world.submit(id(number), accepted_job("check", whole(), "a", 0));
    }
    for number in 20..24 {
        world.submit(id(number), accepted_job("recon", whole(), "b", 0));
    }
    let mut ended: Vec<JobId> = Vec::new();
    for _ in 0..60 {
        world.finish_runs(1);
        for number in (0..24).map(id) {
            let has_ended = matches!(world.state(number), Some(JobState::Ended(_)));
            if has_ended && !ended.contains(&number) {
                ended.push(number);
            }
        }
    }
    let mut owed: Vec<JobId> = (0..OWED_AT_ONCE).chain(20..24).map(id).collect();
    ended[..owed.len()].sort_unstable();
    owed.sort_unstable();
    assert_eq!(ended[..owed.len()], owed);
    assert_eq!(ended.len(), 24);
}

/// Load pattern: a surge on a cell with room. Guards against surplus that is held back for nothing.
#[test]
fn surplus_starts_at_once_while_there_is_room() {
    let mut world = world_of(4);
    for number in 0..30 {
        let spec = accepted_job("check", step(1, 1000, 500), "a", 0);
        world.submit(id(number), spec);
    }
    rounds(&mut world, 2);
    let running = (0..30).filter(|number| world.placed(id(*number)).len() == 1);
    assert_eq!(running.count(), 30);
}

/// Load pattern: takeovers during a surge. Guards against classes that change with the owner, whether it has the
/// configuration before or after the jobs, and whatever the order in which the jobs are restored.
#[test]
fn a_new_owner_classifies_the_known_jobs_in_the_same_way() {
    for has_config in [true, false] {
        let mut world = world_of(1);
        // The order of the IDs is not that of the acceptance.
        let number_of = |n: u64| n * 37 % 101;
        for n in 0..100 {
            let team = ["a", "b"][usize::from(n % 10 == 0)];
            let spec = accepted_job("check", step(1, WORKER_CPU, 60_000), team, n * 100);
            world.submit(id(number_of(n)), spec);
        }
        let earlier = classes(&world, (0..100).map(number_of));
        assert_eq!(
            earlier
                .iter()
                .filter(|class| **class == Some(JobClass::Owed))
                .count(),
            // Ten jobs of `b`, and the depth and ten seconds of `a`.
            24
        );
        world.has_config = has_config;
        world.take_over();
        rounds(&mut world, 2);
        if !has_config {
            world.read_config();
        }
        rounds(&mut world, 2);
        assert_eq!(
            classes(&world, (0..100).map(number_of)),
            earlier,
            "{has_config}"
        );
    }
}

/// Guards against classes of jobs that have no team, or whose team or whole deployment is not configured.
#[test]
fn jobs_without_configured_teams_are_owed() {
    for is_configured in [false, true] {
        let mut world = World::with_reports(1, queues());
        if is_configured {
            world.set_weight("a", 1.0);
        }
        for number in 0..40 {
            let team = ["x", "y"].get(number as usize % 3).copied();
            let spec = team_job("check", vec![step(1, 1000, 500)], team);
            world.submit(id(number), spec);
        }
        rounds(&mut world, 1);
        let owed = classes(&world, 0..40);
        assert_eq!(owed, vec![Some(JobClass::Owed); 40], "{is_configured}");
    }
}

/// Load pattern: a gang that waits for workers, beside tasks that fit now. Guards against a surplus gang that keeps
/// workers from owed steps, and against an owed gang that surplus tasks starve.
#[test]
fn gangs_hold_workers_against_steps_of_their_class_or_a_later_one() {
    struct Case {
        name: &'static str,
        gang_queue: &'static str,
        is_gang_owed: bool,
        task_queue: &'static str,
        is_task_owed: bool,
        starts: bool,
    }
    let case = |name, gang: (&'static str, bool), task: (&'static str, bool), starts| Case {
        name,
        gang_queue: gang.0,
        is_gang_owed: gang.1,
        task_queue: task.0,
        is_task_owed: task.1,
        starts,
    };
    let cases = [
        case("owed", ("check", true), ("recon", true), false),
        case("owed and urgent", ("recon", true), ("check", true), true),
        case("surplus gang", ("check", false), ("recon", true), true),
        case("surplus task", ("recon", true), ("check", false), false),
        case("both surplus", ("check", false), ("recon", false), false),
    ];
    for case in cases {
        let mut world = world_of(4);
        let running = StepSpec {
            max_per_worker: 1,
            ..step(4, WORKER_CPU / 2, 10_000)
        };
        world.submit(id(1), team_job("check", vec![running], None));
        rounds(&mut world, 2);
        assert_eq!(world.placed(id(1)).len(), 4);
        if !case.is_gang_owed {
            take_tokens(&mut world, "a", FILLER);
        }
        if !case.is_task_owed {
            take_tokens(&mut world, "b", FILLER + OWED_AT_ONCE);
        }
        let waiting = gang(4, WORKER_CPU);
        world.submit(id(2), accepted_job(case.gang_queue, waiting, "a", 0));
        world.advance_cell();
        let task = step(1, WORKER_CPU / 2, 10_000);
        world.submit(id(3), accepted_job(case.task_queue, task, "b", 0));
        rounds(&mut world, 6);
        assert_eq!(
            world.placed(id(3)).len(),
            usize::from(case.starts),
            "{}",
            case.name
        );
    }
}

/// Load pattern: a gang on a full cell whose runs save checkpoints. Guards against runs that are stopped for surplus.
#[test]
fn only_owed_gangs_preempt_runs() {
    for is_owed in [true, false] {
        let mut world = world_of(4);
        let saving = StepSpec {
            checkpoints: true,
            ..step(4, WORKER_CPU, 60_000)
        };
        world.submit(id(1), team_job("recon", vec![saving], None));
        rounds(&mut world, 2);
        assert_eq!(world.placed(id(1)).len(), 4);
        if !is_owed {
            take_tokens(&mut world, "a", FILLER);
        }
        world.submit(id(2), accepted_job("check", gang(2, WORKER_CPU), "a", 0));
        rounds(&mut world, 10);
        let running = world.placed(id(1)).len();
        assert_eq!(running, if is_owed { 2 } else { 4 }, "owed: {is_owed}");
    }
}

/// Load pattern: a surge of jobs that need advice, in a cell whose processes answer few requests at a time. Guards
/// against surplus requests in flight that keep owed steps from asking.
#[test]
fn surplus_requests_leave_room_for_owed_ones() {
    let mut world = world_of(8);
    world.cell.set_advice_callers(1);
    take_tokens(&mut world, "a", FILLER);
    for number in 0..200 {
        let spec = accepted_job("plan", step(1, 1000, 500), "a", 0);
        world.submit(id(number), spec);
    }
    for _ in 0..10 {
        world.advance_cell();
        world.pass_time(ROUND_TIME);
    }
    let earlier = world.advice_requests().len();
    assert!(earlier < 200, "the surplus does not fill the window");
    world.submit(id(500), accepted_job("plan", step(1, 1000, 500), "b", 0));
    world.pass_time(ROUND_TIME);
    world.advance_cell();
    let has_asked = |request: &&hs_cell::AdviceRequest| request.step.job == id(500);
    let requests = world.advice_requests();
    let request = requests.iter().find(has_asked).expect("it has asked");
    assert_eq!(request.class, JobClass::Owed);
}
