//! The task that reconciles the running replicas of services with the manifest.

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

/// Interval between comparisons of the desired and the running replicas.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one call: listing the tasks of a peer, starting a task or stopping one.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a replica has to be missing before it is started again. While its worker changes
/// owner, which takes up to 3 s, no process lists the replica.
const MISSING_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum age of the lists of replicas. It is exceeded only if this process was paused while it
/// waited for them, since the calls take at most [`CALL_TIMEOUT`].
const MAX_LIST_AGE: Duration = Duration::from_millis(1200);

/// Maximum time between two comparisons over which a replica still counts as missing. Another
/// process that considers this one dead needs longer to start the replica: 1.2 s until it owns the
/// service, and then [`MISSING_TIMEOUT`].
const MAX_COMPARISON_GAP: Duration = MISSING_TIMEOUT;

/// Maximum time that a start waits for capacity before it fails and is retried.
const CAPACITY_TIMEOUT: Duration = Duration::from_secs(2);

/// Initial backoff before a replica is started again after a failed start or after it has ended. It
/// doubles up to [`MAX_BACKOFF`], so that a replica that always ends at once does not use up the
/// starts of a worker.
const INITIAL_BACKOFF: Duration = Duration::from_secs(4);

/// Maximum backoff before a replica is started again.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Run time of a replica after which its backoff returns to [`INITIAL_BACKOFF`].
const BACKOFF_RESET_TIME: Duration = Duration::from_secs(120);

/// State of one replica, as far as the reconciler has to keep it between comparisons.
struct ReplicaState {
    /// Time at which it was first found missing.
    missing_since: Option<Instant>,
    /// Time of its last start by this process.
    last_start: Option<Instant>,
    /// Backoff after that start.
    backoff: Duration,
}

/// Starts and stops replicas of each service that this process is the preferred owner of.
///
/// The owner of a service is chosen like the owner of a worker, by rendezvous hashing over the live
/// members of the data centre. If two processes consider themselves the owner at the same time, or
/// the reply to a start is lost, there can be two replicas with the same number. The next
/// comparison stops one of them.
pub struct ServiceReconciler<P: Platform> {
    shared: Arc<NodeShared<P>>,
    replicas: HashMap<(String, u16), ReplicaState>,
    /// Time of the last comparison for which all peers replied.
    last_comparison: Option<Instant>,
    start_count: u64,
}

impl<P: Platform> ServiceReconciler<P> {
    /// Creates the task without any replica state.
    pub fn new(shared: Arc<NodeShared<P>>) -> Self {
        Self {
            shared,
            replicas: HashMap::new(),
            last_comparison: None,
            start_count: 0,
        }
    }

    /// Runs until the process shuts down.
    pub async fn run(mut self) {
        while !*self.shared.is_shutting_down.borrow() {
            sleep(RECONCILE_INTERVAL).await;
            if let Some(view) = self.shared.view() {
                let entries = view.manifest.workloads.iter();
                let services = entries.filter(|entry| entry.class == WorkClass::Service);
                let services: Vec<WorkloadEntry> = services.cloned().collect();
                self.reconcile_all(&services, view.revision()).await;
            }
        }
    }

