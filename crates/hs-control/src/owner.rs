//! The task that runs the cell in the process that owns it.

mod commit;
mod effects;
mod feed;
mod inbox;
mod links;
mod report;
mod requests;

use hs_event::EventCode;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_cell::{CLOCK_DRIFT_MARGIN, Cell, CellOptions, WorkerKey};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinSet, yield_now};

use self::inbox::{OwnerInbox, tick_timer};
use crate::advice_dispatcher::{AdviceDispatcher, AdvicePartEnd};
use crate::chunk_portions::ChunkPortions;
use crate::claim::ClaimConfirmation;
use crate::claim_writer::{ClaimKeeper, ClaimWriter, WriteOrder};
use crate::commits::CommitPlanner;
use crate::config::ClusterConfig;
use crate::contact_permits::ContactPermits;
use crate::end_waiters::EndWaiters;
use crate::feeds::FeedEvent;
use crate::handover::OwnershipStart;
use crate::lag::LagMeter;
use crate::link::{
    FurtherConnections, LinkEvent, LinkHandle, LinkLimits, MAX_LEASE_PAST_CONFIRMATION,
    WorkerFences,
};
use crate::link_speed::LinkMeter;
use crate::load::LoadMeter;
use crate::metrics::ControlMetrics;
use crate::owner_status::OwnerStatus;
use crate::peers::PeerPool;
use crate::port::Platform;
use crate::rank::VmLimits;
use crate::run_lines::RunLines;
use crate::shared::OwnerRequest;
use crate::speed::SpeedMeter;
use crate::takeover::{self, LoadLimit};
use crate::traffic::TrafficKind;

/// Interval at which the cell is advanced to the current time even if nothing happens.
const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Interval at which the gauges of the cell's size are updated.
const CELL_METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of waiting steps that are described in the log in each [`CELL_METRICS_INTERVAL`].
const MAX_LOGGED_WAITS: usize = 8;

/// Maximum number of reservations that the log describes each second.
const MAX_LOGGED_RESERVATIONS: usize = 8;

/// Maximum number of workers that the log names of each reservation.
const MAX_LOGGED_WORKERS: usize = 8;

/// Maximum number of transactions that may wait for the claim writer. The owner orders one at a time.
const MAX_WRITE_ORDERS: usize = 1;

/// Duration of a round after which the other tasks of the process get their turn, even if further events wait.
/// The runtime would otherwise let the owner task handle up to 128 events in a row.
const LONG_ROUND: Duration = Duration::from_millis(2);

/// Maximum number of events of each kind that may wait for the owner task.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// Safety margin added to the end of leases that an earlier owner granted.
const EARLIER_LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Everything that an owner task is started with.
#[derive(Debug)]
pub(crate) struct OwnerInputs<P> {
    pub platform: P,
    pub peers: PeerPool,
    pub options: CellOptions,
    pub config: watch::Receiver<Option<Arc<ClusterConfig>>>,
    pub keeper: ClaimKeeper,
    /// Whether the former owner has handed the cell over to this process.
    pub by_handover: bool,
    /// Resources of the VM.
    pub limits: VmLimits,
    pub load_limit: LoadLimit,
    pub status: OwnerStatus,
    pub metrics: ControlMetrics,
    pub requests: mpsc::Receiver<OwnerRequest>,
}

/// Why an owner task ended.
#[derive(Clone, Debug)]
pub(crate) enum OwnerEnd {
    /// The cell was released because the process shuts down.
    Released,
    /// The cell was handed over because this process or its link is too slow.
    TooSlow {
        /// Mean lag of the owner's timer.
        lag: Duration,
        /// Time that the owner takes for the work of a speed measurement.
        work_time: Duration,
        /// Mean time of transactions.
        commit_time: Duration,
        /// Name of the process that should take the cell over.
        successor: Arc<str>,
    },
    /// Another process owns the cell.
    Lost(String),
    /// The state of the cell could not be read, or not in time.
    Unreadable(String),
}

