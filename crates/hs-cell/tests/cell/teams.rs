//! Tests of teams and their caps. The oracle of the world checks each start against the cap.

use std::time::Duration;

use hs_cell::{JobEnd, JobOutcome, QueueSpec, RunEnd, StepSpec, TeamSpec};
use hs_wire::Resources;

use crate::fixture::{WORKER_CPU, advised_queue, cpu, id, queue, step};
use crate::team_jobs::team_job;
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

/// Duration of a round while a worker is cut off.
const CUT_ROUND_TIME: Duration = Duration::from_millis(500);

/// Number of rounds, of 20 s in all, within which the lease of a worker that is cut off is over.
const LEASE_ROUNDS: usize = 40;

/// Number of steps of a team that has no room for them.
const BACKLOG: u64 = 2000;

/// Number of rounds, of 150 ms in all, within which a task starts after room has appeared.
const SOON_ROUNDS: usize = 3;

fn queues() -> Vec<QueueSpec> {
    vec![
        queue("check", 0, 3),
        advised_queue("plan", 1, Duration::from_millis(20)),
        queue("recon", 2, 3),
    ]
}

fn gang(count: u16, cpu_milli: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu_milli, 800)
    }
}

fn rounds(world: &mut World, count: usize) {
    for _ in 0..count {
        world.fault_free_round(ROUND_TIME);
    }
}

/// Builds a world of four workers in which team `a` has a cap.
fn world_with_cap(cap: Resources) -> World {
    let mut world = World::with_reports(4, queues());
    world.set_cap("a", cap);
    world
}

fn used_cpu(world: &World) -> u64 {
    world.cell.team_usage("a")[0]
}

/// Guards against starts over a cap, against gangs that start in part, and against wide steps that never start since
/// they do not fit as a whole.
#[test]
fn as_many_tasks_run_as_fit_under_the_cap() {
    struct Case {
        name: &'static str,
        cap: Resources,
        step: StepSpec,
        running: usize,
    }
    let memory = |memory_mib| Resources {
        memory_mib,
        ..Resources::ZERO
    };
    let cases = [
        Case {
            name: "no limit",
            cap: Resources::ZERO,
            step: step(8, 1000, 500),
            running: 8,
        },
        Case {
            name: "step wider than the cap",
            cap: cpu(3500),
            step: step(8, 1000, 500),
            running: 3,
        },
        Case {
            name: "limit of the memory alone",
            cap: memory(2000),
            step: step(8, 1000, 500),
            running: 2,
        },
        Case {
            name: "task that fills the cap",
            cap: cpu(1000),
            step: step(1, 1000, 500),
            running: 1,
        },
        Case {
            name: "task larger than the cap",
            cap: cpu(999),
            step: step(1, 1000, 500),
            running: 0,
        },
        Case {
            name: "gang that fills the cap",
            cap: cpu(4000),
            step: gang(4, 1000),
            running: 4,
        },
        Case {
            name: "gang wider than the cap",
            cap: cpu(3999),
            step: gang(4, 1000),
            running: 0,
        },
    ];
    for queue in ["check", "plan"] {
        for case in &cases {
            println!("case: {} in {queue}", case.name);
            let mut world = world_with_cap(case.cap);
            world.submit(id(1), team_job(queue, vec![case.step.clone()], Some("a")));
            rounds(&mut world, 20);
            assert_eq!(world.placed(id(1)).len(), case.running, "{}", case.name);
        }
    }
}

/// Guards against a wide step that stops after its first wave.
#[test]
fn a_step_wider_than_the_cap_runs_in_waves() {
    let mut world = world_with_cap(cpu(2000));
    world.submit(
        id(1),
        team_job("check", vec![step(7, 1000, 500)], Some("a")),
    );
    for _ in 0..3 {
        rounds(&mut world, SOON_ROUNDS);
        let running = world.placed(id(1));
        assert_eq!(running.len(), 2);
        for (number, run) in running {
            world.end(number, run, RunEnd::Done);
        }
    }
    rounds(&mut world, SOON_ROUNDS);
    assert_eq!(world.placed(id(1)).len(), 1);
}

