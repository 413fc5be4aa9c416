//! The owner's connection to one worker: renewals, starts and stops.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hs_cell::{StartOrder, StartRefusal, TaskRun, WorkerKey, WorkerReport};
use hs_event::EventCode;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::metrics::ControlMetrics;
use crate::port::{LeaseRenewal, Platform, RenewalReply, StartReply, StopReply, WorkerEndpoint};

/// How long after the last proof of the owner's claim its leases may end. A new owner waits that long
/// for a worker that it can't reach.
pub(crate) const AUTHORITY: Duration = Duration::from_millis(9000);

/// Added to the end of a lease by the owner's clock: a worker's clock may be 2 % slow.
const CLOCK_MARGIN: f64 = 0.025;

/// Added to the end of a lease for the time in which a worker ends what runs.
const END_MARGIN: Duration = Duration::from_millis(400);

/// How long a worker may wait for a new end.
const HOLD_WAIT: Duration = Duration::from_millis(1000);

/// Time that a worker may take to answer, beyond the wait.
const CALL_LIMIT: Duration = Duration::from_millis(400);

/// Time that a worker may take to answer an order.
const ORDER_LIMIT: Duration = Duration::from_millis(300);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest time that a new renewal waits for ends to be recorded.
const RECORD_WAIT: Duration = Duration::from_millis(400);

/// Tries to send a start before it is stopped.
const START_TRIES: u32 = 3;

/// Leases shorter than this are not worth a call.
const MIN_LEASE: Duration = Duration::from_millis(300);

/// Something that a link tells the owner.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A renewal is being sent that may keep runs until then.
    Renewing(Instant),
    /// The worker's list, asked for at this time.
    Report(WorkerReport, Instant),
    /// The worker does not answer.
    Silent,
    Started(TaskRun),
    StartRefused(TaskRun, StartRefusal),
    StartUnanswered(TaskRun),
    Stopped(TaskRun),
    /// The worker has seen a higher fence.
    Fenced,
}

/// An order to a worker.
#[derive(Debug)]
pub(crate) enum LinkOrder {
    Start(StartOrder),
    Stop(TaskRun),
}

/// Under what an owner gives orders.
#[derive(Clone, Debug)]
pub(crate) struct LinkTerms {
    pub fence: u64,
    /// Lease that a renewal asks for.
    pub lease: Duration,
    /// A time at which the claim was certainly held.
    pub proof: watch::Receiver<Instant>,
}

/// Sends orders to a link. The link ends when the handle is dropped.
#[derive(Debug)]
pub(crate) struct LinkHandle {
    orders: mpsc::UnboundedSender<LinkOrder>,
    acknowledged: watch::Sender<u64>,
}

impl LinkHandle {
    /// Starts the tasks of a link.
    pub(crate) fn spawn<P: Platform>(
        platform: P,
        key: WorkerKey,
        peer: WorkerEndpoint,
        terms: LinkTerms,
        metrics: ControlMetrics,
        events: mpsc::Sender<(WorkerKey, LinkEvent)>,
    ) -> Self {
        let (orders, order_receiver) = mpsc::unbounded_channel();
        let (acknowledged, cursor) = watch::channel(0);
        let link = WorkerLink {
            platform,
            key,
            peer,
            fence: terms.fence,
            lease: terms.lease,
            proof: terms.proof,
            metrics,
            events,
            state: Arc::default(),
        };
        tokio::spawn(link.run(order_receiver, cursor));
        Self {
            orders,
            acknowledged,
        }
    }

    /// Sends an order.
    pub(crate) fn order(&self, order: LinkOrder) {
        // A link that has ended has told the owner why.
        let _ = self.orders.send(order);
    }

    /// Sets the number up to which ends may be forgotten.
    pub(crate) fn acknowledge(&self, number: u64) {
        self.acknowledged.send_if_modified(|current| {
            let higher = number > *current;
            *current = number.max(*current);
            higher
        });
    }
}

/// Maps the owner's clock to a worker's.
#[derive(Clone, Copy, Debug)]
struct WorkerClock {
    clock_ms: u64,
    read_at: Instant,
}

/// What the tasks of a link know of the worker.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    clock: Option<WorkerClock>,
    /// End of the lease that the last renewal asked for, by the owner's clock.
    lease_end: Option<Instant>,
}

#[derive(Clone, Debug)]
struct WorkerLink<P> {
    platform: P,
    key: WorkerKey,
    peer: WorkerEndpoint,
    fence: u64,
    /// Lease that a renewal asks for.
    lease: Duration,
    proof: watch::Receiver<Instant>,
    metrics: ControlMetrics,
    events: mpsc::Sender<(WorkerKey, LinkEvent)>,
    state: Arc<Mutex<LinkState>>,
}

