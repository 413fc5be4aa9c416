//! Reservation of capacity on workers of this process or of a peer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_core::TaskEnd;
use hs_event::EventCode;
use hs_peer::message::{ReleaseRequest, ReserveRequest, TaskEnd as EndMessage, TaskEndKind};
use hs_wire::{NotRunReason, Resources, VmRole, VmState, WorkId};
use tokio::time::{interval, sleep_until};

use crate::placer::{PlaceMode, PlaceRefusal, PlaceRequest, PlacerMessage, TaskGrant};
use crate::port::{ClockPort, Platform};
use crate::shared::NodeShared;

/// Timeout of a reservation at a peer. The peer decides without waiting.
const PEER_RESERVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a release at a peer. If the release is lost, the peer detects that the task has
/// ended.
const PEER_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between attempts to reserve at peers while work waits: one heartbeat interval.
const PEER_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Work that needs capacity.
#[derive(Clone, Debug)]
pub struct ReserveSpec {
    /// Customer that the work is accounted to.
    pub customer: String,
    /// Name of the workload.
    pub workload: String,
    /// Id of each task; more than one task makes a gang.
    pub tasks: Vec<WorkId>,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Time after which a start is no longer useful.
    pub deadline: Option<Instant>,
}

/// Process that owns the worker of a grant.
#[derive(Clone)]
enum GrantOwner {
    /// This process.
    Local,
    /// The peer with this address.
    Peer(String),
}

/// Capacity reserved for the tasks of one piece of work. Dropping the value does not release it.
pub struct HeldGrants<P: Platform> {
    /// One grant for each task.
    pub grants: Vec<TaskGrant>,
    tasks: Vec<WorkId>,
    grant_owners: Vec<GrantOwner>,
    shared: Arc<NodeShared<P>>,
}

impl<P: Platform> HeldGrants<P> {
    /// Releases the reservation of one task.
    pub fn release(&self, index: usize, end: TaskEnd) {
        let (Some(task), Some(grant_owner)) =
            (self.tasks.get(index).cloned(), self.grant_owners.get(index))
        else {
            return;
        };
        match grant_owner {
            GrantOwner::Local => self.shared.placer.release(task, end),
            GrantOwner::Peer(peer) => {
                let shared = self.shared.clone();
                let peer = peer.clone();
                let ends = vec![EndMessage {
                    task_id: task.0,
                    kind: end_kind(end) as i32,
                }];
                tokio::spawn(async move {
                    let _ = shared
                        .peers
                        .release(&peer, ReleaseRequest { ends }, PEER_RELEASE_TIMEOUT)
                        .await;
                });
            }
        }
    }

    /// Releases the reservations of all tasks.
    pub fn release_all(&self, end: TaskEnd) {
        for index in 0..self.grant_owners.len() {
            self.release(index, end);
        }
    }
}

fn end_kind(end: TaskEnd) -> TaskEndKind {
    match end {
        TaskEnd::Done => TaskEndKind::Done,
        TaskEnd::Failed => TaskEndKind::Failed,
        TaskEnd::Refused => TaskEndKind::Refused,
        TaskEnd::Stopped => TaskEndKind::Stopped,
    }
}

/// Cancels queued work when it is dropped before the placer has answered.
struct CancelOnDrop<'a, P: Platform> {
    shared: &'a NodeShared<P>,
    task: Option<WorkId>,
}

impl<P: Platform> Drop for CancelOnDrop<'_, P> {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            self.shared
                .placer
                .send(PlacerMessage::CancelQueued { task });
        }
    }
}

/// Reserves capacity on local workers, else at peers of the data centre, else after waiting in the
/// local queue. While work waits, peers that report free capacity are queried again.
///
/// # Errors
///
/// Returns the reason if nothing is reserved. Nothing was sent to a worker then.
pub async fn reserve<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
) -> Result<HeldGrants<P>, NotRunReason> {
    match shared
        .placer
        .place(place_request(spec, PlaceMode::Immediate))
        .await
    {
        Ok(grants) => return Ok(local_grants(shared, spec, grants)),
        Err(PlaceRefusal::Busy) => {}
        Err(PlaceRefusal::Refused(reason)) => return Err(reason),
    }
    if let Some(held) = try_peers(shared, spec, false).await {
        return Ok(held);
    }
    wait_in_queue(shared, spec).await
}

