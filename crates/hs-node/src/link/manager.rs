//! Decides which workers this process links to.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use hs_wire::{VmEntry, VmRole, VmState};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::{LinkCommand, LinkMessage, WorkerLink};
use crate::port::Platform;
use crate::shared::NodeShared;

/// Orders that may wait for one link.
const ORDER_LENGTH: usize = 256;

/// Time after the start before workers are linked to. A process that has not heard of its peers yet
/// would prefer itself for all workers, and hand most of them over again.
const FIRST_PAUSE: Duration = Duration::from_millis(600);

struct LinkSlot {
    worker: VmEntry,
    draining: bool,
    orders: mpsc::Sender<LinkCommand>,
}

/// Keeps one link to each worker that this process is the preferred owner of.
pub struct LinkManager<P: Platform> {
    shared: Arc<NodeShared<P>>,
    receiver: mpsc::Receiver<LinkMessage>,
    slots: HashMap<String, LinkSlot>,
}

impl<P: Platform> LinkManager<P> {
    /// Builds the manager.
    pub fn new(shared: Arc<NodeShared<P>>, receiver: mpsc::Receiver<LinkMessage>) -> Self {
        Self {
            shared,
            receiver,
            slots: HashMap::new(),
        }
    }

    /// Runs until every handle is gone or the leases are handed over.
    pub async fn run(mut self) {
        let mut members = self.shared.members.clone();
        let mut vms = self.shared.vms.clone();
        let mut manifest = self.shared.manifest.clone();
        sleep(FIRST_PAUSE).await;
        self.reconcile();
        loop {
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(LinkMessage::Resolve { worker, task, reply }) => {
                        if let Some(slot) = self.slots.get(&worker) {
                            let _ = slot.orders.try_send(LinkCommand::Resolve { task, reply });
                        }
                    }
                    Some(LinkMessage::ReleaseAll { done }) => {
                        self.release_all().await;
                        let _ = done.send(());
                        return;
                    }
                    None => return,
                },
                Ok(()) = members.changed() => self.reconcile(),
                Ok(()) = vms.changed() => self.reconcile(),
                Ok(()) = manifest.changed() => self.reconcile(),
            }
        }
    }

    fn reconcile(&mut self) {
        let members = self.shared.members.borrow().clone();
        let vms = self.shared.vms.borrow().clone();
        let view = self.shared.view();
        let data_centre = self.shared.settings.data_centre.clone();
        let mut wanted = HashSet::new();
        for worker in &vms.vms {
            let is_worker = worker.role == VmRole::Worker && worker.data_centre == data_centre;
            if !is_worker || !members.is_preferred_owner(&worker.id) {
                continue;
            }
            let is_drained = view
                .as_ref()
                .is_some_and(|view| view.manifest.draining.contains(&worker.id));
            let draining = is_drained || worker.state == VmState::Leaving;
            wanted.insert(worker.id.clone());
            self.follow(worker, draining);
        }
        let unwanted: Vec<String> = self
            .slots
            .keys()
            .filter(|name| !wanted.contains(*name))
            .cloned()
            .collect();
        for name in unwanted {
            if let Some(slot) = self.slots.remove(&name) {
                tokio::spawn(async move {
                    let _ = slot.orders.send(LinkCommand::Release { done: None }).await;
                });
            }
        }
    }

    fn follow(&mut self, worker: &VmEntry, draining: bool) {
        if let Some(slot) = self.slots.get_mut(&worker.id)
            && slot.worker.addr == worker.addr
        {
            let order = LinkCommand::Draining(draining);
            if slot.draining != draining && slot.orders.try_send(order).is_ok() {
                slot.draining = draining;
            }
            return;
        }
        let (orders, receiver) = mpsc::channel(ORDER_LENGTH);
        let link = WorkerLink::new(
            self.shared.platform.clone(),
            self.shared.owner(),
            worker.clone(),
            draining,
            self.shared.placer.clone(),
            receiver,
        );
        tokio::spawn(link.run());
        let slot = LinkSlot {
            worker: worker.clone(),
            draining,
            orders,
        };
        self.slots.insert(worker.id.clone(), slot);
    }

    async fn release_all(&mut self) {
        let mut waits = Vec::with_capacity(self.slots.len());
        for (_, slot) in self.slots.drain() {
            let (done, result) = oneshot::channel();
            let order = LinkCommand::Release { done: Some(done) };
            if slot.orders.send(order).await.is_ok() {
                waits.push(result);
            }
        }
        for wait in waits {
            let _ = wait.await;
        }
    }
}
