//! The placer task.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_core::{
    CancelState, CustomerPolicy, Decision, Placer, PlacerPolicy, TaskEnd, WorkBand, WorkKey,
    WorkRequest, WorkerKey, WorkerSpec, WorkerState,
};
use hs_event::EventCode;
use hs_peer::RetryBudget;
use hs_wire::{NotRunReason, TaskPhase, TaskView, WorkId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use super::message::SuspectList;
use super::{
    PlaceMode, PlaceRefusal, PlaceRequest, PlacerMessage, PlacerStatus, TaskGrant, TaskReservation,
    WorkerReport, WorkerStatus,
};
use crate::manifest::ManifestView;
use crate::port::ClockPort;

/// Age at which a reservation is asked about, and the time between two questions.
const SUSPECT_AGE: Duration = Duration::from_secs(5);

/// Age at which a reservation whose task the worker does not know is freed after a raised fence.
const MISSING_AGE: Duration = Duration::from_secs(10);

/// Most tasks in one question, so that a renewal stays small.
const SUSPECTS_PER_QUERY: usize = 64;

/// Most messages that are taken before decisions are made.
const MESSAGES_PER_TURN: usize = 256;

/// Longest sleep between two looks at deadlines and opening hours.
const IDLE_WAKE: Duration = Duration::from_secs(1);

/// Name under which tasks are accounted whose customer has left the manifest.
const FORMER_CUSTOMER: &str = "-";

struct QueuedWork {
    work: WorkKey,
    request: PlaceRequest,
    reply: oneshot::Sender<Result<Vec<TaskGrant>, PlaceRefusal>>,
}

struct WorkerSlot {
    report: WorkerReport,
    is_ejected: bool,
    tasks: HashMap<WorkId, TaskReservation>,
}

/// Owns the placement core and the reservations on the workers of this process.
pub struct PlacerTask<Clock> {
    clock: Clock,
    receiver: mpsc::UnboundedReceiver<PlacerMessage>,
    placer: Placer,
    view: Option<Arc<ManifestView>>,
    members: u32,
    minute: u16,
    slots: HashMap<WorkerKey, WorkerSlot>,
    names: HashMap<String, WorkerKey>,
    placed: HashMap<WorkId, WorkerKey>,
    queued: HashMap<u64, QueuedWork>,
    queued_tasks: HashMap<WorkId, u64>,
    next_tag: u64,
    budget: RetryBudget,
}

impl<Clock: ClockPort> PlacerTask<Clock> {
    /// Builds the task.
    pub fn new(clock: Clock, receiver: mpsc::UnboundedReceiver<PlacerMessage>) -> Self {
        let placer = Placer::new(PlacerPolicy::default(), clock.now());
        let budget = RetryBudget::new(clock.now());
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
            PlacerMessage::Retry { reply } => {
                let _ = reply.send(self.budget.try_retry(self.clock.now()));
            }
            PlacerMessage::WorkerUp { report } => self.worker_up(report),
            PlacerMessage::WorkerRenewed { report } => self.worker_renewed(report),
            PlacerMessage::WorkerDown { name } => self.worker_down(&name),
            PlacerMessage::Suspects { name, reply } => {
                let _ = reply.send(self.suspects(&name));
            }
            PlacerMessage::Queried {
                name,
                asked,
                bumped,
                known,
            } => self.queried(&name, &asked, bumped, &known),
            PlacerMessage::Manifest { view, members } => {
                self.view = Some(view);
                self.members = members;
                self.apply_policy();
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
        let now = self.clock.now();
        let revision = self.view.as_ref().map_or(0, |view| view.revision());
        let mut grants = Vec::with_capacity(workers.len());
        for (index, (worker, task)) in workers.iter().zip(&request.tasks).enumerate() {
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
            EventCode::WorkPlaced.log(format_args!(
                "task={task} customer={} workload={} worker={} fence={} revision={revision} waited_ms={}",
                request.customer,
                request.workload,
                slot.report.name,
                slot.report.grant.fence,
                waited.as_millis(),
            ));
            grants.push(TaskGrant {
                worker: slot.report.name.clone(),
                address: slot.report.address.clone(),
                fence: slot.report.grant.fence,
                incarnation: slot.report.grant.incarnation,
            });
        }
        if reply.send(Ok(grants)).is_err() {
            // The caller has gone, so that nothing was sent to the workers.
            for task in &request.tasks {
                self.release(task, TaskEnd::Refused);
            }
        }
    }

    fn withdraw(&mut self, task: &WorkId) {
        let Some(tag) = self.queued_tasks.remove(task) else {
            return;
        };
        let Some(queued) = self.queued.remove(&tag) else {
            return;
        };
        if self.placer.cancel(queued.work, self.clock.now()) == CancelState::Dequeued {
            let _ = queued
                .reply
                .send(Err(PlaceRefusal::Refused(NotRunReason::Cancelled)));
        }
    }

    fn release(&mut self, task: &WorkId, end: TaskEnd) {
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

    fn worker_up(&mut self, report: WorkerReport) {
        self.worker_down(&report.name);
        let now = self.clock.now();
        let spec = WorkerSpec {
            name: report.name.clone(),
            rack: report.rack.clone(),
            capacity: report.grant.capacity,
        };
        let worker = self.placer.add_worker(spec, now);
        let tasks = report.grant.tasks.clone();
        self.names.insert(report.name.clone(), worker);
        let slot = WorkerSlot {
            report,
            is_ejected: false,
            tasks: HashMap::new(),
        };
        self.slots.insert(worker, slot);
        for task in tasks.iter().filter(|task| task.phase == TaskPhase::Running) {
            self.adopt(worker, task, now);
        }
        self.follow_state(worker);
    }

    fn adopt(&mut self, worker: WorkerKey, task: &TaskView, now: Instant) {
        let named = self.placer.customer(&task.customer);
        let Some(customer) = named.or_else(|| self.placer.customer(FORMER_CUSTOMER)) else {
            return;
        };
        let entry = self
            .view
            .as_ref()
            .and_then(|view| view.workload(&task.workload));
        let request = WorkRequest {
            customer,
            workload: entry.map_or(u32::MAX, |(number, _)| number),
            band: entry.map_or(WorkBand::Long, |(_, entry)| {
                WorkBand::of(entry.class, entry.urgent)
            }),
            resources: task.resources,
            tasks: 1,
            estimate: None,
            deadline: None,
            tag: 0,
        };
        let work = self.placer.adopt(worker, request, now);
        let reservation = TaskReservation {
            work,
            index: 0,
            since: now,
            asked: None,
            is_missing: false,
        };
        self.placed.insert(task.id.clone(), worker);
        if let Some(slot) = self.slots.get_mut(&worker) {
            slot.tasks.insert(task.id.clone(), reservation);
        }
    }

    fn worker_renewed(&mut self, report: WorkerReport) {
        let Some(worker) = self.names.get(&report.name).copied() else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&worker) {
            slot.report = report;
        }
        self.follow_state(worker);
    }

    fn follow_state(&mut self, worker: WorkerKey) {
        let Some(slot) = self.slots.get(&worker) else {
            return;
        };
        let state = match slot.report.draining || slot.report.grant.draining {
            true => WorkerState::Draining,
            false => WorkerState::Active,
        };
        self.placer
            .set_worker_state(worker, state, self.clock.now());
    }

    fn worker_down(&mut self, name: &str) {
        let Some(worker) = self.names.remove(name) else {
            return;
        };
        let now = self.clock.now();
        self.placer.remove_worker(worker, now);
        let Some(slot) = self.slots.remove(&worker) else {
            return;
        };
        for (task, reservation) in slot.tasks {
            self.placed.remove(&task);
            self.placer
                .finish(reservation.work, reservation.index, TaskEnd::Stopped, now);
        }
    }

    fn suspects(&mut self, name: &str) -> SuspectList {
        let now = self.clock.now();
        let mut list = SuspectList::default();
        let worker = self.names.get(name);
        let Some(slot) = worker.and_then(|worker| self.slots.get_mut(worker)) else {
            return list;
        };
        for (task, reservation) in &mut slot.tasks {
            let age = now.saturating_duration_since(reservation.asked.unwrap_or(reservation.since));
            if age < SUSPECT_AGE || list.tasks.len() >= SUSPECTS_PER_QUERY {
                continue;
            }
            reservation.asked = Some(now);
            let held = now.saturating_duration_since(reservation.since);
            list.bump |= reservation.is_missing && held >= MISSING_AGE;
            list.tasks.push(task.clone());
        }
        list
    }

    fn queried(&mut self, name: &str, asked: &[WorkId], bumped: bool, known: &[TaskView]) {
        let Some(worker) = self.names.get(name).copied() else {
            return;
        };
        for task in asked {
            let view = known.iter().find(|view| view.id == *task);
            match view.map(|view| view.phase) {
                Some(TaskPhase::Running) => self.set_missing(worker, task, false),
                Some(TaskPhase::Done) => self.release(task, TaskEnd::Done),
                Some(TaskPhase::Failed) => self.release(task, TaskEnd::Failed),
                Some(TaskPhase::Stopped) => self.release(task, TaskEnd::Stopped),
                None if bumped => self.release(task, TaskEnd::Refused),
                None => self.set_missing(worker, task, true),
            }
        }
    }

    fn set_missing(&mut self, worker: WorkerKey, task: &WorkId, is_missing: bool) {
        let slot = self.slots.get_mut(&worker);
        if let Some(reservation) = slot.and_then(|slot| slot.tasks.get_mut(task)) {
            reservation.is_missing = is_missing;
        }
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

    fn set_ejected(&mut self, worker: WorkerKey, pause: Option<Duration>) {
        let Some(slot) = self.slots.get_mut(&worker) else {
            return;
        };
        slot.is_ejected = pause.is_some();
        let name = &slot.report.name;
        match pause {
            Some(pause) => EventCode::WorkerEjected
                .log(format_args!("worker={name} pause_ms={}", pause.as_millis())),
            None => EventCode::WorkerReadmitted.log(format_args!("worker={name}")),
        }
    }

    fn status(&self) -> PlacerStatus {
        let mut workers: Vec<WorkerStatus> = Vec::with_capacity(self.slots.len());
        for (worker, slot) in &self.slots {
            let (capacity, reserved) = self.placer.worker_load(*worker).unwrap_or_default();
            workers.push(WorkerStatus {
                name: slot.report.name.clone(),
                draining: slot.report.draining || slot.report.grant.draining,
                ejected: slot.is_ejected,
                fence: slot.report.grant.fence,
                capacity,
                reserved,
                tasks: slot.tasks.len(),
            });
        }
        workers.sort_by(|left, right| left.name.cmp(&right.name));
        PlacerStatus {
            summary: self.placer.free_summary(),
            workers,
        }
    }
}
