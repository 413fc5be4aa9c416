//! Placement by what is learned from the progress of runs: workers of unlike speeds, and kinds that interfere.

use std::collections::HashMap;
use std::time::Duration;

use hs_cell::{JobId, JobState, LearningOptions, RunEnd, StepSpec, TaskRun};

use crate::fixture::{advised_queue, id, job, queue, step};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(100);

const BOTH_ON: LearningOptions = LearningOptions {
    learn_speeds: true,
    separate_interfering: true,
};

/// Tasks that run at the speed of their worker, and slower beside some other kinds.
struct Load {
    world: World,
    speeds: Vec<f64>,
    /// Images of which tasks take twice as long beside each other.
    interfering: Option<(&'static str, &'static str)>,
    /// Length of a task in seconds, and image, by job.
    lengths: HashMap<JobId, (f64, &'static str)>,
    done: HashMap<TaskRun, f64>,
    jobs: u64,
}

impl Load {
    fn new(speeds: &[f64], learning: LearningOptions, is_advised: bool) -> Self {
        let plan = match is_advised {
            true => advised_queue("plan", 1, Duration::from_millis(10)),
            false => queue("plan", 1, 3),
        };
        let mut world = World::new(speeds.len(), vec![plan], 1);
        world.options.learning = learning;
        world.take_over();
        for _ in 0..3 {
            world.fault_free_round(ROUND_TIME);
        }
        Self {
            world,
            speeds: speeds.to_vec(),
            interfering: None,
            lengths: HashMap::new(),
            done: HashMap::new(),
            jobs: 0,
        }
    }

    fn submit(&mut self, spec: StepSpec, seconds: f64, image: &'static str) -> JobId {
        self.jobs += 1;
        let job_id = id(self.jobs);
        let spec = StepSpec {
            image: Some(image.into()),
            estimate_ms: (seconds * 1000.0) as u64,
            ..spec
        };
        self.world.submit(job_id, job("plan", vec![spec]));
        self.lengths.insert(job_id, (seconds, image));
        job_id
    }

    fn image(&self, run: &TaskRun) -> &'static str {
        self.lengths[&run.task.job()].1
    }

    fn is_slowed(&self, run: &TaskRun, number: usize) -> bool {
        let Some((first, second)) = self.interfering else {
            return false;
        };
        let other = match self.image(run) {
            image if image == first => second,
            image if image == second => first,
            _ => return false,
        };
        let mut beside = self.world.workers[number].running.keys();
        beside.any(|run| self.image(run) == other)
    }

    /// Lets all runs progress for a round. The members of a gang end when the slowest of them is done.
    fn round(&mut self) {
        let seconds = ROUND_TIME.as_secs_f64();
        let mut slowest: HashMap<JobId, f64> = HashMap::new();
        for number in 0..self.speeds.len() {
            let runs: Vec<TaskRun> = self.world.workers[number].running.keys().copied().collect();
            for run in runs {
                let slow_down = if self.is_slowed(&run, number) {
                    2.0
                } else {
                    1.0
                };
                let length = self.lengths[&run.task.job()].0;
                let done = self.done.entry(run).or_default();
                *done += seconds * self.speeds[number] / slow_down / length;
                let percent = (*done * 100.0).min(99.0) as u8;
                let least = slowest.entry(run.task.job()).or_insert(f64::INFINITY);
                *least = least.min(*done);
                self.world.workers[number].percents.insert(run, percent);
            }
        }
        for number in 0..self.speeds.len() {
            let runs: Vec<TaskRun> = self.world.workers[number].running.keys().copied().collect();
            for run in runs {
                let is_gang = self.image(&run) == "gang";
                let done = if is_gang {
                    slowest[&run.task.job()]
                } else {
                    self.done[&run]
                };
                if done >= 1.0 {
                    self.world.end(number, run, RunEnd::Done);
                    self.world.workers[number].percents.remove(&run);
                }
            }
        }
        self.world.fault_free_round(ROUND_TIME);
    }

    fn has_ended(&self, id: JobId) -> bool {
        matches!(self.world.state(id), Some(JobState::Ended(_)))
    }

