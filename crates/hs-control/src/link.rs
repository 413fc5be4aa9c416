//! The owner's link to one worker: lease renewals, starts and stops.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hs_cell::{StartOrder, StartRefusal, TaskRun, WorkerKey, WorkerReport};
use hs_event::EventCode;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::metrics::ControlMetrics;
use crate::port::{LeaseRenewal, Platform, RenewalReply, StartReply, StopReply, WorkerEndpoint};
use crate::supervise::restart_on_panic;

/// Upper bound of the time between the last confirmation of the owner's claim and the end of a lease that
/// it grants. A new owner waits that long for a worker that it can't reach.
pub(crate) const MAX_LEASE_PAST_CONFIRMATION: Duration = Duration::from_millis(9000);

/// Fraction of a lease's duration that is added to its end on the owner's clock, because a worker's clock
/// may be 2 % slow. `CLOCK_DRIFT_FACTOR` of the owner task is 1 plus this.
const CLOCK_DRIFT_MARGIN: f64 = 0.025;

/// Time added to the end of a lease for the worker to stop its runs.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Maximum time that a worker may delay its reply to a renewal until a run ends (long polling).
const RENEWAL_WAIT: Duration = Duration::from_millis(1000);

/// Added to the wait to get the timeout of a renewal.
const RENEWAL_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// Timeout of a start or a stop.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest time that a renewal is delayed until the reported ends of runs have been recorded.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(400);

/// Maximum number of attempts to send a start before it is reported as unanswered or refused.
const MAX_START_ATTEMPTS: u32 = 3;

/// Shortest remaining lease for which a renewal or a start is sent.
const MIN_LEASE: Duration = Duration::from_millis(300);

/// An event on a link, sent to the owner task.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A renewal is about to be sent. Runs may continue until this time on the owner's clock.
    Renewing(Instant),
    /// The report of the worker, and when it was requested.
    Report(WorkerReport, Instant),
    /// The worker does not answer.
    Unreachable,
    Started(TaskRun),
    StartRefused(TaskRun, StartRefusal),
    StartUnanswered(TaskRun),
    Stopped(TaskRun),
    /// The worker has seen a higher fencing token, so another process owns the cell.
    Fenced,
}

/// An order to a worker.
#[derive(Debug)]
pub(crate) enum LinkOrder {
    Start(StartOrder),
    Stop(TaskRun),
}

/// The fencing token and the lease that the owner's orders carry.
#[derive(Clone, Debug)]
pub(crate) struct LeaseTerms {
    pub fence: u64,
    /// Duration of the lease that a renewal asks for.
    pub lease: Duration,
    /// Latest time at which the claim was certainly held.
    pub confirmation: watch::Receiver<Instant>,
}

/// Handle of a link. The link's tasks end when the handle is dropped.
#[derive(Debug)]
pub(crate) struct LinkHandle {
    orders: mpsc::UnboundedSender<LinkOrder>,
    acknowledged: watch::Sender<u64>,
}

impl LinkHandle {
    /// Spawns the tasks of a link.
    pub(crate) fn spawn<P: Platform>(
        platform: P,
        key: WorkerKey,
        peer: WorkerEndpoint,
        terms: LeaseTerms,
        metrics: ControlMetrics,
        events: mpsc::Sender<(WorkerKey, LinkEvent)>,
    ) -> Self {
        let (orders, order_receiver) = mpsc::unbounded_channel();
        let (acknowledged, cursor) = watch::channel(0);
        let link = Arc::new(WorkerLink {
            platform,
            key,
            peer,
            fence: terms.fence,
            lease: terms.lease,
            confirmation: terms.confirmation,
            metrics,
            events,
            state: Mutex::default(),
        });
        tokio::spawn(link.run(order_receiver, cursor));
        Self {
            orders,
            acknowledged,
        }
    }

