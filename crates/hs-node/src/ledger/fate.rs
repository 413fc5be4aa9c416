//! What became of a placed task.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_peer::message::ResolveRequest;
use hs_wire::{TaskView, VmRole, WorkId};
use tokio::time::sleep;

use crate::link::ResolvedTask;
use crate::port::{ClockPort, Platform};
use crate::shared::NodeShared;

/// Longest time for one question to the worker's owner.
const RESOLVE_LIMIT: Duration = Duration::from_millis(800);

/// Pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Time after which a worker that is gone from the VM list surely runs nothing: the task lease of
/// 30 s, after which a worker without renewals stops its durable tasks, and 5 s for clock rates and
/// scheduling delay.
const GONE_AFTER: Duration = Duration::from_secs(35);

/// A worker and its incarnation, as the ledger keeps it: `name@incarnation`.
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

/// The certain fate of a placed task.
#[derive(Clone, Debug)]
pub(super) enum PlacedFate {
    /// The worker knows it.
    Known {
        /// Address of the worker.
        address: String,
        /// Fencing token of the worker's lease.
        fence: u64,
        /// The task.
        task: TaskView,
    },
    /// The worker does not know it, and it can no longer start.
    Absent,
    /// The worker restarted or is gone; the task may have run, and runs no more.
    Lost,
}

/// Asks the owner of the worker until the fate is certain.
///
/// This can take as long as the worker is in the VM list and does not answer. The future is dropped
/// when the ledger partition is lost.
pub(super) async fn find_fate<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    worker: &PlacedWorker,
    id: &WorkId,
) -> PlacedFate {
    let mut gone_since: Option<Instant> = None;
    loop {
        if let Some(fate) = ask_owner(shared, worker, id).await {
            return fate;
        }
        let now = shared.platform.clock().now();
        let list = shared.vms.borrow().clone();
        let is_gone = list.version > 0 && !list.vms.iter().any(|vm| vm.id == worker.name);
        gone_since = is_gone.then(|| gone_since.unwrap_or(now));
        if gone_since.is_some_and(|since| now.saturating_duration_since(since) >= GONE_AFTER) {
            return PlacedFate::Lost;
        }
        sleep(ROUND_PAUSE).await;
    }
}

pub(super) async fn ask_owner<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    worker: &PlacedWorker,
    id: &WorkId,
) -> Option<PlacedFate> {
    if let Some(fate) = shared.links.resolve(&worker.name, id).await {
        return Some(judge(worker, fate));
    }
    let request = ResolveRequest {
        worker: worker.name.clone(),
        task_id: id.0.clone(),
    };
    for peer in likely_owners(shared, &worker.name) {
        let Ok(reply) = shared
            .peers
            .resolve(&peer, request.clone(), RESOLVE_LIMIT)
            .await
        else {
            continue;
        };
        if !reply.owned {
            continue;
        }
        let task = match reply.found {
            true => match serde_json::from_str::<TaskView>(&reply.task_json) {
                Ok(task) => Some(task),
                Err(_) => continue,
            },
            false => None,
        };
        let fate = ResolvedTask {
            address: reply.address,
            incarnation: reply.incarnation,
            fence: reply.fence,
            task,
        };
        return Some(judge(worker, fate));
    }
    None
}

fn judge(worker: &PlacedWorker, fate: ResolvedTask) -> PlacedFate {
    match fate.task {
        Some(task) => PlacedFate::Known {
            address: fate.address,
            fence: fate.fence,
            task,
        },
        None if worker.incarnation == fate.incarnation => PlacedFate::Absent,
        None => PlacedFate::Lost,
    }
}

/// Returns peer addresses to ask, the most likely owner of the worker first.
fn likely_owners<P: Platform>(shared: &NodeShared<P>, worker: &str) -> Vec<String> {
    let list = shared.vms.borrow().clone();
    let members = shared.members.borrow().clone();
    let listed = list.vms.iter().find(|vm| vm.id == worker);
    // A worker that is gone from the list may still be known to a peer whose list is older.
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
