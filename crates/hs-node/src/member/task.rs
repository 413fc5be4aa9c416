//! The member task, which exchanges heartbeats with the peers.

use std::sync::Arc;
use std::time::Duration;

use hs_core::CapacitySummary;
use hs_event::EventCode;
use hs_peer::message::HeartbeatRequest;
use hs_peer::{LossReason, MemberEvent, MemberOptions, Membership};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{MemberMessage, MemberSnapshot};
use crate::port::{ClockPort, Platform};
use crate::shared::NodeShared;
use crate::supervise::TaskInbox;
use crate::sync::SyncHandle;

/// Interval between ticks of the membership state machine, a third of the heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one heartbeat call.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of the request for the placer's free capacity, which a heartbeat carries. After it, the
/// heartbeat carries the last known value.
const STATUS_TIMEOUT: Duration = Duration::from_millis(30);

/// Runs the membership state machine of this process and publishes its snapshots.
pub struct MemberTask<P: Platform> {
    shared: Arc<NodeShared<P>>,
    receiver: TaskInbox<mpsc::Receiver<MemberMessage>>,
    snapshots: watch::Sender<Arc<MemberSnapshot>>,
    sync: SyncHandle,
    membership: Membership,
    summary: CapacitySummary,
}

impl<P: Platform> MemberTask<P> {
    /// Creates the task with no known peers.
    pub fn new(
        shared: Arc<NodeShared<P>>,
        receiver: TaskInbox<mpsc::Receiver<MemberMessage>>,
        snapshots: watch::Sender<Arc<MemberSnapshot>>,
        sync: SyncHandle,
        options: MemberOptions,
    ) -> Self {
        let membership = Membership::new(options, shared.platform.clock().now());
        Self {
            shared,
            receiver,
            snapshots,
            sync,
            membership,
            summary: CapacitySummary::default(),
        }
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        let mut vms = self.shared.vms.clone();
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(MemberMessage::HeartbeatReceived(heartbeat)) => {
                        self.handle_heartbeat(&heartbeat);
                    }
                    Some(MemberMessage::Leave { done }) => self.leave(done).await,
                    None => return,
                },
                Ok(()) = vms.changed() => {
                    let list = vms.borrow_and_update().clone();
                    let now = self.shared.platform.clock().now();
                    let events = self.membership.set_vm_list(&list, now);
                    self.publish(events);
                }
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: &HeartbeatRequest) {
        let now = self.shared.platform.clock().now();
        let events = self.membership.handle_heartbeat(heartbeat, now);
        let revision = self.shared.view().map_or(0, |view| view.revision());
        let version = self.shared.vms.borrow().version;
        if heartbeat.manifest_revision > revision || heartbeat.vm_list_version > version {
            self.sync.report_peer_ahead(&heartbeat.address);
        }
        if !events.is_empty() {
            self.publish(events);
        }
    }

    async fn tick(&mut self) {
        let now = self.shared.platform.clock().now();
        let events = self.membership.tick(now);
        let targets = self.membership.heartbeat_targets(now);
        if targets.is_empty() && events.is_empty() {
            return;
        }
        self.publish(events);
        let heartbeat = self.build_heartbeat().await;
        for peer in targets {
            let shared = self.shared.clone();
            let heartbeat = heartbeat.clone();
            tokio::spawn(async move {
                let _ = shared
                    .peers
                    .heartbeat(&peer, heartbeat, HEARTBEAT_TIMEOUT)
                    .await;
            });
        }
    }

    /// Builds a heartbeat. A placer with many waiting messages must not delay it, because the peers
    /// would consider this process dead while it is under peak load.
    async fn build_heartbeat(&mut self) -> HeartbeatRequest {
        if let Ok(status) = timeout(STATUS_TIMEOUT, self.shared.placer.status()).await {
            self.summary = status.summary;
        }
        let summary = self.summary;
        let revision = self.shared.view().map_or(0, |view| view.revision());
        self.membership
            .heartbeat(summary.free, summary.queued, revision)
    }

    /// Sends a last heartbeat, which announces the shutdown, to all live peers.
    async fn leave(&mut self, done: oneshot::Sender<()>) {
        self.membership.leave();
        self.publish(Vec::new());
        let heartbeat = self.build_heartbeat().await;
        let mut sends = JoinSet::new();
        for view in self.membership.live_peers() {
            let shared = self.shared.clone();
            let heartbeat = heartbeat.clone();
            let peer = view.address.to_owned();
            sends.spawn(async move {
                let _ = shared
                    .peers
                    .heartbeat(&peer, heartbeat, HEARTBEAT_TIMEOUT)
                    .await;
            });
        }
        while sends.join_next().await.is_some() {}
        let _ = done.send(());
    }

    /// Logs the membership events and publishes a new snapshot.
    fn publish(&self, events: Vec<MemberEvent>) {
        for event in events {
            match event {
                MemberEvent::Joined { id, .. } => {
                    EventCode::PeerJoined.log(format_args!("peer={id}"));
                }
                MemberEvent::Lost { id, reason, .. } => {
                    let code = match reason {
                        LossReason::Timeout => EventCode::PeerLost,
                        LossReason::Leaving | LossReason::Restarted | LossReason::Unlisted => {
                            EventCode::PeerLeft
                        }
                    };
                    code.log(format_args!("peer={id} reason={reason}"));
                }
                MemberEvent::Resumed { pause } => {
                    EventCode::ProcessResumed.log(format_args!("pause_ms={}", pause.as_millis()));
                }
            }
        }
        let settings = &self.shared.settings;
        let snapshot =
            MemberSnapshot::new(self.membership.clone(), &settings.id, &settings.data_centre);
        let _ = self.snapshots.send(Arc::new(snapshot));
    }
}
