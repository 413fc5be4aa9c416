//! Tasks and resources of a worker.

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

/// Time for which an ended task is listed.
const KEEP_ENDED: Duration = Duration::from_secs(600);

/// Why a start or stop was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    StaleFence { current: u64 },
    NoLease,
    NoRoom,
    Draining,
    UnknownTask,
}

/// Lease, tasks and resources of one worker.
pub(super) struct WorkerState {
    options: WorkerOptions,
    lease: WorkerLease,
    tasks: HashMap<WorkId, TaskRecord>,
    /// Ended tasks in the order of their ends.
    ended: VecDeque<(Instant, WorkId)>,
    usage: WorkerUsage,
    /// Usage after each change, oldest first.
    usage_history: VecDeque<(Instant, WorkerUsage)>,
    peak: WorkerPeak,
    log: Vec<WorkerStart>,
    /// The same moment on both clocks, so that times in the log never step back.
    begin: Instant,
    begin_ms: u64,
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
            begin: now,
            begin_ms: millis(since_epoch.unwrap_or_default()),
        }
    }

    /// Takes, renews or releases the lease.
    pub(super) fn lease(
        &mut self,
        request: &LeaseRequest,
        draining: bool,
        now: Instant,
    ) -> Result<LeaseGrant, LeaseHeld> {
        self.forget_ended(now);
        self.lease.request(request, now)?;
        let asked = |task: &&TaskRecord| {
            (request.list && task.ended.is_none()) || request.query.contains(&task.id)
        };
        let tasks = match request.list || !request.query.is_empty() {
            true => self
                .tasks
                .values()
                .filter(asked)
                .map(|task| task.view(now))
                .collect(),
            false => Vec::new(),
        };
        Ok(LeaseGrant {
            fence: self.lease.fence(),
            incarnation: self.begin_ms,
            ttl_ms: request.ttl_ms,
            capacity: self.options.capacity,
            draining,
            tasks,
            usage: self.lagged_usage(now),
        })
    }

    /// Starts a task and returns its run time, or `None` if the task was known before.
    ///
    /// A known task is reported whatever the fence is, since a refusal means that it did not run.
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
        let used = self.take(request.resources)?;
        self.forget_ended(now);
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
        self.change_usage(plan.usage, u32::saturating_add, now);
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
            started: now,
            ended: None,
            plan,
            log_index: self.log.len() - 1,
            signal: watch::Sender::new(false),
        };
        self.tasks.insert(request.id.clone(), task);
        Ok(Some(run_time))
    }

    /// Ends a task whose run time is over, unless it was stopped before.
    pub(super) fn finish(&mut self, id: &WorkId, now: Instant) {
        if let Some(task) = self.tasks.get(id) {
            self.end(&id.clone(), task.plan.end, now);
        }
    }

    /// Stops a task. One that has ended stays as it is; throttling has no effect here.
    pub(super) fn stop(&mut self, request: &StopRequest, now: Instant) -> Result<(), Refusal> {
        self.check_fence(request.fence, now)?;
        if !self.tasks.contains_key(&request.id) {
            return Err(Refusal::UnknownTask);
        }
        match request.mode {
            StopMode::Throttle => {}
            StopMode::Checkpoint | StopMode::Stop => self.end(&request.id, TaskPhase::Stopped, now),
        }
        Ok(())
    }

    /// Stops leased tasks if the task lease is over. Returns when to check again.
    pub(super) fn expire_tasks(&mut self, now: Instant) -> Instant {
        let task_lease = Duration::from_millis(self.options.task_lease_ms);
        let deadline = self.lease.renewed().map(|renewed| renewed + task_lease);
        match deadline {
            Some(deadline) if deadline > now => deadline,
            // A renewal from now on cannot run out earlier than this.
            None => now + task_lease,
            Some(_) => {
                let leased = self.tasks.values().filter(|task| task.leased);
                let ids: Vec<WorkId> = leased.map(|task| task.id.clone()).collect();
                for id in ids {
                    self.end(&id, TaskPhase::Stopped, now);
                }
                now + task_lease
            }
        }
    }

    pub(super) fn view(&self, id: &WorkId, now: Instant) -> Option<TaskView> {
        self.tasks.get(id).map(|task| task.view(now))
    }

    /// Returns a receiver that becomes true at the end of the task.
    pub(super) fn subscribe(&self, id: &WorkId) -> Option<watch::Receiver<bool>> {
        self.tasks.get(id).map(|task| task.signal.subscribe())
    }

    pub(super) fn log(&self) -> WorkerLog {
        WorkerLog(self.log.clone())
    }

    pub(super) fn peak(&self) -> WorkerPeak {
        self.peak
    }

    fn check_fence(&mut self, fence: u64, now: Instant) -> Result<(), Refusal> {
        let current = self.lease.fence();
        let refusal = if !self.lease.is_live(now) {
            Refusal::NoLease
        } else if fence != current {
            Refusal::StaleFence { current }
        } else {
            return Ok(());
        };
        self.peak.refused_fence += 1;
        Err(refusal)
    }

    /// Returns what is in use with a further task.
    fn take(&mut self, resources: Resources) -> Result<Resources, Refusal> {
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
                Err(Refusal::NoRoom)
            }
        }
    }

    fn end(&mut self, id: &WorkId, phase: TaskPhase, now: Instant) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if task.ended.is_some() {
            return;
        }
        task.phase = phase;
        task.ended = Some(now);
        task.signal.send_replace(true);
        let (resources, usage, log_index) = (task.resources, task.plan.usage, task.log_index);
        self.ended.push_back((now, id.clone()));
        self.peak.used = self.peak.used.saturating_sub(resources);
        self.change_usage(usage, u32::saturating_sub, now);
        let ended_ms = self.epoch_ms(now);
        let entry = &mut self.log[log_index];
        entry.phase = phase;
        entry.ended_ms = Some(ended_ms);
    }

    fn forget_ended(&mut self, now: Instant) {
        while let Some((ended, id)) = self.ended.front() {
            if now.duration_since(*ended) < KEEP_ENDED {
                return;
            }
            self.tasks.remove(id);
            self.ended.pop_front();
        }
    }

    fn change_usage(&mut self, usage: WorkerUsage, change: fn(u32, u32) -> u32, now: Instant) {
        self.usage.cpu_milli = change(self.usage.cpu_milli, usage.cpu_milli);
        self.usage.memory_mib = change(self.usage.memory_mib, usage.memory_mib);
        self.usage_history.push_back((now, self.usage));
        self.lagged_usage(now);
    }

    /// Returns the usage as it was before the lag, and forgets what is older.
    fn lagged_usage(&mut self, now: Instant) -> WorkerUsage {
        let lag = Duration::from_millis(self.options.usage_lag_ms);
        let is_old = |entry: &(Instant, WorkerUsage)| now.duration_since(entry.0) >= lag;
        while self.usage_history.get(1).is_some_and(is_old) {
            self.usage_history.pop_front();
        }
        let oldest = self.usage_history.front().filter(|entry| is_old(entry));
        oldest.map_or_else(WorkerUsage::default, |(_, usage)| *usage)
    }

    fn epoch_ms(&self, now: Instant) -> u64 {
        self.begin_ms + millis(now.duration_since(self.begin))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
