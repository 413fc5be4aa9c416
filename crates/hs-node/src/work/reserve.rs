//! Reservation of room on an own worker or one of a peer.

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

/// Longest time for one reservation at a peer; it decides at once.
const PEER_LIMIT: Duration = Duration::from_millis(200);

/// Longest time for a release at a peer. If it is lost, the peer finds the task ended.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);

/// Time between two tries at peers while work waits in the own queue, one heartbeat interval.
const PEER_EVERY: Duration = Duration::from_millis(300);

/// What needs room.
#[derive(Clone, Debug)]
pub struct ReserveSpec {
    /// The customer that it is accounted to.
    pub customer: String,
    /// Name of the workload.
    pub workload: String,
    /// Identity of each task; several make a gang.
    pub tasks: Vec<WorkId>,
    /// What each task takes.
    pub resources: Resources,
    /// Time after which a start is of no use.
    pub deadline: Option<Instant>,
}

/// Who owns the worker of a grant.
#[derive(Clone)]
enum GrantHolder {
    Own,
    Peer(String),
}

/// Room reserved for the tasks of one piece of work.
pub struct HeldGrants<P: Platform> {
    /// One grant for each task.
    pub grants: Vec<TaskGrant>,
    tasks: Vec<WorkId>,
    holders: Vec<GrantHolder>,
    shared: Arc<NodeShared<P>>,
}

impl<P: Platform> HeldGrants<P> {
    /// Ends the reservation of one task.
    pub fn release(&self, index: usize, end: TaskEnd) {
        let (Some(task), Some(holder)) = (self.tasks.get(index).cloned(), self.holders.get(index))
        else {
            return;
        };
        match holder {
            GrantHolder::Own => self.shared.placer.release(task, end),
            GrantHolder::Peer(peer) => {
                let shared = self.shared.clone();
                let peer = peer.clone();
                let ends = vec![EndMessage {
                    task_id: task.0,
                    kind: end_kind(end) as i32,
                }];
                tokio::spawn(async move {
                    let _ = shared
                        .peers
                        .release(&peer, ReleaseRequest { ends }, RELEASE_LIMIT)
                        .await;
                });
            }
        }
    }

    /// Ends the reservation of every task.
    pub fn release_all(&self, end: TaskEnd) {
        for index in 0..self.holders.len() {
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

/// Takes queued work out of its queue when its caller goes away.
struct WithdrawGuard<'a, P: Platform> {
    shared: &'a NodeShared<P>,
    task: Option<WorkId>,
}

impl<P: Platform> Drop for WithdrawGuard<'_, P> {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            self.shared.placer.send(PlacerMessage::Withdraw { task });
        }
    }
}

/// Reserves room: on an own worker, else at a peer of the data centre, else after waiting in the own
/// queue. While work waits, peers that report free room are tried again.
///
/// # Errors
///
/// Returns why nothing is reserved; nothing was sent to a worker.
pub async fn reserve<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
) -> Result<HeldGrants<P>, NotRunReason> {
    match shared
        .placer
        .place(request(spec, PlaceMode::Immediate))
        .await
    {
        Ok(grants) => return Ok(own(shared, spec, grants)),
        Err(PlaceRefusal::Busy) => {}
        Err(PlaceRefusal::Refused(reason)) => return Err(reason),
    }
    if let Some(held) = try_elsewhere(shared, spec, false).await {
        return Ok(held);
    }
    wait(shared, spec).await
}

async fn wait<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
) -> Result<HeldGrants<P>, NotRunReason> {
    if let Some(first) = spec.tasks.first() {
        EventCode::WorkQueued.log(format_args!(
            "task={first} customer={} workload={}",
            spec.customer, spec.workload
        ));
    }
    let mut guard = WithdrawGuard {
        shared,
        task: spec.tasks.first().cloned(),
    };
    let queued = shared.placer.place(request(spec, PlaceMode::Queued));
    tokio::pin!(queued);
    let mut tries = interval(PEER_EVERY);
    tries.tick().await;
    loop {
        tokio::select! {
            placed = &mut queued => {
                guard.task = None;
                return match placed {
                    Ok(grants) => Ok(own(shared, spec, grants)),
                    Err(PlaceRefusal::Busy) => Err(NotRunReason::QueueFull),
                    Err(PlaceRefusal::Refused(NotRunReason::NeverFits)) => elsewhere(shared, spec).await,
                    Err(PlaceRefusal::Refused(reason)) => Err(reason),
                };
            }
            _ = tries.tick() => {
                if let Some(held) = try_elsewhere(shared, spec, true).await {
                    return Ok(held);
                }
            }
        }
    }
}

