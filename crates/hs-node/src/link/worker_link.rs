//! The link to one worker: its lease and its fence.

use std::time::{Duration, Instant};

use hs_event::EventCode;
use hs_wire::{LeaseGrant, LeaseRequest, TaskView, VmEntry, WorkId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use super::{LinkCommand, ResolvedTask};
use crate::placer::{PlacerHandle, PlacerMessage, WorkerReport};
use crate::port::{ClockPort, Platform, PortError, WorkerPort};

/// Requested length of a lease. Together with the death timeout of members it bounds the time in
/// which nobody can use the workers of a dead owner.
const LEASE_TTL: Duration = Duration::from_millis(1500);

/// Time between two renewals; two of them may fail before the lease ends.
const RENEW_EVERY: Duration = Duration::from_millis(500);

/// Time between two attempts to take a lease, or to renew it after a failure.
const RETRY_EVERY: Duration = Duration::from_millis(150);

/// Longest time for one lease call.
const CALL_LIMIT: Duration = Duration::from_millis(400);

/// Time for starts that are under way to arrive before a lease is given up.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(50);

struct HeldLease {
    grant: LeaseGrant,
    until: Instant,
}

/// Owns the lease of one worker.
pub struct WorkerLink<P> {
    platform: P,
    owner: String,
    worker: VmEntry,
    draining: bool,
    placer: PlacerHandle,
    orders: mpsc::Receiver<LinkCommand>,
    lease: Option<HeldLease>,
}

impl<P: Platform> WorkerLink<P> {
    /// Builds the link.
    pub fn new(
        platform: P,
        owner: String,
        worker: VmEntry,
        draining: bool,
        placer: PlacerHandle,
        orders: mpsc::Receiver<LinkCommand>,
    ) -> Self {
        Self {
            platform,
            owner,
            worker,
            draining,
            placer,
            orders,
            lease: None,
        }
    }

    /// Runs until it is told to hand over, or its manager is gone.
    pub async fn run(mut self) {
        let mut next = self.platform.clock().now();
        loop {
            tokio::select! {
                order = self.orders.recv() => match order {
                    Some(LinkCommand::Draining(draining)) => self.set_draining(draining),
                    Some(LinkCommand::Resolve { task, reply }) => self.resolve(task, reply).await,
                    Some(LinkCommand::Release { done }) => {
                        self.hand_over().await;
                        if let Some(done) = done {
                            let _ = done.send(());
                        }
                        return;
                    }
                    None => return,
                },
                () = sleep_until(next.into()) => next = self.turn().await,
            }
        }
    }

    async fn turn(&mut self) -> Instant {
        let is_done = match self.lease {
            None => self.take().await,
            Some(_) => self.renew().await,
        };
        let pause = match is_done {
            true => RENEW_EVERY,
            false => RETRY_EVERY,
        };
        self.platform.clock().now() + pause
    }

    /// Takes the lease. The fence is raised even if this process held it before, since the placer has
    /// dropped the reservations of the earlier lease and starts under it may still be on their way.
    async fn take(&mut self) -> bool {
        let asked = self.platform.clock().now();
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
        self.hold(grant, asked);
        true
    }

    async fn renew(&mut self) -> bool {
        let suspects = self.placer.due_query(&self.worker.id).await;
        let asked = self.platform.clock().now();
        let request = self.request(suspects.raise_fence, false, suspects.tasks.clone());
        match self.call(&request).await {
            Ok(grant) => {
                self.renewed(grant, asked, suspects.tasks, suspects.raise_fence);
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
        let asked = self.platform.clock().now();
        let request = self.request(true, false, vec![task.clone()]);
        match self.call(&request).await {
            Ok(grant) => {
                let fate = ResolvedTask {
                    address: self.worker.addr.clone(),
                    incarnation: grant.incarnation,
                    fence: grant.fence,
                    task: grant.tasks.iter().find(|view| view.id == task).cloned(),
                };
                self.renewed(grant, asked, vec![task], true);
                let _ = reply.send(Some(fate));
            }
            Err(error) => self.check_lease(&error),
        }
    }

    fn renewed(&mut self, mut grant: LeaseGrant, asked: Instant, query: Vec<WorkId>, bumped: bool) {
        let known: Vec<TaskView> = std::mem::take(&mut grant.tasks);
        let held = self
            .lease
            .as_ref()
            .map(|lease| lease.grant.fence + u64::from(bumped));
        if held != Some(grant.fence) {
            // Another owner had the worker in between, so that its tasks are not accounted here.
            EventCode::LeaseLost.log(format_args!(
                "worker={} cause=fence {}",
                self.worker.id, grant.fence
            ));
            self.drop_lease();
            return;
        }
        if self
            .lease
            .as_ref()
            .is_some_and(|lease| lease.grant.incarnation != grant.incarnation)
        {
            // The worker has restarted: it runs nothing, and what ran before is lost.
            let report = self.report(grant.clone());
            self.placer.send(PlacerMessage::WorkerAdded { report });
        } else {
            let report = self.report(grant.clone());
            self.placer.send(PlacerMessage::WorkerUpdated { report });
            if !query.is_empty() {
                let name = self.worker.id.clone();
                self.placer.send(PlacerMessage::QueryAnswered {
                    name,
                    queried: query,
                    fence_raised: bumped,
                    known,
                });
            }
        }
        self.hold(grant, asked);
    }

    /// Drops the lease when it has ended by the clock or another owner has it.
    fn check_lease(&mut self, error: &PortError) {
        let now = self.platform.clock().now();
        let is_over = self.lease.as_ref().is_none_or(|lease| lease.until <= now);
        if is_over || error.status() == Some(409) {
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

    async fn hand_over(&mut self) {
        if self.lease.is_none() {
            return;
        }
        self.drop_lease();
        tokio::time::sleep(HAND_OVER_PAUSE).await;
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

    fn hold(&mut self, grant: LeaseGrant, asked: Instant) {
        let until = asked + Duration::from_millis(grant.ttl_ms);
        self.lease = Some(HeldLease { grant, until });
    }

    fn request(&self, bump: bool, list: bool, query: Vec<WorkId>) -> LeaseRequest {
        LeaseRequest {
            owner: self.owner.clone(),
            ttl_ms: LEASE_TTL.as_millis() as u64,
            bump,
            list,
            query,
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

    async fn call(&self, request: &LeaseRequest) -> Result<LeaseGrant, PortError> {
        self.platform
            .workers()
            .lease(&self.worker.addr, request, CALL_LIMIT)
            .await
    }
}
