//! The sync task, and the tasks that read the manifest and the VM list for it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use hs_config::parse_manifest;
use hs_event::EventCode;
use hs_peer::message::{PullReply, PullRequest};
use hs_peer::{ManifestState, OfferOutcome};
use hs_wire::VmList;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::startup::{PeerManifest, StartupReads};
use super::vm_lists::VmLists;
use super::{SyncHandle, SyncMessage};
use crate::manifest::{MANIFEST_KEY, ManifestView};
use crate::placer::PlacerMessage;
use crate::port::{ClockPort, Platform, PortError, StorePort, VmPort};
use crate::repeat_filter::RepeatFilter;
use crate::shared::NodeShared;
use crate::supervise::TaskInbox;

/// Interval between reads of the VM list by the watcher, the process that reads the manifest and
/// the VM list on behalf of its data centre.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between reads by a process that is not the watcher, in case the watcher has lost its
/// connection to the platform.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum wait of one watch on the store.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Delay after a read that failed, or that found no manifest in the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Timeout of one read from the platform or one pull from a peer.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum length of the reason for which a manifest is not applied, in characters. A manifest may have
/// thousands of findings; `check` shows them all.
const MAX_CAUSE_CHARS: usize = 1000;

/// Source of the VM list in log lines, unless it is a peer.
const PLATFORM: &str = "platform";

/// Publishes the current manifest and VM list to the other tasks of this process.
pub struct SyncTask<P: Platform> {
    shared: Arc<NodeShared<P>>,
    handle: SyncHandle,
    receiver: TaskInbox<mpsc::UnboundedReceiver<SyncMessage>>,
    manifest_sender: watch::Sender<Option<Arc<ManifestView>>>,
    vm_lists: VmLists,
    state: ManifestState,
    startup: StartupReads,
    pending_pulls: HashSet<String>,
    /// Logged reasons for which manifests were not applied, by source.
    rejections: RepeatFilter,
    /// Peers whose VM list could not be decoded, with the cause.
    unreadable_lists: RepeatFilter,
    /// Manifest revision and number of local members that were last sent to the placer.
    sent_to_placer: Option<(u64, u32)>,
}

impl<P: Platform> SyncTask<P> {
    /// Creates the task with no manifest.
    pub fn new(
        shared: Arc<NodeShared<P>>,
        handle: SyncHandle,
        receiver: TaskInbox<mpsc::UnboundedReceiver<SyncMessage>>,
        manifest_sender: watch::Sender<Option<Arc<ManifestView>>>,
        vms_sender: watch::Sender<Arc<VmList>>,
    ) -> Self {
        Self {
            shared,
            handle,
            receiver,
            manifest_sender,
            vm_lists: VmLists::new(vms_sender),
            state: ManifestState::default(),
            startup: StartupReads::default(),
            pending_pulls: HashSet::new(),
            rejections: RepeatFilter::default(),
            unreadable_lists: RepeatFilter::default(),
            sent_to_placer: None,
        }
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        if let Some(view) = self.shared.view() {
            // The task was started again. The manifest must not revert.
            let _ = self.state.offer(view.revision(), &view.text);
        } else {
            let seeds = self.shared.settings.seeds.iter();
            self.startup = StartupReads::new(seeds.map(ToString::to_string));
        }
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
                    self.update_placer();
                }
            }
        }
    }

    fn handle(&mut self, message: SyncMessage) {
        match message {
            SyncMessage::PeerAhead { peer } => self.pull(peer),
            SyncMessage::Pulled { peer, reply } => {
                self.pending_pulls.remove(&peer);
                if let Some(reply) = reply {
                    self.apply_pull(&peer, reply);
                }
                self.startup.seed_ended(&peer);
                self.use_best_of_peers();
            }
            SyncMessage::ManifestRead(value) => {
                match String::from_utf8(value.body) {
                    Ok(text) => self.offer_manifest("store", text),
                    Err(error) => self.log_rejected("store", &error),
                }
                self.startup.store_ended();
                self.use_best_of_peers();
            }
            SyncMessage::ManifestMissing => {
                self.startup.store_ended();
                self.use_best_of_peers();
            }
            SyncMessage::VmListRead(list) => self.vm_lists.offer_of_platform(list),
            SyncMessage::VmListMissing => self.vm_lists.end_first_read(),
        }
    }

    fn pull(&mut self, peer: String) {
        if !self.pending_pulls.insert(peer.clone()) {
            return;
        }
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        let request = PullRequest {
            manifest_revision: shared.view().map_or(0, |view| view.revision()),
            vm_list_version: shared.vms.borrow().version,
        };
        tokio::spawn(async move {
            let reply = shared.peers.pull(&peer, request, READ_TIMEOUT).await.ok();
            handle.send(SyncMessage::Pulled { peer, reply });
        });
    }

    fn apply_pull(&mut self, peer: &str, reply: PullReply) {
        if !reply.vm_list_json.is_empty() {
            match VmList::decode(reply.vm_list_json.as_bytes()) {
                Ok(list) => {
                    self.unreadable_lists.forget(peer);
                    self.vm_lists.offer_of_peer(list);
                }
                Err(error) => {
                    log_unreadable_list(&mut self.unreadable_lists, peer, &error.to_string());
                }
            }
        }
        if !reply.manifest_json.is_empty() {
            self.offer_manifest_of_peer(peer, reply.manifest_json);
        }
    }

    /// Applies the manifest of a peer if it is newer. During the reads at the start it is kept until
    /// they have ended.
    fn offer_manifest_of_peer(&mut self, peer: &str, text: String) {
        match parse_manifest(&text) {
            Ok(manifest) if self.startup.is_pending() => self.startup.keep(PeerManifest {
                peer: peer.to_owned(),
                revision: manifest.revision,
                text,
            }),
            Ok(_) | Err(_) => self.offer_manifest(peer, text),
        }
    }

    /// Applies the newest manifest of the peers once the reads at the start have ended.
    fn use_best_of_peers(&mut self) {
        if let Some(best) = self.startup.take_best() {
            self.offer_manifest(&best.peer, best.text);
        }
    }

    /// Applies a manifest if it is newer. An invalid manifest is never applied, since the processes
    /// could interpret it differently.
    fn offer_manifest(&mut self, source: &str, text: String) {
        let manifest = match parse_manifest(&text) {
            Ok(manifest) => manifest,
            Err(error) => return self.log_rejected(source, &error),
        };
        let revision = manifest.revision;
        match self.state.offer(revision, &text) {
            OfferOutcome::Applied => {
                self.rejections.forget(source);
                let view = Arc::new(ManifestView::new(manifest, text));
                EventCode::ManifestApplied.log(format_args!("revision={revision} source={source}"));
                let _ = self.manifest_sender.send(Some(view));
                self.startup.end();
                self.update_placer();
            }
            OfferOutcome::Conflict => {
                let cause = format!("revision {revision} is in force with another text");
                self.log_rejected(source, &cause);
            }
            OfferOutcome::Stale | OfferOutcome::Same => {}
        }
    }

    /// Logs why a manifest is not applied, once for each cause: a peer may offer it again with each
    /// heartbeat.
    fn log_rejected(&mut self, source: &str, cause: &dyn std::fmt::Display) {
        let cause: String = cause.to_string().chars().take(MAX_CAUSE_CHARS).collect();
        if self.rejections.is_new(source, &cause) {
            EventCode::ManifestRejected.log(format_args!("source={source} cause={cause}"));
        }
    }

    /// Sends the manifest and the number of local members to the placer if one of them has changed.
    /// Membership snapshots arrive with every heartbeat, and the cost of applying a policy in the
    /// placer grows with the number of customers.
    fn update_placer(&mut self) {
        let Some(view) = self.shared.view() else {
            return;
        };
        let members = self.shared.members.borrow().local_count();
        let current = Some((view.revision(), members));
        if std::mem::replace(&mut self.sent_to_placer, current) == current {
            return;
        }
        self.shared
            .placer
            .send(PlacerMessage::Manifest { view, members });
    }
}