/// Guards against runs that are stopped for a lower cap, against starts above it, and against steps that are forgotten
/// when it rises.
#[test]
fn a_team_over_a_lower_cap_keeps_its_runs_and_gets_no_more() {
    let mut world = world_with_cap(cpu(4000));
    world.submit(
        id(1),
        team_job("check", vec![step(4, 1000, 500)], Some("a")),
    );
    rounds(&mut world, SOON_ROUNDS);
    world.set_cap("a", cpu(1500));
    // A task without CPU is no exception while the team is over its cap.
    let filling = StepSpec {
        fills: true,
        ..step(1, 100, 500)
    };
    world.submit(id(2), team_job("check", vec![filling], Some("a")));
    world.submit(
        id(3),
        team_job("check", vec![step(1, 1000, 500)], Some("a")),
    );
    rounds(&mut world, 20);
    assert_eq!(world.placed(id(1)).len(), 4);
    assert_eq!(world.placed(id(2)).len() + world.placed(id(3)).len(), 0);
    for (number, run) in world.placed(id(1)).into_iter().take(3) {
        world.end(number, run, RunEnd::Done);
        rounds(&mut world, SOON_ROUNDS);
    }
    assert_eq!(world.placed(id(2)).len(), 1);
    assert_eq!(world.placed(id(3)).len(), 0);
    world.set_cap("a", cpu(2500));
    rounds(&mut world, SOON_ROUNDS);
    assert_eq!(world.placed(id(3)).len(), 1);
}

/// Guards against a new owner that gives away what the runs of the earlier one still occupy.
#[test]
fn a_new_owner_counts_the_runs_of_the_earlier_one() {
    /// What the earlier owner had done with the job of the team when it was lost.
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Earlier {
        Recorded,
        Started,
        StartedWithoutReply,
        Cancelled,
        CancelledAndRecorded,
        CancelledAndCutOff,
        CancelledByEarlierVersion,
    }
    let cases = [
        Earlier::Recorded,
        Earlier::Started,
        Earlier::StartedWithoutReply,
        Earlier::Cancelled,
        Earlier::CancelledAndRecorded,
        Earlier::CancelledAndCutOff,
        Earlier::CancelledByEarlierVersion,
    ];
    for earlier in cases {
        println!("case: {earlier:?}");
        let mut world = world_with_cap(cpu(WORKER_CPU));
        if earlier == Earlier::StartedWithoutReply {
            world.delayed_start_percent = 100;
        }
        let whole = vec![step(1, WORKER_CPU, 500)];
        world.submit(id(1), team_job("check", whole.clone(), Some("a")));
        world.advance_cell();
        world.begin_write();
        if earlier != Earlier::Recorded {
            world.finish_write();
            world.advance_cell();
        }
        let is_cancelled = !matches!(
            earlier,
            Earlier::Recorded | Earlier::Started | Earlier::StartedWithoutReply
        );
        if is_cancelled {
            let (number, _) = world.placed(id(1))[0];
            world.cancel(id(1));
            world.advance_without_stops();
            world.lose_stops();
            if earlier != Earlier::Cancelled {
                world.begin_write();
                world.finish_write();
            }
            if earlier == Earlier::CancelledAndCutOff {
                world.workers[number].reachable = false;
            }
            // Only the report of the worker shows the run.
            if earlier == Earlier::CancelledByEarlierVersion {
                let (_, end) = world.store.jobs.get_mut(&id(1)).expect("it is stored");
                end.as_mut().expect("it has ended").stopping.clear();
            }
        }
        world.replace_owner(true);
        world.delayed_start_percent = 0;
        world.submit(id(2), team_job("check", whole, Some("a")));
        // The oracle panics if both run at a time.
        for _ in 0..LEASE_ROUNDS {
            world.fault_free_round(CUT_ROUND_TIME);
            assert!(world.placed(id(1)).len() + world.placed(id(2)).len() <= 1);
        }
        for (number, run) in world.placed(id(1)) {
            world.end(number, run, RunEnd::Done);
        }
        for _ in 0..LEASE_ROUNDS {
            world.fault_free_round(CUT_ROUND_TIME);
        }
        assert_eq!(world.placed(id(2)).len(), 1, "{earlier:?}");
        assert_eq!(used_cpu(&world), u64::from(WORKER_CPU), "{earlier:?}");
    }
}