/// Waits in the local queue, and retries at peers in the meantime.
async fn wait_in_queue<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
) -> Result<HeldGrants<P>, NotRunReason> {
    if let Some(first) = spec.tasks.first() {
        EventCode::WorkQueued.log(format_args!(
            "task={first} customer={} workload={}",
            spec.customer, spec.workload
        ));
    }
    let mut guard = CancelOnDrop {
        shared,
        task: spec.tasks.first().cloned(),
    };
    let queued = shared.placer.place(place_request(spec, PlaceMode::Queued));
    tokio::pin!(queued);
    let mut retry_ticks = interval(PEER_RETRY_INTERVAL);
    retry_ticks.tick().await;
    loop {
        tokio::select! {
            placed = &mut queued => {
                guard.task = None;
                return match placed {
                    Ok(grants) => Ok(local_grants(shared, spec, grants)),
                    Err(PlaceRefusal::Busy) => Err(NotRunReason::QueueFull),
                    Err(PlaceRefusal::Refused(NotRunReason::NeverFits)) => {
                        wait_for_peers(shared, spec).await
                    }
                    Err(PlaceRefusal::Refused(reason)) => Err(reason),
                };
            }
            _ = retry_ticks.tick() => {
                if let Some(held) = try_peers(shared, spec, true).await {
                    return Ok(held);
                }
            }
        }
    }
}

/// Waits for capacity at peers, for work that does not fit on the local workers.
async fn wait_for_peers<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
) -> Result<HeldGrants<P>, NotRunReason> {
    if !fits_data_centre(shared, spec) {
        return Err(NotRunReason::NeverFits);
    }
    let mut retry_ticks = interval(PEER_RETRY_INTERVAL);
    let deadline = spec.deadline;
    let deadline_passed = async {
        match deadline {
            Some(deadline) => sleep_until(deadline.into()).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(deadline_passed);
    loop {
        tokio::select! {
            () = &mut deadline_passed => return Err(NotRunReason::DeadlinePassed),
            _ = retry_ticks.tick() => {
                if let Some(held) = try_peers(shared, spec, false).await {
                    return Ok(held);
                }
            }
        }
    }
}

/// Returns whether all tasks would fit on the workers of the data centre if these were idle.
fn fits_data_centre<P: Platform>(shared: &NodeShared<P>, spec: &ReserveSpec) -> bool {
    let list = shared.vms.borrow().clone();
    let workers = list.vms.iter().filter(|vm| {
        vm.role == VmRole::Worker
            && vm.state == VmState::Live
            && vm.data_centre == shared.settings.data_centre
    });
    let task_slots: u64 = workers
        .map(|vm| u64::from(spec.resources.max_copies_in(vm.capacity)))
        .sum();
    task_slots >= spec.tasks.len() as u64
}

/// Reserves capacity at one peer, or for a gang across several owners.
async fn try_peers<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
    idle_only: bool,
) -> Option<HeldGrants<P>> {
    if let Some(held) = try_peer(shared, spec, idle_only).await {
        return Some(held);
    }
    match spec.tasks.len() {
        0 | 1 => None,
        _ => try_several_owners(shared, spec).await,
    }
}

async fn try_peer<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
    idle_only: bool,
) -> Option<HeldGrants<P>> {
    let need = spec.resources.saturating_mul(spec.tasks.len() as u32);
    let seed = shared.next_seed();
    let peer = shared.members.borrow().sample_peer(seed, need, idle_only)?;
    let grants = reserve_at_peer(shared, spec, &spec.tasks, &peer, false).await;
    let is_granted = !grants.is_empty() && grants.len() == spec.tasks.len();
    shared.metrics.record_forward(is_granted);
    is_granted.then(|| HeldGrants {
        grant_owners: vec![GrantOwner::Peer(peer); grants.len()],
        grants,
        tasks: spec.tasks.clone(),
        shared: shared.clone(),
    })
}

