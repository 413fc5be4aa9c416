//! Checks that ready tasks are placed while workers have room for them.

use hs_cell::{JobId, JobState, StepId, StepSpec};

use crate::world::World;

/// Room that a waiting step must leave unused to count as overlooked, as a multiple of what it needs.
const SPARE_FACTOR: u32 = 2;

/// Step with tasks that are ready but run nowhere.
#[derive(Clone, Debug)]
struct WaitingStep {
    id: StepId,
    spec: StepSpec,
    is_advised: bool,
    waiting: u32,
}

/// Returns the steps that wait although the workers have room for them, and would still have it if every
/// other waiting task took its share.
pub fn overlooked_steps(world: &World) -> Vec<StepId> {
    let waiting = waiting_steps(world);
    let demand = waiting.iter().map(|step| step.waiting * step.cpu());
    let free: u32 = (0..world.workers.len())
        .map(|number| free_cpu(world, number))
        .sum();
    if demand.sum::<u32>() * SPARE_FACTOR > free {
        return Vec::new();
    }
    let has_room = |step: &&WaitingStep| step.room(world) >= step.waiting * SPARE_FACTOR;
    waiting.iter().filter(has_room).map(|s| s.id).collect()
}

impl WaitingStep {
    fn cpu(&self) -> u32 {
        self.spec.allocated_resources().cpu_milli
    }

    /// Returns how many further tasks of the step fit on the workers that may run it.
    fn room(&self, world: &World) -> u32 {
        let usable = (0..world.workers.len()).filter(|n| !self.is_advised || World::is_allowed(*n));
        usable.map(|number| self.room_on(world, number)).sum()
    }

    fn room_on(&self, world: &World, number: usize) -> u32 {
        let fits = free_cpu(world, number) / self.cpu();
        if self.spec.max_per_worker == 0 {
            return fits;
        }
        let runs = world.workers[number].running.keys();
        let of_step = runs.filter(|run| run.task.step == self.id).count() as u32;
        fits.min(u32::from(self.spec.max_per_worker).saturating_sub(of_step))
    }
}

fn free_cpu(world: &World, number: usize) -> u32 {
    let worker = &world.workers[number];
    if !worker.up || !worker.reachable {
        return 0;
    }
    let used: u32 = worker.running.values().map(|need| need.cpu_milli).sum();
    worker.capacity.saturating_sub(used)
}

/// Returns the steps with waiting tasks. An end that was lost with its worker may hide a task or a step, so the
/// result may lack some.
fn waiting_steps(world: &World) -> Vec<WaitingStep> {
    let mut steps = Vec::new();
    for (job, (spec, _)) in &world.store.jobs {
        if matches!(world.state(*job), Some(JobState::Ended(_)) | None) {
            continue;
        }
        for (number, step) in (0u16..).zip(&spec.steps) {
            let id = step_id(*job, number);
            let is_done = |after: &u16| {
                let before = &spec.steps[usize::from(*after)];
                (0..before.count).all(|i| {
                    world
                        .acknowledged_successes
                        .contains(&step_id(*job, *after).task(i))
                })
            };
            if !step.after.iter().all(is_done) {
                continue;
            }
            let waits = |index: &u16| {
                let task = id.task(*index);
                !world.has_succeeded(task) && !world.is_running(task)
            };
            let waiting = (0..step.count).filter(waits).count() as u32;
            let members = if step.gang { waiting } else { 1 };
            let need = step.allocated_resources().saturating_mul(members);
            if waiting > 0 && world.has_cap_room(spec, need) {
                steps.push(WaitingStep {
                    id,
                    spec: step.clone(),
                    is_advised: world.is_advised(&spec.queue),
                    waiting,
                });
            }
        }
    }
    steps
}

fn step_id(job: JobId, step: u16) -> StepId {
    StepId {
        job,
        occurrence: 0,
        step,
    }
}