/// Guards against a start while a run of the team may still be in progress, and against a team that waits on although
/// that run is over.
#[test]
fn runs_of_unknown_fate_count_until_they_are_over() {
    /// Why the owner does not know whether the run is over.
    #[derive(Clone, Copy, Debug)]
    enum Doubt {
        StopInProgress,
        NoReplyToStart,
        WorkerCutOff,
        WorkerCrashed,
    }
    let cases = [
        Doubt::StopInProgress,
        Doubt::NoReplyToStart,
        Doubt::WorkerCutOff,
        Doubt::WorkerCrashed,
    ];
    for doubt in cases {
        println!("case: {doubt:?}");
        let mut world = world_with_cap(cpu(WORKER_CPU));
        if matches!(doubt, Doubt::NoReplyToStart) {
            world.delayed_start_percent = 100;
        }
        let whole = vec![step(1, WORKER_CPU, 500)];
        world.submit(id(1), team_job("check", whole.clone(), Some("a")));
        rounds(&mut world, 2);
        let number = world.placed(id(1)).first().map(|(number, _)| *number);
        match doubt {
            Doubt::StopInProgress | Doubt::NoReplyToStart => {}
            Doubt::WorkerCutOff => world.workers[number.expect("it runs")].reachable = false,
            Doubt::WorkerCrashed => world.crash(number.expect("it runs")),
        }
        world.cancel(id(1));
        world.submit(id(2), team_job("check", whole, Some("a")));
        world.advance_without_stops();
        world.begin_write();
        world.finish_write();
        world.advance_without_stops();
        assert_eq!(world.placed(id(2)).len(), 0, "{doubt:?}");
        assert_eq!(used_cpu(&world), u64::from(WORKER_CPU), "{doubt:?}");
        world.delayed_start_percent = 0;
        for _ in 0..LEASE_ROUNDS {
            world.fault_free_round(CUT_ROUND_TIME);
        }
        assert_eq!(world.placed(id(2)).len(), 1, "{doubt:?}");
    }
}

/// Guards against steps of a team at its cap that fill the part of the backlog that a pass visits, or that cost a visit
/// in each pass.
#[test]
fn other_teams_go_on_beside_the_backlog_of_a_team_at_its_cap() {
    for cap in [1000, 500] {
        let mut world = world_with_cap(cpu(cap));
        for number in 0..BACKLOG {
            let steps = vec![step(1, 1000, 60_000)];
            world.submit(id(number), team_job("check", steps, Some("a")));
        }
        for number in BACKLOG..BACKLOG + 10 {
            let steps = vec![step(1, 1000, 60_000)];
            let team = (number % 2 == 0).then_some("b");
            world.submit(id(number), team_job("check", steps, team));
        }
        rounds(&mut world, SOON_ROUNDS);
        let others = BACKLOG..BACKLOG + 10;
        let running = others.filter(|number| world.placed(id(*number)).len() == 1);
        assert_eq!(running.count(), 10, "cap {cap}");
        let blocked = BACKLOG as usize - (cap / 1000) as usize;
        assert_eq!(world.cell.parked_steps(), blocked, "cap {cap}");
        world.submit(
            id(BACKLOG + 10),
            team_job("check", vec![step(1, 1000, 500)], None),
        );
        world.advance_cell();
        assert!(
            world.cell.last_pass_work() < 100,
            "parked steps cost {} units",
            world.cell.last_pass_work()
        );
    }
}

/// Guards against steps that fit under the cap and wait behind others that do not, or that no worker can take.
#[test]
fn room_goes_to_the_first_step_that_can_use_it() {
    let mut world = world_with_cap(cpu(3000));
    world.submit(
        id(1),
        team_job("check", vec![step(1, 3000, 60_000)], Some("a")),
    );
    rounds(&mut world, SOON_ROUNDS);
    let unplaceable = StepSpec {
        requires: Some("missing".into()),
        ..step(1, 1000, 500)
    };
    for number in 2..300 {
        let steps = vec![match number % 2 {
            0 => unplaceable.clone(),
            _ => step(1, 4000, 500),
        }];
        world.submit(id(number), team_job("check", steps, Some("a")));
    }
    world.submit(
        id(300),
        team_job("recon", vec![step(1, 2500, 500)], Some("a")),
    );
    rounds(&mut world, SOON_ROUNDS);
    assert_eq!(world.placed(id(300)).len(), 0);
    let (number, run) = world.placed(id(1))[0];
    world.end(number, run, RunEnd::Done);
    rounds(&mut world, 10);
    assert_eq!(world.placed(id(300)).len(), 1);
}

