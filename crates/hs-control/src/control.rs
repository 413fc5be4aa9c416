//! Requests of clients, which any process of the cell serves: submissions and cancellations. Queries are in the
//! `job_query` module.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hs_cell::{JobId, JobSpec, JobState};
use hs_event::EventCode;
use tokio::sync::{Semaphore, watch};

use crate::access::{Access, CurrentRules};
use crate::config::ClusterConfig;
use crate::config_reader::ConfigReader;
use crate::config_state::ConfigState;
use crate::intake::{IntakeHandle, IntakeResult};
use crate::keys;
use crate::large_record::RecordLimits;
use crate::message::{AcceptRequest, AcceptResult, JobRow};
use crate::metrics::ControlMetrics;
use crate::notify::{Notice, NotifyHandle};
use crate::peers::PeerError;
use crate::port::{CatalogPort, ClockPort, StorePort};
use crate::recover::JobValue;
use crate::shared::{NodeContext, Ownership};
use crate::unknown_cancellations::UnknownCancellations;

/// Timeout of the write by this process itself, after which it asks the owner to write the row.
const LOCAL_WRITE_TIMEOUT: Duration = Duration::from_millis(700);

/// The result of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitReply {
    /// The job is stored and will be run.
    Accepted,
    /// The job is not stored, and this submission will never cause it to run.
    Refused,
    /// The job may have been stored.
    Unknown,
    /// The store can't hold the job, or its progress. It is not stored and never runs.
    TooLarge,
}

/// The result of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelReply {
    /// The cancellation is stored, or the job has already ended.
    Cancelled,
    /// There is no such job. The cancellation is stored, in case that a submission is still on its way.
    NoJob,
    /// There is no such job, and nothing was stored: too many cancellations of unknown jobs have been.
    TooMany,
    /// It is not known whether the cancellation was stored.
    Unknown,
}

/// The reply to a query for the state of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobStateReply {
    /// The job is known.
    State(JobState),
    /// There is no such job.
    NoJob,
    /// Neither the owner nor the store gave a usable reply.
    Unknown,
}

/// Serves client requests to the cell in any process, whether or not it is the owner.
#[derive(Clone, Debug)]
pub struct Control<P> {
    pub(crate) platform: P,
    pub(crate) context: NodeContext,
    pub(crate) intake: IntakeHandle,
    pub(crate) notify: NotifyHandle,
    pub(crate) ready: watch::Receiver<bool>,
    pub(crate) config_state: ConfigState,
    pub(crate) config_reader: ConfigReader,
    /// State requests that this process may handle at a time.
    pub(crate) state_permits: Arc<Semaphore>,
    pub(crate) record_limits: RecordLimits,
    pub(crate) unknown_cancellations: Arc<Mutex<UnknownCancellations>>,
}

impl<P: CatalogPort + ClockPort> Control<P> {
    /// Returns the rules after a read of the configuration, for a call that [`Control::current_rules`] would refuse and
    /// that may be allowed meanwhile. Nothing is read while the store is known to be down.
    pub async fn read_rules(&self) -> CurrentRules {
        if !self.context.store_health.is_down(self.platform.now()) {
            let (platform, state) = (&self.platform, &self.config_state);
            self.config_reader.read(platform, state).await;
        }
        self.config_state.current_rules(|| self.platform.boot_now())
    }
}

impl<P: StorePort + ClockPort> Control<P> {
    /// Returns the current configuration, or `None` if none has been read yet.
    pub fn config(&self) -> Option<Arc<ClusterConfig>> {
        self.context.config.borrow().clone()
    }

    /// Returns the rules that decide on a call which arrives, or is answered, now.
    pub fn current_rules(&self) -> CurrentRules {
        self.config_state.current_rules(|| self.platform.boot_now())
    }

    /// Counts and logs a call to this host and path that is refused.
    pub fn record_refused_call(&self, access: Access<'_>, host: &str, path: &str) {
        self.context.metrics.record_refused_call(access);
        if let Some(reason) = access.refusal_reason() {
            let now = self.platform.boot_now();
            self.config_state.record_refusal(reason, host, path, now);
        }
    }

    /// Returns a receiver of the configurations, which sees each change.
    pub fn config_changes(&self) -> watch::Receiver<Option<Arc<ClusterConfig>>> {
        self.context.config.clone()
    }

