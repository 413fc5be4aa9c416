//! The configuration in force in a process, and when it was last confirmed.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hs_event::{EventCode, LogText};
use tokio::sync::watch;

use crate::access::{AccessRules, CurrentRules};
use crate::config::ClusterConfig;
use crate::line_limit::LineLimit;
use crate::port::{ConfigReply, PortError};

/// Part of the time until which a withdrawn key must be refused during which a read confirms the configuration.
///
/// A read that is sent later than the change is acknowledged shows the change, so each part below 1 is right for clocks
/// that run at the same rate. The rest, 1 s of 5 s, covers clocks that run slower after a migration of the VM, and
/// callers that measure with other clocks. Three reads in a row may be lost without a refusal.
const CONFIRMED_PART: f64 = 0.8;

/// Time until which a withdrawn key must be refused, if the settings do not state it.
const DEFAULT_REVOKE_TIME: Duration = Duration::from_millis(5000);

/// Minimum time between two lines about failed calls for the configuration.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of refusals that are logged in [`REFUSAL_LOG_INTERVAL`].
const MAX_LOGGED_REFUSALS: u32 = 8;

/// Interval of [`MAX_LOGGED_REFUSALS`].
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How a process learns of a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConfigSource {
    /// A call that waits for changes.
    Watch,
    /// A linearizable read.
    Read,
}

/// Part of the time in which a configuration has to be in force during which a read lets calls be refused.
///
/// Each part up to 1 is right for clocks that run at the same rate, as a read that is sent after a change shows it.
const REFUSAL_PART: f64 = 0.5;

/// Time in which a configuration has to be in force, if the settings do not state it.
const DEFAULT_APPLY_TIME: Duration = Duration::from_millis(2000);

/// Settings of the decision whether a call is allowed.
#[derive(Clone, Copy, Debug)]
pub struct AccessOptions {
    /// Whether calls need a key even if the configuration has no teams.
    pub keys_always_needed: bool,
    /// Age of the latest read of the configuration up to which keys may be relied on; `None` if keys follow the
    /// configuration without a bound.
    pub max_key_age: Option<Duration>,
    /// Age of the latest read of the configuration up to which a call may be refused for good by it.
    pub max_refusal_age: Duration,
}

impl Default for AccessOptions {
    fn default() -> Self {
        Self {
            keys_always_needed: false,
            max_key_age: None,
            max_refusal_age: Self::refusal_age_for(Duration::ZERO),
        }
    }
}

impl AccessOptions {
    /// Returns the largest age with which withdrawn keys are refused after `revoke_time`, or after the default time if
    /// that is zero.
    pub fn key_age_for(revoke_time: Duration) -> Duration {
        time_or(revoke_time, DEFAULT_REVOKE_TIME).mul_f64(CONFIRMED_PART)
    }

    /// Returns the largest age with which no call is refused that a configuration allows which was acknowledged longer
    /// ago than `apply_time`, or than the default time if that is zero.
    pub fn refusal_age_for(apply_time: Duration) -> Duration {
        time_or(apply_time, DEFAULT_APPLY_TIME).mul_f64(REFUSAL_PART)
    }
}

/// Returns a time, or a default if it is zero.
fn time_or(time: Duration, default: Duration) -> Duration {
    match time {
        Duration::ZERO => default,
        time => time,
    }
}

/// Rules and confirmation, which are read together: the rules are at least as new as the read that confirms them.
struct AccessState {
    rules: Option<Arc<AccessRules>>,
    /// When the latest successful linearizable read was sent, on the clock that counts suspended time.
    confirmed_at: Option<Instant>,
    /// When the latest answer of the store to a call for the configuration arrived, on the same clock.
    heard_at: Option<Instant>,
    /// Whether the loss of the confirmation was logged.
    is_lost: bool,
    failure_lines: LineLimit,
    refusal_lines: LineLimit,
}

impl Default for AccessState {
    fn default() -> Self {
        Self {
            rules: None,
            confirmed_at: None,
            heard_at: None,
            is_lost: false,
            failure_lines: LineLimit::new(1, FAILURE_LOG_INTERVAL),
            refusal_lines: LineLimit::new(MAX_LOGGED_REFUSALS, REFUSAL_LOG_INTERVAL),
        }
    }
}

/// Publishes the configuration in force. Clones share their state.
#[derive(Clone)]
pub(crate) struct ConfigState {
    sender: watch::Sender<Option<Arc<ClusterConfig>>>,
    access: Arc<Mutex<AccessState>>,
    options: AccessOptions,
}

impl ConfigState {
    /// Creates the state of a process without a configuration, which is published to `sender`.
    pub(crate) fn new(
        sender: watch::Sender<Option<Arc<ClusterConfig>>>,
        options: AccessOptions,
    ) -> Self {
        Self {
            sender,
            access: Arc::default(),
            options,
        }
    }

    /// Puts a configuration in force if it is newer than the current one. Returns the version in force.
    pub(crate) fn apply(
        &self,
        config: Arc<ClusterConfig>,
        revision: u64,
        source: ConfigSource,
        now: Instant,
    ) -> u64 {
        let mut access = self.lock();
        let current = access.rules.as_ref().map(|rules| rules.config().version);
        if let Some(current) = current.filter(|current| *current >= config.version) {
            return current;
        }
        EventCode::ManifestApplied.log(format_args!(
            "version={} previous={} routes={} revision={revision} source={source:?} heard_ms_ago={:?}",
            config.version,
            current.unwrap_or(0),
            config.routes.len(),
            age_ms(access.heard_at, now),
        ));
        let rules = AccessRules::new(config.clone(), self.options.keys_always_needed);
        access.rules = Some(Arc::new(rules));
        let version = config.version;
        self.sender.send_replace(Some(config));
        version
    }

