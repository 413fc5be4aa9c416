//! Events that the owner task waits for, and the order in which it handles them.

use std::iter;
use std::sync::Arc;
use std::time::Duration;

use hs_cell::WorkerKey;
use tokio::sync::{mpsc, watch};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep};

use super::{OwnerTask, TICK_INTERVAL};
use crate::advice_dispatcher::AdvicePartEnd;
use crate::claim_writer::WriterEvent;
use crate::config::ClusterConfig;
use crate::feeds::FeedEvent;
use crate::link::LinkEvent;
use crate::port::Platform;
use crate::shared::OwnerRequest;

/// Delay after which the cell is advanced again if it has postponed a scheduling pass.
const SCHEDULING_RETRY_DELAY: Duration = Duration::from_millis(4);

/// Maximum number of events of one kind that are handled before the cell is advanced and other tasks of the
/// process get their turn.
const MAX_EVENTS_PER_ROUND: usize = 64;

/// Receivers of all events of an owner task.
pub(super) struct OwnerInbox {
    pub link_events: mpsc::Receiver<(WorkerKey, LinkEvent)>,
    pub writer_events: mpsc::Receiver<WriterEvent>,
    pub feed_events: mpsc::Receiver<FeedEvent>,
    pub advice_ends: mpsc::Receiver<AdvicePartEnd>,
    pub requests: mpsc::Receiver<OwnerRequest>,
    pub config: watch::Receiver<Option<Arc<ClusterConfig>>>,
    pub ticks: Interval,
}

/// Returns the timer that advances the cell even if nothing happens.
pub(super) fn tick_timer() -> Interval {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

impl OwnerInbox {
    /// Waits for an event and handles it.
    ///
    /// The order of the branches is fixed so that simulated runs can be repeated. The branches after one that is
    /// always ready get their turn in [`OwnerInbox::handle_received`].
    pub(super) async fn await_event<P: Platform>(&mut self, owner: &mut OwnerTask<P>) {
        tokio::select! {
            biased;
            _ = self.ticks.tick() => owner.handle_tick(),
            Some((key, event)) = self.link_events.recv() => owner.handle_link_event(key, event),
            Some(event) = self.writer_events.recv() => owner.handle_writer_event(event),
            Some(event) = self.feed_events.recv() => owner.handle_feed_event(event),
            Some(end) = self.advice_ends.recv() => owner.handle_advice_end(end),
            Some(request) = self.requests.recv() => owner.handle_request(request),
            Ok(()) = self.config.changed() => self.config.mark_changed(),
            () = sleep(SCHEDULING_RETRY_DELAY), if owner.cell.wants_pass() => {}
        }
    }

    /// Handles the events of all kinds that have arrived, a bounded number of each. Those of links are bounded by the
    /// capacity of their queue.
    pub(super) fn handle_received<P: Platform>(&mut self, owner: &mut OwnerTask<P>) {
        if self.config.has_changed().unwrap_or(false) {
            self.apply_config(owner);
        }
        // All of them are handled, since a lease that was renewed must not count as expired because the event
        // still waits.
        while let Ok((key, event)) = self.link_events.try_recv() {
            owner.handle_link_event(key, event);
        }
        for event in take_received(&mut self.writer_events) {
            owner.handle_writer_event(event);
        }
        for event in take_received(&mut self.feed_events) {
            owner.handle_feed_event(event);
        }
        for end in take_received(&mut self.advice_ends) {
            owner.handle_advice_end(end);
        }
        for request in take_received(&mut self.requests) {
            owner.handle_request(request);
        }
    }

    /// Applies the current configuration, if there is one.
    pub(super) fn apply_config<P: Platform>(&mut self, owner: &mut OwnerTask<P>) {
        if let Some(config) = &*self.config.borrow_and_update() {
            owner.configure(config);
        }
    }
}

/// Takes the events that have arrived, at most [`MAX_EVENTS_PER_ROUND`].
fn take_received<T>(receiver: &mut mpsc::Receiver<T>) -> impl Iterator<Item = T> + '_ {
    iter::from_fn(|| receiver.try_recv().ok()).take(MAX_EVENTS_PER_ROUND)
}
