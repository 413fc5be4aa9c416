//! The owner's link to one worker: lease renewals, starts and stops.

mod clock;
mod fences;
mod order_contact;
mod order_queue;
mod order_turns;
mod orders;
mod pending_stops;
mod renewal;
mod start_attempt;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hs_cell::{StartOrder, StartRefusal, StartTaker, TaskRun, WorkerKey, WorkerReport};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};

use self::clock::WorkerClock;
pub(crate) use self::fences::WorkerFences;
use self::order_contact::OrderContact;
use self::order_queue::{LinkOrder, OrderQueue, OrderSender, Queued, order_queue};
pub(crate) use self::order_turns::FurtherConnections;
use self::order_turns::OrderTurns;
use self::pending_stops::PendingStops;
use self::renewal::RenewalTask;
use crate::claim::ClaimConfirmation;
use crate::contact_permits::ContactPermits;
use crate::metrics::ControlMetrics;
use crate::port::{Platform, WorkerEndpoint};
use crate::run_lines::RunLines;
use crate::supervise::restart_on_panic;

/// Upper bound of the time between the last confirmation of the owner's claim and the end of a lease that
/// it grants. A new owner waits that long for a worker that it can't reach.
pub(crate) const MAX_LEASE_PAST_CONFIRMATION: Duration = Duration::from_millis(9000);

/// Upper bound of the time between the last confirmation of the owner's claim and the sending of a start. An incarnation that
/// no owner has called takes a start of an owner that has lost the cell, and keeps the run for its longest lease. A store
/// that answers late confirms the claim up to 1.5 s after the write was sent.
pub(crate) const MAX_START_PAST_CONFIRMATION: Duration = Duration::from_millis(2000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Shortest remaining lease for which a renewal or a start is sent.
const MIN_LEASE: Duration = Duration::from_millis(300);

/// An event on a link, sent to the owner task.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A renewal is about to be sent. Runs may continue until this time on the owner's clock.
    Renewing(Instant),
    /// The worker has answered for the first time. It refuses calls that were sent to earlier incarnations.
    FirstAnswer,
    /// The report of the worker, and when it was requested.
    Report(WorkerReport, Instant),
    /// The worker does not answer.
    Unreachable,
    Started(TaskRun),
    StartRefused(TaskRun, StartRefusal),
    StartUnanswered(TaskRun, StartTaker),
    /// Another clock than that of the last report has answered an order. The lease that it was asked for, if any, ends after
    /// this time on that clock.
    OtherClock(Duration),
    /// Another incarnation than the one that has reported last may have taken a renewal.
    StaleRenewal,
    Stopped(TaskRun),
    /// The worker has seen a higher fencing token, so another process owns the cell.
    Fenced,
}

/// The fencing tokens and the lease that the owner's orders carry.
#[derive(Clone, Debug)]
pub(crate) struct LeaseTerms {
    pub fences: WorkerFences,
    /// Duration of the lease that a renewal asks for.
    pub lease: Duration,
    /// Last confirmation of the claim.
    pub confirmation: watch::Receiver<ClaimConfirmation>,
}

/// What bounds the links of an owner together.
#[derive(Clone, Debug)]
pub(crate) struct LinkLimits {
    pub contacts: ContactPermits,
    pub connections: FurtherConnections,
    pub run_lines: RunLines,
}

/// Handle of a link. The link's tasks end when the handle is dropped.
#[derive(Debug)]
pub(crate) struct LinkHandle {
    orders: OrderSender,
    pending_stops: PendingStops,
    acknowledged: watch::Sender<u64>,
    task: AbortHandle,
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LinkHandle {
    /// Spawns the tasks of a link.
    pub(crate) fn spawn<P: Platform>(
        platform: P,
        key: WorkerKey,
        peer: WorkerEndpoint,
        terms: LeaseTerms,
        limits: LinkLimits,
        metrics: ControlMetrics,
        events: mpsc::Sender<(WorkerKey, LinkEvent)>,
    ) -> Self {
        let (orders, queue) = order_queue();
        let (acknowledged, cursor) = watch::channel(0);
        let pending_stops = PendingStops::default();
        let link = Arc::new(WorkerLink {
            platform,
            key,
            peer,
            fences: terms.fences,
            lease: terms.lease,
            confirmation: terms.confirmation,
            contact_permits: limits.contacts,
            run_lines: limits.run_lines,
            metrics,
            events,
            state: Mutex::default(),
            contact: watch::Sender::new(WorkerContact::None),
            order_contact: OrderContact::default(),
            order_turns: OrderTurns::new(limits.connections),
            pending_stops: pending_stops.clone(),
        });
        let task = tokio::spawn(link.run(queue, cursor)).abort_handle();
        Self {
            orders,
            pending_stops,
            acknowledged,
            task,
        }
    }

    /// Queues a start for the worker.
    pub(crate) fn start(&self, order: StartOrder, now: Instant) {
        self.orders.send_start(order, now);
    }

    /// Queues a stop for the worker, unless one of the same run is in flight. Returns whether it was queued.
    pub(crate) fn stop(&self, run: TaskRun, now: Instant) -> bool {
        let Some(stop) = self.pending_stops.begin(run) else {
            return false;
        };
        self.orders.send_stop(stop, now);
        true
    }

    /// Returns the number of orders that wait for a turn.
    pub(crate) fn waiting_orders(&self) -> usize {
        self.orders.waiting()
    }

    /// Raises the number up to which the worker may forget the ends of runs.
    pub(crate) fn acknowledge(&self, number: u64) {
        self.acknowledged.send_if_modified(|current| {
            let higher = number > *current;
            *current = number.max(*current);
            higher
        });
    }
}

/// What the last renewal has shown about the worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WorkerContact {
    /// The worker has not been called yet.
    None,
    /// The worker has answered.
    Answering,
    /// One call has failed, which a lost reply or a dead connection may explain.
    Doubtful,
    /// Several calls in a row have failed.
    Silent,
}

