//! Resolution of the status of placed attempts by the owner of their worker.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_peer::message::ResolveRequest;
use hs_wire::{TaskView, VmRole, WorkId};
use tokio::time::sleep;

use crate::link::ResolvedTask;
use crate::port::{ClockPort, Platform};
use crate::shared::NodeShared;

/// Timeout of one request to a possible owner of the worker.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay between two rounds of requests.
const RESOLVE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time after which a worker that is no longer in the VM list certainly runs no task: the task
/// lease of 30 s, after which a worker without renewals stops its durable tasks, plus 5 s for
/// differences in clock rate and for scheduling delay.
const UNLISTED_WORKER_TIMEOUT: Duration = Duration::from_secs(35);

/// A worker and its incarnation. The ledger stores them as `name@incarnation`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct PlacedWorker {
    pub(super) name: String,
    pub(super) incarnation: u64,
}

impl PlacedWorker {
    pub(super) fn parse(text: &str) -> Self {
        let (name, incarnation) = text.rsplit_once('@').unwrap_or((text, ""));
        Self {
            name: name.to_owned(),
            incarnation: incarnation.parse().unwrap_or(0),
        }
    }
}

impl fmt::Display for PlacedWorker {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.incarnation)
    }
}

/// Definite status of a placed attempt.
#[derive(Clone, Debug)]
pub(super) enum AttemptStatus {
    /// The worker knows the attempt.
    Known {
        /// Address of the worker.
        address: String,
        /// Current fencing token of the lease on the worker.
        fence: u64,
        /// The task as the worker reports it.
        task: TaskView,
    },
    /// The worker does not know the attempt, which can no longer start there.
    Absent,
    /// The worker restarted or no longer exists. The attempt may have run, but does not run any
    /// more.
    Lost,
}

/// Queries the owner of the worker until the status of the attempt is definite.
///
/// The future does not complete while the worker is in the VM list and does not answer. It is
/// dropped when the ledger partition is lost.
pub(super) async fn resolve_attempt<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    worker: &PlacedWorker,
    id: &WorkId,
) -> AttemptStatus {
    let mut unlisted_since: Option<Instant> = None;
    loop {
        if let Some(status) = query_worker_owner(shared, worker, id).await {
            return status;
        }
        let now = shared.platform.clock().now();
        let list = shared.vms.borrow().clone();
        let is_unlisted = list.version > 0 && !list.contains(&worker.name);
        unlisted_since = is_unlisted.then(|| unlisted_since.unwrap_or(now));
        if unlisted_since
            .is_some_and(|since| now.saturating_duration_since(since) >= UNLISTED_WORKER_TIMEOUT)
        {
            return AttemptStatus::Lost;
        }
        sleep(RESOLVE_RETRY_DELAY).await;
    }
}

/// Queries this process and the peers that may own the worker, in one round. Returns `None` if none
/// of them owns the worker and got an answer from it.
pub(super) async fn query_worker_owner<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    worker: &PlacedWorker,
    id: &WorkId,
) -> Option<AttemptStatus> {
    if let Some(resolved) = shared.links.resolve(&worker.name, id).await {
        return status_of(worker, resolved);
    }
    let request = ResolveRequest {
        worker: worker.name.clone(),
        task_id: id.0.clone(),
    };
    for peer in likely_owners(shared, &worker.name) {
        let Ok(reply) = shared
            .peers
            .resolve(&peer, request.clone(), RESOLVE_TIMEOUT)
            .await
        else {
            continue;
        };
        if !reply.owned {
            continue;
        }
        let task = match reply.found {
            true => match serde_json::from_str::<TaskView>(&reply.task_json) {
                Ok(task) if task.id == *id => Some(task),
                Ok(_) | Err(_) => continue,
            },
            false => None,
        };
        let resolved = ResolvedTask {
            address: reply.address,
            incarnation: reply.incarnation,
            fence: reply.fence,
            task,
        };
        return status_of(worker, resolved);
    }
    None
}

/// Returns what an answer of the worker says about an attempt. An answer without an incarnation,
/// which is zero, does not say that the worker has restarted.
fn status_of(worker: &PlacedWorker, resolved: ResolvedTask) -> Option<AttemptStatus> {
    match resolved.task {
        Some(task) => Some(AttemptStatus::Known {
            address: resolved.address,
            fence: resolved.fence,
            task,
        }),
        None if worker.incarnation == resolved.incarnation => Some(AttemptStatus::Absent),
        None if resolved.incarnation == 0 => None,
        None => Some(AttemptStatus::Lost),
    }
}

/// Returns the addresses of the peers to query, the most likely owner of the worker first.
fn likely_owners<P: Platform>(shared: &NodeShared<P>, worker: &str) -> Vec<String> {
    let list = shared.vms.borrow().clone();
    let members = shared.members.borrow().clone();
    let listed = list.vms.iter().find(|vm| vm.id == worker);
    // A peer with an older VM list may still own a worker that is no longer in the local list.
    let data_centre = listed.map_or(&shared.settings.data_centre, |vm| &vm.data_centre);
    let preferred = match *data_centre == shared.settings.data_centre {
        true => members.preferred_owner(worker),
        false => None,
    };
    let mut peers: Vec<String> = preferred
        .filter(|(_, is_self)| !is_self)
        .map(|(peer, _)| peer)
        .into_iter()
        .collect();
    let own = shared.settings.peer_address().to_string();
    let entries = list
        .vms
        .iter()
        .filter(|vm| vm.role == VmRole::Entry && vm.data_centre == *data_centre && vm.addr != own);
    for entry in entries {
        if !peers.contains(&entry.addr) {
            peers.push(entry.addr.clone());
        }
    }
    peers
}
