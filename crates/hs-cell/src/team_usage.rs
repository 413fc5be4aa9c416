//! Resources that the runs of each team occupy, and the caps of the teams.
//!
//! Each run that has a slot on a worker counts, whatever its phase. The changes of slots in the `free_index` module
//! are the only ones that add and remove usage.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use hs_share::ResourceSum;
use hs_wire::Resources;
use slotmap::{SlotMap, new_key_type};

use crate::team_spec::TeamSpec;

new_key_type! {
    /// Key of a team.
    pub(crate) struct TeamKey;
}

/// Amounts in the order of [`Resources::dimensions`].
type ResourceSums = [u64; 5];

/// Usage and caps of all teams.
#[derive(Debug, Default)]
pub(crate) struct TeamUsage {
    accounts: SlotMap<TeamKey, TeamAccount>,
    keys: HashMap<Arc<str>, TeamKey>,
    /// Teams that may have got room since the last call of [`TeamUsage::take_relieved`].
    relieved: BTreeSet<TeamKey>,
}

/// Usage and cap of one team.
#[derive(Debug)]
struct TeamAccount {
    name: Arc<str>,
    /// Whether the configuration in force names the team.
    is_configured: bool,
    /// Zero in a dimension is no limit.
    cap: Resources,
    used: ResourceSums,
}

/// Resources that a team may still use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamRoom {
    /// Amounts that are left; `u64::MAX` in a dimension without limit.
    left: ResourceSums,
    /// Whether the team uses more than its cap, so that it gets nothing, not even tasks that need none of that.
    is_over: bool,
}

impl TeamRoom {
    const UNLIMITED: Self = Self {
        left: [u64::MAX; 5],
        is_over: false,
    };

    /// Returns how many tasks with this need may start.
    pub(crate) fn max_tasks(&self, need: Resources) -> u64 {
        if self.is_over {
            return 0;
        }
        let pairs = need.dimensions().into_iter().zip(self.left);
        let counts = pairs.filter_map(|(need, left)| left.checked_div(u64::from(need)));
        counts.min().unwrap_or(u64::MAX)
    }

    /// Returns whether this many tasks may start together.
    pub(crate) fn admits(&self, need: Resources, count: u64) -> bool {
        self.max_tasks(need) >= count
    }

    /// Takes the resources of tasks that are going to start. Returns whether they fitted.
    pub(crate) fn take(&mut self, need: Resources, count: u64) -> bool {
        if !self.admits(need, count) {
            return false;
        }
        for (left, need) in self.left.iter_mut().zip(need.dimensions()) {
            if *left != u64::MAX {
                *left -= u64::from(need) * count;
            }
        }
        true
    }
}

impl TeamAccount {
    fn room(&self) -> TeamRoom {
        let mut room = TeamRoom::UNLIMITED;
        let limits = self.cap.dimensions().into_iter().zip(self.used);
        for (left, (cap, used)) in room.left.iter_mut().zip(limits) {
            if cap > 0 {
                room.is_over |= used > u64::from(cap);
                *left = u64::from(cap).saturating_sub(used);
            }
        }
        room
    }
}

impl TeamUsage {
    /// Returns the key of a team, which is added without a cap if it is not known.
    pub(crate) fn intern(&mut self, name: &Arc<str>) -> TeamKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.accounts.insert(TeamAccount {
            name: name.clone(),
            is_configured: false,
            cap: Resources::ZERO,
            used: ResourceSums::default(),
        });
        self.keys.insert(name.clone(), key);
        key
    }

    /// Applies the teams of a configuration. Teams that it no longer names keep their last caps, for the jobs that
    /// they still have.
    pub(crate) fn configure(&mut self, teams: impl IntoIterator<Item = TeamSpec>) {
        for account in self.accounts.values_mut() {
            account.is_configured = false;
        }
        for team in teams {
            let key = self.intern(&team.name);
            let account = &mut self.accounts[key];
            account.is_configured = true;
            if account.cap != team.cap {
                account.cap = team.cap;
                self.relieved.insert(key);
            }
        }
    }

    /// Returns whether the configuration no longer names some of the known teams.
    pub(crate) fn has_unconfigured(&self) -> bool {
        self.accounts.values().any(|account| !account.is_configured)
    }

    /// Forgets the teams that the configuration no longer names and that `is_needed` does not keep.
    pub(crate) fn forget_unconfigured(&mut self, is_needed: impl Fn(TeamKey) -> bool) {
        let keys = &mut self.keys;
        self.accounts.retain(|key, account| {
            let stays = account.is_configured || is_needed(key);
            if !stays {
                keys.remove(&account.name);
            }
            stays
        });
    }

    /// Returns whether any team has a cap.
    pub(crate) fn is_limited(&self) -> bool {
        self.accounts.values().any(|a| a.cap != Resources::ZERO)
    }

    /// Returns the key of a team, if it is known.
    pub(crate) fn key(&self, name: &str) -> Option<TeamKey> {
        self.keys.get(name).copied()
    }

    pub(crate) fn name(&self, key: TeamKey) -> Option<&Arc<str>> {
        self.accounts.get(key).map(|account| &account.name)
    }

    /// Counts a run.
    pub(crate) fn add(&mut self, team: Option<TeamKey>, need: Resources) {
        let Some(account) = team.and_then(|key| self.accounts.get_mut(key)) else {
            return;
        };
        for (used, need) in account.used.iter_mut().zip(need.dimensions()) {
            *used += u64::from(need);
        }
    }

    /// Removes a run that was counted.
    pub(crate) fn remove(&mut self, key: TeamKey, need: Resources) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        for (used, need) in account.used.iter_mut().zip(need.dimensions()) {
            *used -= u64::from(need);
        }
        if account.cap != Resources::ZERO {
            self.relieved.insert(key);
        }
    }

    /// Returns what a team may still use; everything if the job has no team.
    pub(crate) fn room(&self, team: Option<TeamKey>) -> TeamRoom {
        let account = team.and_then(|key| self.accounts.get(key));
        account.map_or(TeamRoom::UNLIMITED, TeamAccount::room)
    }

    /// Takes the teams whose usage has fallen or whose caps have changed.
    pub(crate) fn take_relieved(&mut self) -> BTreeSet<TeamKey> {
        std::mem::take(&mut self.relieved)
    }

    /// Returns what the runs of a team occupy, by its key.
    pub(crate) fn used_by(&self, key: TeamKey) -> ResourceSum {
        let account = self.accounts.get(key);
        let used = account.map_or(ResourceSums::default(), |account| account.used);
        ResourceSum::from_dimensions(used)
    }

    /// Returns what the runs of a team occupy.
    pub(crate) fn used(&self, name: &str) -> ResourceSums {
        let key = self.keys.get(name);
        let account = key.and_then(|key| self.accounts.get(*key));
        account.map_or(ResourceSums::default(), |account| account.used)
    }
}