impl<P: Platform> WorkerLink<P> {
    async fn run(
        self,
        mut orders: mpsc::UnboundedReceiver<LinkOrder>,
        cursor: watch::Receiver<u64>,
    ) {
        // Dropping the set ends all tasks of the link.
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().hold(cursor));
        while let Some(order) = orders.recv().await {
            while tasks.try_join_next().is_some() {}
            match order {
                LinkOrder::Start(order) => tasks.spawn(self.clone().start(order)),
                LinkOrder::Stop(run) => tasks.spawn(self.clone().stop(run)),
            };
        }
    }

    async fn tell(&self, event: LinkEvent) {
        // An owner task that has ended needs no events.
        let _ = self.events.send((self.key, event)).await;
    }

    /// Returns the end of a lease by the owner's clock, or `None` if the claim is in doubt.
    fn lease_end(&self) -> Option<Instant> {
        let now = self.platform.now();
        let end = (now + self.lease).min(*self.proof.borrow() + AUTHORITY);
        (end >= now + MIN_LEASE).then_some(end)
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut LinkState) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a time on the worker's clock, at the latest.
    fn on_worker_clock(&self, end: Instant) -> Option<u64> {
        let clock = self.with_state(|state| state.clock)?;
        let ahead = end.saturating_duration_since(clock.read_at);
        Some(clock.clock_ms + u64::try_from(ahead.as_millis()).ok()?)
    }

    /// Returns the end of the lease that the last renewal asked for, on the worker's clock.
    ///
    /// Starts never ask for more, so that they don't prolong the lease of a worker that is silent.
    fn renewed_until(&self) -> Option<u64> {
        let end = self.with_state(|state| state.lease_end)?;
        let now = self.platform.now();
        let useful = end >= now + MIN_LEASE;
        useful.then(|| self.on_worker_clock(end)).flatten()
    }

    async fn hold(self, mut cursor: watch::Receiver<u64>) {
        let mut seen = 0;
        // A worker that does not answer is only looked at: a renewal that arrives late would keep runs
        // that the owner takes to be over.
        let mut answered = false;
        loop {
            let acknowledged = *cursor.borrow_and_update();
            if acknowledged < seen {
                // The worker would answer at once with the same ends.
                let recorded = cursor.wait_for(|number| *number >= seen);
                let _ = timeout(RECORD_WAIT, recorded).await;
            }
            let acknowledged = *cursor.borrow();
            let Some(end) = self.lease_end() else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let lease_end_ms = self.on_worker_clock(end).filter(|_| answered);
            if lease_end_ms.is_some() {
                let now = self.platform.now();
                self.with_state(|state| state.lease_end = Some(end));
                let lease = end.saturating_duration_since(now);
                let over = end + lease.mul_f64(CLOCK_MARGIN) + END_MARGIN;
                self.tell(LinkEvent::Renewing(over)).await;
            }
            let wait = match acknowledged >= seen && lease_end_ms.is_some() {
                true => HOLD_WAIT,
                false => Duration::ZERO,
            };
            let order = LeaseRenewal {
                fence: self.fence,
                lease_end_ms,
                acknowledged,
                wait,
            };
            let asked_at = self.platform.now();
            let reply = self
                .platform
                .renew_lease(&self.peer, order, wait + CALL_LIMIT)
                .await;
            let before = answered;
            answered = matches!(reply, Ok(RenewalReply::Report { .. }));
            if before && !answered {
                EventCode::WorkerSilent.log(format_args!("worker={}", self.peer.id));
            }
            match reply {
                Ok(RenewalReply::Report { clock_ms, report }) => {
                    let read_at = self.platform.now();
                    let clock = WorkerClock { clock_ms, read_at };
                    self.with_state(|state| state.clock = Some(clock));
                    for end in report.ended.iter().filter(|end| end.number > seen) {
                        let (run, how) = (end.run, end.end);
                        self.metrics.ended(how);
                        EventCode::RunEnded.log(format_args!(
                            "task={} run={} how={how:?} worker={} clock_ms={clock_ms}",
                            run.task, run.run, self.peer.id
                        ));
                    }
                    let last = report.ended.iter().map(|end| end.number).max();
                    seen = seen.max(last.unwrap_or(0));
                    self.tell(LinkEvent::Report(report, asked_at)).await;
                }
                Ok(RenewalReply::Fenced) => {
                    self.tell(LinkEvent::Fenced).await;
                    return;
                }
                Ok(RenewalReply::OtherIncarnation) => {
                    // The registry will list the new life.
                    self.tell(LinkEvent::Silent).await;
                    sleep(RETRY_PAUSE).await;
                }
                Err(error) => {
                    log::debug!("{error}");
                    self.tell(LinkEvent::Silent).await;
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Sends a start until the worker answers. The same run may be sent again, since a worker that has
    /// it takes it once.
    async fn start(self, order: StartOrder) {
        let run = order.run;
        let mut in_doubt = false;
        for _ in 0..START_TRIES {
            let Some(end_ms) = self.renewed_until() else {
                break;
            };
            let sent = self
                .platform
                .start(&self.peer, self.fence, end_ms, &order, ORDER_LIMIT)
                .await;
            match sent {
                Ok(StartReply::Started) => return self.tell(LinkEvent::Started(run)).await,
                Ok(StartReply::Fenced) => return self.tell(LinkEvent::Fenced).await,
                Ok(StartReply::Refused(why)) if !in_doubt => {
                    return self.tell(LinkEvent::StartRefused(run, why)).await;
                }
                // An earlier copy has begun and ended: the list has its end.
                Ok(StartReply::Refused(StartRefusal::Old)) => {
                    return self.tell(LinkEvent::Stopped(run)).await;
                }
                // An earlier copy may still be carried out.
                Ok(StartReply::Refused(_)) => break,
                Err(error) => {
                    log::debug!("start run={} {}: {error}", run.run, run.task);
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
        self.tell(event).await;
    }

    /// Sends a stop until the worker answers.
    async fn stop(self, run: TaskRun) {
        loop {
            match self
                .platform
                .stop(&self.peer, self.fence, run, ORDER_LIMIT)
                .await
            {
                Ok(StopReply::Stopped) => return self.tell(LinkEvent::Stopped(run)).await,
                Ok(StopReply::Fenced) => return self.tell(LinkEvent::Fenced).await,
                // The run ended with the life that it was on.
                Ok(StopReply::OtherIncarnation) => return,
                Err(error) => log::debug!("stop {}: {error}", run.task),
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}
