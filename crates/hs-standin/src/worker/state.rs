//! Lease, tasks and resources of a worker stand-in.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hs_wire::{
    LeaseGrant, LeaseRequest, Resources, StartRequest, StopMode, StopRequest, TaskPhase, TaskView,
    WorkId, WorkerUsage,
};
use tokio::sync::watch;

use super::lease::{LeaseHeld, WorkerLease};
use super::plan::TaskPlan;
use super::task::TaskRecord;
use super::{WorkerLog, WorkerOptions, WorkerPeak, WorkerStart};
use crate::WorkerFault;

/// Time for which an ended task is kept, so that queries and repeated starts find it.
const ENDED_TASK_RETENTION: Duration = Duration::from_secs(600);

/// Reason for the refusal of a start or stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    StaleFence { current: u64 },
    NoLease,
    InsufficientCapacity,
    Draining,
    UnknownTask,
}

/// Lease, tasks and resources of one worker.
pub(super) struct WorkerState {
    options: WorkerOptions,
    lease: WorkerLease,
    tasks: HashMap<WorkId, TaskRecord>,
    /// Ended tasks with their end times, oldest first.
    ended: VecDeque<(Instant, WorkId)>,
    /// Usage of all running tasks now.
    usage: WorkerUsage,
    /// Usage after each change with the time of the change, oldest first.
    usage_history: VecDeque<(Instant, WorkerUsage)>,
    peak: WorkerPeak,
    log: Vec<WorkerStart>,
    /// Start of the worker on the monotonic clock. Times in the log are computed from it and
    /// `started_at_ms`, so that they never go back.
    started_at: Instant,
    /// Start of the worker in milliseconds since the Unix epoch.
    started_at_ms: u64,
}

