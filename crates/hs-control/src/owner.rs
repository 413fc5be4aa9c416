//! The task that runs the cell in the process that owns it.

mod commit;
mod feed;
mod report;

use hs_event::EventCode;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{
    Cell, CellBatch, CellEffect, CellOptions, CrashEvent, JobId, JobSpec, JobState, LogWrites,
    WorkerKey,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::advice_dispatcher::{AdviceDispatcher, AdvicePartEnd};
use crate::claim::{ClaimError, HeldClaim};
use crate::commits::CommitPlanner;
use crate::config::ClusterConfig;
use crate::end_waiters::EndWaiters;
use crate::feeds::{self, FeedEvent, StoredState};
use crate::lag::LagMeter;
use crate::link::{LeaseTerms, LinkEvent, LinkHandle, LinkOrder, MAX_LEASE_PAST_CONFIRMATION};
use crate::load::LoadMeter;
use crate::members::MemberTable;
use crate::metrics::ControlMetrics;
use crate::peers::PeerPool;
use crate::port::{Platform, RegisteredWorker, WorkerEndpoint};
use crate::shared::{HeartbeatReply, OwnerRequest};
use crate::takeover::{self, ClaimTracker};

/// Interval at which the cell is advanced to the current time even if nothing happens.
const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Delay after which the cell is advanced again if it has postponed a scheduling pass.
const SCHEDULING_RETRY_DELAY: Duration = Duration::from_millis(4);

/// Interval at which the gauges of the cell's size are updated.
const CELL_METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of waiting steps that are described in the log in each [`CELL_METRICS_INTERVAL`].
const MAX_LOGGED_WAITS: usize = 8;

/// Maximum number of events of each kind that may wait for the owner task.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// Factor that converts a duration on a worker's clock to an upper bound on the owner's clock. It is 1
/// plus `CLOCK_DRIFT_MARGIN` of the worker links, because a worker's clock may be 2 % slow.
const CLOCK_DRIFT_FACTOR: f64 = 1.025;

/// Safety margin added to the end of leases that an earlier owner granted.
const EARLIER_LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Everything that an owner task is started with.
#[derive(Debug)]
pub(crate) struct OwnerInputs<P> {
    pub platform: P,
    pub peers: PeerPool,
    pub options: CellOptions,
    pub config: watch::Receiver<Option<Arc<ClusterConfig>>>,
    pub held: HeldClaim,
    /// Latest time at which the claim was certainly held.
    pub confirmed_at: Instant,
    pub owner_last_seen: Arc<watch::Sender<Option<Instant>>>,
    pub metrics: ControlMetrics,
    pub requests: mpsc::Receiver<OwnerRequest>,
}

/// Why an owner task ended.
#[derive(Clone, Debug)]
pub(crate) enum OwnerEnd {
    /// The cell was released because the process shuts down.
    Released,
    /// The cell was released because this process is too slow, with this mean lag of its timer.
    TooSlow(Duration),
    /// Another process owns the cell.
    Lost(String),
    /// The state of the cell could not be read.
    Unreadable(String),
}

/// Events from the owner's background tasks.
#[derive(Debug)]
enum OwnerEvent {
    /// A transaction has finished.
    Committed(Box<CommitEnd>),
    Feed(FeedEvent),
}

impl From<FeedEvent> for OwnerEvent {
    fn from(event: FeedEvent) -> Self {
        Self::Feed(event)
    }
}

/// The result of a transaction, and what it wrote.
#[derive(Debug)]
struct CommitEnd {
    batch: CellBatch,
    log: LogWrites,
    result: Result<(HeldClaim, Instant), ClaimError>,
}

/// State of the owner task.
struct OwnerTask<P> {
    platform: P,
    cell: Cell,
    claim_tracker: ClaimTracker,
    planner: CommitPlanner,
    committing: bool,
    last_commit_at: Instant,
    metrics: ControlMetrics,
    commit_started_at: Instant,
    cell_measured_at: Instant,
    lease: Duration,
    /// Time at which all leases that an earlier owner granted have certainly ended.
    earlier_leases_end: Instant,
    links: BTreeMap<WorkerKey, LinkHandle>,
    advice_dispatcher: AdviceDispatcher<P>,
    members: MemberTable,
    end_waiters: EndWaiters,
    /// Where to confirm the release of the cell, once it has been requested.
    release: Option<oneshot::Sender<()>>,
    lag: LagMeter,
    load: LoadMeter,
    events: mpsc::Sender<OwnerEvent>,
    link_events: mpsc::Sender<(WorkerKey, LinkEvent)>,
    background_tasks: JoinSet<()>,
    /// Why the task should end, once that is known.
    end: Option<OwnerEnd>,
}

/// Runs the cell until it is released or lost.
pub(crate) async fn run<P: Platform>(inputs: OwnerInputs<P>) -> OwnerEnd {
    let platform = inputs.platform.clone();
    let started = platform.now();
    let mut claim_tracker = ClaimTracker {
        held: inputs.held,
        confirmation: watch::channel(inputs.confirmed_at).0,
        confirmed_at: inputs.confirmed_at,
        owner_last_seen: inputs.owner_last_seen,
    };
    let mut requests = inputs.requests;
    let takeover = match takeover::load_state(&platform, &mut claim_tracker, &mut requests).await {
        Ok(takeover) => takeover,
        Err(end) => return end,
    };
    let read_at = platform.now();
    let (events, mut event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (link_events, mut link_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (advice_ends, mut advice_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut config = inputs.config;
    let mut owner = OwnerTask {
        advice_dispatcher: AdviceDispatcher::new(platform.clone(), inputs.peers, advice_ends),
        cell: Cell::new(inputs.options),
        lease: inputs.options.lease,
        claim_tracker,
        planner: CommitPlanner::default(),
        committing: false,
        last_commit_at: started,
        metrics: inputs.metrics,
        commit_started_at: started,
        cell_measured_at: started,
        // Earlier owners last confirmed their claim before this process acquired it, which bounds the end
        // of their leases.
        earlier_leases_end: started
            + MAX_LEASE_PAST_CONFIRMATION.mul_f64(CLOCK_DRIFT_FACTOR)
            + EARLIER_LEASE_MARGIN,
        links: BTreeMap::new(),
        members: takeover.members,
        end_waiters: EndWaiters::default(),
        release: None,
        lag: LagMeter::default(),
        load: LoadMeter::default(),
        events,
        link_events,
        background_tasks: JoinSet::new(),
        end: None,
        platform: platform.clone(),
    };
    if let Some(config) = &*config.borrow_and_update() {
        owner.configure(config);
    }
    owner.metrics.record_takeover();
    owner.restore(takeover.state);
    owner.update_advice_callers();
    for request in takeover.buffered {
        owner.handle_request(request);
    }
    EventCode::CellTaken.log(format_args!(
        "fence={} jobs={} runs={} workers={} read_ms={} restore_ms={}",
        owner.claim_tracker.held.value.fence,
        owner.cell.unfinished_jobs(),
        owner.cell.allocated_runs(),
        owner.links.len(),
        read_at.saturating_duration_since(started).as_millis(),
        platform
            .now()
            .saturating_duration_since(read_at)
            .as_millis(),
    ));
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        owner.advance();
        if let Some(end) = owner.end.take() {
            return end;
        }
        // Each round takes what has arrived from all of them, so that none waits for the others.
        tokio::select! {
            biased;
            _ = ticks.tick() => owner.handle_tick(),
            Some((key, event)) = link_receiver.recv() => owner.handle_link_event(key, event),
            Some(event) = event_receiver.recv() => owner.handle_event(event),
            Some(end) = advice_receiver.recv() => owner.handle_advice_end(end),
            Some(request) = requests.recv() => owner.handle_request(request),
            Ok(()) = config.changed() => {
                let config = config.borrow_and_update().clone();
                if let Some(config) = config {
                    owner.configure(&config);
                }
            }
            () = sleep(SCHEDULING_RETRY_DELAY), if owner.cell.wants_pass() => {}
        }
        while let Ok((key, event)) = link_receiver.try_recv() {
            owner.handle_link_event(key, event);
        }
        while let Ok(event) = event_receiver.try_recv() {
            owner.handle_event(event);
        }
        while let Ok(end) = advice_receiver.try_recv() {
            owner.handle_advice_end(end);
        }
        while let Ok(request) = requests.try_recv() {
            owner.handle_request(request);
        }
    }
}

impl<P: Platform> OwnerTask<P> {
    fn restore(&mut self, state: StoredState) {
        for worker in state.workers {
            self.add_worker(worker);
        }
        let revision = state.cell.intake_revision;
        self.planner.log =
            state
                .cell
                .restore(&mut self.cell, &self.platform, self.earlier_leases_end);
        let events = self.events.clone();
        let feeds = feeds::follow(
            self.platform.clone(),
            state.registry_revision,
            revision,
            events,
        );
        self.background_tasks.spawn(feeds);
    }

    fn configure(&mut self, config: &ClusterConfig) {
        let queues = config.routes.iter().map(|route| route.queue.clone());
        self.cell.configure(queues);
    }

    fn add_worker(&mut self, worker: RegisteredWorker) {
        let id = worker.entry.id.clone();
        let started_ms = worker.entry.started_ms;
        let now = self.platform.now();
        // A worker that was registered before the takeover may still hold a lease from an earlier owner.
        let lease_end = self.earlier_leases_end.max(now);
        let key = self.cell.worker_listed(worker.entry, lease_end, now);
        if self.links.contains_key(&key) {
            return;
        }
        let peer = WorkerEndpoint {
            id: id.clone(),
            address: worker.address.clone(),
            started_ms,
        };
        EventCode::WorkerLinked.log(format_args!(
            "worker={id} address={} born_ms={started_ms}",
            worker.address
        ));
        let link = LinkHandle::spawn(
            self.platform.clone(),
            key,
            peer,
            LeaseTerms {
                fence: self.claim_tracker.held.value.fence,
                lease: self.lease,
                confirmation: self.claim_tracker.confirmation.subscribe(),
            },
            self.metrics.clone(),
            self.link_events.clone(),
        );
        self.links.insert(key, link);
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Committed(end) => self.finish_commit(*end),
            OwnerEvent::Feed(event) => self.handle_feed_event(event),
        }
    }

    fn add_job(&mut self, id: JobId, spec: Arc<JobSpec>, source: &str) {
        let now = self.platform.now();
        let now_ms = self.platform.unix_ms();
        let queue = spec.queue.clone();
        let steps = spec.steps.len();
        if self.cell.add_job(id, spec, now, now_ms) {
            EventCode::JobQueued.log(format_args!(
                "job={id} queue={queue} steps={steps} source={source}"
            ));
        }
    }

    fn cancel(&mut self, id: JobId) {
        if self.cell.cancel(id) {
            EventCode::JobCancelled.log(format_args!("job={id}"));
            self.planner.note_cancelled(id);
        } else {
            log::debug!("cancellation of unknown job {id}");
        }
    }

    fn handle_request(&mut self, request: OwnerRequest) {
        // Sending a reply fails if the caller stopped waiting, which needs no handling.
        match request {
            OwnerRequest::Heartbeat {
                node,
                address,
                reply,
            } => {
                let now = self.platform.now();
                if self.members.record_heartbeat(node, address, now) {
                    self.update_advice_callers();
                }
                let _ = reply.send(HeartbeatReply {
                    heartbeat_interval: self.members.heartbeat_interval(),
                    fence: self.claim_tracker.held.value.fence,
                    confirmation_age: now
                        .saturating_duration_since(self.claim_tracker.confirmed_at),
                });
            }
            OwnerRequest::Offer {
                jobs,
                cancelled,
                reply,
            } => {
                for (id, spec) in jobs {
                    self.add_job(id, spec, "offer");
                }
                for id in cancelled {
                    self.cancel(id);
                }
                let _ = reply.send(());
            }
            OwnerRequest::State(id, reply) => {
                let _ = reply.send(self.cell.state(id));
            }
            OwnerRequest::AwaitEnd(id, reply) => match self.cell.state(id) {
                Some(state @ JobState::Ended(_)) => {
                    let _ = reply.send(state);
                }
                _ => self.end_waiters.add(id, reply),
            },
            OwnerRequest::Pending(queue, reply) => {
                let count = self.cell.pending_jobs(&queue);
                let _ = reply.send(u64::try_from(count).unwrap_or(u64::MAX));
            }
            OwnerRequest::Release(reply) => self.release = Some(reply),
        }
    }

    fn update_advice_callers(&mut self) {
        self.advice_dispatcher
            .set_members(&self.members.addresses());
    }

    fn handle_link_event(&mut self, key: WorkerKey, event: LinkEvent) {
        let now = self.platform.now();
        match event {
            LinkEvent::Renewing(lease_end) => self.cell.lease_renewed(key, lease_end),
            LinkEvent::Report(report, requested_at) => {
                self.load.reports += 1;
                self.cell.worker_reported(key, report, requested_at, now);
            }
            LinkEvent::Unreachable => {
                self.load.unreachable_workers += 1;
                self.cell.worker_unreachable(key);
            }
            LinkEvent::Started(run) => self.cell.start_confirmed(key, run, now),
            LinkEvent::StartRefused(run, why) => {
                EventCode::RunRefused.log(format_args!(
                    "task={} run={} why={why:?}",
                    run.task, run.run
                ));
                self.metrics.record_start_refusal(why);
                self.cell.start_refused(key, run, why, now);
            }
            LinkEvent::StartUnanswered(run) => {
                self.load.unanswered_starts += 1;
                EventCode::StartUnanswered.log(format_args!("task={} run={}", run.task, run.run));
                self.cell.start_unanswered(key, run, now);
            }
            LinkEvent::Stopped(run) => self.cell.stop_confirmed(key, run, now),
            LinkEvent::Fenced => {
                let why = "a worker has seen a higher fence".to_owned();
                self.end = Some(OwnerEnd::Lost(why));
            }
        }
    }

    fn handle_advice_end(&mut self, end: AdvicePartEnd) {
        self.load.advice_ends += 1;
        let is_last_part = self.advice_dispatcher.part_ended(&end);
        let allowed = end.reply.as_ref().map(|reply| reply.allowed.len());
        EventCode::AdviceEnded.log(format_args!(
            "step={} named={} allowed={allowed:?}",
            end.step,
            end.workers.len(),
        ));
        let now = self.platform.now();
        self.cell
            .advice_settled(end.step, &end.workers, end.reply, is_last_part, now);
    }

    fn handle_tick(&mut self) {
        let now = self.platform.now();
        self.lag.record_tick(now, TICK_INTERVAL);
        self.load.record_tick(now);
        self.check_background_tasks();
        if now.saturating_duration_since(self.cell_measured_at) >= CELL_METRICS_INTERVAL {
            self.cell_measured_at = now;
            self.report_load(now);
        }
        self.end_waiters.remove_closed();
        if self.members.remove_unreachable(now) {
            self.update_advice_callers();
        }
    }

    /// Gives the cell up if one of the background tasks has panicked, since a transaction or the feeds would be
    /// missing from then on.
    fn check_background_tasks(&mut self) {
        while let Some(result) = self.background_tasks.try_join_next() {
            if let Err(error) = result {
                EventCode::TaskPanicked.log(format_args!("task=\"owner\" cause=\"{error}\""));
                self.end = Some(OwnerEnd::Lost(error.to_string()));
            }
        }
    }

    /// Advances the cell to the current time, applies its effects, and begins the next transaction unless
    /// one is in flight.
    fn advance(&mut self) {
        let now = self.platform.now();
        let last_pass_at = self.cell.last_pass_at();
        self.cell.advance(now, self.platform.unix_ms());
        if self.cell.last_pass_at() != last_pass_at {
            self.platform
                .record_work(self.cell.waiting_steps() as u64 + 1);
            let cost = self.platform.now().saturating_duration_since(now);
            self.cell.record_pass_cost(cost);
            self.load.record_pass(cost);
        }
        for effect in self.cell.take_effects() {
            self.apply_effect(effect);
        }
        if !self.committing {
            self.begin_commit(now);
        }
    }

    fn apply_effect(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Start(key, order) => {
                let run = order.run;
                let worker = self.cell.worker_id(key).unwrap_or_default();
                EventCode::StartSent.log(format_args!(
                    "task={} run={} worker={worker}",
                    run.task, run.run
                ));
                self.metrics.record_start();
                self.load.starts += 1;
                if let Some(wait) = self.cell.queue_wait(run.task.job(), self.platform.now()) {
                    self.metrics.record_start_wait(wait);
                }
                if let Some(link) = self.links.get(&key) {
                    link.send(LinkOrder::Start(order));
                }
            }
            CellEffect::Stop(key, run) => {
                self.load.stops += 1;
                EventCode::StopSent.log(format_args!("task={} run={}", run.task, run.run));
                if let Some(link) = self.links.get(&key) {
                    link.send(LinkOrder::Stop(run));
                }
            }
            CellEffect::Advise(request) => {
                self.load.advice_requests += 1;
                EventCode::AdviceRequested.log(format_args!(
                    "step={} named={}",
                    request.step,
                    request.workers.len()
                ));
                let ids = request.workers.iter();
                let workers = ids.filter_map(|key| self.cell.worker_id(*key)).collect();
                self.advice_dispatcher.enqueue(request, workers);
            }
            CellEffect::Acknowledge(key, number) => {
                if let Some(link) = self.links.get(&key) {
                    link.acknowledge(number);
                }
            }
            CellEffect::Forget(key) => {
                self.links.remove(&key);
            }
            CellEffect::Report(event) => self.report_crash_event(event),
        }
    }

    fn report_crash_event(&self, event: CrashEvent) {
        match event {
            CrashEvent::WorkerCrashed { worker, run, alone } => {
                self.metrics.record_worker_crash(alone);
                EventCode::WorkerCrashed.log(format_args!(
                    "task={} run={} worker={worker} alone={alone}",
                    run.task, run.run
                ));
            }
            CrashEvent::TaskSuspected { task, crashes } => {
                EventCode::TaskSuspected.log(format_args!("task={task} crashes={crashes}"));
            }
            CrashEvent::TaskCleared { task } => {
                EventCode::TaskCleared.log(format_args!("task={task}"));
            }
            CrashEvent::TaskGivenUp {
                task,
                crashes,
                alone,
            } => {
                self.metrics.record_task_given_up();
                EventCode::TaskGivenUp
                    .log(format_args!("task={task} crashes={crashes} alone={alone}"));
            }
        }
    }
}
