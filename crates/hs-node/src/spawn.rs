//! Start of the tasks that run as long as the process. Each is started again after a panic.

use std::sync::Arc;

use hs_peer::MemberOptions;
use hs_wire::VmList;
use tokio::sync::{mpsc, watch};

use crate::ledger::{PartitionMessage, PartitionTask};
use crate::link::{LinkManager, LinkMessage};
use crate::manifest::ManifestView;
use crate::member::{MemberMessage, MemberSnapshot, MemberTask};
use crate::placer::{PlacerMessage, PlacerTask};
use crate::port::Platform;
use crate::service::ServiceReconciler;
use crate::shared::NodeShared;
use crate::supervise::{restart_on_panic, restart_with_inbox};
use crate::sync::{SyncHandle, SyncMessage, SyncTask, read_manifest, read_vms};

/// Receivers and senders that the tasks own.
pub(crate) struct TaskInputs {
    pub(crate) placer_messages: mpsc::UnboundedReceiver<PlacerMessage>,
    pub(crate) link_messages: mpsc::Receiver<LinkMessage>,
    pub(crate) member_messages: mpsc::Receiver<MemberMessage>,
    pub(crate) sync_messages: mpsc::UnboundedReceiver<SyncMessage>,
    pub(crate) partition_messages: Vec<mpsc::UnboundedReceiver<PartitionMessage>>,
    pub(crate) snapshots: watch::Sender<Arc<MemberSnapshot>>,
    pub(crate) manifest_sender: watch::Sender<Option<Arc<ManifestView>>>,
    pub(crate) vms_sender: watch::Sender<Arc<VmList>>,
    pub(crate) sync: SyncHandle,
    pub(crate) options: MemberOptions,
}

/// Starts all tasks.
pub(crate) fn spawn_tasks<P: Platform>(shared: &Arc<NodeShared<P>>, inputs: TaskInputs) {
    spawn_placer(shared.clone(), inputs.placer_messages);
    spawn_links(shared.clone(), inputs.link_messages);
    spawn_readers(shared, &inputs.sync);
    for (number, messages) in (0..).zip(inputs.partition_messages) {
        spawn_partition(shared.clone(), number, messages);
    }
    spawn_reconciler(shared.clone());

    let (node, sync, options) = (shared.clone(), inputs.sync.clone(), inputs.options);
    let snapshots = inputs.snapshots;
    let member = move |inbox| {
        let (node, sync, options) = (node.clone(), sync.clone(), options.clone());
        let snapshots = snapshots.clone();
        async move {
            MemberTask::new(node, inbox, snapshots, sync, options)
                .run()
                .await
        }
    };
    tokio::spawn(restart_with_inbox(
        "membership",
        inputs.member_messages,
        member,
    ));

    let (node, sync) = (shared.clone(), inputs.sync);
    let (manifests, vms) = (inputs.manifest_sender, inputs.vms_sender);
    let sync_task = move |inbox| {
        let (node, sync) = (node.clone(), sync.clone());
        let (manifests, vms) = (manifests.clone(), vms.clone());
        async move { SyncTask::new(node, sync, inbox, manifests, vms).run().await }
    };
    tokio::spawn(restart_with_inbox(
        "synchronization",
        inputs.sync_messages,
        sync_task,
    ));
}

fn spawn_placer<P: Platform>(
    shared: Arc<NodeShared<P>>,
    messages: mpsc::UnboundedReceiver<PlacerMessage>,
) {
    let start = move |inbox| {
        let shared = shared.clone();
        async move {
            let clock = shared.platform.clock().clone();
            let mut placer = PlacerTask::new(clock, inbox);
            if let Some(view) = shared.view() {
                let members = shared.members.borrow().local_count();
                placer.set_manifest(view, members);
            }
            placer.run().await;
        }
    };
    tokio::spawn(restart_with_inbox("placer", messages, start));
}

fn spawn_links<P: Platform>(shared: Arc<NodeShared<P>>, messages: mpsc::Receiver<LinkMessage>) {
    let start = move |inbox| {
        let shared = shared.clone();
        async move { LinkManager::new(shared, inbox).run().await }
    };
    tokio::spawn(restart_with_inbox("links", messages, start));
}

fn spawn_partition<P: Platform>(
    shared: Arc<NodeShared<P>>,
    number: u32,
    messages: mpsc::UnboundedReceiver<PartitionMessage>,
) {
    let start = move |inbox| {
        let shared = shared.clone();
        async move { PartitionTask::new(shared, number, inbox).run().await }
    };
    tokio::spawn(restart_with_inbox("ledger partition", messages, start));
}

fn spawn_readers<P: Platform>(shared: &Arc<NodeShared<P>>, sync: &SyncHandle) {
    let (node, handle) = (shared.clone(), sync.clone());
    let manifest = move || read_manifest(node.clone(), handle.clone());
    tokio::spawn(restart_on_panic("manifest reader", manifest));
    let (node, handle) = (shared.clone(), sync.clone());
    let vms = move || read_vms(node.clone(), handle.clone());
    tokio::spawn(restart_on_panic("VM list reader", vms));
}

fn spawn_reconciler<P: Platform>(shared: Arc<NodeShared<P>>) {
    let start = move || {
        let shared = shared.clone();
        async move { ServiceReconciler::new(shared).run().await }
    };
    tokio::spawn(restart_on_panic("service reconciler", start));
}
