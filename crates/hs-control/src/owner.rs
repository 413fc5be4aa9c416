//! The task that owns the cell.

use hs_event::EventCode;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{
    Cell, CellBatch, CellEffect, CellOptions, JobId, JobSpec, JobState, LogWrites, RecordRow,
    WorkerKey,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::advisers::{AdviceEnd, AdviserPool};
use crate::chain::{self, ChainError, ClaimChain};
use crate::commits::{CommitPlanner, OwnerWrites};
use crate::config::ClusterConfig;
use crate::end_waiters::EndWaiters;
use crate::feeds::{self, FeedEvent, StoredState};
use crate::keys::{self, IntakeKey};
use crate::lag::LagMeter;
use crate::link::{AUTHORITY, LinkEvent, LinkHandle, LinkOrder, LinkTerms};
use crate::members::MemberTable;
use crate::metrics::ControlMetrics;
use crate::peers::PeerPool;
use crate::port::{Platform, RegisteredWorker, StoreItem, WorkerChange, WorkerEndpoint};
use crate::recover::JobValue;
use crate::shared::{BeatAnswer, OwnerMessage};
use crate::takeover::{self, ClaimKeeper, PROOF_EVERY};

/// How often time is passed to the cell.
const TICK: Duration = Duration::from_millis(40);

/// Time after which a scheduling pass that was put off is tried again.
const PASS_RETRY: Duration = Duration::from_millis(4);

/// How often the size of the cell is measured.
const OBSERVE_EVERY: Duration = Duration::from_secs(1);

/// Events that may wait.
const EVENT_QUEUE: usize = 1024;

/// Factor by which a time on a worker's clock, which may be 2 % slow, is extended.
const CLOCK_FACTOR: f64 = 1.025;

/// Added to the end of leases of an earlier owner.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// What an owner task is made of.
#[derive(Debug)]
pub(crate) struct OwnerParts<P> {
    pub platform: P,
    pub peers: PeerPool,
    pub options: CellOptions,
    pub config: watch::Receiver<Option<Arc<ClusterConfig>>>,
    pub chain: ClaimChain,
    /// A time at which the claim was certainly held.
    pub proved_at: Instant,
    pub owner_seen: Arc<watch::Sender<Option<Instant>>>,
    pub metrics: ControlMetrics,
    pub requests: mpsc::Receiver<OwnerMessage>,
}

/// Why an owner task ended.
#[derive(Clone, Debug)]
pub(crate) enum OwnerEnd {
    /// The cell was given up.
    Released,
    /// The cell was given up, since this process lags behind by so much.
    TooSlow(Duration),
    /// Another process owns the cell.
    Lost(String),
    /// The state could not be read.
    Unreadable(String),
}

/// Events of the owner's helper tasks.
#[derive(Debug)]
enum OwnerEvent {
    Committed(Box<CommitEnd>),
    Feed(FeedEvent),
}

impl From<FeedEvent> for OwnerEvent {
    fn from(event: FeedEvent) -> Self {
        Self::Feed(event)
    }
}

#[derive(Debug)]
struct CommitEnd {
    batch: CellBatch,
    log: LogWrites,
    result: Result<(ClaimChain, Instant), ChainError>,
}

struct OwnerTask<P> {
    platform: P,
    cell: Cell,
    keeper: ClaimKeeper,
    planner: CommitPlanner,
    committing: bool,
    committed_at: Instant,
    metrics: ControlMetrics,
    commit_began: Instant,
    observed_at: Instant,
    lease: Duration,
    takeover_end: Instant,
    links: HashMap<WorkerKey, LinkHandle>,
    advisers: AdviserPool<P>,
    members: MemberTable,
    end_waiters: EndWaiters,
    release: Option<oneshot::Sender<()>>,
    lag: LagMeter,
    events: mpsc::Sender<OwnerEvent>,
    link_events: mpsc::Sender<(WorkerKey, LinkEvent)>,
    helpers: JoinSet<()>,
    lost: Option<OwnerEnd>,
}

/// Runs the cell until it is given up or lost.
pub(crate) async fn run<P: Platform>(parts: OwnerParts<P>) -> OwnerEnd {
    let platform = parts.platform.clone();
    let started = platform.now();
    let mut keeper = ClaimKeeper {
        chain: parts.chain,
        proof: watch::channel(parts.proved_at).0,
        proved_at: parts.proved_at,
        owner_seen: parts.owner_seen,
    };
    let mut requests = parts.requests;
    let taken = match takeover::take(&platform, &mut keeper, &mut requests).await {
        Ok(taken) => taken,
        Err(end) => return end,
    };
    let read_at = platform.now();
    let (events, mut event_receiver) = mpsc::channel(EVENT_QUEUE);
    let (link_events, mut link_receiver) = mpsc::channel(EVENT_QUEUE);
    let (advice_ends, mut advice_receiver) = mpsc::channel(EVENT_QUEUE);
    let mut config = parts.config;
    let mut owner = OwnerTask {
        advisers: AdviserPool::new(platform.clone(), parts.peers, advice_ends),
        cell: Cell::new(parts.options),
        lease: parts.options.lease,
        keeper,
        planner: CommitPlanner::default(),
        committing: false,
        committed_at: started,
        metrics: parts.metrics,
        commit_began: started,
        observed_at: started,
        // Nothing was granted by an earlier owner after the claim was taken.
        takeover_end: started + AUTHORITY.mul_f64(CLOCK_FACTOR) + LEASE_MARGIN,
        links: HashMap::new(),
        members: taken.members,
        end_waiters: EndWaiters::default(),
        release: None,
        lag: LagMeter::default(),
        events,
        link_events,
        helpers: JoinSet::new(),
        lost: None,
        platform: platform.clone(),
    };
    if let Some(config) = &*config.borrow_and_update() {
        owner.configure(config);
    }
    owner.metrics.took_over();
    owner.restore(taken.state);
    owner.share_members();
    for message in taken.announced {
        owner.request(message);
    }
    EventCode::CellTaken.log(format_args!(
        "fence={} jobs={} runs={} workers={} read_ms={} restore_ms={}",
        owner.keeper.chain.claim.fence,
        owner.cell.unfinished_jobs(),
        owner.cell.allocated_runs(),
        owner.links.len(),
        read_at.saturating_duration_since(started).as_millis(),
        platform
            .now()
            .saturating_duration_since(read_at)
            .as_millis(),
    ));
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        owner.pump();
        if let Some(end) = owner.lost.take() {
            return end;
        }
        tokio::select! {
            Some((key, event)) = link_receiver.recv() => {
                owner.link_event(key, event);
                while let Ok((key, event)) = link_receiver.try_recv() {
                    owner.link_event(key, event);
                }
            }
            Some(event) = event_receiver.recv() => owner.event(event),
            Some(end) = advice_receiver.recv() => owner.advice(end),
            Some(message) = requests.recv() => {
                owner.request(message);
                while let Ok(message) = requests.try_recv() {
                    owner.request(message);
                }
            }
            Ok(()) = config.changed() => {
                let config = config.borrow_and_update().clone();
                if let Some(config) = config {
                    owner.configure(&config);
                }
            }
            _ = ticks.tick() => owner.tick(),
            () = sleep(PASS_RETRY), if owner.cell.wants_pass() => {}
        }
    }
}

