//! The placer task.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_core::{
    CancelOutcome, CustomerPolicy, Decision, Placer, PlacerPolicy, TaskEnd, WorkBand, WorkKey,
    WorkRequest, WorkerKey,
};
use hs_event::EventCode;
use hs_peer::RetryBudget;
use hs_wire::{NotRunReason, WorkId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use super::{
    PlaceMode, PlaceRefusal, PlaceRequest, PlacerMessage, TaskGrant, TaskReservation, WorkerReport,
};
use crate::manifest::ManifestView;
use crate::port::ClockPort;

/// Most messages that are taken before decisions are made.
const MESSAGES_PER_TURN: usize = 256;

/// Longest sleep between two looks at deadlines and opening hours.
const IDLE_WAKE: Duration = Duration::from_secs(1);

struct QueuedWork {
    work: WorkKey,
    request: PlaceRequest,
    reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
}

pub(super) struct WorkerSlot {
    pub(super) report: WorkerReport,
    pub(super) is_ejected: bool,
    pub(super) tasks: HashMap<WorkId, TaskReservation>,
}

/// Name under which tasks are accounted whose customer has left the manifest.
pub(super) const FORMER_CUSTOMER: &str = "-";

/// Owns the placement core and the reservations on the workers of this process.
pub struct PlacerTask<Clock> {
    pub(super) clock: Clock,
    receiver: mpsc::UnboundedReceiver<PlacerMessage>,
    pub(super) placer: Placer,
    pub(super) view: Option<Arc<ManifestView>>,
    members: u32,
    minute: u16,
    pub(super) slots: HashMap<WorkerKey, WorkerSlot>,
    pub(super) names: HashMap<String, WorkerKey>,
    pub(super) placed: HashMap<WorkId, WorkerKey>,
    queued: HashMap<u64, QueuedWork>,
    queued_tasks: HashMap<WorkId, u64>,
    next_tag: u64,
    budget: RetryBudget,
    pub(super) next_report: Instant,
}

impl<Clock: ClockPort> PlacerTask<Clock> {
    /// Builds the task.
    pub fn new(clock: Clock, receiver: mpsc::UnboundedReceiver<PlacerMessage>) -> Self {
        let placer = Placer::new(PlacerPolicy::default(), clock.now());
        let budget = RetryBudget::new(clock.now());
        let next_report = clock.now();
        Self {
            clock,
            receiver,
            placer,
            view: None,
            members: 1,
            minute: 0,
            slots: HashMap::new(),
            names: HashMap::new(),
            placed: HashMap::new(),
            queued: HashMap::new(),
            queued_tasks: HashMap::new(),
            next_tag: 0,
            budget,
            next_report,
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        loop {
            let now = self.clock.now();
            let idle = now + IDLE_WAKE;
            let wake = self.placer.next_wake().map_or(idle, |wake| wake.min(idle));
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(message) => self.take_turn(message),
                    None => return,
                },
                () = sleep_until(wake.into()) => {}
            }
            self.follow_opening_hours();
            self.report_stragglers();
            self.decide();
        }
    }

    fn take_turn(&mut self, first: PlacerMessage) {
        self.handle(first);
        for _ in 1..MESSAGES_PER_TURN {
            match self.receiver.try_recv() {
                Ok(message) => self.handle(message),
                Err(_) => return,
            }
        }
    }

    fn handle(&mut self, message: PlacerMessage) {
        match message {
            PlacerMessage::Place { request, reply } => self.place(request, reply),
            PlacerMessage::Withdraw { task } => self.withdraw(&task),
            PlacerMessage::Release { ends } => {
                for (task, end) in ends {
                    self.release(&task, end);
                }
            }
            PlacerMessage::TryRetry { reply } => {
                let _ = reply.send(self.budget.try_retry(self.clock.now()));
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
            PlacerMessage::Manifest { view, members } => {
                self.view = Some(view);
                self.members = members;
                self.apply_policy();
            }
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
        self.next_tag += 1;
        self.budget.request(now);
        let tag = self.next_tag;
        let work = match self.work_request(&request, tag) {
            Ok(work) => work,
            Err(reason) => {
                let _ = reply.send(Err(PlaceRefusal::Refused(reason)));
                return;
            }
        };
        match request.mode {
            PlaceMode::Immediate => match self.placer.place_now(work, now) {
                Some(Decision::Place { work, workers, .. }) => {
                    self.grant(work, &workers, &request, Duration::ZERO, reply);
                }
                Some(_) | None => {
                    let _ = reply.send(Err(PlaceRefusal::Busy));
                }
            },
            PlaceMode::Partial => self.place_partial(work, &request, reply),
            PlaceMode::Queued => match self.placer.submit(work, now) {
                Ok(work) => {
                    if let Some(first) = request.tasks.first() {
                        self.queued_tasks.insert(first.clone(), tag);
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

    /// Places tasks one by one until the first that finds no room.
    fn place_partial(
        &mut self,
        mut work: WorkRequest,
        request: &PlaceRequest,
        reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
    ) {
        let now = self.clock.now();
        work.tasks = 1;
        let mut grants = Vec::new();
        for task in &request.tasks {
            let Some(Decision::Place { work, workers, .. }) =
                self.placer.place_now(work.clone(), now)
            else {
                break;
            };
            let tasks = std::slice::from_ref(task);
            grants.extend(self.hold(work, &workers, tasks, request, Duration::ZERO));
        }
        let granted = grants.len();
        let result = match granted {
            0 => Err(PlaceRefusal::Busy),
            _ => Ok(grants),
        };
        if reply.send(result).is_err() {
            self.release_unsent(&request.tasks[..granted]);
        }
    }

    fn work_request(&self, request: &PlaceRequest, tag: u64) -> Result<WorkRequest, NotRunReason> {
        let view = self.view.as_ref().ok_or(NotRunReason::NotReady)?;
        let (number, entry) = view
            .workload(&request.workload)
            .ok_or(NotRunReason::UnknownWorkload)?;
        let customer = self.placer.customer(&request.customer);
        Ok(WorkRequest {
            customer: customer.ok_or(NotRunReason::UnknownCustomer)?,
            workload: number,
            band: WorkBand::of(entry.class, entry.urgent),
            resources: entry.resources,
            tasks: request.tasks.len() as u16,
            estimate: entry.estimate_ms.map(Duration::from_millis),
            deadline: request.deadline,
            tag,
        })
    }

    fn grant(
        &mut self,
        work: WorkKey,
        workers: &[WorkerKey],
        request: &PlaceRequest,
        waited: Duration,
        reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
    ) {
        let grants = self.hold(work, workers, &request.tasks, request, waited);
        if reply.send(Ok(grants)).is_err() {
            self.release_unsent(&request.tasks);
        }
    }

    /// Notes the reservations of placed tasks and builds their grants.
    fn hold(
        &mut self,
        work: WorkKey,
        workers: &[WorkerKey],
        tasks: &[WorkId],
        request: &PlaceRequest,
        waited: Duration,
    ) -> Vec<TaskGrant> {
        let now = self.clock.now();
        let revision = self.view.as_ref().map_or(0, |view| view.revision());
        let mut grants = Vec::with_capacity(workers.len());
        for (index, (worker, task)) in workers.iter().zip(tasks).enumerate() {
            let Some(slot) = self.slots.get_mut(worker) else {
                continue;
            };
            let reservation = TaskReservation {
                work,
                index: index as u16,
                since: now,
                asked: None,
                is_missing: false,
            };
            slot.tasks.insert(task.clone(), reservation);
            self.placed.insert(task.clone(), *worker);
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
            grants.push(TaskGrant {
                worker: report.name.clone(),
                address: report.address.clone(),
                fence: report.grant.fence,
                incarnation: report.grant.incarnation,
            });
        }
        grants
    }

    /// Frees tasks whose caller has gone, so that nothing was sent to their workers.
    fn release_unsent(&mut self, tasks: &[WorkId]) {
        for task in tasks {
            self.release(task, TaskEnd::Stopped);
        }
    }

    fn withdraw(&mut self, task: &WorkId) {
        let Some(tag) = self.queued_tasks.remove(task) else {
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

    pub(super) fn release(&mut self, task: &WorkId, end: TaskEnd) {
        let Some(worker) = self.placed.remove(task) else {
            return;
        };
        let slot = self.slots.get_mut(&worker);
        let Some(reservation) = slot.and_then(|slot| slot.tasks.remove(task)) else {
            return;
        };
        self.placer
            .finish(reservation.work, reservation.index, end, self.clock.now());
    }

    fn follow_opening_hours(&mut self) {
        let minute = (self.clock.wall_ms() / 60_000 % 1440) as u16;
        if minute != self.minute {
            self.minute = minute;
            self.apply_policy();
        }
    }

    fn apply_policy(&mut self) {
        let Some(view) = &self.view else {
            return;
        };
        let mut policy = view.policy(self.members, self.minute);
        policy.customers.push(CustomerPolicy {
            name: FORMER_CUSTOMER.to_owned(),
            weight: 1,
            quota: None,
            queue_limit: 1,
        });
        self.placer.apply_policy(policy, self.clock.now());
    }

    fn decide(&mut self) {
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
                    if let Some(queued) = self.take_queued(tag) {
                        self.grant(work, &workers, &queued.request, waited, queued.reply);
                    }
                }
                Some(Decision::Refuse { tag, reason, .. }) => {
                    if let Some(queued) = self.take_queued(tag) {
                        let _ = queued.reply.send(Err(PlaceRefusal::Refused(reason)));
                    }
                }
                Some(Decision::Eject { worker, pause }) => self.set_ejected(worker, Some(pause)),
                Some(Decision::Readmit { worker }) => self.set_ejected(worker, None),
            }
        }
    }

    fn take_queued(&mut self, tag: u64) -> Option<QueuedWork> {
        let queued = self.queued.remove(&tag)?;
        if let Some(first) = queued.request.tasks.first() {
            self.queued_tasks.remove(first);
        }
        Some(queued)
    }
}