    /// Runs steps of single tasks for some rounds, from which the cell learns.
    fn learn(&mut self, rounds: usize, images: &[&'static str], tasks: u16) {
        for round in 0..rounds {
            if round % 4 == 0 {
                for image in images {
                    self.submit(step(tasks, 2000, 500), 1.0, image);
                }
            }
            self.round();
        }
        while (1..=self.jobs).any(|number| !self.has_ended(id(number))) {
            self.round();
        }
    }

    /// Returns the number of rounds until a job has ended.
    fn rounds_to_end(&mut self, id: JobId) -> usize {
        let mut rounds = 0;
        while !self.has_ended(id) {
            self.round();
            rounds += 1;
        }
        rounds
    }

    /// Returns the numbers of the workers on which a job runs.
    fn workers_of(&self, id: JobId) -> Vec<usize> {
        let placed = self.world.placed(id);
        placed.into_iter().map(|(number, _)| number).collect()
    }
}

/// Two in three workers are slow, and the fast ones are on both racks and among the advised workers.
fn unlike_speeds() -> Vec<f64> {
    let fast = |number: usize| matches!(number % 6, 4 | 5);
    (0..12)
        .map(|number| if fast(number) { 1.7 } else { 0.7 })
        .collect()
}

/// Guards against gangs that wait for a slow member although they fit on fast workers, with and without advice.
#[test]
fn gangs_end_sooner_when_speeds_are_learned() {
    for is_advised in [false, true] {
        let mean_rounds = |learning| {
            let mut load = Load::new(&unlike_speeds(), learning, is_advised);
            load.learn(120, &["a", "b"], 8);
            let gang = StepSpec {
                gang: true,
                max_per_worker: 1,
                ..step(2, 3000, 3000)
            };
            let rounds = (0..5).map(|_| {
                let id = load.submit(gang.clone(), 3.0, "gang");
                load.rounds_to_end(id)
            });
            rounds.sum::<usize>() / 5
        };
        let off = mean_rounds(LearningOptions::default());
        let on = mean_rounds(BOTH_ON);
        assert!(
            on * 3 <= off * 2,
            "advice {is_advised}: {on} against {off} rounds"
        );
    }
}

/// Guards against interfering kinds on one worker beside a free one, and against a task that waits for a better worker.
#[test]
fn interfering_kinds_are_kept_apart_where_there_is_room() {
    let mut load = Load::new(&[1.0; 8], BOTH_ON, false);
    load.interfering = Some(("a", "b"));
    load.learn(600, &["a", "b", "c"], 6);
    let counts = load.world.cell.evidence_counts().expect("learning is on");
    assert!(counts.confident_pairs > 0, "{counts:?}");
    let events = load.world.cell.take_interference_events();
    assert!(
        events
            .iter()
            .any(|event| event.is_confident && event.slow_down > 1.2)
    );
    // Best fit alone would put both on one worker.
    let first = load.submit(step(1, 2000, 60_000), 60.0, "a");
    load.round();
    let second = load.submit(step(1, 2000, 60_000), 60.0, "b");
    load.round();
    assert_ne!(load.workers_of(first), load.workers_of(second));
    // Beside an innocent kind best fit still decides.
    let third = load.submit(step(1, 2000, 60_000), 60.0, "c");
    load.round();
    let busy = [load.workers_of(first), load.workers_of(second)];
    assert!(busy.contains(&load.workers_of(third)));
    // Where all workers have the other kind, the task starts at once nevertheless.
    let fillers = load.submit(
        StepSpec {
            max_per_worker: 1,
            ..step(8, 2000, 60_000)
        },
        60.0,
        "a",
    );
    load.round();
    assert_eq!(load.workers_of(fillers).len(), 8);
    let last = load.submit(step(1, 2000, 60_000), 60.0, "b");
    load.round();
    assert_eq!(load.workers_of(last).len(), 1);
}

/// Guards against a changed order of candidates, or any observation, with the switches off or without evidence.
#[test]
fn placements_are_the_same_without_evidence() {
    let placements = |learning| {
        let mut load = Load::new(&[1.0; 6], learning, false);
        let mut placements = Vec::new();
        for number in 0..40_u16 {
            let id = load.submit(step(1 + number % 5, 1500, 500), 1.0, "a");
            load.round();
            placements.push(load.workers_of(id));
        }
        (placements, load.world.cell.evidence_counts())
    };
    let (off, counts) = placements(LearningOptions::default());
    assert_eq!(counts, None);
    let (on, counts) = placements(BOTH_ON);
    assert!(counts.is_some_and(|counts| counts.confident_pairs == 0));
    assert_eq!(on, off);
}
