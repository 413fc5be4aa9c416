//! Selection of the workers that this process takes leases on.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use hs_wire::{VmEntry, VmRole, VmState};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::{LinkCommand, LinkMessage, WorkerLink};
use crate::port::Platform;
use crate::shared::NodeShared;
use crate::supervise::{TaskInbox, run_logged};

/// Capacity of the channel to one link, in commands.
const COMMAND_CHANNEL_CAPACITY: usize = 256;

/// Delay between the start of the process and its first links. A process that has no heartbeats
/// from its peers yet would consider itself the preferred owner of all workers, and would then
/// release most of them again.
const STARTUP_DELAY: Duration = Duration::from_millis(600);

/// Maximum time between two reconciliations. A link that has ended because of a panic is replaced
/// within this time.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// A running link, with its worker and the draining flag that was last sent to it.
struct LinkSlot {
    worker: VmEntry,
    draining: bool,
    commands: mpsc::Sender<LinkCommand>,
}

/// Runs one link for each worker that this process is the preferred owner of.
pub struct LinkManager<P: Platform> {
    shared: Arc<NodeShared<P>>,
    receiver: TaskInbox<mpsc::Receiver<LinkMessage>>,
    slots: HashMap<String, LinkSlot>,
}

impl<P: Platform> LinkManager<P> {
    /// Creates the manager with no links.
    pub fn new(
        shared: Arc<NodeShared<P>>,
        receiver: TaskInbox<mpsc::Receiver<LinkMessage>>,
    ) -> Self {
        Self {
            shared,
            receiver,
            slots: HashMap::new(),
        }
    }

    /// Runs until all handles are dropped or the leases are released.
    pub async fn run(mut self) {
        let mut members = self.shared.members.clone();
        let mut vms = self.shared.vms.clone();
        let mut manifest = self.shared.manifest.clone();
        sleep(STARTUP_DELAY).await;
        self.reconcile();
        loop {
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(LinkMessage::Resolve { worker, task, reply }) => {
                        if let Some(slot) = self.slots.get(&worker) {
                            let _ = slot.commands.try_send(LinkCommand::Resolve { task, reply });
                        }
                    }
                    Some(LinkMessage::ReleaseAll { done }) => {
                        self.release_all().await;
                        let _ = done.send(());
                        return;
                    }
                    None => return,
                },
                () = sleep(RECONCILE_INTERVAL) => self.reconcile(),
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
            // Until there is a manifest, every worker may be drained by it.
            let is_marked_draining = view
                .as_ref()
                .is_none_or(|view| view.manifest.draining.contains(&worker.id));
            let draining = is_marked_draining || worker.state == VmState::Leaving;
            wanted.insert(worker.id.clone());
            self.ensure_link(worker, draining);
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
                    let _ = slot
                        .commands
                        .send(LinkCommand::Release { done: None })
                        .await;
                });
            }
        }
    }

    fn ensure_link(&mut self, worker: &VmEntry, draining: bool) {
        if let Some(slot) = self.slots.get_mut(&worker.id)
            && slot.worker.addr == worker.addr
            && !slot.commands.is_closed()
        {
            let command = LinkCommand::Draining(draining);
            if slot.draining != draining && slot.commands.try_send(command).is_ok() {
                slot.draining = draining;
            }
            return;
        }
        let (commands, receiver) = mpsc::channel(COMMAND_CHANNEL_CAPACITY);
        let link = WorkerLink::new(
            self.shared.platform.clone(),
            self.shared.owner(),
            worker.clone(),
            draining,
            self.shared.placer.clone(),
            receiver,
        );
        let name = format!("link to worker {}", worker.id);
        tokio::spawn(async move { run_logged(&name, link.run()).await });
        let slot = LinkSlot {
            worker: worker.clone(),
            draining,
            commands,
        };
        self.slots.insert(worker.id.clone(), slot);
    }

    async fn release_all(&mut self) {
        let mut pending = Vec::with_capacity(self.slots.len());
        for (_, slot) in self.slots.drain() {
            let (done, result) = oneshot::channel();
            let command = LinkCommand::Release { done: Some(done) };
            if slot.commands.send(command).await.is_ok() {
                pending.push(result);
            }
        }
        for result in pending {
            let _ = result.await;
        }
    }
}
