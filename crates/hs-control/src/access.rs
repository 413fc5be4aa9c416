//! The decision whether a call is allowed.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use crate::config::{ClusterConfig, QueueRoute};

/// What the configuration in force allows for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// The call carries a key of this team.
    Team(&'a QueueRoute, &'a Arc<str>),
    /// The call needs no key.
    Public(&'a QueueRoute),
    /// The call carries no key, or one that no team holds.
    UnknownKey,
    /// No queue has this host and path.
    NoQueue,
    /// No configuration has been read yet.
    NoConfiguration,
    /// The configuration may be out of date, so that no key can be relied on.
    Unconfirmed,
    /// The configuration refuses the call and may be out of date. It has to be read again to know.
    UnconfirmedRefusal,
}

/// The rules in force at one moment.
#[derive(Clone, Debug)]
pub struct CurrentRules {
    /// Rules of the configuration in force; `None` if none has been read yet.
    pub rules: Option<Arc<AccessRules>>,
    /// Whether the keys of the rules may be relied on.
    pub is_confirmed: bool,
    /// Whether the rules are new enough to refuse a call for good.
    pub may_refuse: bool,
}

impl Access<'_> {
    /// Returns the name of the reason for which a call is refused, or `None` if it is allowed.
    pub fn refusal_reason(&self) -> Option<&'static str> {
        match self {
            Self::Team(..) | Self::Public(_) => None,
            Self::UnknownKey => Some("unknown_key"),
            Self::NoQueue => Some("no_queue"),
            Self::NoConfiguration => Some("no_configuration"),
            Self::Unconfirmed => Some("unconfirmed"),
            Self::UnconfirmedRefusal => Some("unconfirmed_refusal"),
        }
    }
}

impl CurrentRules {
    /// Decides on a call with this host, path and key.
    pub fn access(&self, host: &str, path: &str, key: Option<&str>) -> Access<'_> {
        match self.decide(host, path, key) {
            Access::NoQueue | Access::UnknownKey if !self.may_refuse => Access::UnconfirmedRefusal,
            access => access,
        }
    }

    /// Decides on a call as if the rules were the newest.
    fn decide(&self, host: &str, path: &str, key: Option<&str>) -> Access<'_> {
        let Some(rules) = &self.rules else {
            return Access::NoConfiguration;
        };
        let Some(route) = rules.config.route(host, path) else {
            return Access::NoQueue;
        };
        if route.public || !rules.needs_keys {
            return Access::Public(route);
        }
        if !self.is_confirmed {
            return Access::Unconfirmed;
        }
        match key.and_then(|key| rules.team_names.get(key)) {
            Some(name) => Access::Team(route, name),
            None => Access::UnknownKey,
        }
    }
}

/// A configuration with an index of its keys, which is built once for each configuration.
pub struct AccessRules {
    config: Arc<ClusterConfig>,
    needs_keys: bool,
    /// Names of the teams by key. The map is seeded at random, so that the time of a look-up tells nothing about
    /// similar keys.
    team_names: HashMap<Arc<str>, Arc<str>>,
}

impl AccessRules {
    /// Builds the rules of a configuration. Calls need keys if it has teams, or if the settings say so.
    ///
    /// A key that several teams hold belongs to the first.
    pub fn new(config: Arc<ClusterConfig>, always_needs_keys: bool) -> Self {
        let mut team_names = HashMap::new();
        for team in &config.teams {
            for key in team.keys.iter().filter(|key| !key.is_empty()) {
                let entry = team_names.entry(key.clone());
                entry.or_insert_with(|| team.spec.name.clone());
            }
        }
        Self {
            needs_keys: always_needs_keys || !config.teams.is_empty(),
            team_names,
            config,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Arc<ClusterConfig> {
        &self.config
    }

    /// Returns whether calls to routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }
}

/// Leaves out the keys.
impl fmt::Debug for AccessRules {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = f.debug_struct("AccessRules");
        fields.field("version", &self.config.version);
        fields.field("needs_keys", &self.needs_keys);
        fields.finish_non_exhaustive()
    }
}