/// State of the owner task.
struct OwnerTask<P> {
    platform: P,
    cell: Cell,
    fence: u64,
    /// Publishes the last confirmation of the claim.
    confirmation: watch::Receiver<ClaimConfirmation>,
    worker_fences: WorkerFences,
    planner: CommitPlanner,
    write_orders: mpsc::Sender<WriteOrder>,
    /// Publishes the time of the last round to the claim writer.
    last_round: watch::Sender<Instant>,
    /// Whether a transaction is in flight.
    committing: bool,
    metrics: ControlMetrics,
    cell_measured_at: Instant,
    options: CellOptions,
    /// Time at which all leases that an earlier owner asked for have certainly ended.
    earlier_leases_end: Instant,
    links: BTreeMap<WorkerKey, LinkHandle>,
    link_limits: LinkLimits,
    run_lines: RunLines,
    advice_dispatcher: AdviceDispatcher<P>,
    status: OwnerStatus,
    end_waiters: EndWaiters,
    /// Where to confirm the release of the cell, once it has been requested.
    release: Option<oneshot::Sender<()>>,
    lag: LagMeter,
    speed: SpeedMeter,
    link_speed: LinkMeter,
    limits: VmLimits,
    ownership_start: OwnershipStart,
    load: LoadMeter,
    feed_events: mpsc::Sender<FeedEvent>,
    link_events: mpsc::Sender<(WorkerKey, LinkEvent)>,
    background_tasks: JoinSet<()>,
    /// Why the task should end, once that is known.
    end: Option<OwnerEnd>,
}

