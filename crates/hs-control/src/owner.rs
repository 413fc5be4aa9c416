//! The task that owns the cell.

use hs_event::EventCode;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{
    Cell, CellBatch, CellEffect, CellOptions, JobId, JobSpec, JobState, RecordRow, WorkerKey,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::advisers::{AdviceEnd, AdviserPool};
use crate::chain::{self, ChainError, ClaimChain};
use crate::config::ClusterConfig;
use crate::end_waiters::EndWaiters;
use crate::feeds::{self, FeedEvent, StoredState};
use crate::keys::{self, IntakeKey};
use crate::lag::LagMeter;
use crate::link::{AUTHORITY, LinkEvent, LinkHandle, LinkOrder};
use crate::metrics::ControlMetrics;
use crate::peers::PeerPool;
use crate::port::{ListedWorker, Platform, StoreItem, WorkerChange, WorkerPeer};
use crate::recover::JobValue;
use crate::shared::{BeatAnswer, OwnerMessage};

/// Entries of a transaction that are left for records; the claim takes two of 32.
const BATCH_ENTRIES: usize = 30;

/// Time without a change after which the claim is proved all the same.
const PROOF_EVERY: Duration = Duration::from_millis(200);

/// How often time is passed to the cell.
const TICK: Duration = Duration::from_millis(40);

/// Time after which a scheduling pass that was put off is tried again.
const PASS_RETRY: Duration = Duration::from_millis(4);

/// How often the size of the cell is measured.
const OBSERVE_EVERY: Duration = Duration::from_secs(1);

/// Shortest time between two beats of a process.
const MIN_BEAT_EVERY: Duration = Duration::from_millis(100);

/// Longest time between two beats of a process.
const MAX_BEAT_EVERY: Duration = Duration::from_millis(400);

/// Added to the time between two beats for each process, which bounds the owner's work for beats.
const BEAT_COST: Duration = Duration::from_millis(8);

/// A process that has not sent a beat for so long is taken to be gone.
const MEMBER_LIMIT: Duration = Duration::from_millis(1500);

/// Events that may wait.
const EVENT_QUEUE: usize = 1024;

/// Records that are erased in one transaction.
const ERASE_JOBS: usize = 9;

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
    Committed(CommitEnd),
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
    result: Result<(ClaimChain, Instant), ChainError>,
}

