//! Tests of the order in which the teams are served while room is short.

use std::collections::BTreeMap;
use std::time::Duration;

use hs_cell::{JobState, QueueSpec, StepSpec};

use crate::fixture::{WORKER_CPU, id, queue, step};
use crate::team_jobs::accepted_job;
use crate::world::World;

/// Duration of a round of [`World::finish_runs`], in which each run takes its whole time.
const ROUND_MS: u64 = 250;

/// Weight with which all jobs of a test are owed.
const AMPLE_WEIGHT: f64 = 10_000.0;

fn queues() -> Vec<QueueSpec> {
    vec![queue("check", 0, 3), queue("recon", 2, 3)]
}

fn world_of(workers: usize, weights: &[(&str, f64)]) -> World {
    let mut world = World::with_reports(workers, queues());
    for (team, weight) in weights {
        world.set_weight(team, *weight);
    }
    world
}

/// Submits this many jobs of one step, the first with this number.
fn submit(world: &mut World, team: &str, first: u64, count: u64, step: &StepSpec) {
    for number in first..first + count {
        world.submit(id(number), accepted_job("check", step.clone(), team, 0));
    }
}

fn running(world: &World, first: u64, count: u64) -> usize {
    let jobs = first..first + count;
    jobs.map(|number| world.placed(id(number)).len()).sum()
}

/// Number of rounds in which all that fits has started. A write of the world starts at most 15 jobs.
const START_ROUNDS: usize = 5;

fn start_what_fits(world: &mut World) {
    for _ in 0..START_ROUNDS {
        world.fault_free_round(Duration::from_millis(50));
    }
}

/// Rounds of jobs of 20 teams, of which one sends a multiple of its usual number.
struct TeamDay {
    world: World,
    /// Team and round of each job that has not ended.
    open: BTreeMap<u64, (u64, u64)>,
    /// Number of jobs that were submitted.
    jobs: u64,
    /// Rounds from submission to end, by team.
    waits: BTreeMap<u64, Vec<u64>>,
}

/// Jobs that each team sends in 16 rounds, that is, in 4 s. The workers run 64 in this time.
const USUAL_JOBS: u64 = 3;

const TEAM_COUNT: u64 = 20;

impl TeamDay {
    /// Number of the team that has the surge.
    const SURGING: u64 = 7;

    fn new() -> Self {
        let mut world = World::with_reports(4, queues());
        for team in 0..TEAM_COUNT {
            world.set_weight(&format!("t{team}"), 1.0);
        }
        Self {
            world,
            open: BTreeMap::new(),
            jobs: 0,
            waits: BTreeMap::new(),
        }
    }

    /// Runs a round, in which the surging team sends this many half jobs for each usual one.
    fn run_round(&mut self, round: u64, surge_halves: u64) {
        for team in 0..TEAM_COUNT {
            let halves = if team == Self::SURGING {
                surge_halves
            } else {
                2
            };
            // The jobs of a team come evenly, and not all teams send theirs in the same rounds.
            let sent = |round: u64| (round * USUAL_JOBS * halves + team * 5) / 32;
            for _ in sent(round)..sent(round + 1) {
                let spec = accepted_job(
                    "check",
                    step(1, WORKER_CPU, ROUND_MS),
                    &format!("t{team}"),
                    round * ROUND_MS,
                );
                self.world.submit(id(self.jobs), spec);
                self.open.insert(self.jobs, (team, round));
                self.jobs += 1;
            }
        }
        self.finish_round(round);
    }

    fn finish_round(&mut self, round: u64) {
        self.world.finish_runs(1);
        let (world, waits) = (&self.world, &mut self.waits);
        self.open.retain(|number, (team, submitted)| {
            let has_ended = matches!(world.state(id(*number)), Some(JobState::Ended(_)));
            if has_ended {
                waits.entry(*team).or_default().push(round - *submitted);
            }
            !has_ended
        });
    }

    /// Returns the mean of the waits of all teams but the surging one, and the longest.
    fn waits_of_others(&self) -> (f64, u64) {
        let others = self
            .waits
            .iter()
            .filter(|(team, _)| **team != Self::SURGING);
        let waits: Vec<u64> = others.flat_map(|(_, waits)| waits.clone()).collect();
        let sum: u64 = waits.iter().sum();
        let longest = waits.iter().max().copied();
        (sum as f64 / waits.len() as f64, longest.unwrap_or(0))
    }
}

