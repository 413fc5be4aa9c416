//! The workers of the cell: their restoration at a takeover, their links, and what the links report.

use std::collections::BTreeMap;
use std::time::Instant;

use hs_cell::WorkerKey;
use hs_event::EventCode;

use super::{OwnerEnd, OwnerTask};
use crate::feeds::{self, StoredState};
use crate::link::{LeaseTerms, LinkEvent, LinkHandle};
use crate::port::{Platform, RegisteredWorker, WorkerEndpoint};
use crate::work_portions::WorkPortions;

impl<P: Platform> OwnerTask<P> {
    /// Restores the state of the cell, then links the workers in the order of [`hs_cell::Cell::contact_order`], which
    /// needs the restored runs.
    pub(super) async fn restore(&mut self, state: StoredState) {
        let mut endpoints = BTreeMap::new();
        let mut portions = WorkPortions::default();
        for worker in state.workers {
            let (key, endpoint) = self.list_worker(worker);
            endpoints.insert(key, endpoint);
            portions.item_done().await;
        }
        let revision = state.cell.intake_revision;
        let lease_end = self.earlier_lease_end();
        let restored = state
            .cell
            .restore(&mut self.cell, &self.platform, lease_end);
        self.planner.log = restored.await;
        for key in self.cell.contact_order() {
            if let Some(endpoint) = endpoints.remove(&key) {
                self.link_worker(key, endpoint);
            }
            portions.item_done().await;
        }
        let feeds = feeds::follow(
            self.platform.clone(),
            state.registry_revision,
            revision,
            self.feed_events.clone(),
        );
        self.background_tasks.spawn(feeds);
    }

    /// Adds or updates a worker, and links it unless it is linked.
    pub(super) fn add_worker(&mut self, worker: RegisteredWorker) {
        let (key, endpoint) = self.list_worker(worker);
        if !self.links.contains_key(&key) {
            self.link_worker(key, endpoint);
        }
    }

    fn list_worker(&mut self, worker: RegisteredWorker) -> (WorkerKey, WorkerEndpoint) {
        let endpoint = WorkerEndpoint {
            id: worker.entry.id.clone(),
            address: worker.address,
            started_ms: worker.entry.started_ms,
        };
        let now = self.platform.now();
        let lease_end = self.earlier_lease_end().max(now);
        let key = self.cell.worker_listed(worker.entry, lease_end, now);
        (key, endpoint)
    }

    /// Returns the time at which the runs have ended that an earlier owner may have started.
    fn earlier_lease_end(&self) -> Instant {
        self.options
            .earlier_lease_end(self.earlier_leases_end, self.ownership_start.at)
    }

    fn link_worker(&mut self, key: WorkerKey, endpoint: WorkerEndpoint) {
        EventCode::WorkerLinked.log(format_args!(
            "worker={} address={} born_ms={}",
            endpoint.id, endpoint.address, endpoint.started_ms
        ));
        let terms = LeaseTerms {
            fences: self.worker_fences.clone(),
            lease: self.options.lease,
            confirmation: self.confirmation.clone(),
        };
        let link = LinkHandle::spawn(
            self.platform.clone(),
            key,
            endpoint,
            terms,
            self.link_limits.clone(),
            self.metrics.clone(),
            self.link_events.clone(),
        );
        self.links.insert(key, link);
    }

    pub(super) fn handle_link_event(&mut self, key: WorkerKey, event: LinkEvent) {
        let now = self.platform.now();
        match event {
            LinkEvent::FirstAnswer => self.cell.worker_answered(key, now, self.platform.unix_ms()),
            LinkEvent::Renewing(lease_end) => self.cell.lease_renewed(key, lease_end, now),
            LinkEvent::Report(report, requested_at) => {
                self.load.reports += 1;
                self.status.traffic.record_report(&report);
                self.cell.worker_reported(key, report, requested_at, now);
            }
            LinkEvent::Unreachable => {
                self.load.unreachable_workers += 1;
                self.cell.worker_unreachable(key);
            }
            LinkEvent::Started(run) => self.cell.start_confirmed(key, run, now),
            LinkEvent::StartRefused(run, why) => {
                let fields = format_args!(" why={why:?}");
                self.run_lines.log(EventCode::RunRefused, run, now, fields);
                self.metrics.record_start_refusal(why);
                self.cell.start_refused(key, run, why, now);
            }
            LinkEvent::StartUnanswered(run, taker) => {
                self.load.unanswered_starts += 1;
                let fields = format_args!(" taker={taker:?}");
                self.run_lines
                    .log(EventCode::StartUnanswered, run, now, fields);
                self.cell.start_unanswered(key, run, taker, now);
            }
            LinkEvent::StaleRenewal => self.cell.stale_renewal_taken(key, now),
            LinkEvent::OtherClock(asked) => {
                self.cell.order_taken_on_other_clock(key, asked, now);
                self.cell.worker_unreachable(key);
            }
            LinkEvent::Stopped(run) => self.cell.stop_confirmed(key, run, now),
            LinkEvent::Fenced => {
                let why = "a worker has seen a higher fence".to_owned();
                self.end = Some(OwnerEnd::Lost(why));
            }
        }
    }
}
