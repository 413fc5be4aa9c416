//! Admission of the jobs of a team that sends more than can be served.

use std::time::Duration;

use hs_cell::{AdmissionVerdict, TeamSpec};
use hs_control::TeamConfig;
use hs_wire::Resources;

use crate::calm::{SHORT_JOB, calm_cluster};
use crate::load::JobLoad;
use crate::simulation::{ClusterPlan, Simulation};

/// Three times what the workers of [`surging_simulation`] can run.
const SURGE: JobLoad = JobLoad {
    jobs_per_s: 96,
    plan: SHORT_JOB,
};

/// Time in which an answer of the owner arrives, or the process stops waiting for it.
const ANSWER_TIME: Duration = Duration::from_millis(60);

fn team(name: &str) -> TeamConfig {
    TeamConfig {
        keys: Vec::new(),
        spec: TeamSpec {
            name: name.into(),
            weight: 1.0,
            cap: Resources::ZERO,
        },
    }
}

/// Runs a surge of team `a` on workers that can run 32 jobs a second.
fn surging_simulation() -> Simulation {
    let plan = ClusterPlan {
        workers: 4,
        ..calm_cluster()
    };
    let mut simulation = Simulation::new(&plan);
    simulation.world.lock().teams = vec![team("a"), team("b")];
    simulation.start_processes();
    simulation.run_for(Duration::from_secs(2));
    simulation.team = Some("a".into());
    simulation.set_load(Some(SURGE));
    simulation.run_for(Duration::from_secs(6));
    simulation.set_load(None);
    simulation
}

fn verdict(simulation: &mut Simulation, process: usize) -> AdmissionVerdict {
    let answer = simulation.ask_admission(process, SHORT_JOB);
    simulation.run_for(ANSWER_TIME);
    *answer.get().expect("an answer in time")
}

/// Load pattern: a lasting surge of one team. Guards against surplus that is stored although it ends too late, at the
/// owner and at other processes, against refusals of other teams, and against a team that stays refused.
#[test]
fn only_a_congested_team_is_refused() {
    let mut simulation = surging_simulation();
    let owner = simulation.owner().expect("the cell has an owner");
    for process in [owner, simulation.follower()] {
        simulation.team = Some("a".into());
        // The team may have a token left.
        let refused = (0..4).filter(|_| {
            let verdict = verdict(&mut simulation, process);
            matches!(verdict, AdmissionVerdict::Refused { retry_after } if retry_after.as_secs() >= 1)
        });
        assert!(refused.count() >= 3);
        for other in [Some("b".into()), None] {
            simulation.team = other;
            let verdict = verdict(&mut simulation, process);
            assert_eq!(verdict, AdmissionVerdict::Admitted);
        }
    }
    simulation.team = Some("a".into());
    simulation.run_for(Duration::from_secs(30));
    let follower = simulation.follower();
    assert_eq!(
        verdict(&mut simulation, follower),
        AdmissionVerdict::Admitted
    );
    println!("{}", simulation.summary());
}

/// Guards against submissions that wait for an owner that does not answer, or that are refused without its answer.
#[test]
fn a_job_is_admitted_if_the_owner_does_not_answer() {
    let mut simulation = surging_simulation();
    let owner = simulation.owner().expect("the cell has an owner");
    let follower = simulation.follower();
    simulation.processes[owner].pause_until(simulation.now() + Duration::from_secs(1));
    for _ in 0..4 {
        let verdict = verdict(&mut simulation, follower);
        assert_eq!(verdict, AdmissionVerdict::Admitted);
    }
}