/// Waits for room at peers for work that fits none of the own workers.
async fn elsewhere<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
) -> Result<HeldGrants<P>, NotRunReason> {
    if !fits_data_centre(shared, spec) {
        return Err(NotRunReason::NeverFits);
    }
    let mut tries = interval(PEER_EVERY);
    let deadline = spec.deadline;
    let passed = async {
        match deadline {
            Some(deadline) => sleep_until(deadline.into()).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(passed);
    loop {
        tokio::select! {
            () = &mut passed => return Err(NotRunReason::DeadlinePassed),
            _ = tries.tick() => {
                if let Some(held) = try_elsewhere(shared, spec, false).await {
                    return Ok(held);
                }
            }
        }
    }
}

/// Returns whether the workers of the data centre could hold all tasks if they were idle.
fn fits_data_centre<P: Platform>(shared: &NodeShared<P>, spec: &ReserveSpec) -> bool {
    let list = shared.vms.borrow().clone();
    let workers = list.vms.iter().filter(|vm| {
        vm.role == VmRole::Worker
            && vm.state == VmState::Live
            && vm.data_centre == shared.settings.data_centre
    });
    let room: u64 = workers
        .map(|vm| u64::from(spec.resources.count_in(vm.capacity)))
        .sum();
    room >= spec.tasks.len() as u64
}

/// Reserves room at one peer, or for a gang at several owners together.
async fn try_elsewhere<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
    idle_only: bool,
) -> Option<HeldGrants<P>> {
    if let Some(held) = try_peer(shared, spec, idle_only).await {
        return Some(held);
    }
    match spec.tasks.len() {
        0 | 1 => None,
        _ => spread(shared, spec).await,
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
    let grants = ask_peer(shared, spec, &spec.tasks, &peer, false).await;
    let is_granted = !grants.is_empty() && grants.len() == spec.tasks.len();
    shared.metrics.record_forward(is_granted);
    is_granted.then(|| HeldGrants {
        holders: vec![GrantHolder::Peer(peer); grants.len()],
        grants,
        tasks: spec.tasks.clone(),
        shared: shared.clone(),
    })
}

/// Reserves room for a gang at several owners, all or nothing.
///
/// Every process asks the owners in the order of their addresses, so that two gangs meet at the same
/// owner first; what was granted is given back at once if the rest finds no room, so that nothing is
/// held while a gang waits.
async fn spread<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
) -> Option<HeldGrants<P>> {
    let own_address = shared.settings.peer_address().to_string();
    let mut owners = shared.members.borrow().local_peers();
    owners.push(own_address.clone());
    owners.sort();
    let mut held = own(shared, spec, Vec::new());
    for owner in owners {
        let rest = &spec.tasks[held.grants.len()..];
        let (grants, holder) = match owner == own_address {
            true => (ask_own(shared, spec, rest).await, GrantHolder::Own),
            false => {
                let grants = ask_peer(shared, spec, rest, &owner, true).await;
                (grants, GrantHolder::Peer(owner))
            }
        };
        held.holders.extend(vec![holder; grants.len()]);
        held.grants.extend(grants);
        if held.grants.len() == spec.tasks.len() {
            return Some(held);
        }
    }
    held.release_all(TaskEnd::Stopped);
    None
}

async fn ask_own<P: Platform>(
    shared: &NodeShared<P>,
    spec: &ReserveSpec,
    tasks: &[WorkId],
) -> Vec<TaskGrant> {
    let mut request = request(spec, PlaceMode::Partial);
    request.tasks = tasks.to_vec();
    shared.placer.place(request).await.unwrap_or_default()
}

async fn ask_peer<P: Platform>(
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
    let reply = shared.peers.reserve(peer, request, PEER_LIMIT, clock).await;
    let grants = reply.map(|reply| reply.grants).unwrap_or_default();
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

fn own<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    spec: &ReserveSpec,
    grants: Vec<TaskGrant>,
) -> HeldGrants<P> {
    HeldGrants {
        holders: vec![GrantHolder::Own; grants.len()],
        grants,
        tasks: spec.tasks.clone(),
        shared: shared.clone(),
    }
}

fn request(spec: &ReserveSpec, mode: PlaceMode) -> PlaceRequest {
    PlaceRequest {
        customer: spec.customer.clone(),
        workload: spec.workload.clone(),
        tasks: spec.tasks.clone(),
        deadline: spec.deadline,
        mode,
    }
}

/// Returns the deadline of work that arrived at `arrived`.
pub(crate) fn deadline_of<C: ClockPort>(clock: &C, arrived: Instant, deadline_ms: u64) -> Instant {
    let longest = clock.now() + Duration::from_secs(366 * 24 * 3600);
    arrived
        .checked_add(Duration::from_millis(deadline_ms))
        .map_or(longest, |at| at.min(longest))
}
