//! The task that keeps the services of a data centre at their counts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_config::WorkloadEntry;
use hs_core::TaskEnd;
use hs_event::EventCode;
use hs_peer::message::{HeldTask, TasksRequest};
use hs_wire::{StartRequest, StopMode, StopRequest, WorkClass, WorkId};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::ReplicaId;
use crate::port::{ClockPort, Platform, WorkerPort};
use crate::shared::NodeShared;
use crate::work::{ReserveSpec, reserve};

/// Time between two comparisons of wanted and running replicas.
const KEEP_EVERY: Duration = Duration::from_secs(1);

/// Longest time for a peer's list, a start or a stop.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// Time for which a replica has to be missing before it is started again. While its worker changes
/// owner, which takes up to 3 s, nobody lists it.
const MISSING_FOR: Duration = Duration::from_secs(4);

/// Time that a replica may wait for room before it is tried again.
const ROOM_LIMIT: Duration = Duration::from_secs(2);

/// First pause before a replica is started again that could not be, or that ended; it doubles up to
/// the longest one, so that a replica that ends at once does not take up the starts of a worker.
const FIRST_BACKOFF: Duration = Duration::from_secs(4);

/// Longest pause before a replica is started again.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Run time after which the pause is back at its first length.
const STEADY_AFTER: Duration = Duration::from_secs(120);

/// What the keeper remembers of one replica.
struct ReplicaMemory {
    /// Since when it is missing.
    missing: Option<Instant>,
    /// When it was last started here.
    started: Option<Instant>,
    /// Pause after that start.
    pause: Duration,
}

/// Keeps each service that this process is the preferred keeper of.
///
/// The keeper of a service is chosen like the owner of a worker, by rendezvous hashing over the live
/// members of the data centre. Two keepers at the same time, or a start whose reply was lost, can
/// leave two replicas of one number, of which the next comparison stops one.
pub struct ServiceReconciler<P: Platform> {
    shared: Arc<NodeShared<P>>,
    memories: HashMap<(String, u16), ReplicaMemory>,
    starts: u64,
}

impl<P: Platform> ServiceReconciler<P> {
    /// Builds the task.
    pub fn new(shared: Arc<NodeShared<P>>) -> Self {
        Self {
            shared,
            memories: HashMap::new(),
            starts: 0,
        }
    }

    /// Runs until the process shuts down.
    pub async fn run(mut self) {
        while !*self.shared.is_shutting_down.borrow() {
            sleep(KEEP_EVERY).await;
            if let Some(view) = self.shared.view() {
                let entries = view.manifest.workloads.iter();
                let services = entries.filter(|entry| entry.class == WorkClass::Service);
                let services: Vec<WorkloadEntry> = services.cloned().collect();
                self.keep_all(&services, view.revision()).await;
            }
        }
    }

    async fn keep_all(&mut self, services: &[WorkloadEntry], revision: u64) {
        let members = self.shared.members.borrow().clone();
        let is_keeper =
            |name: &str| members.is_preferred_owner(&format!("{}{name}", ReplicaId::PREFIX));
        if services.is_empty() && !is_keeper("") {
            return;
        }
        // Without the list of every owner, a running replica would be taken for a missing one.
        let Some(held) = self.held_tasks(&members.local_peers()).await else {
            return;
        };
        let mut running: BTreeMap<String, BTreeMap<u16, Vec<HeldTask>>> = BTreeMap::new();
        for task in held {
            if let Some(id) = ReplicaId::parse(&task.task_id) {
                let replicas = running.entry(id.service).or_default();
                replicas.entry(id.index).or_default().push(task);
            }
        }
        for entry in services.iter().filter(|entry| is_keeper(&entry.name)) {
            let replicas = running.remove(&entry.name).unwrap_or_default();
            self.keep(entry, replicas, revision).await;
        }
        let is_wanted = |name: &String| services.iter().any(|entry| entry.name == *name);
        for (_, replicas) in running
            .iter()
            .filter(|(name, _)| !is_wanted(name) && is_keeper(""))
        {
            for task in replicas.values().flatten() {
                self.stop(task, "the manifest has no such service").await;
            }
        }
    }

    async fn held_tasks(&self, peers: &[String]) -> Option<Vec<HeldTask>> {
        let mut held = self.shared.placer.held_tasks(ReplicaId::PREFIX).await;
        let mut lists = JoinSet::new();
        for peer in peers {
            let (shared, peer) = (self.shared.clone(), peer.clone());
            lists.spawn(async move {
                let prefix = ReplicaId::PREFIX.to_owned();
                shared
                    .peers
                    .tasks(&peer, TasksRequest { prefix }, CALL_LIMIT)
                    .await
            });
        }
        while let Some(list) = lists.join_next().await {
            held.extend(list.ok()?.ok()?.tasks);
        }
        Some(held)
    }