/// Runs the cell until it is released or lost.
pub(crate) async fn run<P: Platform>(inputs: OwnerInputs<P>) -> OwnerEnd {
    let platform = inputs.platform.clone();
    let started = platform.now();
    let fence = inputs.keeper.held.value.fence;
    let confirmation = inputs.keeper.confirmation.subscribe();
    let mut background_tasks = JoinSet::new();
    let (write_orders, orders) = mpsc::channel(MAX_WRITE_ORDERS);
    let (last_round, rounds) = watch::channel(started);
    let (writer_events, mut writer_receiver) = mpsc::channel(MAX_WRITE_ORDERS);
    let writer = ClaimWriter {
        platform: platform.clone(),
        keeper: inputs.keeper,
        orders,
        chunk_portions: ChunkPortions::default(),
        last_round: rounds,
        events: writer_events,
    };
    background_tasks.spawn(writer.run());
    let mut requests = inputs.requests;
    let loading = takeover::load_state(
        &platform,
        inputs.load_limit,
        &inputs.status,
        &mut writer_receiver,
        &mut requests,
    );
    let takeover = match loading.await {
        Ok(takeover) => takeover,
        Err(OwnerEnd::Unreadable(cause)) => {
            let status = &inputs.status;
            let change = inputs.load_limit.give_up(status, platform.now());
            takeover::release(change, &write_orders, &mut writer_receiver).await;
            return OwnerEnd::Unreadable(cause);
        }
        Err(end) => return end,
    };
    let read_at = platform.now();
    let (feed_events, feed_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (link_events, link_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (advice_ends, advice_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut inbox = OwnerInbox {
        link_events: link_receiver,
        writer_events: writer_receiver,
        feed_events: feed_receiver,
        advice_ends: advice_receiver,
        requests,
        config: inputs.config,
        ticks: tick_timer(),
    };
    let run_lines = RunLines::default();
    let mut owner = OwnerTask {
        advice_dispatcher: AdviceDispatcher::new(platform.clone(), inputs.peers, advice_ends),
        cell: Cell::new(inputs.options),
        options: inputs.options,
        fence,
        worker_fences: WorkerFences::new(fence, confirmation.clone()),
        confirmation,
        planner: CommitPlanner::new(fence, &inputs.options),
        write_orders,
        last_round,
        committing: false,
        metrics: inputs.metrics,
        cell_measured_at: started,
        // Earlier owners last confirmed their claim before this process acquired it, which bounds the end
        // of their leases.
        earlier_leases_end: started
            + MAX_LEASE_PAST_CONFIRMATION.mul_f64(1.0 + CLOCK_DRIFT_MARGIN)
            + EARLIER_LEASE_MARGIN,
        links: BTreeMap::new(),
        link_limits: LinkLimits {
            contacts: ContactPermits::default(),
            connections: FurtherConnections::new(inputs.limits.max_fds),
            run_lines: run_lines.clone(),
        },
        run_lines,
        status: inputs.status,
        end_waiters: EndWaiters::default(),
        release: None,
        lag: LagMeter::default(),
        speed: SpeedMeter::default(),
        link_speed: LinkMeter::default(),
        limits: inputs.limits,
        ownership_start: OwnershipStart {
            at: started,
            by_handover: inputs.by_handover,
        },
        load: LoadMeter::default(),
        feed_events,
        link_events,
        background_tasks,
        end: None,
        platform: platform.clone(),
    };
    inbox.apply_config(&mut owner);
    owner.metrics.record_takeover();
    owner.restore(takeover.state).await;
    owner.update_advice_callers();
    for request in takeover.buffered {
        owner.handle_request(request);
    }
    EventCode::CellTaken.log(format_args!(
        "fence={} jobs={} runs={} workers={} read_ms={} restore_ms={}",
        owner.fence,
        owner.cell.unfinished_jobs(),
        owner.cell.allocated_runs(),
        owner.links.len(),
        read_at.saturating_duration_since(started).as_millis(),
        platform
            .now()
            .saturating_duration_since(read_at)
            .as_millis(),
    ));
    loop {
        let round_began_at = platform.now();
        owner.advance();
        if let Some(end) = owner.end.take() {
            return end;
        }
        if platform.now().saturating_duration_since(round_began_at) >= LONG_ROUND {
            yield_now().await;
        }
        inbox.await_event(&mut owner).await;
        inbox.handle_received(&mut owner);
    }
}

impl<P: Platform> OwnerTask<P> {
    fn configure(&mut self, config: &ClusterConfig) {
        let teams = config.teams.iter().map(|team| team.spec.clone());
        self.cell.configure_teams(teams);
        let queues = config.routes.iter().map(|route| route.queue.clone());
        self.cell.configure(queues);
    }

    /// Lets the processes that send heartbeats call the advice service, if they have changed.
    fn update_advice_callers(&mut self) {
        let mut members = self.status.members();
        if members.take_changed() {
            let addresses = members.addresses();
            drop(members);
            self.cell.set_advice_callers(addresses.len() + 1);
            self.advice_dispatcher.set_members(&addresses);
        }
    }

    fn handle_advice_end(&mut self, end: AdvicePartEnd) {
        self.load.advice_ends += 1;
        let is_last_part = self.advice_dispatcher.part_ended(&end);
        let allowed = end.reply.as_ref().map(|reply| reply.allowed.len());
        if let Some(reply) = &end.reply {
            let tickets = reply.allowed.iter();
            let bytes = tickets.map(|(id, ticket)| id.len() + ticket.len()).sum();
            self.status.traffic.record(TrafficKind::Advice, bytes);
        }
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
        self.speed.measure_if_due(&self.platform);
        self.check_background_tasks();
        if now.saturating_duration_since(self.cell_measured_at) >= CELL_METRICS_INTERVAL {
            self.cell_measured_at = now;
            self.report_load(now);
        }
        self.end_waiters.remove_closed();
        self.status.set_workers(self.links.len());
        let congested = self.cell.congested_teams(now);
        self.status.congested_teams.set(congested);
        self.status.members().remove_unreachable(now);
        self.update_advice_callers();
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
        self.last_round.send_replace(now);
        let last_pass_at = self.cell.last_pass_at();
        self.cell.advance(now, self.platform.unix_ms());
        if self.cell.last_pass_at() != last_pass_at {
            self.platform.record_work(self.cell.last_pass_work());
            let cost = self.platform.now().saturating_duration_since(now);
            self.cell.record_pass_cost(cost);
            self.load.record_pass(cost);
        }
        for effect in self.cell.take_effects() {
            self.apply_effect(effect);
        }
        self.begin_commit();
    }
}