/// Load pattern: one team at 7.5 times its usual load beside 19 others, on workers that the usual load nearly fills.
/// Guards against a surge that delays the other teams, and against jobs of the surge that never end.
#[test]
fn a_surge_of_one_team_delays_no_other() {
    const ROUNDS: u64 = 120;
    let waits = |surge_halves| {
        let mut day = TeamDay::new();
        for round in 0..ROUNDS {
            day.run_round(round, surge_halves);
        }
        let waits = day.waits_of_others();
        let backlog = day.open.len();
        for round in ROUNDS..2 * ROUNDS {
            day.finish_round(round);
        }
        assert!(
            day.open.is_empty(),
            "{} jobs have not ended",
            day.open.len()
        );
        (waits, backlog)
    };
    let ((usual_mean, usual_longest), usual_backlog) = waits(2);
    let ((mean, longest), backlog) = waits(15);
    println!("mean {usual_mean} and {mean}, longest {usual_longest} and {longest}");
    assert!(backlog > usual_backlog + 50, "the surge fits: {backlog}");
    // An owed job may come while all workers run surplus, and then waits until one of these runs ends.
    assert!(mean <= usual_mean + 1.0, "mean {usual_mean} to {mean}");
    assert!(
        longest <= usual_longest + 1,
        "longest {usual_longest} to {longest}"
    );
}

/// Load pattern: jobs of whole workers of one team, all at once and before the small ones of three others. Guards
/// against a team that takes all workers in one pass since it held none before.
#[test]
fn large_jobs_of_one_team_leave_room_for_others() {
    let teams = ["a", "b", "c", "d"].map(|team| (team, AMPLE_WEIGHT));
    let mut world = world_of(4, &teams);
    submit(&mut world, "a", 0, 10, &step(1, WORKER_CPU, 500));
    for (number, team) in (1..).zip(["b", "c", "d"]) {
        submit(&mut world, team, number * 100, 10, &step(1, 1000, 500));
    }
    start_what_fits(&mut world);
    let large = running(&world, 0, 10);
    let small = running(&world, 100, 300);
    assert!((1..=2).contains(&large), "{large} large jobs");
    assert!(small >= 16, "{small} small jobs");
    world.finish_runs(40);
    let open = (0..10).chain(100..110).chain(200..210).chain(300..310);
    let open = open.filter(|n| !matches!(world.state(id(*n)), Some(JobState::Ended(_))));
    assert_eq!(open.count(), 0);
}

/// Load pattern: two teams with more work than room, beside a third with a large weight and no work. Guards against
/// room that is kept for a team without load, and against an entitled share that it shrinks.
#[test]
fn a_team_without_load_is_not_waited_for() {
    let teams = [("a", 1000.0), ("b", 1000.0), ("idle", 1e9)];
    let mut world = world_of(4, &teams);
    submit(&mut world, "a", 0, 40, &step(1, 1000, 500));
    submit(&mut world, "b", 100, 40, &step(1, 1000, 500));
    start_what_fits(&mut world);
    let (of_a, of_b) = (running(&world, 0, 40), running(&world, 100, 40));
    assert_eq!(of_a + of_b, 32, "the workers are not full");
    assert!((15..=17).contains(&of_a), "{of_a} and {of_b}");
}

/// Load pattern: teams of different weights with more work than room. Guards against shares that ignore the weights.
#[test]
fn room_is_shared_by_weight() {
    let mut world = world_of(4, &[("a", 1000.0), ("b", 3000.0)]);
    submit(&mut world, "a", 0, 40, &step(1, 1000, 500));
    submit(&mut world, "b", 100, 40, &step(1, 1000, 500));
    start_what_fits(&mut world);
    let (of_a, of_b) = (running(&world, 0, 40), running(&world, 100, 40));
    assert_eq!(of_a + of_b, 32, "the workers are not full");
    assert!((8..=9).contains(&of_a), "{of_a} and {of_b}");
}

/// Load pattern: thousands of owed steps of one team, then a few of another. Guards against a team above its share that
/// fills the front of the passes.
#[test]
fn a_long_backlog_of_one_team_keeps_no_other_from_the_front() {
    let mut world = world_of(4, &[("a", AMPLE_WEIGHT), ("b", AMPLE_WEIGHT)]);
    submit(&mut world, "a", 0, 3000, &step(1, 1000, 60_000));
    start_what_fits(&mut world);
    assert_eq!(running(&world, 0, 3000), 32);
    submit(&mut world, "b", 5000, 10, &step(1, 1000, 60_000));
    world.finish_runs(1);
    start_what_fits(&mut world);
    assert_eq!(running(&world, 5000, 10), 10);
}

/// Load pattern: one team alone has work for all workers. Guards against a share that limits a team while there is
/// room.
#[test]
fn one_team_may_use_all_room() {
    let mut world = world_of(4, &[("a", AMPLE_WEIGHT), ("b", AMPLE_WEIGHT)]);
    submit(&mut world, "b", 100, 1, &step(1, 1000, 60_000));
    submit(&mut world, "a", 0, 40, &step(1, 1000, 60_000));
    start_what_fits(&mut world);
    assert_eq!(running(&world, 0, 40), 31);
    assert_eq!(running(&world, 100, 1), 1);
}
