//! Processes that call the advice service, and which of them are idle.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::request_class::RequestClass;

/// Process that calls the advice service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum AdviceCaller {
    /// The owner itself.
    Here,
    /// The process with this peer address.
    Peer(Arc<str>),
}

/// Maximum number of failures of a process that are counted.
const MAX_FAILURES: u8 = 8;

/// Process that has no call in flight. The one that has failed least comes first, since calls to a process that
/// is gone fail at once, so that it would be idle again before all others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct IdleCaller {
    failures: u8,
    position: usize,
}

#[derive(Clone, Debug)]
struct CallerState {
    caller: AdviceCaller,
    /// Number of calls that have failed since the last one that was answered.
    failures: u8,
}

/// Processes that call the advice service, in a fixed order.
#[derive(Debug)]
pub(crate) struct AdviceCallers {
    callers: Vec<CallerState>,
    positions: HashMap<AdviceCaller, usize>,
    idle: BTreeSet<IdleCaller>,
}

impl Default for AdviceCallers {
    fn default() -> Self {
        let mut callers = Self {
            callers: Vec::new(),
            positions: HashMap::new(),
            idle: BTreeSet::new(),
        };
        callers.push(CallerState::new(AdviceCaller::Here), true);
        callers
    }
}

impl AdviceCallers {
    /// Sets the peer addresses of the live processes other than the owner. New ones are idle.
    pub(crate) fn set_peers(&mut self, addresses: &[Arc<str>]) {
        let live: HashSet<&Arc<str>> = addresses.iter().collect();
        let earlier = std::mem::take(&mut self.callers);
        let idle = std::mem::take(&mut self.idle);
        self.positions.clear();
        for (position, state) in earlier.into_iter().enumerate() {
            let stays = match &state.caller {
                AdviceCaller::Here => true,
                AdviceCaller::Peer(address) => live.contains(address),
            };
            let failures = state.failures;
            let is_idle = idle.contains(&IdleCaller { failures, position });
            if stays {
                self.push(state, is_idle);
            }
        }
        for address in addresses {
            let caller = AdviceCaller::Peer(address.clone());
            if !self.positions.contains_key(&caller) {
                self.push(CallerState::new(caller), true);
            }
        }
    }

    fn push(&mut self, state: CallerState, is_idle: bool) {
        let position = self.callers.len();
        let failures = state.failures;
        self.positions.insert(state.caller.clone(), position);
        self.callers.push(state);
        if is_idle {
            self.idle.insert(IdleCaller { failures, position });
        }
    }

    /// Marks a process as idle after a call, which was answered or has failed.
    pub(crate) fn call_ended(&mut self, caller: &AdviceCaller, is_answered: bool) {
        let Some(&position) = self.positions.get(caller) else {
            return;
        };
        let state = &mut self.callers[position];
        let earlier = state.failures;
        state.failures = match is_answered {
            true => 0,
            false => (earlier + 1).min(MAX_FAILURES),
        };
        let failures = state.failures;
        // A process that left and returned is idle already.
        self.idle.remove(&IdleCaller {
            failures: earlier,
            position,
        });
        self.idle.insert(IdleCaller { failures, position });
    }

    /// Returns whether an idle process may send a request of this class.
    pub(crate) fn has_idle(&self, class: RequestClass) -> bool {
        self.idle_for(class).next().is_some()
    }

    pub(crate) fn idle_count(&self, class: RequestClass) -> usize {
        self.idle_for(class).count()
    }

    /// Takes the first idle process that may send a request of this class.
    pub(crate) fn take_idle(&mut self, class: RequestClass) -> Option<AdviceCaller> {
        let idle = self.idle_for(class).next()?;
        self.idle.remove(&idle);
        Some(self.callers[idle.position].caller.clone())
    }

    fn idle_for(&self, class: RequestClass) -> impl Iterator<Item = IdleCaller> {
        let first = class.first_caller(self.callers.len());
        let idle = self.idle.iter().copied();
        idle.filter(move |idle| idle.position >= first)
    }
}

impl CallerState {
    fn new(caller: AdviceCaller) -> Self {
        Self {
            caller,
            failures: 0,
        }
    }
}