/// Guards against gangs of a team at its cap that ask for advice, hold tickets or keep workers from others.
#[test]
fn a_gang_without_room_holds_nothing() {
    for queue in ["plan", "recon"] {
        let mut world = world_with_cap(cpu(WORKER_CPU));
        let mut held = 0;
        world.submit(
            id(1),
            team_job("check", vec![step(1, 1000, 60_000)], Some("a")),
        );
        rounds(&mut world, SOON_ROUNDS);
        world.submit(
            id(2),
            team_job(queue, vec![gang(2, WORKER_CPU / 2)], Some("a")),
        );
        for _ in 0..20 {
            world.advance_cell();
            held += world.advice_requests().len();
            world.answer_advice();
            rounds(&mut world, 1);
        }
        assert_eq!(held, 0, "{queue}");
        // Nothing is reserved: a task of lower priority takes each whole worker that is free.
        world.submit(
            id(3),
            team_job("recon", vec![step(3, WORKER_CPU, 500)], None),
        );
        rounds(&mut world, SOON_ROUNDS);
        assert_eq!(world.placed(id(3)).len(), 3, "{queue}");
    }
}

/// Guards against jobs that are accepted although they can never run, and against jobs that are refused although they
/// can run in waves.
#[test]
fn jobs_are_checked_against_the_cap() {
    struct Case {
        name: &'static str,
        cap: Resources,
        steps: Vec<StepSpec>,
        fits: bool,
    }
    let gpu = Resources {
        accelerators: 2,
        ..Resources::ZERO
    };
    let of_gpu = |gang, count| StepSpec {
        gang,
        count,
        need: Resources {
            accelerators: 1,
            ..cpu(50_000)
        },
        ..StepSpec::default()
    };
    let case = |name, cap, steps, fits| Case {
        name,
        cap,
        steps,
        fits,
    };
    let filling = StepSpec {
        fills: true,
        need: Resources {
            cpu_milli: 9000,
            memory_mib: 10,
            ..Resources::ZERO
        },
        ..step(1, 0, 500)
    };
    let cases = [
        case("no limit", Resources::ZERO, vec![gang(64, 64_000)], true),
        case("wide step", cpu(1000), vec![step(64, 1000, 500)], true),
        case("large task", cpu(999), vec![step(1, 1000, 500)], false),
        case("gang at the cap", cpu(4000), vec![gang(4, 1000)], true),
        case("wide gang", cpu(3999), vec![gang(4, 1000)], false),
        case("huge gang", cpu(4000), vec![gang(4096, u32::MAX)], false),
        case("accelerators", gpu, vec![of_gpu(true, 2)], true),
        case("gang of accelerators", gpu, vec![of_gpu(true, 3)], false),
        case("single accelerators", gpu, vec![of_gpu(false, 3)], true),
        case("filling task", cpu(100), vec![filling], true),
        case(
            "second step",
            cpu(1000),
            vec![step(1, 1000, 500), step(1, 1001, 500)],
            false,
        ),
    ];
    for Case {
        name,
        cap,
        steps,
        fits,
    } in cases
    {
        let team = TeamSpec {
            name: "a".into(),
            weight: 1.0,
            cap,
        };
        let job = team_job("check", steps, Some("a"));
        assert_eq!(team.check_job(&job).is_ok(), fits, "{name}");
    }
}

/// Guards against outcomes that an earlier version has stored and that can no longer be read, and against a team that
/// is lost with the end of its job.
#[test]
fn stored_ends_read_back() {
    struct Case {
        text: &'static str,
        outcome: JobOutcome,
        team: Option<&'static str>,
        stopping: usize,
    }
    let cases = [
        Case {
            text: r#""completed""#,
            outcome: JobOutcome::Completed,
            team: None,
            stopping: 0,
        },
        Case {
            text: r#"{"o":"failed","t":"a"}"#,
            outcome: JobOutcome::Failed,
            team: Some("a"),
            stopping: 0,
        },
        Case {
            text: concat!(
                r#"{"o":"cancelled","t":"a","r":[{"w":{"i":"w1","b":5},"n":0,"i":2,"r":3,"#,
                r#""a":{"cpu_milli":1,"memory_mib":2,"accelerators":0,"slots":0,"connections":0}}]}"#
            ),
            outcome: JobOutcome::Cancelled,
            team: Some("a"),
            stopping: 1,
        },
    ];
    for case in cases {
        let end: JobEnd = serde_json::from_str(case.text).expect("a stored end");
        assert_eq!(end.outcome, case.outcome);
        assert_eq!(end.team.as_deref(), case.team);
        assert_eq!(end.stopping.len(), case.stopping);
        let text = serde_json::to_string(&end).expect("an end serialises");
        assert_eq!(text, case.text);
    }
}
