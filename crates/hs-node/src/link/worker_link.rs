//! The link to one worker, which holds its lease and raises its fencing token.

use std::time::{Duration, Instant};

use hs_event::EventCode;
use hs_wire::{LeaseGrant, LeaseRequest, TaskView, VmEntry, WorkId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use super::{LinkCommand, ResolvedTask};
use crate::placer::{PlacerHandle, PlacerMessage, WorkerReport};
use crate::port::{ClockPort, Platform, PortError, WorkerPort};

/// Requested duration of a lease. Together with the timeout after which a member without heartbeats
/// counts as dead, it bounds how long no process can use the workers of a dead owner.
const LEASE_TTL: Duration = Duration::from_millis(1500);

/// Interval between renewals. Two renewals in a row may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between attempts to acquire a lease, or to renew it after a failed renewal.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of one lease call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before a lease is released, so that starts in flight reach the worker first.
const RELEASE_DELAY: Duration = Duration::from_millis(50);

/// The last grant and the time at which it expires.
struct HeldLease {
    grant: LeaseGrant,
    expires_at: Instant,
}

/// Acquires, renews and releases the lease of one worker, and reports its state to the placer.
pub struct WorkerLink<P> {
    platform: P,
    owner: String,
    worker: VmEntry,
    draining: bool,
    placer: PlacerHandle,
    commands: mpsc::Receiver<LinkCommand>,
    lease: Option<HeldLease>,
    /// What the last reply did not show because it could not be decoded, as it was logged.
    unreadable: Option<String>,
}

impl<P: Platform> WorkerLink<P> {
    /// Creates a link without a lease.
    pub fn new(
        platform: P,
        owner: String,
        worker: VmEntry,
        draining: bool,
        placer: PlacerHandle,
        commands: mpsc::Receiver<LinkCommand>,
    ) -> Self {
        Self {
            platform,
            owner,
            worker,
            draining,
            placer,
            commands,
            lease: None,
            unreadable: None,
        }
    }

    /// Runs until a command releases the lease or the manager has ended. In the latter case the
    /// lease expires.
    pub async fn run(mut self) {
        let mut next_call = self.platform.clock().now();
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(LinkCommand::Draining(draining)) => self.set_draining(draining),
                    Some(LinkCommand::Resolve { task, reply }) => self.resolve(task, reply).await,
                    Some(LinkCommand::Release { done }) => {
                        self.release().await;
                        if let Some(done) = done {
                            let _ = done.send(());
                        }
                        return;
                    }
                    None => return self.drop_lease(),
                },
                () = sleep_until(next_call.into()) => next_call = self.acquire_or_renew().await,
            }
        }
    }

    /// Acquires or renews the lease, and returns the time of the next attempt.
    async fn acquire_or_renew(&mut self) -> Instant {
        let succeeded = match self.lease {
            None => self.acquire().await,
            Some(_) => self.renew().await,
        };
        let delay = match succeeded {
            true => RENEW_INTERVAL,
            false => RETRY_INTERVAL,
        };
        self.platform.clock().now() + delay
    }

    /// Acquires the lease. The fencing token is raised even if this process held the previous
    /// lease: the placer has dropped the reservations made under that lease, and starts under it
    /// may still be in flight.
    async fn acquire(&mut self) -> bool {
        let requested_at = self.platform.clock().now();
        let request = self.request(true, true, Vec::new());
        let Ok(grant) = self.call(&request).await else {
            return false;
        };
        EventCode::LeaseTaken.log(format_args!(
            "worker={} fence={} running={}",
            self.worker.id,
            grant.fence,
            grant.tasks.len(),
        ));
        let report = self.report(grant.clone());
        self.placer.send(PlacerMessage::WorkerAdded { report });
        self.store_lease(grant, requested_at);
        true
    }

    async fn renew(&mut self) -> bool {
        let Some(query) = self.placer.due_query(&self.worker.id).await else {
            // The placer was started again and has forgotten the reservations. The acquisition
            // lists the running tasks, and starts that are on their way are refused.
            self.drop_lease();
            return false;
        };
        let requested_at = self.platform.clock().now();
        let request = self.request(query.raise_fence, false, query.tasks.clone());
        match self.call(&request).await {
            Ok(grant) => {
                self.apply_renewal(grant, requested_at, query.tasks, query.raise_fence);
                true
            }
            Err(error) => {
                self.check_lease(&error);
                false
            }
        }
    }

    async fn resolve(&mut self, task: WorkId, reply: oneshot::Sender<Option<ResolvedTask>>) {
        if self.lease.is_none() {
            return;
        }
        let requested_at = self.platform.clock().now();
        let request = self.request(true, false, vec![task.clone()]);
        match self.call(&request).await {
            Ok(grant) => {
                let resolved = ResolvedTask {
                    address: self.worker.addr.clone(),
                    incarnation: grant.incarnation,
                    fence: grant.fence,
                    task: grant.tasks.iter().find(|view| view.id == task).cloned(),
                };
                let is_definite = resolved.task.is_some() || !grant.may_list(&task);
                self.apply_renewal(grant, requested_at, vec![task], true);
                if is_definite {
                    let _ = reply.send(Some(resolved));
                }
            }
            Err(error) => self.check_lease(&error),
        }
    }

    /// Applies the grant of a renewal that queried some tasks and may have raised the fencing
    /// token.
    fn apply_renewal(
        &mut self,
        mut grant: LeaseGrant,
        requested_at: Instant,
        mut queried: Vec<WorkId>,
        fence_raised: bool,
    ) {
        let known: Vec<TaskView> = std::mem::take(&mut grant.tasks);
        // A task without a readable answer is not one that the worker does not know.
        queried.retain(|id| known.iter().any(|view| view.id == *id) || !grant.may_list(id));
        let held = self.lease.as_ref().map(|lease| &lease.grant);
        let expected_fence = held.and_then(|held| held.fence.checked_add(u64::from(fence_raised)));
        let is_resized = held.is_some_and(|held| held.capacity != grant.capacity);
        let is_restarted = held.is_some_and(|held| held.incarnation != grant.incarnation);
        if expected_fence != Some(grant.fence) {
            // Another owner held the lease in the meantime. The placer of this process does not
            // account for the tasks that the other owner started.
            EventCode::LeaseLost.log(format_args!(
                "worker={} cause=fence {}",
                self.worker.id, grant.fence
            ));
            self.drop_lease();
            return;
        }
        if is_resized || is_restarted {
            // The placer takes a capacity and the running tasks only from an acquisition, which lists
            // all tasks. So a wrong reply applies only until the next one.
            let cause = if is_resized { "capacity" } else { "restart" };
            EventCode::LeaseLost.log(format_args!("worker={} cause={cause}", self.worker.id));
            self.drop_lease();
            return;
        }
        let report = self.report(grant.clone());
        self.placer.send(PlacerMessage::WorkerUpdated { report });
        if !queried.is_empty() {
            let name = self.worker.id.clone();
            self.placer.send(PlacerMessage::QueryAnswered {
                name,
                queried,
                fence_raised,
                known,
            });
        }
        self.store_lease(grant, requested_at);
    }

    /// Drops the lease after a failed call if it has expired or another owner holds it (status
    /// 409).
    fn check_lease(&mut self, error: &PortError) {
        let now = self.platform.clock().now();
        let is_expired = self
            .lease
            .as_ref()
            .is_none_or(|lease| lease.expires_at <= now);
        if is_expired || error.status() == Some(409) {
            EventCode::LeaseLost.log(format_args!("worker={} cause={error}", self.worker.id));
            self.drop_lease();
        }
    }

    fn drop_lease(&mut self) {
        if self.lease.take().is_some() {
            let name = self.worker.id.clone();
            self.placer.send(PlacerMessage::WorkerRemoved { name });
        }
    }

    /// Removes the worker from the placer, then releases its lease by a request with a TTL of zero.
    async fn release(&mut self) {
        if self.lease.is_none() {
            return;
        }
        self.drop_lease();
        tokio::time::sleep(RELEASE_DELAY).await;
        let mut request = self.request(false, false, Vec::new());
        request.ttl_ms = 0;
        let _ = self.call(&request).await;
    }

    fn set_draining(&mut self, draining: bool) {
        if self.draining == draining {
            return;
        }
        self.draining = draining;
        if draining {
            EventCode::WorkerDraining.log(format_args!("worker={}", self.worker.id));
        }
        if let Some(lease) = &self.lease {
            let report = self.report(lease.grant.clone());
            self.placer.send(PlacerMessage::WorkerUpdated { report });
        }
    }

    /// Stores a grant. The lease duration counts from the time of the request, and is at most the
    /// requested one: a longer one would be an error of the worker and could overflow the sum.
    fn store_lease(&mut self, grant: LeaseGrant, requested_at: Instant) {
        let expires_at = requested_at + Duration::from_millis(grant.ttl_ms).min(LEASE_TTL);
        self.lease = Some(HeldLease { grant, expires_at });
    }

    fn request(&self, raise_fence: bool, list_tasks: bool, queried: Vec<WorkId>) -> LeaseRequest {
        LeaseRequest {
            owner: self.owner.clone(),
            ttl_ms: LEASE_TTL.as_millis() as u64,
            bump: raise_fence,
            list: list_tasks,
            query: queried,
        }
    }

    fn report(&self, grant: LeaseGrant) -> WorkerReport {
        WorkerReport {
            name: self.worker.id.clone(),
            rack: self.worker.rack.clone(),
            address: self.worker.addr.clone(),
            draining: self.draining,
            grant,
        }
    }

    async fn call(&mut self, request: &LeaseRequest) -> Result<LeaseGrant, PortError> {
        let workers = self.platform.workers();
        let call = workers.lease(&self.worker.addr, request, CALL_TIMEOUT);
        let result = call.await;
        match &result {
            Ok(grant) if grant.unreadable.is_empty() => self.unreadable = None,
            Ok(grant) => self.log_unreadable_tasks(grant),
            Err(error @ PortError::Unreadable { .. }) => self.log_unreadable("reply", error),
            Err(PortError::Call(_) | PortError::Refused { .. }) => {}
        }
        result
    }

    fn log_unreadable_tasks(&mut self, grant: &LeaseGrant) {
        let Some(first) = grant.unreadable.first() else {
            return;
        };
        let id = first.id.as_ref().map_or("unknown", |id| &id.0);
        self.log_unreadable(&format!("task {id:.64}"), &first.cause);
    }

    /// Logs that a reply or a part of it can't be decoded, unless the last such line was about the
    /// same part.
    fn log_unreadable(&mut self, part: &str, cause: &dyn std::fmt::Display) {
        if self.unreadable.as_deref() == Some(part) {
            return;
        }
        self.unreadable = Some(part.to_owned());
        EventCode::WorkerUnreadable.log(format_args!(
            "worker={} part=\"{part}\" cause=\"{:.200}\"",
            self.worker.id,
            cause.to_string()
        ));
    }
}