    /// Reconciles all services that this process owns. The replicas of services that are no longer
    /// in the manifest are stopped by one process, the preferred owner of the empty name.
    async fn reconcile_all(&mut self, services: &[WorkloadEntry], revision: u64) {
        let members = self.shared.members.borrow().clone();
        let is_owner =
            |name: &str| members.is_preferred_owner(&format!("{}{name}", ReplicaId::PREFIX));
        if services.is_empty() && !is_owner("") {
            return;
        }
        // Without the lists of all peers, a running replica could be considered missing.
        let listed_at = self.shared.platform.clock().now();
        let Some(tasks) = self.held_tasks(&members.local_peers()).await else {
            return;
        };
        let now = self.shared.platform.clock().now();
        if now.saturating_duration_since(listed_at) > MAX_LIST_AGE {
            return;
        }
        self.forget_missing_after_gap(now);
        // Another process compares the other services, and starts what they miss.
        self.replicas.retain(|(service, _), _| is_owner(service));
        let mut running: BTreeMap<String, BTreeMap<u16, Vec<HeldTask>>> = BTreeMap::new();
        for task in tasks {
            if let Some(id) = ReplicaId::parse(&task.task_id) {
                let replicas = running.entry(id.service).or_default();
                replicas.entry(id.index).or_default().push(task);
            }
        }
        for entry in services.iter().filter(|entry| is_owner(&entry.name)) {
            let replicas = running.remove(&entry.name).unwrap_or_default();
            self.reconcile_service(entry, replicas, revision).await;
        }
        let is_wanted = |name: &String| services.iter().any(|entry| entry.name == *name);
        for (_, replicas) in running
            .iter()
            .filter(|(name, _)| !is_wanted(name) && is_owner(""))
        {
            for task in replicas.values().flatten() {
                self.stop(task, "the manifest has no such service").await;
            }
        }
    }

    /// Forgets since when replicas are missing if the last comparison is too long ago. In between,
    /// this process was paused or could not list the replicas, and another process may have started
    /// them.
    fn forget_missing_after_gap(&mut self, now: Instant) {
        let last = self.last_comparison.replace(now);
        if last.is_some_and(|last| now.saturating_duration_since(last) <= MAX_COMPARISON_GAP) {
            return;
        }
        for state in self.replicas.values_mut() {
            state.missing_since = None;
        }
    }

    /// Lists the tasks of replicas on the workers of this process and of all peers in the data
    /// centre. Returns `None` if a peer does not reply.
    async fn held_tasks(&self, peers: &[String]) -> Option<Vec<HeldTask>> {
        let mut held = self.shared.placer.held_tasks(ReplicaId::PREFIX).await;
        let mut lists = JoinSet::new();
        for peer in peers {
            let (shared, peer) = (self.shared.clone(), peer.clone());
            lists.spawn(async move {
                let prefix = ReplicaId::PREFIX.to_owned();
                shared
                    .peers
                    .tasks(&peer, TasksRequest { prefix }, CALL_TIMEOUT)
                    .await
            });
        }
        while let Some(list) = lists.join_next().await {
            held.extend(list.ok()?.ok()?.tasks);
        }
        Some(without_former_owners(held))
    }

    async fn reconcile_service(
        &mut self,
        entry: &WorkloadEntry,
        mut replicas: BTreeMap<u16, Vec<HeldTask>>,
        revision: u64,
    ) {
        for index in 0..entry.tasks {
            let mut tasks = replicas.remove(&index).unwrap_or_default();
            // The first task after the sort is kept: the earliest one on a worker that is not
            // draining, or else the earliest one.
            tasks.sort_by(|left, right| {
                (left.draining, &left.task_id).cmp(&(right.draining, &right.task_id))
            });
            for task in tasks.iter().skip(1) {
                self.stop(task, "second replica").await;
            }
            match tasks.first() {
                Some(task) if !task.draining => self.record_running(&entry.name, index),
                Some(_) => self.start_if_due(entry, index, true, revision).await,
                None => self.start_if_due(entry, index, false, revision).await,
            }
        }
        for task in replicas.values().flatten() {
            self.stop(task, "lower count").await;
        }
    }

    fn replica_state(&mut self, service: &str, index: u16) -> &mut ReplicaState {
        let key = (service.to_owned(), index);
        self.replicas.entry(key).or_insert(ReplicaState {
            missing_since: None,
            last_start: None,
            backoff: INITIAL_BACKOFF,
        })
    }

    /// Records that a replica runs, and resets its backoff after [`BACKOFF_RESET_TIME`].
    fn record_running(&mut self, service: &str, index: u16) {
        let now = self.shared.platform.clock().now();
        let state = self.replica_state(service, index);
        state.missing_since = None;
        let last_start = state.last_start;
        if last_start.is_some_and(|at| now.saturating_duration_since(at) >= BACKOFF_RESET_TIME) {
            state.last_start = None;
            state.backoff = INITIAL_BACKOFF;
        }
    }

