//! The placer task: its state, message loop, and placement of requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_core::{
    CancelOutcome, CustomerPolicy, Decision, Placer, PlacerPolicy, WorkBand, WorkKey, WorkRequest,
    WorkerKey,
};
use hs_event::EventCode;
use hs_peer::RetryBudget;
use hs_wire::{NotRunReason, WorkId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use super::held::grant_of;
use super::{
    PlaceMode, PlaceRefusal, PlaceRequest, PlacerMessage, TaskGrant, TaskReservation, WorkerReport,
};
use crate::manifest::ManifestView;
use crate::port::ClockPort;
use crate::supervise::TaskInbox;

/// Maximum number of messages handled before the decisions of the placement core are applied.
const MAX_MESSAGES_PER_BATCH: usize = 256;

/// Maximum time between two checks of deadlines and of the opening hours of the short reserve.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Work that waits in the queue of the placement core.
struct QueuedWork {
    work: WorkKey,
    request: PlaceRequest,
    reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
}

/// A leased worker and the reservations on it.
pub(super) struct WorkerSlot {
    pub(super) report: WorkerReport,
    pub(super) is_ejected: bool,
    pub(super) tasks: HashMap<WorkId, TaskReservation>,
}

/// Customer name that accounts for tasks whose customer is no longer in the manifest.
pub(super) const FORMER_CUSTOMER: &str = "-";

/// Owns the placement core and the reservations on the workers leased by this process.
pub struct PlacerTask<Clock> {
    pub(super) clock: Clock,
    receiver: TaskInbox<mpsc::UnboundedReceiver<PlacerMessage>>,
    pub(super) placer: Placer,
    pub(super) manifest: Option<Arc<ManifestView>>,
    member_count: u32,
    minute_of_day: u16,
    pub(super) slots: HashMap<WorkerKey, WorkerSlot>,
    pub(super) worker_keys: HashMap<String, WorkerKey>,
    pub(super) task_workers: HashMap<WorkId, WorkerKey>,
    /// Queued work by the tag of its request.
    queued: HashMap<u64, QueuedWork>,
    /// Tags of queued work by the id of its first task.
    queue_tags: HashMap<WorkId, u64>,
    last_tag: u64,
    retry_budget: RetryBudget,
    pub(super) next_straggler_scan: Instant,
}

impl<Clock: ClockPort> PlacerTask<Clock> {
    /// Creates a placer task without workers and without a manifest. It handles the messages of
    /// `receiver`.
    pub fn new(clock: Clock, receiver: TaskInbox<mpsc::UnboundedReceiver<PlacerMessage>>) -> Self {
        let placer = Placer::new(PlacerPolicy::default(), clock.now());
        let retry_budget = RetryBudget::new(clock.now());
        let next_straggler_scan = clock.now();
        Self {
            clock,
            receiver,
            placer,
            manifest: None,
            member_count: 1,
            minute_of_day: 0,
            slots: HashMap::new(),
            worker_keys: HashMap::new(),
            task_workers: HashMap::new(),
            queued: HashMap::new(),
            queue_tags: HashMap::new(),
            last_tag: 0,
            retry_budget,
            next_straggler_scan,
        }
    }

    /// Applies a manifest. `members` is the number of live entry processes in the data centre.
    pub fn set_manifest(&mut self, view: Arc<ManifestView>, members: u32) {
        self.manifest = Some(view);
        self.member_count = members;
        self.apply_policy();
    }

    /// Runs until every handle has been dropped.
    pub async fn run(mut self) {
        loop {
            let now = self.clock.now();
            let idle = now + MAX_SLEEP;
            let wake = self.placer.next_wake().map_or(idle, |wake| wake.min(idle));
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(message) => self.handle_batch(message),
                    None => return,
                },
                () = sleep_until(wake.into()) => {}
            }
            self.update_opening_hours();
            self.log_stragglers();
            self.apply_decisions();
        }
    }

    fn handle_batch(&mut self, first: PlacerMessage) {
        self.handle(first);
        for _ in 1..MAX_MESSAGES_PER_BATCH {
            match self.receiver.try_recv() {
                Ok(message) => self.handle(message),
                Err(_) => return,
            }
        }
    }

    fn handle(&mut self, message: PlacerMessage) {
        match message {
            PlacerMessage::Place { request, reply } => self.place(request, reply),
            PlacerMessage::CancelQueued { task } => self.cancel_queued(&task),
            PlacerMessage::Release { ends } => {
                for (task, end) in ends {
                    self.release(&task, end);
                }
            }
            PlacerMessage::TryRetry { reply } => {
                let _ = reply.send(self.retry_budget.try_retry(self.clock.now()));
            }
            PlacerMessage::WorkerAdded { report } => self.add_worker(report),
            PlacerMessage::WorkerUpdated { report } => self.update_worker(report),
            PlacerMessage::WorkerRemoved { name } => self.remove_worker(&name),
            PlacerMessage::DueQuery { name, reply } => {
                let _ = reply.send(self.due_query(&name));
            }
            PlacerMessage::QueryAnswered {
                name,
                queried,
                fence_raised,
                known,
            } => self.query_answered(&name, &queried, fence_raised, &known),
            PlacerMessage::Manifest { view, members } => self.set_manifest(view, members),
            PlacerMessage::HeldTasks { prefix, reply } => {
                let _ = reply.send(self.held_tasks(&prefix));
            }
            PlacerMessage::Status { reply } => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn place(
        &mut self,
        request: PlaceRequest,
        reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
    ) {
        let now = self.clock.now();
        self.last_tag += 1;
        self.retry_budget.record_request(now);
        let tag = self.last_tag;
        let work = match self.work_request(&request, tag) {
            Ok(work) => work,
            Err(reason) => {
                let _ = reply.send(Err(PlaceRefusal::Refused(reason)));
                return;
            }
        };
        if request.mode != PlaceMode::Partial
            && let Some(held) = self.held_result(&request.tasks)
        {
            // A reply that does not arrive releases nothing, because an earlier one may have.
            let _ = reply.send(held);
            return;
        }
        match request.mode {
            PlaceMode::Immediate => match self.placer.place_now(work, now) {
                Some(Decision::Place { work, workers, .. }) => {
                    self.send_grants(work, &workers, &request, Duration::ZERO, reply);
                }
                Some(_) | None => {
                    let _ = reply.send(Err(PlaceRefusal::Busy));
                }
            },
            PlaceMode::Partial => self.place_partial(work, &request, reply),
            PlaceMode::Queued => match self.placer.submit(work, now) {
                Ok(work) => {
                    if let Some(first) = request.tasks.first() {
                        self.queue_tags.insert(first.clone(), tag);
                    }
                    let queued = QueuedWork {
                        work,
                        request,
                        reply,
                    };
                    self.queued.insert(tag, queued);
                }
                Err(reason) => {
                    let _ = reply.send(Err(PlaceRefusal::Refused(reason)));
                }
            },
        }
    }

    /// Places tasks one by one up to the first that does not fit.
    fn place_partial(
        &mut self,
        mut work: WorkRequest,
        request: &PlaceRequest,
        reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
    ) {
        let now = self.clock.now();
        work.tasks = 1;
        let mut grants = Vec::new();
        let mut placed = Vec::new();
        for task in &request.tasks {
            if let Some(held) = self.held_grant(task) {
                grants.push(held);
                continue;
            }
            let Some(Decision::Place { work, workers, .. }) =
                self.placer.place_now(work.clone(), now)
            else {
                break;
            };
            let tasks = std::slice::from_ref(task);
            grants.extend(self.record_reservations(work, &workers, tasks, request, Duration::ZERO));
            placed.push(task.clone());
        }
        let result = match grants.is_empty() {
            true => Err(PlaceRefusal::Busy),
            false => Ok(grants),
        };
        if reply.send(result).is_err() {
            self.release_undelivered(&placed);
        }
    }

    fn work_request(&self, request: &PlaceRequest, tag: u64) -> Result<WorkRequest, NotRunReason> {
        let view = self.manifest.as_ref().ok_or(NotRunReason::NotReady)?;
        let tasks = request.task_count()?;
        let (number, entry) = view
            .workload(&request.workload)
            .ok_or(NotRunReason::UnknownWorkload)?;
        let customer = self.placer.customer(&request.customer);
        Ok(WorkRequest {
            customer: customer.ok_or(NotRunReason::UnknownCustomer)?,
            workload: number,
            band: WorkBand::of(entry.class, entry.urgent),
            resources: entry.resources,
            tasks,
            estimate: entry.estimate_ms.map(Duration::from_millis),
            deadline: request.deadline,
            tag,
        })
    }

    /// Records the reservations of placed work and sends the grants to the caller.
    fn send_grants(
        &mut self,
        work: WorkKey,
        workers: &[WorkerKey],
        request: &PlaceRequest,
        waited: Duration,
        reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
    ) {
        let grants = self.record_reservations(work, workers, &request.tasks, request, waited);
        if reply.send(Ok(grants)).is_err() {
            self.release_undelivered(&request.tasks);
        }
    }

    /// Records the reservations of placed tasks and returns their grants.
    fn record_reservations(
        &mut self,
        work: WorkKey,
        workers: &[WorkerKey],
        tasks: &[WorkId],
        request: &PlaceRequest,
        waited: Duration,
    ) -> Vec<TaskGrant> {
        let now = self.clock.now();
        let revision = self.manifest.as_ref().map_or(0, |view| view.revision());
        let mut grants = Vec::with_capacity(workers.len());
        for (index, (worker, task)) in workers.iter().zip(tasks).enumerate() {
            let Some(slot) = self.slots.get_mut(worker) else {
                continue;
            };
            let reservation = TaskReservation {
                work,
                index: index as u16,
                reserved_at: now,
                queried_at: None,
                is_unknown: false,
            };
            slot.tasks.insert(task.clone(), reservation);
            self.task_workers.insert(task.clone(), *worker);
            let report = &slot.report;
            EventCode::WorkPlaced.log(format_args!(
                "task={task} customer={} workload={} worker={} fence={} revision={revision} \
                 waited_ms={}",
                request.customer,
                request.workload,
                report.name,
                report.grant.fence,
                waited.as_millis(),
            ));
            grants.push(grant_of(report));
        }
        grants
    }

    fn cancel_queued(&mut self, task: &WorkId) {
        let Some(tag) = self.queue_tags.remove(task) else {
            return;
        };
        let Some(queued) = self.queued.remove(&tag) else {
            return;
        };
        if self.placer.cancel(queued.work, self.clock.now()) == CancelOutcome::Dequeued {
            let _ = queued
                .reply
                .send(Err(PlaceRefusal::Refused(NotRunReason::Cancelled)));
        }
    }

    fn update_opening_hours(&mut self) {
        let minute_of_day = (self.clock.wall_ms() / 60_000 % 1440) as u16;
        if minute_of_day != self.minute_of_day {
            self.minute_of_day = minute_of_day;
            self.apply_policy();
        }
    }

    fn apply_policy(&mut self) {
        let Some(view) = &self.manifest else {
            return;
        };
        let mut policy = view.policy(self.member_count, self.minute_of_day);
        policy.customers.push(CustomerPolicy {
            name: FORMER_CUSTOMER.to_owned(),
            weight: 1,
            quota: None,
            queue_limit: 1,
        });
        self.placer.apply_policy(policy, self.clock.now());
    }

    /// Polls the placement core and applies its decisions until there are none left.
    fn apply_decisions(&mut self) {
        loop {
            let now = self.clock.now();
            match self.placer.poll(now) {
                None => return,
                Some(Decision::Place {
                    work,
                    tag,
                    workers,
                    waited,
                }) => {
                    if let Some(queued) = self.remove_queued(tag) {
                        self.send_grants(work, &workers, &queued.request, waited, queued.reply);
                    }
                }
                Some(Decision::Refuse { tag, reason, .. }) => {
                    if let Some(queued) = self.remove_queued(tag) {
                        let _ = queued.reply.send(Err(PlaceRefusal::Refused(reason)));
                    }
                }
                Some(Decision::Eject { worker, pause }) => self.set_ejected(worker, Some(pause)),
                Some(Decision::Readmit { worker }) => self.set_ejected(worker, None),
            }
        }
    }

    fn remove_queued(&mut self, tag: u64) -> Option<QueuedWork> {
        let queued = self.queued.remove(&tag)?;
        if let Some(first) = queued.request.tasks.first() {
            self.queue_tags.remove(first);
        }
        Some(queued)
    }
}
