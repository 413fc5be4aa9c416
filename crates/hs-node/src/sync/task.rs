//! The sync task and its readers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use hs_config::parse_manifest;
use hs_event::EventCode;
use hs_peer::message::{PullReply, PullRequest};
use hs_peer::{ManifestOffer, ManifestState};
use hs_wire::VmList;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::{SyncHandle, SyncMessage};
use crate::manifest::{MANIFEST_KEY, ManifestView};
use crate::placer::PlacerMessage;
use crate::port::{Platform, StorePort, VmPort};
use crate::shared::NodeShared;

/// Time between two reads of the VM list by the data centre's watcher.
const LIST_EVERY: Duration = Duration::from_secs(1);

/// Time between two reads by a process that isn't the watcher, in case the watcher is cut off.
const FALLBACK_EVERY: Duration = Duration::from_secs(5);

/// Longest time of one watch on the store.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read, and between two looks at whether this process is the watcher.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest time for one read or pull.
const READ_LIMIT: Duration = Duration::from_millis(800);

/// Owns the manifest and the VM list of this process.
pub struct SyncTask<P: Platform> {
    shared: Arc<NodeShared<P>>,
    handle: SyncHandle,
    receiver: mpsc::UnboundedReceiver<SyncMessage>,
    manifests: watch::Sender<Option<Arc<ManifestView>>>,
    lists: watch::Sender<Arc<VmList>>,
    state: ManifestState,
    pulling: HashSet<String>,
    /// Manifest revision and number of members that the placer knows.
    told: Option<(u64, u32)>,
}

impl<P: Platform> SyncTask<P> {
    /// Builds the task.
    pub fn new(
        shared: Arc<NodeShared<P>>,
        handle: SyncHandle,
        receiver: mpsc::UnboundedReceiver<SyncMessage>,
        manifests: watch::Sender<Option<Arc<ManifestView>>>,
        lists: watch::Sender<Arc<VmList>>,
    ) -> Self {
        Self {
            shared,
            handle,
            receiver,
            manifests,
            lists,
            state: ManifestState::default(),
            pulling: HashSet::new(),
            told: None,
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        tokio::spawn(read_manifest(self.shared.clone(), self.handle.clone()));
        tokio::spawn(read_vms(self.shared.clone(), self.handle.clone()));
        for seed in self.shared.settings.seeds.clone() {
            self.pull(seed.to_string());
        }
        let mut members = self.shared.members.clone();
        loop {
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                Ok(()) = members.changed() => {
                    members.borrow_and_update();
                    self.tell_placer();
                }
            }
        }
    }

    fn handle(&mut self, message: SyncMessage) {
        match message {
            SyncMessage::PeerAhead { peer } => self.pull(peer),
            SyncMessage::Pulled { peer, reply } => {
                self.pulling.remove(&peer);
                if let Some(reply) = reply {
                    self.pulled(&peer, reply);
                }
            }
            SyncMessage::ManifestRead(value) => match String::from_utf8(value.body) {
                Ok(text) => self.offer("store", text),
                Err(error) => reject("store", &error),
            },
            SyncMessage::VmListRead(list) => self.listed(list),
        }
    }

    fn pull(&mut self, peer: String) {
        if !self.pulling.insert(peer.clone()) {
            return;
        }
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        let request = PullRequest {
            manifest_revision: shared.view().map_or(0, |view| view.revision()),
            vm_list_version: shared.vms.borrow().version,
        };
        tokio::spawn(async move {
            let reply = shared.peers.pull(&peer, request, READ_LIMIT).await.ok();
            handle.send(SyncMessage::Pulled { peer, reply });
        });
    }

    fn pulled(&mut self, peer: &str, reply: PullReply) {
        if !reply.vm_list_json.is_empty() {
            match serde_json::from_str(&reply.vm_list_json) {
                Ok(list) => self.listed(list),
                Err(error) => log::warn!("VM list of peer {peer} is unreadable: {error}"),
            }
        }
        if !reply.manifest_json.is_empty() {
            self.offer(peer, reply.manifest_json);
        }
    }

    /// Puts a manifest in force if it is newer. One that is not valid is never applied, since the
    /// processes would differ in how they understand it.
    fn offer(&mut self, source: &str, text: String) {
        let manifest = match parse_manifest(&text) {
            Ok(manifest) => manifest,
            Err(error) => return reject(source, &error),
        };
        let revision = manifest.revision;
        match self.state.offer(revision, &text) {
            ManifestOffer::Applied => {
                let view = Arc::new(ManifestView::new(manifest, text));
                EventCode::ManifestApplied.log(format_args!("revision={revision} source={source}"));
                let _ = self.manifests.send(Some(view));
                self.tell_placer();
            }
            ManifestOffer::Conflict => {
                reject(
                    source,
                    &format!("revision {revision} is in force with another text"),
                );
            }
            ManifestOffer::Stale | ManifestOffer::Same => {}
        }
    }

    /// Tells the placer what changed. Snapshots of the membership come with every heartbeat, and the
    /// placer's cost of a policy grows with the number of customers.
    fn tell_placer(&mut self) {
        let Some(view) = self.shared.view() else {
            return;
        };
        let members = self.shared.members.borrow().local_count();
        let told = Some((view.revision(), members));
        if std::mem::replace(&mut self.told, told) == told {
            return;
        }
        self.shared
            .placer
            .send(PlacerMessage::Manifest { view, members });
    }

    fn listed(&self, list: VmList) {
        if list.version > self.lists.borrow().version {
            let _ = self.lists.send(Arc::new(list));
        }
    }
}

fn reject(source: &str, cause: &dyn std::fmt::Display) {
    EventCode::ManifestRejected.log(format_args!("source={source} cause={cause}"));
}

/// Reads the manifest from the store: continuously as the data centre's watcher, else rarely.
async fn read_manifest<P: Platform>(shared: Arc<NodeShared<P>>, handle: SyncHandle) {
    let store = shared.platform.store();
    let mut after = 0;
    loop {
        let found = match after {
            0 => store.get(MANIFEST_KEY, READ_LIMIT).await,
            after => store.watch(MANIFEST_KEY, after, WATCH_WAIT).await,
        };
        let is_read = found.is_ok();
        if let Ok(Some(value)) = found {
            after = value.revision;
            handle.send(SyncMessage::ManifestRead(value));
        }
        pace(&shared, is_read && after > 0).await;
    }
}

/// Reads the VM list: once a second as the data centre's watcher, else rarely.
async fn read_vms<P: Platform>(shared: Arc<NodeShared<P>>, handle: SyncHandle) {
    loop {
        let known = shared.vms.borrow().version;
        let found = shared.platform.vms().list(known, READ_LIMIT).await;
        let is_read = found.is_ok();
        if let Ok(Some(list)) = found {
            handle.send(SyncMessage::VmListRead(list));
        }
        if is_read {
            sleep(LIST_EVERY).await;
        }
        pace(&shared, is_read).await;
    }
}

/// Waits before the next read: not at all as the watcher, a while otherwise.
async fn pace<P: Platform>(shared: &NodeShared<P>, is_read: bool) {
    if !is_read {
        sleep(RETRY_PAUSE).await;
    }
    let mut members = shared.members.clone();
    let is_watcher = async {
        while !members.borrow_and_update().is_watcher() {
            if members.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = is_watcher => {}
        () = sleep(FALLBACK_EVERY) => {}
    }
}