    /// Starts a replica unless it is in backoff. A missing replica is started after
    /// [`MISSING_TIMEOUT`], and the replacement of a replica on a draining worker without that
    /// delay.
    async fn start_if_due(
        &mut self,
        entry: &WorkloadEntry,
        index: u16,
        is_replacement: bool,
        revision: u64,
    ) {
        let now = self.shared.platform.clock().now();
        let state = self.replica_state(&entry.name, index);
        let missing_since = *state.missing_since.get_or_insert(now);
        let is_missing = now.saturating_duration_since(missing_since) >= MISSING_TIMEOUT;
        let in_backoff = state
            .last_start
            .is_some_and(|at| now.saturating_duration_since(at) < state.backoff);
        if in_backoff || !(is_missing || is_replacement) {
            return;
        }
        if state.last_start.is_some() {
            state.backoff = (state.backoff * 2).min(MAX_BACKOFF);
            EventCode::ReplicaMissing.log(format_args!(
                "service={} replica={index} cause=ended",
                entry.name
            ));
        }
        state.last_start = Some(now);
        self.start_count += 1;
        let id = ReplicaId {
            service: entry.name.clone(),
            index,
            // The wall time comes first, so that the ids sort by age.
            start: format!(
                "{:x}.{}.{}",
                self.shared.platform.clock().wall_ms(),
                self.shared.settings.id,
                self.start_count,
            ),
        };
        let shared = self.shared.clone();
        let entry = entry.clone();
        tokio::spawn(async move { start_replica(&shared, &entry, &id, revision).await });
    }

    /// Stops the task of a replica. After a failed call, the next comparison stops it again.
    async fn stop(&self, task: &HeldTask, cause: &str) {
        let request = StopRequest {
            id: WorkId(task.task_id.clone()),
            fence: task.fence,
            mode: StopMode::Stop,
        };
        let workers = self.shared.platform.workers();
        if workers
            .stop(&task.address, &request, CALL_TIMEOUT)
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

/// Returns the tasks, each once. While a worker changes hands, its old and its new owner list its
/// tasks; the higher fencing token is the current one.
fn without_former_owners(mut held: Vec<HeldTask>) -> Vec<HeldTask> {
    held.sort_by(|left, right| (&left.task_id, right.fence).cmp(&(&right.task_id, left.fence)));
    held.dedup_by(|later, first| later.task_id == first.task_id);
    held
}

async fn start_replica<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    entry: &WorkloadEntry,
    id: &ReplicaId,
    revision: u64,
) {
    let log_missing = |cause: &dyn std::fmt::Display| {
        EventCode::ReplicaMissing.log(format_args!("task={id} cause={cause}"));
    };
    let spec = ReserveSpec {
        customer: entry.customer.clone().unwrap_or_default(),
        workload: entry.name.clone(),
        tasks: vec![id.work_id()],
        resources: entry.resources,
        deadline: Some(shared.platform.clock().now() + CAPACITY_TIMEOUT),
    };
    let held = match reserve(shared, &spec).await {
        Ok(held) => held,
        Err(reason) => return log_missing(&format_args!("no room: {reason:?}")),
    };
    let Some(grant) = held.grants.first() else {
        return;
    };
    let request = StartRequest {
        id: id.work_id(),
        fence: grant.fence,
        resources: entry.resources,
        // A replica continues to run after the owner of its service or of its worker has failed.
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
        .start(&grant.address, &request, CALL_TIMEOUT)
        .await
    {
        Ok(_) => EventCode::ReplicaStarted.log(format_args!(
            "task={id} worker={} revision={revision}",
            grant.worker
        )),
        Err(error) => {
            // If the start may have taken effect, its capacity stays reserved; the owner of the
            // worker determines the status of the task.
            if error.had_no_effect() {
                held.release(0, TaskEnd::Refused);
            }
            log_missing(&error);
        }
    }
}
