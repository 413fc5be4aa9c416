//! Heartbeats to the owner.

use std::sync::Arc;
use std::time::Duration;

use hs_event::EventCode;
use tokio::time::sleep;

use super::Election;
use crate::claim::ClaimValue;
use crate::follow_end::FollowEnd;
use crate::message::BeatRequest;
use crate::peers::PeerError;
use crate::port::Platform;
use crate::shared::Ownership;

/// Upper bound of the heartbeat interval, whatever the owner asks for.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of the last confirmation of the claim above which the owner is considered cut off from the store.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(600);

/// Age of the last confirmation of the claim up to which the owner is considered able to write to the
/// store.
const FRESH_CONFIRMATION_AGE: Duration = Duration::from_millis(350);

impl<P: Platform> Election<P> {
    /// Sends heartbeats to the owner as long as it answers and confirms its claim.
    pub(super) async fn follow(&mut self, owner: &ClaimValue) -> FollowEnd {
        let address: Arc<str> = owner.address.as_str().into();
        let mut is_following = false;
        let mut heartbeat_interval;
        loop {
            self.speed.measure_if_due(&self.platform);
            let work_time = self.speed.work_time().unwrap_or_default();
            let request = BeatRequest {
                node: self.context.node.to_string(),
                address: self.context.address.to_string(),
                work_us: u64::try_from(work_time.as_micros()).unwrap_or(u64::MAX),
                rank: self
                    .cell_facts
                    .rank(&self.limits, self.speed.work_time())
                    .to_wire(),
                gave_up: self.is_cooling_down(),
            };
            let heartbeat = self.context.peers.call(
                "beat",
                &address,
                HEARTBEAT_TIMEOUT,
                |mut client| async move { client.beat(request).await },
            );
            match heartbeat.await {
                Ok(reply) if Duration::from_millis(reply.proof_age_ms) > MAX_CONFIRMATION_AGE => {
                    // It may still own the cell, so requests continue to go to it.
                    self.set_ownership(Ownership::Peer(address));
                    return FollowEnd::Unconfirmed;
                }
                Ok(reply) => {
                    self.cell_facts.update(&reply);
                    let congested = reply.congested_teams.iter();
                    let congested = congested.map(|name| name.as_str().into());
                    self.context.congested_teams.set(congested);
                    heartbeat_interval =
                        Duration::from_millis(reply.next_beat_ms).min(MAX_HEARTBEAT_INTERVAL);
                    if Duration::from_millis(reply.proof_age_ms) <= FRESH_CONFIRMATION_AGE {
                        self.owner_last_seen.send_replace(Some(self.platform.now()));
                    }
                    if !is_following {
                        is_following = true;
                        EventCode::OwnerFound
                            .log(format_args!("node={} fence={}", owner.node, owner.fence));
                        self.set_ownership(Ownership::Peer(address.clone()));
                    }
                }
                Err(error) => {
                    EventCode::OwnerUnreachable
                        .log(format_args!("node={} cause=\"{error}\"", owner.node));
                    return match error {
                        PeerError::NotOwner { .. } => FollowEnd::NotOwner,
                        PeerError::ConnectionRefused { .. } => FollowEnd::Exited,
                        PeerError::Failed { .. } => FollowEnd::NoReply,
                    };
                }
            }
            sleep(heartbeat_interval).await;
        }
    }
}