    /// Queues an order for the worker.
    pub(crate) fn send(&self, order: LinkOrder) {
        // A link only ends after it has reported the reason to the owner.
        let _ = self.orders.send(order);
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

/// A reading of a worker's clock, which maps times of the owner's clock to it.
#[derive(Clone, Copy, Debug)]
struct WorkerClock {
    clock_ms: u64,
    read_at: Instant,
}

/// State that the tasks of a link share.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    clock: Option<WorkerClock>,
    /// End of the lease that the last renewal asked for, on the owner's clock.
    lease_end: Option<Instant>,
}

/// What the tasks of a link share.
#[derive(Debug)]
struct WorkerLink<P> {
    platform: P,
    key: WorkerKey,
    peer: WorkerEndpoint,
    fence: u64,
    /// Duration of the lease that a renewal asks for.
    lease: Duration,
    confirmation: watch::Receiver<Instant>,
    metrics: ControlMetrics,
    events: mpsc::Sender<(WorkerKey, LinkEvent)>,
    state: Mutex<LinkState>,
}

impl<P: Platform> WorkerLink<P> {
    async fn run(
        self: Arc<Self>,
        mut orders: mpsc::UnboundedReceiver<LinkOrder>,
        cursor: watch::Receiver<u64>,
    ) {
        // Dropping the set aborts all tasks of the link.
        let mut tasks = JoinSet::new();
        let link = self.clone();
        tasks.spawn(restart_on_panic("lease renewal", move || {
            link.clone().renew_leases(cursor.clone())
        }));
        while let Some(order) = orders.recv().await {
            while tasks.try_join_next().is_some() {}
            match order {
                LinkOrder::Start(order) => tasks.spawn(self.clone().send_start(order)),
                LinkOrder::Stop(run) => tasks.spawn(self.clone().send_stop(run)),
            };
        }
    }

    async fn emit(&self, event: LinkEvent) {
        // The receiver is gone if the owner task has ended.
        let _ = self.events.send((self.key, event)).await;
    }

    /// Returns the end of the next lease on the owner's clock, or `None` if the claim was confirmed too
    /// long ago to grant one.
    fn next_lease_end(&self) -> Option<Instant> {
        let now = self.platform.now();
        let end = (now + self.lease).min(*self.confirmation.borrow() + MAX_LEASE_PAST_CONFIRMATION);
        (end >= now + MIN_LEASE).then_some(end)
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut LinkState) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Converts a time to the worker's clock, or returns `None` if that clock has not been read.
    ///
    /// Apart from drift, the worker's clock shows the result at `end` or before, because it was read
    /// before `read_at`.
    fn to_worker_clock_ms(&self, end: Instant) -> Option<u64> {
        let clock = self.with_state(|state| state.clock)?;
        let until_end = end.saturating_duration_since(clock.read_at);
        let until_end_ms = u64::try_from(until_end.as_millis()).ok()?;
        clock.clock_ms.checked_add(until_end_ms)
    }

    /// Returns the end of the lease that the last renewal asked for, on the worker's clock, or `None` if
    /// too little of that lease remains.
    ///
    /// Starts never ask for more, so that they don't prolong the lease of an unreachable worker.
    fn requested_lease_end_ms(&self) -> Option<u64> {
        let end = self.with_state(|state| state.lease_end)?;
        let now = self.platform.now();
        let is_useful = end >= now + MIN_LEASE;
        is_useful.then(|| self.to_worker_clock_ms(end)).flatten()
    }