    /// Records that the store has answered a call for the configuration.
    pub(crate) fn record_heard(&self, now: Instant) {
        let mut access = self.lock();
        access.heard_at = access.heard_at.max(Some(now));
    }

    /// Logs a call for the configuration that was sent at `sent` and got no usable reply.
    pub(crate) fn record_failure(
        &self,
        source: ConfigSource,
        sent: Instant,
        now: Instant,
        error: &PortError,
    ) {
        let mut access = self.lock();
        let Some(left_out) = access.failure_lines.next_line(now) else {
            return;
        };
        EventCode::ConfigCallFailed.log(format_args!(
            "source={source:?} waited_ms={} heard_ms_ago={:?} failed={} cause=\"{error}\"",
            now.saturating_duration_since(sent).as_millis(),
            age_ms(access.heard_at, now),
            left_out + 1,
        ));
    }

    /// Logs a request to this host and path that is refused for `reason`.
    pub(crate) fn record_refusal(
        &self,
        reason: &'static str,
        host: &str,
        path: &str,
        now: Instant,
    ) {
        let mut access = self.lock();
        let Some(left_out) = access.refusal_lines.next_line(now) else {
            return;
        };
        let version = access.rules.as_ref().map(|rules| rules.config().version);
        EventCode::RefusedByConfig.log(format_args!(
            "reason={reason} host={} path={} version={version:?} heard_ms_ago={:?} confirmed_ms_ago={:?} \
            left_out={left_out}",
            LogText(host),
            LogText(path),
            age_ms(access.heard_at, now),
            age_ms(access.confirmed_at, now),
        ));
    }

    /// Records the reply to a linearizable read that was sent at `sent`, and puts a newer configuration in force.
    ///
    /// A configuration that can't be decoded, or is older, confirms the one in force, which stays. None at all confirms
    /// nothing.
    pub(crate) fn record_read(&self, sent: Instant, now: Instant, reply: &ConfigReply) {
        match reply {
            ConfigReply::Newest(config, revision) => {
                self.apply(config.clone(), *revision, ConfigSource::Read, now);
            }
            ConfigReply::Unchanged(_) => {}
            ConfigReply::Unknown => return,
        }
        let mut access = self.lock();
        access.confirmed_at = access.confirmed_at.max(Some(sent));
        access.heard_at = access.heard_at.max(Some(now));
    }

    /// Returns the rules in force, and what they may be relied on for. `now` is read after the state, since a process
    /// may be suspended at any time.
    pub(crate) fn current_rules(&self, now: impl FnOnce() -> Instant) -> CurrentRules {
        let (rules, confirmed_at) = {
            let access = self.lock();
            (access.rules.clone(), access.confirmed_at)
        };
        let now = now();
        CurrentRules {
            is_confirmed: self.is_confirmed(confirmed_at, now),
            may_refuse: is_young(confirmed_at, now, self.options.max_refusal_age),
            rules,
        }
    }

    /// Returns whether calls that need keys can be served, and logs when this changes because of the confirmation.
    pub(crate) fn check_confirmation(&self, now: Instant) -> bool {
        let mut access = self.lock();
        let is_confirmed =
            !self.needs_confirmation(&access) || self.is_confirmed(access.confirmed_at, now);
        // A process that has just started has lost nothing.
        let is_lost = !is_confirmed && access.confirmed_at.is_some();
        if std::mem::replace(&mut access.is_lost, is_lost) != is_lost {
            let age = access
                .confirmed_at
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            let event = match is_lost {
                true => EventCode::ConfigUnconfirmed,
                false => EventCode::ConfigConfirmed,
            };
            event.log(format_args!("age_ms={}", age.as_millis()));
        }
        is_confirmed
    }

    /// Returns when the configuration was last confirmed if it has to be, and otherwise `None`.
    pub(crate) fn last_confirmation(&self) -> Option<Option<Instant>> {
        let access = self.lock();
        self.needs_confirmation(&access)
            .then_some(access.confirmed_at)
    }

    /// Returns whether there are keys that expire with the confirmation.
    fn needs_confirmation(&self, access: &AccessState) -> bool {
        let needs_keys = |rules: &Arc<AccessRules>| rules.needs_keys();
        let needs_keys =
            self.options.keys_always_needed || access.rules.as_ref().is_some_and(needs_keys);
        self.options.max_key_age.is_some() && needs_keys
    }

    fn is_confirmed(&self, confirmed_at: Option<Instant>, now: Instant) -> bool {
        let max_age = self.options.max_key_age;
        max_age.is_none_or(|max_age| is_young(confirmed_at, now, max_age))
    }

    fn lock(&self) -> MutexGuard<'_, AccessState> {
        self.access.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a read was sent less than `max_age` ago.
fn is_young(sent: Option<Instant>, now: Instant, max_age: Duration) -> bool {
    sent.is_some_and(|at| now.saturating_duration_since(at) < max_age)
}

/// Returns the milliseconds since a time, or `None` if there is none.
fn age_ms(at: Option<Instant>, now: Instant) -> Option<u128> {
    at.map(|at| now.saturating_duration_since(at).as_millis())
}

/// Leaves out the configuration.
impl fmt::Debug for ConfigState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = f.debug_struct("ConfigState");
        fields
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}