impl WorkerState {
    pub(super) fn new(options: WorkerOptions, now: Instant) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            options,
            lease: WorkerLease::default(),
            tasks: HashMap::new(),
            ended: VecDeque::new(),
            usage: WorkerUsage::default(),
            usage_history: VecDeque::new(),
            peak: WorkerPeak {
                capacity: options.capacity,
                ..WorkerPeak::default()
            },
            log: Vec::new(),
            started_at: now,
            started_at_ms: millis(since_epoch.unwrap_or_default()),
        }
    }

    /// Acquires, renews or releases the lease, and reports the requested tasks.
    pub(super) fn lease(
        &mut self,
        request: &LeaseRequest,
        draining: bool,
        now: Instant,
    ) -> Result<LeaseGrant, LeaseHeld> {
        self.prune_ended_tasks(now);
        self.lease.apply(request, now)?;
        let is_requested = |task: &&TaskRecord| {
            (request.list && task.ended_at.is_none()) || request.query.contains(&task.id)
        };
        let tasks = match request.list || !request.query.is_empty() {
            true => self
                .tasks
                .values()
                .filter(is_requested)
                .map(|task| task.view(now))
                .collect(),
            false => Vec::new(),
        };
        Ok(LeaseGrant {
            fence: self.lease.fence(),
            incarnation: self.started_at_ms,
            ttl_ms: request.ttl_ms,
            capacity: self.options.capacity,
            draining,
            tasks,
            unreadable: Vec::new(),
            usage: self.reported_usage(now),
        })
    }

    /// Starts a task and returns its run time, or `None` if the task is already known.
    ///
    /// The fence is not checked for a known task, since a refusal would mean that it did not run.
    pub(super) fn start(
        &mut self,
        request: &StartRequest,
        fault: &WorkerFault,
        now: Instant,
    ) -> Result<Option<Duration>, Refusal> {
        if self.tasks.contains_key(&request.id) {
            return Ok(None);
        }
        self.check_fence(request.fence, now)?;
        if fault.draining {
            return Err(Refusal::Draining);
        }
        let used = self.check_capacity(request.resources)?;
        self.prune_ended_tasks(now);
        self.peak.used = used;
        let pairs = used
            .dimensions()
            .into_iter()
            .zip(self.peak.peak.dimensions());
        let mut highest = [0; 5];
        for (index, (now_used, before)) in pairs.enumerate() {
            highest[index] = now_used.max(before);
        }
        self.peak.peak = Resources::from_dimensions(highest);

        let plan = TaskPlan::parse(request, fault.fail_all);
        let run_time = plan.run_time;
        self.update_usage(plan.usage, u32::saturating_add, now);
        self.log.push(WorkerStart {
            id: request.id.clone(),
            fence: request.fence,
            workload: request.workload.clone(),
            resources: request.resources,
            payload: request.payload.clone(),
            phase: TaskPhase::Running,
            started_ms: self.epoch_ms(now),
            ended_ms: None,
        });
        let task = TaskRecord {
            id: request.id.clone(),
            phase: TaskPhase::Running,
            resources: request.resources,
            customer: request.customer.clone(),
            workload: request.workload.clone(),
            leased: request.leased,
            started_at: now,
            ended_at: None,
            plan,
            log_index: self.log.len() - 1,
            end_signal: watch::Sender::new(false),
        };
        self.tasks.insert(request.id.clone(), task);
        Ok(Some(run_time))
    }

    /// Ends a task after its run time, unless it was stopped before.
    pub(super) fn finish(&mut self, id: &WorkId, now: Instant) {
        if let Some(task) = self.tasks.get(id) {
            self.end_task(&id.clone(), task.plan.final_phase, now);
        }
    }

    /// Stops a task. Has no effect on a task that has ended, or if the request is to throttle.
    pub(super) fn stop(&mut self, request: &StopRequest, now: Instant) -> Result<(), Refusal> {
        self.check_fence(request.fence, now)?;
        if !self.tasks.contains_key(&request.id) {
            return Err(Refusal::UnknownTask);
        }
        match request.mode {
            StopMode::Throttle => {}
            StopMode::Checkpoint | StopMode::Stop => {
                self.end_task(&request.id, TaskPhase::Stopped, now)
            }
        }
        Ok(())
    }

    /// Stops leased tasks if the task lease has expired, and returns the time of the next check.
    pub(super) fn stop_expired_tasks(&mut self, now: Instant) -> Instant {
        let task_lease = Duration::from_millis(self.options.task_lease_ms);
        let deadline = self
            .lease
            .last_granted()
            .map(|granted| granted + task_lease);
        match deadline {
            Some(deadline) if deadline > now => deadline,
            // No grant so far. The task lease of a later grant cannot expire earlier.
            None => now + task_lease,
            Some(_) => {
                let leased = self.tasks.values().filter(|task| task.leased);
                let ids: Vec<WorkId> = leased.map(|task| task.id.clone()).collect();
                for id in ids {
                    self.end_task(&id, TaskPhase::Stopped, now);
                }
                now + task_lease
            }
        }
    }

    pub(super) fn view(&self, id: &WorkId, now: Instant) -> Option<TaskView> {
        self.tasks.get(id).map(|task| task.view(now))
    }

    /// Returns a receiver whose value becomes true when the task ends.
    pub(super) fn subscribe(&self, id: &WorkId) -> Option<watch::Receiver<bool>> {
        self.tasks.get(id).map(|task| task.end_signal.subscribe())
    }

    pub(super) fn log(&self) -> WorkerLog {
        WorkerLog(self.log.clone())
    }

    pub(super) fn peak(&self) -> WorkerPeak {
        self.peak
    }

    fn check_fence(&mut self, fence: u64, now: Instant) -> Result<(), Refusal> {
        let current = self.lease.fence();
        let refusal = if !self.lease.is_unexpired(now) {
            Refusal::NoLease
        } else if fence != current {
            Refusal::StaleFence { current }
        } else {
            return Ok(());
        };
        self.peak.refused_fence += 1;
        Err(refusal)
    }

    /// Returns the resources in use including a further task, or refuses it if they exceed the
    /// capacity. Counts refusals and accepted excess.
    fn check_capacity(&mut self, resources: Resources) -> Result<Resources, Refusal> {
        let used = self.peak.used.checked_add(resources);
        match used {
            Some(used) if used.fits(self.options.capacity) => Ok(used),
            Some(used) if self.options.allow_overcommit => {
                self.peak.exceeded = true;
                self.peak.excess_starts += 1;
                Ok(used)
            }
            _ => {
                self.peak.refused_no_room += 1;
                Err(Refusal::InsufficientCapacity)
            }
        }
    }

    fn end_task(&mut self, id: &WorkId, phase: TaskPhase, now: Instant) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if task.ended_at.is_some() {
            return;
        }
        task.phase = phase;
        task.ended_at = Some(now);
        task.end_signal.send_replace(true);
        let (resources, usage, log_index) = (task.resources, task.plan.usage, task.log_index);
        self.ended.push_back((now, id.clone()));
        self.peak.used = self.peak.used.saturating_sub(resources);
        self.update_usage(usage, u32::saturating_sub, now);
        let ended_ms = self.epoch_ms(now);
        let entry = &mut self.log[log_index];
        entry.phase = phase;
        entry.ended_ms = Some(ended_ms);
    }

    fn prune_ended_tasks(&mut self, now: Instant) {
        while let Some((ended_at, id)) = self.ended.front() {
            if now.duration_since(*ended_at) < ENDED_TASK_RETENTION {
                return;
            }
            self.tasks.remove(id);
            self.ended.pop_front();
        }
    }

    fn update_usage(&mut self, usage: WorkerUsage, change: fn(u32, u32) -> u32, now: Instant) {
        self.usage.cpu_milli = change(self.usage.cpu_milli, usage.cpu_milli);
        self.usage.memory_mib = change(self.usage.memory_mib, usage.memory_mib);
        self.usage_history.push_back((now, self.usage));
        self.reported_usage(now);
    }

    /// Returns the usage as it was `usage_lag_ms` ago, and removes older entries of the history.
    fn reported_usage(&mut self, now: Instant) -> WorkerUsage {
        let lag = Duration::from_millis(self.options.usage_lag_ms);
        let is_old = |entry: &(Instant, WorkerUsage)| now.duration_since(entry.0) >= lag;
        while self.usage_history.get(1).is_some_and(is_old) {
            self.usage_history.pop_front();
        }
        let oldest = self.usage_history.front().filter(|entry| is_old(entry));
        oldest.map_or_else(WorkerUsage::default, |(_, usage)| *usage)
    }

    fn epoch_ms(&self, now: Instant) -> u64 {
        self.started_at_ms + millis(now.duration_since(self.started_at))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