impl<P: Platform> OwnerTask<P> {
    fn restore(&mut self, state: StoredState) {
        for worker in state.workers {
            self.list_worker(worker);
        }
        let revision = state.cell.intake_revision;
        self.planner.log = state
            .cell
            .restore(&mut self.cell, &self.platform, self.takeover_end);
        let events = self.events.clone();
        let feeds = feeds::follow(
            self.platform.clone(),
            state.registry_revision,
            revision,
            events,
        );
        self.helpers.spawn(feeds);
    }

    fn configure(&mut self, config: &ClusterConfig) {
        let queues = config.routes.iter().map(|route| route.queue.clone());
        self.cell.configure(queues);
    }

    fn list_worker(&mut self, worker: RegisteredWorker) {
        let id = worker.entry.id.clone();
        let born_ms = worker.entry.started_ms;
        let now = self.platform.now();
        // An earlier owner's lease may last on a worker that was there at the takeover.
        let lease_end = self.takeover_end.max(now);
        let key = self.cell.worker_listed(worker.entry, lease_end, now);
        if self.links.contains_key(&key) {
            return;
        }
        let peer = WorkerEndpoint {
            id: id.clone(),
            address: worker.address.clone(),
            started_ms: born_ms,
        };
        EventCode::WorkerLinked.log(format_args!(
            "worker={id} address={} born_ms={born_ms}",
            worker.address
        ));
        let link = LinkHandle::spawn(
            self.platform.clone(),
            key,
            peer,
            LinkTerms {
                fence: self.keeper.chain.claim.fence,
                lease: self.lease,
                proof: self.keeper.proof.subscribe(),
            },
            self.metrics.clone(),
            self.link_events.clone(),
        );
        self.links.insert(key, link);
    }

