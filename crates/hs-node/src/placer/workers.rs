//! Addition, update and removal of leased workers, and the status of the placer.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hs_core::{TaskEnd, WorkBand, WorkRequest, WorkerKey, WorkerSpec, WorkerState};
use hs_event::EventCode;
use hs_peer::message::HeldTask;
use hs_wire::{TaskPhase, TaskView};

use super::task::{FORMER_CUSTOMER, WorkerSlot};
use super::{PlacerStatus, PlacerTask, TaskReservation, WorkerReport, WorkerStatus};
use crate::port::ClockPort;

impl<Clock: ClockPort> PlacerTask<Clock> {
    pub(super) fn add_worker(&mut self, report: WorkerReport) {
        self.remove_worker(&report.name);
        let now = self.clock.now();
        let spec = WorkerSpec {
            name: report.name.clone(),
            rack: report.rack.clone(),
            capacity: report.grant.capacity,
        };
        let worker = self.placer.add_worker(spec, now);
        let tasks = report.grant.tasks.clone();
        self.worker_keys.insert(report.name.clone(), worker);
        let slot = WorkerSlot {
            report,
            is_ejected: false,
            tasks: HashMap::new(),
        };
        self.slots.insert(worker, slot);
        for task in tasks.iter().filter(|task| task.phase == TaskPhase::Running) {
            self.adopt(worker, task, now);
        }
        self.apply_worker_state(worker);
    }

    /// Adds a reservation for a task that is already running on an added worker, so that its
    /// capacity counts as reserved.
    ///
    /// Does nothing if the worker lists the task twice.
    pub(super) fn adopt(&mut self, worker: WorkerKey, task: &TaskView, now: Instant) {
        let slot = self.slots.get(&worker);
        if slot.is_some_and(|slot| slot.tasks.contains_key(&task.id)) {
            return;
        }
        let named = self.placer.customer(&task.customer);
        let Some(customer) = named.or_else(|| self.placer.customer(FORMER_CUSTOMER)) else {
            return;
        };
        let entry = self
            .manifest
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
            reserved_at: now,
            queried_at: None,
            is_unknown: false,
        };
        self.task_workers.insert(task.id.clone(), worker);
        if let Some(slot) = self.slots.get_mut(&worker) {
            slot.tasks.insert(task.id.clone(), reservation);
        }
    }

    pub(super) fn update_worker(&mut self, report: WorkerReport) {
        let Some(worker) = self.worker_keys.get(&report.name).copied() else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&worker) {
            slot.report = report;
        }
        self.apply_worker_state(worker);
    }

    pub(super) fn apply_worker_state(&mut self, worker: WorkerKey) {
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

    pub(super) fn remove_worker(&mut self, name: &str) {
        let Some(worker) = self.worker_keys.remove(name) else {
            return;
        };
        let now = self.clock.now();
        self.placer.remove_worker(worker, now);
        let Some(slot) = self.slots.remove(&worker) else {
            return;
        };
        for (task, reservation) in slot.tasks {
            if self.task_workers.get(&task) == Some(&worker) {
                self.task_workers.remove(&task);
            }
            self.placer
                .finish(reservation.work, reservation.index, TaskEnd::Stopped, now);
        }
    }

    pub(super) fn set_ejected(&mut self, worker: WorkerKey, pause: Option<Duration>) {
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

    pub(super) fn status(&self) -> PlacerStatus {
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
            summary: self.placer.capacity_summary(),
            workers,
        }
    }

    pub(super) fn held_tasks(&self, prefix: &str) -> Vec<HeldTask> {
        let mut held = Vec::new();
        for slot in self.slots.values() {
            let tasks = slot.tasks.keys().filter(|task| task.0.starts_with(prefix));
            held.extend(tasks.map(|task| HeldTask {
                task_id: task.0.clone(),
                worker: slot.report.name.clone(),
                address: slot.report.address.clone(),
                fence: slot.report.grant.fence,
                draining: slot.report.draining || slot.report.grant.draining,
            }));
        }
        held
    }
}