struct OwnerTask<P> {
    platform: P,
    cell: Cell,
    chain: ClaimChain,
    committing: bool,
    committed_at: Instant,
    proof: watch::Sender<Instant>,
    proved_at: Instant,
    owner_seen: Arc<watch::Sender<Option<Instant>>>,
    metrics: ControlMetrics,
    commit_began: Instant,
    observed_at: Instant,
    takeover_end: Instant,
    links: HashMap<WorkerKey, LinkHandle>,
    advisers: AdviserPool<P>,
    members: HashMap<String, (Arc<str>, Instant)>,
    cancelled_rows: Vec<JobId>,
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
    let state = match feeds::read_state(&platform).await {
        Ok(state) => state,
        Err(error) => return OwnerEnd::Unreadable(error.to_string()),
    };
    let (events, mut event_receiver) = mpsc::channel(EVENT_QUEUE);
    let (link_events, mut link_receiver) = mpsc::channel(EVENT_QUEUE);
    let (advice_ends, mut advice_receiver) = mpsc::channel(EVENT_QUEUE);
    let mut config = parts.config;
    let mut requests = parts.requests;
    let takeover_end = started + AUTHORITY.mul_f64(CLOCK_FACTOR) + LEASE_MARGIN;
    let mut owner = OwnerTask {
        advisers: AdviserPool::new(platform.clone(), parts.peers, advice_ends),
        cell: Cell::new(parts.options),
        chain: parts.chain,
        committing: false,
        committed_at: started,
        proof: watch::channel(parts.proved_at).0,
        proved_at: parts.proved_at,
        owner_seen: parts.owner_seen,
        metrics: parts.metrics,
        commit_began: started,
        observed_at: started,
        takeover_end,
        links: HashMap::new(),
        members: HashMap::new(),
        cancelled_rows: Vec::new(),
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
    owner.restore(state);
    EventCode::CellTaken.log(format_args!(
        "fence={} jobs={} runs={} workers={} read_ms={}",
        owner.chain.claim.fence,
        owner.cell.unfinished(),
        owner.cell.holding(),
        owner.links.len(),
        platform
            .now()
            .saturating_duration_since(started)
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
        state
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

    fn list_worker(&mut self, worker: ListedWorker) {
        let id = worker.entry.id.clone();
        let born_ms = worker.entry.born_ms;
        let now = self.platform.now();
        // An earlier owner's lease may last on a worker that was there at the takeover.
        let lease_end = self.takeover_end.max(now);
        let key = self.cell.worker_listed(worker.entry, lease_end, now);
        if self.links.contains_key(&key) {
            return;
        }
        let peer = WorkerPeer {
            id: id.clone(),
            address: worker.address.clone(),
            born_ms,
        };
        EventCode::WorkerLinked.log(format_args!(
            "worker={id} address={} born_ms={born_ms}",
            worker.address
        ));
        let link = LinkHandle::spawn(
            self.platform.clone(),
            key,
            peer,
            self.chain.claim.fence,
            self.proof.subscribe(),
            self.metrics.clone(),
            self.link_events.clone(),
        );
        self.links.insert(key, link);
    }

    fn event(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Committed(end) => self.committed(end),
            OwnerEvent::Feed(event) => self.feed(event),
        }
    }

    fn feed(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Workers(changes) => {
                for change in changes {
                    match change {
                        WorkerChange::Listed(worker) => self.list_worker(worker),
                        WorkerChange::Gone(id) => {
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
            self.cancelled_rows.push(id);
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
                let known = self.members.insert(node.clone(), (address.into(), now));
                if known.is_none() {
                    EventCode::MemberJoined.log(format_args!("node={node}"));
                    self.share_members();
                }
                let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
                let _ = reply.send(BeatAnswer {
                    next_beat: (BEAT_COST * members).clamp(MIN_BEAT_EVERY, MAX_BEAT_EVERY),
                    fence: self.chain.claim.fence,
                    proof_age: now.saturating_duration_since(self.proved_at),
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
                let count = self.cell.pending(&queue);
                let _ = reply.send(u64::try_from(count).unwrap_or(u64::MAX));
            }
            OwnerMessage::Release(reply) => self.release = Some(reply),
        }
    }

    fn share_members(&mut self) {
        let addresses: Vec<Arc<str>> = self
            .members
            .values()
            .map(|(address, _)| address.clone())
            .collect();
        self.advisers.set_members(&addresses);
    }

    fn link_event(&mut self, key: WorkerKey, event: LinkEvent) {
        let now = self.platform.now();
        match event {
            LinkEvent::Renewing(lease_end) => self.cell.lease_renewed(key, lease_end),
            LinkEvent::Report(report, asked_at) => {
                self.cell.worker_reported(key, report, asked_at, now);
            }
            LinkEvent::Silent => self.cell.worker_silent(key),
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
        self.advisers.ended(&end);
        let allowed = end.reply.as_ref().map(|reply| reply.allowed.len());
        EventCode::AdviceEnded.log(format_args!(
            "step={} named={} allowed={allowed:?}",
            end.step,
            end.named.len(),
        ));
        let now = self.platform.now();
        self.cell
            .advice_settled(end.step, &end.named, end.reply, now);
    }

    fn tick(&mut self) {
        let now = self.platform.now();
        self.lag.tick(now, TICK);
        if now.saturating_duration_since(self.observed_at) >= OBSERVE_EVERY {
            self.observed_at = now;
            let cell = &self.cell;
            let (unfinished, holding) = (cell.unfinished(), cell.holding());
            self.metrics
                .observe_cell(unfinished, holding, cell.waiting_steps());
        }
        self.end_waiters.prune();
        let before = self.members.len();
        self.members
            .retain(|_, (_, seen)| now.saturating_duration_since(*seen) < MEMBER_LIMIT);
        if self.members.len() != before {
            self.share_members();
        }
    }

    /// Passes time to the cell, carries its effects out, and begins the next write.
    fn pump(&mut self) {
        let now = self.platform.now();
        let scheduled_at = self.cell.scheduled_at();
        self.cell.advance(now, self.platform.unix_ms());
        if self.cell.scheduled_at() != scheduled_at {
            let cost = self.platform.now().saturating_duration_since(now);
            self.cell.pass_took(cost);
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
                if let Some(wait) = self.cell.first_wait(run.task.job(), self.platform.now()) {
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
        let batch = self.cell.take_batch(BATCH_ENTRIES / ENTRIES_PER_END);
        // Without another process that could take the cell, a slow owner is better than none.
        let slow = self.lag.is_slow() && !self.members.is_empty();
        let releasing = slow || (self.release.is_some() && batch.is_empty());
        let mut writes = Vec::new();
        let mut deletes = Vec::new();
        for row in &batch.rows {
            add_row(row, &mut writes, &mut deletes);
        }
        if batch.is_empty() {
            for id in self.cell.take_erasable(now, ERASE_JOBS) {
                deletes.extend([keys::job(id), keys::run(id), keys::cancel(id)]);
            }
            while deletes.len() < BATCH_ENTRIES
                && let Some(id) = self.cancelled_rows.pop()
            {
                deletes.push(keys::cancel(id));
            }
        }
        let due = now.saturating_duration_since(self.committed_at) >= PROOF_EVERY;
        if writes.is_empty() && deletes.is_empty() && !due && !releasing {
            return;
        }
        self.committing = true;
        self.commit_began = now;
        let platform = self.platform.clone();
        let chain = self.chain.clone();
        let events = self.events.clone();
        self.helpers.spawn(async move {
            let result = chain::append(&platform, &chain, writes, deletes, releasing).await;
            // An owner task that has ended needs no result.
            let _ = events
                .send(OwnerEvent::Committed(CommitEnd { batch, result }))
                .await;
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
                self.proved_at = proved_at;
                self.proof.send_replace(proved_at);
                self.owner_seen.send_replace(Some(now));
                self.chain = chain;
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
                if self.chain.claim.released {
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

/// Entries of a transaction that the end of a job takes.
const ENTRIES_PER_END: usize = 2;

fn add_row(row: &RecordRow, writes: &mut Vec<(String, Vec<u8>)>, deletes: &mut Vec<String>) {
    let (key, value) = match row {
        RecordRow::Progress(id, record) => (keys::run(*id), serde_json::to_vec(record)),
        RecordRow::Finished(id, outcome) => {
            deletes.push(keys::run(*id));
            let value: JobValue = JobValue::Ended(*outcome);
            (keys::job(*id), serde_json::to_vec(&value))
        }
    };
    match value {
        Ok(value) => writes.push((key, value)),
        Err(error) => EventCode::RecordUnwritable.log(format_args!("key={key} cause=\"{error}\"")),
    }
}