    async fn renew_leases(self: Arc<Self>, mut cursor: watch::Receiver<u64>) {
        let mut last_seen_end = 0;
        // After an unanswered call, the next one only requests the worker's report: a renewal that arrives
        // late would keep runs going that the owner considers ended.
        let mut answered = false;
        loop {
            let acknowledged = *cursor.borrow_and_update();
            if acknowledged < last_seen_end {
                // Without a higher acknowledgement, the worker would report the same ends again at once.
                let ends_recorded = cursor.wait_for(|number| *number >= last_seen_end);
                let _ = timeout(MAX_RECORD_WAIT, ends_recorded).await;
            }
            let acknowledged = *cursor.borrow();
            let Some(end) = self.next_lease_end() else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let lease_end_ms = self.to_worker_clock_ms(end).filter(|_| answered);
            if lease_end_ms.is_some() {
                let now = self.platform.now();
                self.with_state(|state| state.lease_end = Some(end));
                let lease = end.saturating_duration_since(now);
                let runs_ended_at = end + lease.mul_f64(CLOCK_DRIFT_MARGIN) + STOP_MARGIN;
                self.emit(LinkEvent::Renewing(runs_ended_at)).await;
            }
            let wait = match acknowledged >= last_seen_end && lease_end_ms.is_some() {
                true => RENEWAL_WAIT,
                false => Duration::ZERO,
            };
            let renewal = LeaseRenewal {
                fence: self.fence,
                lease_end_ms,
                acknowledged,
                wait,
            };
            let requested_at = self.platform.now();
            let reply = self
                .platform
                .renew_lease(&self.peer, renewal, wait + RENEWAL_TIMEOUT_MARGIN)
                .await;
            let answered_before = answered;
            answered = matches!(reply, Ok(RenewalReply::Report { .. }));
            if answered_before && !answered {
                EventCode::WorkerUnresponsive.log(format_args!("worker={}", self.peer.id));
            }
            match reply {
                Ok(RenewalReply::Report { clock_ms, report }) => {
                    let read_at = self.platform.now();
                    let clock = WorkerClock { clock_ms, read_at };
                    self.with_state(|state| state.clock = Some(clock));
                    for end in report.ended.iter().filter(|end| end.number > last_seen_end) {
                        let (run, how) = (end.run, end.end);
                        self.metrics.record_run_end(how);
                        EventCode::RunEnded.log(format_args!(
                            "task={} run={} how={how:?} worker={} clock_ms={clock_ms}",
                            run.task, run.run, self.peer.id
                        ));
                    }
                    let numbers = report.ended.iter().map(|end| end.number);
                    let numbers = numbers.chain(report.skipped_ends.iter().copied());
                    let last = numbers.max().unwrap_or(0);
                    let is_early = last <= last_seen_end && read_at < requested_at + wait / 2;
                    last_seen_end = last_seen_end.max(last);
                    self.emit(LinkEvent::Report(report, requested_at)).await;
                    if is_early {
                        // The worker retains an end without a readable number, which can't be acknowledged, and
                        // therefore answers each renewal at once.
                        sleep(RETRY_PAUSE).await;
                    }
                }
                Ok(RenewalReply::Fenced) => {
                    self.emit(LinkEvent::Fenced).await;
                    return;
                }
                Ok(RenewalReply::OtherIncarnation) => {
                    // The registry will list the new incarnation.
                    self.emit(LinkEvent::Unreachable).await;
                    sleep(RETRY_PAUSE).await;
                }
                Err(error) => {
                    log::debug!("{error}");
                    self.emit(LinkEvent::Unreachable).await;
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Sends a start until the worker answers, with a bounded number of attempts. Repeating it is safe,
    /// because a worker starts a run only once.
    async fn send_start(self: Arc<Self>, order: StartOrder) {
        let run = order.run;
        let mut in_doubt = false;
        for _ in 0..MAX_START_ATTEMPTS {
            let Some(end_ms) = self.requested_lease_end_ms() else {
                break;
            };
            let sent = self
                .platform
                .start(&self.peer, self.fence, end_ms, &order, ORDER_TIMEOUT)
                .await;
            match sent {
                Ok(StartReply::Started) => return self.emit(LinkEvent::Started(run)).await,
                Ok(StartReply::Fenced) => return self.emit(LinkEvent::Fenced).await,
                Ok(StartReply::Refused(why)) if !in_doubt => {
                    return self.emit(LinkEvent::StartRefused(run, why)).await;
                }
                // An earlier attempt has started the run, and it has ended; the worker's report contains
                // the end.
                Ok(StartReply::Refused(StartRefusal::Old)) => {
                    return self.emit(LinkEvent::Stopped(run)).await;
                }
                // An earlier attempt may still be carried out.
                Ok(StartReply::Refused(_)) => break,
                Err(error) => {
                    log::debug!("failed to start run={} {}: {error}", run.run, run.task);
                    in_doubt = in_doubt || !error.is_refused();
                    if error.is_refused() {
                        sleep(RETRY_PAUSE).await;
                    }
                }
            }
        }
        let event = match in_doubt {
            true => LinkEvent::StartUnanswered(run),
            false => LinkEvent::StartRefused(run, StartRefusal::Unhealthy),
        };
        self.emit(event).await;
    }

    /// Sends a stop until the worker answers.
    async fn send_stop(self: Arc<Self>, run: TaskRun) {
        loop {
            match self
                .platform
                .stop(&self.peer, self.fence, run, ORDER_TIMEOUT)
                .await
            {
                Ok(StopReply::Stopped) => return self.emit(LinkEvent::Stopped(run)).await,
                Ok(StopReply::Fenced) => return self.emit(LinkEvent::Fenced).await,
                // The run ended with the incarnation of the worker that had it.
                Ok(StopReply::OtherIncarnation) => return,
                Err(error) => log::debug!("failed to stop {}: {error}", run.task),
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}
