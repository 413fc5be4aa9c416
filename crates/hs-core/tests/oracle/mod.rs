//! Test harness that runs a placer next to a simple model (the oracle) and compares them.

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

/// A work item as the oracle knows it.
#[derive(Clone, Debug)]
pub struct KnownWork {
    request: WorkRequest,
    /// The worker of each task, `None` for a task that has ended; `None` as a whole while the work
    /// is queued.
    workers: Option<Vec<Option<WorkerKey>>>,
}

/// A placer with an oracle that recomputes all expected state from the list of known work.
pub struct Harness {
    pub placer: Placer,
    policy: PlacerPolicy,
    now: Instant,
    pub workers: Vec<(WorkerKey, Resources, WorkerState)>,
    known_work: HashMap<WorkKey, KnownWork>,
    /// Keys of the known work in the order in which it was submitted, placed or adopted.
    pub order: Vec<WorkKey>,
    /// Ejected workers with the work item that probes them.
    ejected: HashMap<WorkerKey, Option<WorkKey>>,
    /// Whether all work consists of single short tasks that succeed. All work that fits then has to
    /// be placed.
    short_tasks_only: bool,
}

const CAPACITIES: [(u32, u32, u32); 3] = [(8, 4, 0), (16, 8, 0), (16, 8, 2)];

impl Harness {
    pub fn new(short_tasks_only: bool, mode: PolicyMode) -> Self {
        let now = Instant::now();
        let mut policy = policy(3);
        policy.mode = mode;
        policy.customers[0].queue_limit = 3;
        policy.customers[1].quota = Some(Resources {
            accelerators: 1,
            ..amount(12, 6)
        });
        if !short_tasks_only && mode == PolicyMode::Fair {
            policy.short_reserve = amount(1, 1);
            policy.long_ceiling = Some(2);
        }
        Self {
            placer: Placer::new(policy.clone(), now),
            policy,
            now,
            workers: Vec::new(),
            known_work: HashMap::new(),
            order: Vec::new(),
            ejected: HashMap::new(),
            short_tasks_only,
        }
    }

    fn request(&self, encoded_request: u64) -> WorkRequest {
        let [customer, band, need, tasks, estimate, deadline, ..] = encoded_request.to_le_bytes();
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
        if self.short_tasks_only {
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
                    self.ejected.remove(&key);
                    let mut returned = self.placer.remove_worker(key, now);
                    returned.sort_unstable();
                    let mut held = self.tasks_on(key);
                    held.sort_unstable();
                    assert_eq!(returned, held, "a removed worker returns exactly its tasks");
                }
            }
            Command::SetState(pick, state) => {
                if let Some(index) = usize::from(pick).checked_rem(self.workers.len()) {
                    let (key, _, known) = &mut self.workers[index];
                    *known = state;
                    if state == WorkerState::Draining {
                        self.ejected.remove(key);
                    }
                    self.placer.set_worker_state(*key, state, now);
                }
            }
            Command::Submit(encoded_request) => self.submit(encoded_request),
            Command::PlaceNow(encoded_request) => {
                let request = self.request(encoded_request);
                if let Some(decision) = self.placer.place_now(request.clone(), now) {
                    let Decision::Place { work, .. } = decision else {
                        panic!("place_now returned {decision:?}");
                    };
                    self.track(work, request);
                    self.apply_decision(decision);
                }
            }
            Command::Adopt(pick, encoded_request) => {
                let request = self.request(encoded_request);
                let Some(index) = usize::from(pick).checked_rem(self.workers.len()) else {
                    return;
                };
                let (key, capacity, _) = self.workers[index];
                let free = capacity.saturating_sub(self.used_on(key, WorkBand::Urgent));
                if request.resources.fits(free) {
                    let work = self.placer.adopt(key, request.clone(), now);
                    self.track(work, request);
                    let known = self.known_work.get_mut(&work).expect("known work");
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
                let end = if self.short_tasks_only {
                    0
                } else {
                    usize::from(end % 4)
                };
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
            Command::Advance(_) if self.short_tasks_only => {}
            Command::Advance(by) => self.now += Duration::from_millis(u64::from(by)),
        }
    }

    fn submit(&mut self, encoded_request: u64) {
        let request = self.request(encoded_request);
        match self.placer.submit(request.clone(), self.now) {
            Ok(work) => self.track(work, request),
            Err(NotRunReason::QueueFull) => {
                let name = format!("c{}", encoded_request.to_le_bytes()[0] % 3);
                let limits = self.policy.customers.iter();
                let limit = limits
                    .filter(|policy| policy.name == name)
                    .map(|p| p.queue_limit);
                let waiting = self.queued_count(request.customer, request.band);
                assert!(limit.eq([waiting]), "refused with {waiting} waiting");
            }
            Err(NotRunReason::NeverFits) => {
                assert!(!self.could_fit(&request), "never fits: {request:?}");
            }
            Err(reason) => panic!("unexpected refusal {reason:?}"),
        }
    }

    fn track(&mut self, work: WorkKey, request: WorkRequest) {
        let known = KnownWork {
            request,
            workers: None,
        };
        let known_before = self.known_work.insert(work, known);
        assert!(known_before.is_none(), "a key is used twice");
        self.order.push(work);
    }

    pub fn finish(&mut self, (work, task): (WorkKey, u16), end: TaskEnd) {
        self.placer.finish(work, task, end, self.now);
        // A duplicate report of the same end must not free the resources of another task.
        self.placer.finish(work, task, end, self.now);
        let known = self.known_work.get_mut(&work).expect("known work");
        let workers = known.workers.as_mut().expect("running work");
        let worker = workers[usize::from(task)].take();
        let probe = worker.and_then(|worker| self.ejected.get_mut(&worker));
        if let Some(probe) = probe.filter(|probe| **probe == Some(work)) {
            // A stopped probe has no result, so another probe may follow.
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
            self.known_work[&work].workers.clone(),
        ) {
            (CancelOutcome::Dequeued, None) => self.forget(work),
            (CancelOutcome::Running(kept), Some(workers)) => {
                assert!(
                    workers.into_iter().flatten().eq(kept),
                    "running work keeps its workers"
                );
            }
            (state, workers) => panic!("cancel found {state:?} of {workers:?}"),
        }
    }

    fn forget(&mut self, work: WorkKey) {
        self.known_work.remove(&work).expect("known work");
        self.order.retain(|known| *known != work);
    }

    fn apply_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Place { work, workers, .. } => {
                let known = self
                    .known_work
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
                    if let Some(probe) = self.ejected.get_mut(&key) {
                        let probe = probe.replace(work);
                        assert!(probe.is_none_or(|probe| probe == work), "two probes");
                    }
                }
                let quota = self.policy_of(request.customer).quota;
                let fits = |quota| self.used_by(request.customer).fits(quota);
                let fair = self.policy.mode == PolicyMode::Fair;
                assert!(!fair || quota.is_none_or(fits), "quota exceeded");
            }
            Decision::Refuse { work, reason, .. } => {
                let known = &self.known_work[&work];
                assert_eq!(known.workers, None, "placed work is not refused");
                assert!(
                    known.request.deadline.is_some_and(|at| at <= self.now),
                    "{reason:?}"
                );
                self.forget(work);
            }
            Decision::Eject { worker, .. } => {
                let before = self.ejected.insert(worker, None);
                assert_ne!(before, Some(None), "ejected again without a probe");
            }
            Decision::Readmit { worker } => {
                self.ejected.remove(&worker);
            }
        }
    }
}