/// State that the tasks of a link share.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    clock: Option<WorkerClock>,
    /// End of the lease that the last renewal asked for, on the owner's clock.
    lease_end: Option<Instant>,
    /// Fencing token of the next call; 0 before the first one.
    fence: u64,
    /// Whether a call has failed since the last renewal began. Another incarnation may take the next call.
    has_failed_call: bool,
    /// Whether another incarnation has answered since the last report.
    is_replaced: bool,
}

/// What the tasks of a link share.
#[derive(Debug)]
struct WorkerLink<P> {
    platform: P,
    key: WorkerKey,
    peer: WorkerEndpoint,
    fences: WorkerFences,
    /// Duration of the lease that a renewal asks for.
    lease: Duration,
    confirmation: watch::Receiver<ClaimConfirmation>,
    contact_permits: ContactPermits,
    run_lines: RunLines,
    metrics: ControlMetrics,
    events: mpsc::Sender<(WorkerKey, LinkEvent)>,
    state: Mutex<LinkState>,
    contact: watch::Sender<WorkerContact>,
    order_contact: OrderContact,
    /// Turns of the orders, which share a connection.
    order_turns: OrderTurns,
    pending_stops: PendingStops,
}

impl<P: Platform> WorkerLink<P> {
    async fn run(self: Arc<Self>, mut orders: OrderQueue, cursor: watch::Receiver<u64>) {
        // Dropping the set aborts all tasks of the link.
        let mut tasks = JoinSet::new();
        let link = self.clone();
        tasks.spawn(restart_on_panic("lease renewal", move || {
            RenewalTask::new(link.clone(), cursor.clone()).run()
        }));
        // The first contact is limited to a number of workers at a time, and no order goes before it.
        self.first_contact().await;
        // An order that waits for its turn stays in its queue, where it takes little memory.
        while let Some(Queued { order, at }) = orders.next().await {
            if let LinkOrder::Start(order) = &order {
                self.order_contact.settled().await;
                if self.is_silent() {
                    self.refuse_unsent(order.run).await;
                    continue;
                }
            }
            let turn = self.order_turns.next(at, self.platform.now()).await;
            while tasks.try_join_next().is_some() {}
            match order {
                LinkOrder::Start(order) => tasks.spawn(self.clone().send_start(order, turn)),
                LinkOrder::Stop(stop, permit) => {
                    tasks.spawn(self.clone().send_stop(stop, permit, turn))
                }
            };
        }
    }

    /// Waits until the first call to the worker has been answered or has failed.
    async fn first_contact(&self) {
        let mut contact = self.contact.subscribe();
        // The link itself has the sender.
        let _ = contact
            .wait_for(|contact| *contact != WorkerContact::None)
            .await;
    }

    async fn emit(&self, event: LinkEvent) {
        // The receiver is gone if the owner task has ended.
        let _ = self.events.send((self.key, event)).await;
    }

    /// Returns the end of the next lease on the owner's clock, or `None` if the claim was confirmed too
    /// long ago to grant one.
    fn next_lease_end(&self) -> Option<Instant> {
        let now = self.platform.now();
        let confirmed_at = self.confirmation.borrow().at;
        let end = (now + self.lease).min(confirmed_at + MAX_LEASE_PAST_CONFIRMATION);
        (end >= now + MIN_LEASE).then_some(end)
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut LinkState) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn fence(&self) -> u64 {
        self.with_state(|state| state.fence)
    }

    /// Returns whether a refusal of this fencing token shows that another process owns the cell, since no call of this
    /// link has carried a higher one.
    fn is_fenced_by_other(&self, fence: u64) -> bool {
        fence >= self.fence()
    }

    /// Returns whether starts that were not sent yet are to be given up, since the worker answers neither renewals nor orders.
    fn is_silent(&self) -> bool {
        *self.contact.borrow() == WorkerContact::Silent
            || self.order_contact.is_silent(self.platform.now())
    }

    /// Records whether another incarnation answers the calls.
    fn set_replaced(&self, is_replaced: bool) {
        self.with_state(|state| state.is_replaced = is_replaced);
    }

    /// Records a call that has failed and may still be carried out. The next answered one makes the worker refuse it.
    fn record_failed_call(&self) {
        self.with_state(|state| {
            state.fence = self.fences.raise(&self.peer, state.fence);
            state.has_failed_call = true;
        });
    }

    /// Converts a time to the worker's clock, or returns `None` if that clock has not been read.
    fn to_worker_clock_ms(&self, end: Instant) -> Option<u64> {
        self.with_state(|state| state.clock)?.at(end)
    }
}