    fn event(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Committed(end) => self.committed(*end),
            OwnerEvent::Feed(event) => self.feed(event),
        }
    }

    fn feed(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Workers(changes) => {
                for change in changes {
                    match change {
                        WorkerChange::Registered(worker) => self.list_worker(worker),
                        WorkerChange::Removed(id) => {
                            EventCode::WorkerUnlisted.log(format_args!("worker={id}"));
                            self.cell.worker_unlisted(&id);
                        }
                    }
                }
            }
            FeedEvent::AllWorkers(workers) => {
                for (id, _) in self.cell.listed_workers() {
                    if !workers.iter().any(|worker| worker.entry.id == id) {
                        self.cell.worker_unlisted(&id);
                    }
                }
                for worker in workers {
                    self.list_worker(worker);
                }
            }
            FeedEvent::Intake(items) => {
                for item in items {
                    self.intake(&item);
                }
            }
        }
    }

    fn intake(&mut self, item: &StoreItem) {
        let Some(value) = item.value.as_deref() else {
            return;
        };
        match keys::parse_intake(&item.key) {
            Some(IntakeKey::Job(id)) if !self.cell.has_job(id) => match JobValue::parse(value) {
                Some(JobValue::Accepted(spec)) => self.add_job(id, Arc::new(spec), "store"),
                Some(JobValue::Ended(_)) => {}
                None => EventCode::RecordUnreadable.log(format_args!("key={}", item.key)),
            },
            Some(IntakeKey::Cancel(id)) => self.cancel(id),
            Some(IntakeKey::Job(_)) => {}
            None => EventCode::RecordUnreadable.log(format_args!("key={}", item.key)),
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

    fn request(&mut self, message: OwnerMessage) {
        // A reply that nobody waits for any more is dropped.
        match message {
            OwnerMessage::Beat {
                node,
                address,
                reply,
            } => {
                let now = self.platform.now();
                if self.members.note_beat(node, address, now) {
                    self.share_members();
                }
                let _ = reply.send(BeatAnswer {
                    next_beat: self.members.next_beat(),
                    fence: self.keeper.chain.claim.fence,
                    proof_age: now.saturating_duration_since(self.keeper.proved_at),
                });
            }
            OwnerMessage::Offer {
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
            OwnerMessage::State(id, reply) => {
                let _ = reply.send(self.cell.state(id));
            }
            OwnerMessage::AwaitEnd(id, reply) => match self.cell.state(id) {
                Some(state @ JobState::Ended(_)) => {
                    let _ = reply.send(state);
                }
                _ => self.end_waiters.add(id, reply),
            },
            OwnerMessage::Pending(queue, reply) => {
                let count = self.cell.pending_jobs(&queue);
                let _ = reply.send(u64::try_from(count).unwrap_or(u64::MAX));
            }
            OwnerMessage::Release(reply) => self.release = Some(reply),
        }
    }

    fn share_members(&mut self) {
        self.advisers.set_members(&self.members.addresses());
    }

    fn link_event(&mut self, key: WorkerKey, event: LinkEvent) {
        let now = self.platform.now();
        match event {
            LinkEvent::Renewing(lease_end) => self.cell.lease_renewed(key, lease_end),
            LinkEvent::Report(report, asked_at) => {
                self.cell.worker_reported(key, report, asked_at, now);
            }
            LinkEvent::Silent => self.cell.worker_unreachable(key),
            LinkEvent::Started(run) => self.cell.start_confirmed(key, run, now),
            LinkEvent::StartRefused(run, why) => {
                EventCode::RunRefused.log(format_args!(
                    "task={} run={} why={why:?}",
                    run.task, run.run
                ));
                self.metrics.refused(why);
                self.cell.start_refused(key, run, why, now);
            }
            LinkEvent::StartUnanswered(run) => {
                EventCode::RunUnanswered.log(format_args!("task={} run={}", run.task, run.run));
                self.cell.start_unanswered(key, run, now);
            }
            LinkEvent::Stopped(run) => self.cell.stop_confirmed(key, run, now),
            LinkEvent::Fenced => {
                let why = "a worker has seen a higher fence".to_owned();
                self.lost = Some(OwnerEnd::Lost(why));
            }
        }
    }

    fn advice(&mut self, end: AdviceEnd) {
        let last = self.advisers.ended(&end);
        let allowed = end.reply.as_ref().map(|reply| reply.allowed.len());
        EventCode::AdviceEnded.log(format_args!(
            "step={} named={} allowed={allowed:?}",
            end.step,
            end.named.len(),
        ));
        let now = self.platform.now();
        self.cell
            .advice_settled(end.step, &end.named, end.reply, last, now);
    }

    fn tick(&mut self) {
        let now = self.platform.now();
        self.lag.tick(now, TICK);
        if now.saturating_duration_since(self.observed_at) >= OBSERVE_EVERY {
            self.observed_at = now;
            let cell = &self.cell;
            let (unfinished, holding) = (cell.unfinished_jobs(), cell.allocated_runs());
            self.metrics
                .observe_cell(unfinished, holding, cell.waiting_steps());
        }
        self.end_waiters.prune();
        if self.members.prune(now) {
            self.share_members();
        }
    }

    /// Passes time to the cell, carries its effects out, and begins the next write.
    fn pump(&mut self) {
        let now = self.platform.now();
        let scheduled_at = self.cell.last_pass_at();
        self.cell.advance(now, self.platform.unix_ms());
        if self.cell.last_pass_at() != scheduled_at {
            let cost = self.platform.now().saturating_duration_since(now);
            self.cell.record_pass_cost(cost);
        }
        for effect in self.cell.take_effects() {
            self.carry_out(effect);
        }
        if !self.committing {
            self.begin_commit(now);
        }
    }

    fn carry_out(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Start(key, order) => {
                let run = order.run;
                let worker = self.cell.worker_id(key).unwrap_or_default();
                EventCode::StartSent.log(format_args!(
                    "task={} run={} worker={worker}",
                    run.task, run.run
                ));
                self.metrics.started();
                if let Some(wait) = self.cell.queue_wait(run.task.job(), self.platform.now()) {
                    self.metrics.waited(wait);
                }
                if let Some(link) = self.links.get(&key) {
                    link.order(LinkOrder::Start(order));
                }
            }
            CellEffect::Stop(key, run) => {
                EventCode::StopSent.log(format_args!("task={} run={}", run.task, run.run));
                if let Some(link) = self.links.get(&key) {
                    link.order(LinkOrder::Stop(run));
                }
            }
            CellEffect::Advise(request) => {
                EventCode::AdviceWanted.log(format_args!(
                    "step={} named={}",
                    request.step,
                    request.workers.len()
                ));
                let ids = request.workers.iter();
                let workers = ids.filter_map(|key| self.cell.worker_id(*key)).collect();
                self.advisers.ask(request, workers);
            }
            CellEffect::Acknowledge(key, number) => {
                if let Some(link) = self.links.get(&key) {
                    link.acknowledge(number);
                }
            }
            CellEffect::Forget(key) => {
                self.links.remove(&key);
            }
        }
    }

    fn begin_commit(&mut self, now: Instant) {
        let next = self
            .planner
            .next(&mut self.cell, &self.keeper.chain.claim, now);
        // Without another process that could take the cell, a slow owner is better than none.
        let slow = self.lag.is_slow() && !self.members.is_empty();
        let releasing = slow || (self.release.is_some() && next.batch.is_empty());
        let due = now.saturating_duration_since(self.committed_at) >= PROOF_EVERY;
        if next.is_empty() && !due && !releasing {
            return;
        }
        self.committing = true;
        self.commit_began = now;
        let platform = self.platform.clone();
        let chain = self.keeper.chain.clone();
        let events = self.events.clone();
        self.helpers.spawn(async move {
            let OwnerWrites {
                batch,
                log,
                writes,
                deletes,
            } = next;
            let result = chain::append(&platform, &chain, writes, deletes, releasing).await;
            let end = Box::new(CommitEnd { batch, log, result });
            // An owner task that has ended needs no result.
            let _ = events.send(OwnerEvent::Committed(end)).await;
        });
    }

    fn committed(&mut self, end: CommitEnd) {
        self.committing = false;
        while self.helpers.try_join_next().is_some() {}
        match end.result {
            Ok((chain, proved_at)) => {
                let now = self.platform.now();
                self.committed_at = now;
                self.metrics
                    .committed(now.saturating_duration_since(self.commit_began));
                self.keeper.proved(chain, proved_at, now);
                self.planner.log.committed(end.log);
                for row in &end.batch.rows {
                    if let RecordRow::Finished(id, outcome) = row {
                        EventCode::JobEnded.log(format_args!("job={id} outcome={outcome:?}"));
                    }
                }
                let ended: Vec<JobId> = end.batch.finished().collect();
                self.cell.committed(end.batch, now);
                for id in ended {
                    if let Some(state) = self.cell.state(id) {
                        self.end_waiters.ended(id, state);
                    }
                }
                if self.keeper.chain.claim.released {
                    self.lost = Some(match self.release.take() {
                        Some(reply) => {
                            let _ = reply.send(());
                            OwnerEnd::Released
                        }
                        None => OwnerEnd::TooSlow(self.lag.lag()),
                    });
                }
            }
            Err(error) => self.lost = Some(OwnerEnd::Lost(error.to_string())),
        }
    }
}
