//! Changes of the worker registry and of the intake.

use std::sync::Arc;

use hs_event::{EventCode, LogText};

use super::OwnerTask;
use crate::feeds::FeedEvent;
use crate::keys::{self, IntakeKey};
use crate::port::{Platform, StoreItem, WorkerChange};
use crate::recover::JobValue;

impl<P: Platform> OwnerTask<P> {
    pub(super) fn handle_feed_event(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Workers(changes) => {
                for change in changes {
                    match change {
                        WorkerChange::Registered(worker) => self.add_worker(worker),
                        WorkerChange::Removed(id) => {
                            if self.cell.worker_unlisted(&id) {
                                EventCode::WorkerUnlisted.log(format_args!("worker={id}"));
                            }
                        }
                    }
                }
            }
            FeedEvent::AllWorkers(workers) => {
                for (id, _) in self.cell.listed_workers() {
                    if !workers.iter().any(|worker| worker.entry.id == id) {
                        self.cell.worker_unlisted(&id);
                    }
                }
                for worker in workers {
                    self.add_worker(worker);
                }
            }
            FeedEvent::Intake(items) => {
                for item in items {
                    self.add_intake_item(&item);
                }
            }
        }
    }

    pub(super) fn add_intake_item(&mut self, item: &StoreItem) {
        let Some(value) = item.value.as_deref() else {
            return;
        };
        match keys::parse_intake_key(&item.key) {
            Some(IntakeKey::Job(id)) if !self.cell.has_job(id) => match JobValue::parse(value) {
                Some(JobValue::Accepted(spec)) => self.add_job(id, Arc::new(spec), "store"),
                Some(JobValue::Ended(_)) => {}
                None => EventCode::RecordUnreadable.log(format_args!("key={}", LogText(&item.key))),
            },
            Some(IntakeKey::Cancel(id)) => self.cancel(id),
            Some(IntakeKey::Job(_)) => {}
            None => EventCode::RecordUnreadable.log(format_args!("key={}", LogText(&item.key))),
        }
    }
}