    async fn keep(
        &mut self,
        entry: &WorkloadEntry,
        mut replicas: BTreeMap<u16, Vec<HeldTask>>,
        revision: u64,
    ) {
        for index in 0..entry.tasks {
            let mut tasks = replicas.remove(&index).unwrap_or_default();
            // The first one stays: one on a worker that is not draining, else the earliest.
            tasks.sort_by(|left, right| {
                (left.draining, &left.task_id).cmp(&(right.draining, &right.task_id))
            });
            for task in tasks.iter().skip(1) {
                self.stop(task, "second replica").await;
            }
            match tasks.first() {
                Some(task) if !task.draining => self.note_running(&entry.name, index),
                Some(_) => self.start(entry, index, true, revision).await,
                None => self.start(entry, index, false, revision).await,
            }
        }
        for task in replicas.values().flatten() {
            self.stop(task, "lower count").await;
        }
    }

    fn memory(&mut self, service: &str, index: u16) -> &mut ReplicaMemory {
        let key = (service.to_owned(), index);
        self.memories.entry(key).or_insert(ReplicaMemory {
            missing: None,
            started: None,
            pause: FIRST_BACKOFF,
        })
    }

    fn note_running(&mut self, service: &str, index: u16) {
        let now = self.shared.platform.clock().now();
        let memory = self.memory(service, index);
        memory.missing = None;
        let started = memory.started;
        if started.is_some_and(|at| now.saturating_duration_since(at) >= STEADY_AFTER) {
            memory.started = None;
            memory.pause = FIRST_BACKOFF;
        }
    }

    /// Starts a replica that is missing for long enough, or one that replaces another at once.
    async fn start(&mut self, entry: &WorkloadEntry, index: u16, replaces: bool, revision: u64) {
        let now = self.shared.platform.clock().now();
        let memory = self.memory(&entry.name, index);
        let missing = *memory.missing.get_or_insert(now);
        let is_missing = now.saturating_duration_since(missing) >= MISSING_FOR;
        let is_paused = memory
            .started
            .is_some_and(|at| now.saturating_duration_since(at) < memory.pause);
        if is_paused || !(is_missing || replaces) {
            return;
        }
        if memory.started.is_some() {
            memory.pause = (memory.pause * 2).min(MAX_BACKOFF);
            EventCode::ReplicaMissing.log(format_args!(
                "service={} replica={index} cause=ended",
                entry.name
            ));
        }
        memory.started = Some(now);
        self.starts += 1;
        let id = ReplicaId {
            service: entry.name.clone(),
            index,
            // Wall time first, so that ids sort by age.
            start: format!(
                "{:x}.{}.{}",
                self.shared.platform.clock().wall_ms(),
                self.shared.settings.id,
                self.starts,
            ),
        };
        let shared = self.shared.clone();
        let entry = entry.clone();
        tokio::spawn(async move { start_replica(&shared, &entry, &id, revision).await });
    }

    async fn stop(&self, task: &HeldTask, cause: &str) {
        let request = StopRequest {
            id: WorkId(task.task_id.clone()),
            fence: task.fence,
            mode: StopMode::Stop,
        };
        let workers = self.shared.platform.workers();
        if workers
            .stop(&task.address, &request, CALL_LIMIT)
            .await
            .is_ok()
        {
            EventCode::ReplicaStopped.log(format_args!(
                "task={} worker={} cause={cause}",
                task.task_id, task.worker
            ));
        }
    }
}

async fn start_replica<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    entry: &WorkloadEntry,
    id: &ReplicaId,
    revision: u64,
) {
    let missing = |cause: &dyn std::fmt::Display| {
        EventCode::ReplicaMissing.log(format_args!("task={id} cause={cause}"));
    };
    let spec = ReserveSpec {
        customer: entry.customer.clone().unwrap_or_default(),
        workload: entry.name.clone(),
        tasks: vec![id.work_id()],
        resources: entry.resources,
        deadline: Some(shared.platform.clock().now() + ROOM_LIMIT),
    };
    let held = match reserve(shared, &spec).await {
        Ok(held) => held,
        Err(reason) => return missing(&format_args!("no room: {reason:?}")),
    };
    let Some(grant) = held.grants.first() else {
        return;
    };
    let request = StartRequest {
        id: id.work_id(),
        fence: grant.fence,
        resources: entry.resources,
        // A replica outlives its keeper and its worker's owner.
        leased: false,
        wait_ms: 0,
        revision,
        customer: spec.customer,
        workload: spec.workload,
        payload: entry.payload.clone().unwrap_or_default(),
    };
    match shared
        .platform
        .workers()
        .start(&grant.address, &request, CALL_LIMIT)
        .await
    {
        Ok(_) => EventCode::ReplicaStarted.log(format_args!(
            "task={id} worker={} revision={revision}",
            grant.worker
        )),
        Err(error) => {
            // An unclear start keeps its room; the worker's owner finds out what became of it.
            if error.had_no_effect() {
                held.release(0, TaskEnd::Refused);
            }
            missing(&error);
        }
    }
}
