//! A placer beside an oracle.

mod checks;
mod command;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hs_core::{
    CancelOutcome, Decision, Placer, PlacerPolicy, PolicyMode, TaskEnd, WorkBand, WorkKey,
    WorkRequest, WorkerKey, WorkerState,
};
use hs_wire::{NotRunReason, Resources};

pub use command::Command;

use crate::common::{amount, policy, request, worker};

/// What the oracle knows of a piece of work.
#[derive(Clone, Debug)]
pub struct Known {
    request: WorkRequest,
    /// `None` while it waits.
    workers: Option<Vec<Option<WorkerKey>>>,
}

/// The placer beside an oracle that recomputes everything from the list of known work.
pub struct Harness {
    pub placer: Placer,
    policy: PlacerPolicy,
    now: Instant,
    pub workers: Vec<(WorkerKey, Resources, WorkerState)>,
    works: HashMap<WorkKey, Known>,
    pub order: Vec<WorkKey>,
    /// Ejected workers with the work that probes them.
    out: HashMap<WorkerKey, Option<WorkKey>>,
    /// Only single short tasks that succeed, so that whatever fits has to be placed.
    plain: bool,
}

const CAPACITIES: [(u32, u32, u32); 3] = [(8, 4, 0), (16, 8, 0), (16, 8, 2)];

impl Harness {
    pub fn new(plain: bool, mode: PolicyMode) -> Self {
        let now = Instant::now();
        let mut policy = policy(3);
        policy.mode = mode;
        policy.customers[0].queue_limit = 3;
        policy.customers[1].quota = Some(Resources {
            accelerators: 1,
            ..amount(12, 6)
        });
        if !plain && mode == PolicyMode::Fair {
            policy.short_reserve = amount(1, 1);
            policy.long_ceiling = Some(2);
        }
        Self {
            placer: Placer::new(policy.clone(), now),
            policy,
            now,
            workers: Vec::new(),
            works: HashMap::new(),
            order: Vec::new(),
            out: HashMap::new(),
            plain,
        }
    }

    fn request(&self, sketch: u64) -> WorkRequest {
        let [customer, band, need, tasks, estimate, deadline, ..] = sketch.to_le_bytes();
        let customer = format!("c{}", customer % 3);
        let customer = self.placer.customer(&customer).expect("a known customer");
        let band = WorkBand::ALL[usize::from(band % 4)];
        let need = Resources {
            accelerators: u32::from(need % 7 == 6),
            ..amount(u32::from(need % 5) * 3 + 1, u32::from(need % 3))
        };
        let mut request = request(customer, band, need);
        let wait = Duration::from_millis(u64::from(deadline) * 20);
        request.deadline = deadline.is_multiple_of(3).then_some(self.now + wait);
        if self.plain {
            request.band = WorkBand::Short;
            return request;
        }
        request.tasks = [1, 1, 1, 2, 3, 5, 9][usize::from(tasks % 7)];
        request.estimate =
            (!estimate.is_multiple_of(4)).then(|| Duration::from_millis(u64::from(estimate) * 50));
        request
    }

    pub fn apply(&mut self, command: &Command) {
        let now = self.now;
        match *command {
            Command::AddWorker(pick) if self.workers.len() < 8 => {
                let (cores, slots, accelerators) = CAPACITIES[usize::from(pick) % 3];
                let capacity = Resources {
                    accelerators,
                    ..amount(cores, slots)
                };
                let spec = worker(self.workers.len(), usize::from(pick) % 2, capacity);
                let key = self.placer.add_worker(spec, now);
                self.workers.push((key, capacity, WorkerState::Active));
            }
            Command::AddWorker(_) => {}
            Command::RemoveWorker(pick) => {
                if let Some(index) = usize::from(pick).checked_rem(self.workers.len()) {
                    let (key, ..) = self.workers.swap_remove(index);
                    self.out.remove(&key);
                    let mut lost = self.placer.remove_worker(key, now);
                    lost.sort_unstable();
                    let mut held = self.tasks_on(key);
                    held.sort_unstable();
                    assert_eq!(lost, held, "a removed worker returns exactly its tasks");
                }
            }
            Command::SetState(pick, state) => {
                if let Some(index) = usize::from(pick).checked_rem(self.workers.len()) {
                    let (key, _, known) = &mut self.workers[index];
                    *known = state;
                    if state == WorkerState::Draining {
                        self.out.remove(key);
                    }
                    self.placer.set_worker_state(*key, state, now);
                }
            }
            Command::Submit(sketch) => self.submit(sketch),
            Command::PlaceNow(sketch) => {
                let request = self.request(sketch);
                if let Some(decision) = self.placer.place_now(request.clone(), now) {
                    let Decision::Place { work, .. } = decision else {
                        panic!("place_now returned {decision:?}");
                    };
                    self.learn(work, request);
                    self.decide(decision);
                }
            }
            Command::Adopt(pick, sketch) => {
                let request = self.request(sketch);
                let Some(index) = usize::from(pick).checked_rem(self.workers.len()) else {
                    return;
                };
                let (key, capacity, _) = self.workers[index];
                let free = capacity.saturating_sub(self.held(key, WorkBand::Urgent));
                if request.resources.fits(free) {
                    let work = self.placer.adopt(key, request.clone(), now);
                    self.learn(work, request);
                    let known = self.works.get_mut(&work).expect("known work");
                    known.workers = Some(vec![Some(key)]);
                }
            }
            Command::Finish(pick, end) => {
                let ends = [
                    TaskEnd::Done,
                    TaskEnd::Failed,
                    TaskEnd::Refused,
                    TaskEnd::Stopped,
                ];
                let end = if self.plain { 0 } else { usize::from(end % 4) };
                let running: Vec<_> = self.running().collect();
                if let Some(index) = usize::from(pick).checked_rem(running.len()) {
                    self.finish(running[index], ends[end]);
                }
            }
            Command::Cancel(pick) => {
                if let Some(index) = usize::from(pick).checked_rem(self.order.len()) {
                    self.cancel(self.order[index]);
                }
            }
            Command::Advance(_) if self.plain => {}
            Command::Advance(by) => self.now += Duration::from_millis(u64::from(by)),
        }
    }