/// Reserves capacity for a gang across several owners, all or nothing.
///
/// Every process calls the owners in the order of their addresses, so that two gangs compete at the
/// same owner first. If the remaining tasks of a gang do not fit, its grants are released at once,
/// so that a waiting gang holds no capacity.
async fn try_several_owners<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
) -> Option<HeldGrants<P>> {
    let own_address = shared.settings.peer_address().to_string();
    let mut owners = shared.members.borrow().local_peers();
    owners.push(own_address.clone());
    owners.sort();
    let mut held = local_grants(shared, spec, Vec::new());
    for owner in owners {
        let remaining = &spec.tasks[held.grants.len()..];
        let (grants, grant_owner) = match owner == own_address {
            true => (
                reserve_local(shared, spec, remaining).await,
                GrantOwner::Local,
            ),
            false => {
                let grants = reserve_at_peer(shared, spec, remaining, &owner, true).await;
                (grants, GrantOwner::Peer(owner))
            }
        };
        held.grant_owners.extend(vec![grant_owner; grants.len()]);
        held.grants.extend(grants);
        if held.grants.len() == spec.tasks.len() {
            return Some(held);
        }
    }
    held.release_all(TaskEnd::Stopped);
    None
}

async fn reserve_local<P: Platform>(
    shared: &NodeShared<P>,
    spec: &ReserveSpec,
    tasks: &[WorkId],
) -> Vec<TaskGrant> {
    let mut request = place_request(spec, PlaceMode::Partial);
    request.tasks = tasks.to_vec();
    shared.placer.place(request).await.unwrap_or_default()
}

async fn reserve_at_peer<P: Platform>(
    shared: &NodeShared<P>,
    spec: &ReserveSpec,
    tasks: &[WorkId],
    peer: &str,
    partial: bool,
) -> Vec<TaskGrant> {
    let request = ReserveRequest {
        customer: spec.customer.clone(),
        workload: spec.workload.clone(),
        task_ids: tasks.iter().map(|task| task.0.clone()).collect(),
        revision: shared.view().map_or(0, |view| view.revision()),
        partial,
    };
    let clock = shared.platform.clock();
    let reply = shared
        .peers
        .reserve(peer, request, PEER_RESERVE_TIMEOUT, clock)
        .await;
    let mut grants = reply.map(|reply| reply.grants).unwrap_or_default();
    if grants.len() > tasks.len() {
        log::warn!(
            "peer {peer} sent {} grants for {} tasks",
            grants.len(),
            tasks.len()
        );
        grants.clear();
    }
    for (task, grant) in tasks.iter().zip(&grants) {
        EventCode::WorkForwarded.log(format_args!(
            "task={task} customer={} workload={} peer={peer} worker={}",
            spec.customer, spec.workload, grant.worker,
        ));
    }
    let grants = grants.into_iter().map(|grant| TaskGrant {
        worker: grant.worker,
        address: grant.address,
        fence: grant.fence,
        incarnation: grant.incarnation,
    });
    grants.collect()
}

fn local_grants<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
    grants: Vec<TaskGrant>,
) -> HeldGrants<P> {
    HeldGrants {
        grant_owners: vec![GrantOwner::Local; grants.len()],
        grants,
        tasks: spec.tasks.clone(),
        shared: shared.clone(),
    }
}

fn place_request(spec: &ReserveSpec, mode: PlaceMode) -> PlaceRequest {
    PlaceRequest {
        customer: spec.customer.clone(),
        workload: spec.workload.clone(),
        tasks: spec.tasks.clone(),
        deadline: spec.deadline,
        mode,
    }
}

/// Returns the time `deadline_ms` after `arrived_at`, at most 366 days from now.
pub(crate) fn deadline_of<C: ClockPort>(
    clock: &C,
    arrived_at: Instant,
    deadline_ms: u64,
) -> Instant {
    let latest = clock.now() + Duration::from_secs(366 * 24 * 3600);
    arrived_at
        .checked_add(Duration::from_millis(deadline_ms))
        .map_or(latest, |at| at.min(latest))
}