/// Logs that the VM list of a source can't be decoded, unless the last list had the same defect.
fn log_unreadable_list(filter: &mut RepeatFilter, source: &str, cause: &str) {
    if filter.is_new(source, cause) {
        EventCode::VmListUnreadable.log(format_args!("source={source} cause=\"{cause:.200}\""));
    }
}

/// Reads the manifest from the store: continuously while this process is the watcher, otherwise at
/// the fallback interval.
pub(crate) async fn read_manifest<P: Platform>(shared: Arc<NodeShared<P>>, handle: SyncHandle) {
    let store = shared.platform.store();
    let clock = shared.platform.clock();
    let mut after = 0;
    loop {
        let begun_at = clock.now();
        let result = match after {
            0 => store.get(MANIFEST_KEY, READ_TIMEOUT).await,
            after => store.watch(MANIFEST_KEY, after, WATCH_WAIT).await,
        };
        let elapsed = clock.now().saturating_duration_since(begun_at);
        let is_new = matches!(&result, Ok(Some(value)) if value.revision != after);
        // A store may end a watch at once instead of after its wait.
        let succeeded = result.is_ok() && (is_new || elapsed >= RETRY_DELAY);
        match result {
            Ok(Some(value)) => {
                after = value.revision;
                handle.send(SyncMessage::ManifestRead(value));
            }
            Ok(None) if after > 0 => {}
            Ok(None) | Err(_) => handle.send(SyncMessage::ManifestMissing),
        }
        wait_for_next_read(&shared, succeeded && after > 0).await;
    }
}

/// Reads the VM list: once a second while this process is the watcher, otherwise at the fallback
/// interval.
pub(crate) async fn read_vms<P: Platform>(shared: Arc<NodeShared<P>>, handle: SyncHandle) {
    let mut unreadable = RepeatFilter::default();
    loop {
        let known = shared.vms.borrow().version;
        let result = shared.platform.vms().list(known, READ_TIMEOUT).await;
        let succeeded = result.is_ok();
        match &result {
            Ok(_) => unreadable.forget(PLATFORM),
            Err(error @ PortError::Unreadable { .. }) => {
                log_unreadable_list(&mut unreadable, PLATFORM, &error.to_string());
            }
            Err(PortError::Call(_) | PortError::Refused { .. }) => {}
        }
        handle.send(match result {
            Ok(Some(list)) => SyncMessage::VmListRead(list),
            Ok(None) | Err(_) => SyncMessage::VmListMissing,
        });
        if succeeded {
            sleep(VM_LIST_INTERVAL).await;
        }
        wait_for_next_read(&shared, succeeded).await;
    }
}

/// Waits until the next read is due: at once for the watcher, otherwise after the fallback interval
/// or when this process becomes the watcher. After a read that failed or found nothing, waits for
/// the retry delay first.
async fn wait_for_next_read<P: Platform>(shared: &NodeShared<P>, succeeded: bool) {
    if !succeeded {
        sleep(RETRY_DELAY).await;
    }
    let mut members = shared.members.clone();
    let becomes_watcher = async {
        while !members.borrow_and_update().is_watcher() {
            if members.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = becomes_watcher => {}
        () = sleep(FALLBACK_INTERVAL) => {}
    }
}