    /// Returns whether this process should receive new connections.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Returns the wall-clock time in Unix milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.platform.unix_ms()
    }

    /// Returns the instruments of this process, for rendering on its metrics endpoint.
    pub fn metrics(&self) -> &ControlMetrics {
        &self.context.metrics
    }

    /// Stores a job. Submissions are idempotent by `id`: the same job may be submitted repeatedly, to any
    /// process.
    pub async fn submit(&self, id: JobId, spec: JobSpec, timeout: Duration) -> SubmitReply {
        let reply = self.submit_without_metrics(id, spec, timeout).await;
        self.context.metrics.record_submission(reply);
        reply
    }

    async fn submit_without_metrics(
        &self,
        id: JobId,
        spec: JobSpec,
        timeout: Duration,
    ) -> SubmitReply {
        let Ok(value) = serde_json::to_vec(&JobValue::Accepted(&spec)) else {
            return SubmitReply::Refused;
        };
        if !self.record_limits.can_hold(&spec, value.len()) {
            return SubmitReply::TooLarge;
        }
        let result = self
            .store_row(keys::job(id), &value, id, false, timeout)
            .await;
        match result {
            IntakeResult::Stored => {
                self.notify.send(Notice::Job(id, Arc::new(spec), value));
                SubmitReply::Accepted
            }
            IntakeResult::AlreadyExists(stored) => {
                self.notify_stored_job(id, stored);
                SubmitReply::Accepted
            }
            IntakeResult::Refused => SubmitReply::Refused,
            IntakeResult::Unknown => SubmitReply::Unknown,
        }
    }

    /// Stores the cancellation of a job, unless the job has ended.
    ///
    /// The cancellation of an unknown job is stored too: a submission may still be on its way, in a process that stands
    /// still or in a write without a reply, and then must not cause a run.
    /// These are limited in number, by the team of the caller where calls have one.
    pub async fn cancel(
        &self,
        id: JobId,
        team: Option<&Arc<str>>,
        timeout: Duration,
    ) -> CancelReply {
        let reply = match self.current_state(id, Duration::ZERO).await {
            JobStateReply::State(JobState::Ended(_)) => return CancelReply::Cancelled,
            JobStateReply::NoJob if self.may_store_unknown(team) => CancelReply::NoJob,
            JobStateReply::NoJob => return CancelReply::TooMany,
            JobStateReply::State(_) | JobStateReply::Unknown => CancelReply::Cancelled,
        };
        match self
            .store_row(keys::cancel(id), b"{}", id, true, timeout)
            .await
        {
            IntakeResult::Stored | IntakeResult::AlreadyExists(_) => {
                self.notify.send(Notice::Cancel(id));
                reply
            }
            IntakeResult::Refused | IntakeResult::Unknown => CancelReply::Unknown,
        }
    }

    fn may_store_unknown(&self, team: Option<&Arc<str>>) -> bool {
        let cancellations = self.unknown_cancellations.lock();
        let mut cancellations = cancellations.unwrap_or_else(PoisonError::into_inner);
        let now = self.platform.now();
        cancellations.remove_full(now);
        let may_store = cancellations.take(team, now);
        if !may_store {
            let metrics = &self.context.metrics;
            metrics.record_turned_away("unknown_cancellation", 1);
        }
        may_store
    }

    /// Writes a row, through the owner if the write of this process is refused or has no reply.
    async fn store_row(
        &self,
        key: String,
        value: &[u8],
        id: JobId,
        is_cancellation: bool,
        timeout: Duration,
    ) -> IntakeResult {
        let now = self.platform.now();
        let local_timeout = timeout.min(LOCAL_WRITE_TIMEOUT);
        let result = self
            .intake
            .create(key, value.to_vec(), now + local_timeout)
            .await;
        let left = (now + timeout).saturating_duration_since(self.platform.now());
        if !matches!(result, IntakeResult::Refused | IntakeResult::Unknown) || left.is_zero() {
            return result;
        }
        let Ownership::Peer(address) = self.context.ownership.borrow().clone() else {
            return result;
        };
        if !self.context.is_owner_reachable(self.platform.now()) {
            return result;
        }
        let spec = if is_cancellation {
            Vec::new()
        } else {
            value.to_vec()
        };
        let request = AcceptRequest {
            job: Some(JobRow { id: id.0, spec }),
            cancel: is_cancellation,
            limit_ms: u64::try_from(left.as_millis()).unwrap_or(0),
        };
        let call = self
            .context
            .peers
            .call("accept", &address, left, |mut client| async move {
                client.accept(request).await
            });
        match call.await.map(|reply| reply.result()) {
            Ok(AcceptResult::Stored) => IntakeResult::Stored,
            Ok(AcceptResult::Refused) => result,
            Ok(AcceptResult::Unknown) => IntakeResult::Unknown,
            Err(PeerError::ConnectionRefused { .. }) => result,
            Err(error) => {
                log::debug!("{error}");
                IntakeResult::Unknown
            }
        }
    }

    /// Tells the owner of a job that was found in the store. The process that wrote it may not have learned that its
    /// write was done, and then has told nobody.
    pub(crate) fn notify_stored_job(&self, id: JobId, value: Vec<u8>) {
        match JobValue::parse(&value) {
            Some(JobValue::Accepted(spec)) => {
                self.notify.send(Notice::Job(id, Arc::new(spec), value));
            }
            Some(JobValue::Ended(_)) => {}
            None => EventCode::RecordUnreadable.log(format_args!("key={}", keys::job(id))),
        }
    }

    /// Creates a row on behalf of a peer that could not write it to the store.
    pub(crate) async fn accept_for_peer(
        &self,
        key: String,
        value: Vec<u8>,
        deadline: Instant,
    ) -> IntakeResult {
        self.intake.create(key, value, deadline).await
    }
}