    fn submit(&mut self, sketch: u64) {
        let request = self.request(sketch);
        match self.placer.submit(request.clone(), self.now) {
            Ok(work) => self.learn(work, request),
            Err(NotRunReason::QueueFull) => {
                let name = format!("c{}", sketch.to_le_bytes()[0] % 3);
                let limits = self.policy.customers.iter();
                let limit = limits
                    .filter(|policy| policy.name == name)
                    .map(|p| p.queue_limit);
                let waiting = self.waiting(request.customer, request.band);
                assert!(limit.eq([waiting]), "refused with {waiting} waiting");
            }
            Err(NotRunReason::NeverFits) => {
                assert!(!self.could_fit(&request), "never fits: {request:?}");
            }
            Err(reason) => panic!("unexpected refusal {reason:?}"),
        }
    }

    fn learn(&mut self, work: WorkKey, request: WorkRequest) {
        let known = Known {
            request,
            workers: None,
        };
        let known_before = self.works.insert(work, known);
        assert!(known_before.is_none(), "a key is used twice");
        self.order.push(work);
    }

    pub fn finish(&mut self, (work, task): (WorkKey, u16), end: TaskEnd) {
        self.placer.finish(work, task, end, self.now);
        // A second report of the same end must not free the room of another task.
        self.placer.finish(work, task, end, self.now);
        let known = self.works.get_mut(&work).expect("known work");
        let workers = known.workers.as_mut().expect("running work");
        let worker = workers[usize::from(task)].take();
        let probe = worker.and_then(|worker| self.out.get_mut(&worker));
        if let Some(probe) = probe.filter(|probe| **probe == Some(work)) {
            // A probe that was stopped says nothing, so that another one may follow.
            *probe = probe.filter(|_| end != TaskEnd::Stopped);
        }
        if workers.iter().all(Option::is_none) {
            self.forget(work);
            assert_eq!(self.placer.cancel(work, self.now), CancelOutcome::Gone);
        }
    }

    pub fn cancel(&mut self, work: WorkKey) {
        match (
            self.placer.cancel(work, self.now),
            self.works[&work].workers.clone(),
        ) {
            (CancelOutcome::Dequeued, None) => self.forget(work),
            (CancelOutcome::Running(kept), Some(workers)) => {
                assert!(workers.into_iter().flatten().eq(kept), "room is kept");
            }
            (state, workers) => panic!("cancel found {state:?} of {workers:?}"),
        }
    }

    fn forget(&mut self, work: WorkKey) {
        self.works.remove(&work).expect("known work");
        self.order.retain(|known| *known != work);
    }

    fn decide(&mut self, decision: Decision) {
        match decision {
            Decision::Place { work, workers, .. } => {
                let known = self
                    .works
                    .get_mut(&work)
                    .expect("refused work is never placed");
                assert_eq!(known.workers, None, "work is placed once");
                let request = known.request.clone();
                known.workers = Some(workers.iter().copied().map(Some).collect());
                assert_eq!(
                    workers.len(),
                    usize::from(request.tasks),
                    "all tasks or none"
                );
                for key in workers {
                    let found = self.workers.iter().find(|(known, ..)| *known == key);
                    let (_, capacity, state) = *found.expect("a placed worker exists");
                    assert_eq!(
                        state,
                        WorkerState::Active,
                        "a draining worker takes no work"
                    );
                    self.check_limits(key, capacity, &request);
                    if let Some(probe) = self.out.get_mut(&key) {
                        let probe = probe.replace(work);
                        assert!(probe.is_none_or(|probe| probe == work), "two probes");
                    }
                }
                let account = self.policy_of(request.customer).quota;
                let fits = |quota| self.held_by(request.customer).fits(quota);
                let fair = self.policy.mode == PolicyMode::Fair;
                assert!(!fair || account.is_none_or(fits), "quota exceeded");
            }
            Decision::Refuse { work, reason, .. } => {
                let known = &self.works[&work];
                assert_eq!(known.workers, None, "placed work is not refused");
                assert!(
                    known.request.deadline.is_some_and(|at| at <= self.now),
                    "{reason:?}"
                );
                self.forget(work);
            }
            Decision::Eject { worker, .. } => {
                let before = self.out.insert(worker, None);
                assert_ne!(before, Some(None), "ejected again without a probe");
            }
            Decision::Readmit { worker } => {
                self.out.remove(&worker);
            }
        }
    }
}
