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

/// Processes that call the advice service, in a fixed order.
#[derive(Debug)]
pub(crate) struct AdviceCallers {
    callers: Vec<AdviceCaller>,
    positions: HashMap<AdviceCaller, usize>,
    /// Positions of the processes that have no call in flight.
    idle: BTreeSet<usize>,
}

impl Default for AdviceCallers {
    fn default() -> Self {
        let mut callers = Self {
            callers: Vec::new(),
            positions: HashMap::new(),
            idle: BTreeSet::new(),
        };
        callers.push(AdviceCaller::Here, true);
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
        for (position, caller) in earlier.into_iter().enumerate() {
            let stays = match &caller {
                AdviceCaller::Here => true,
                AdviceCaller::Peer(address) => live.contains(address),
            };
            if stays {
                self.push(caller, idle.contains(&position));
            }
        }
        for address in addresses {
            let caller = AdviceCaller::Peer(address.clone());
            if !self.positions.contains_key(&caller) {
                self.push(caller, true);
            }
        }
    }

    fn push(&mut self, caller: AdviceCaller, is_idle: bool) {
        let position = self.callers.len();
        self.positions.insert(caller.clone(), position);
        self.callers.push(caller);
        if is_idle {
            self.idle.insert(position);
        }
    }

    pub(crate) fn set_idle(&mut self, caller: &AdviceCaller) {
        if let Some(position) = self.positions.get(caller) {
            self.idle.insert(*position);
        }
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
        let position = self.idle_for(class).next()?;
        self.idle.remove(&position);
        Some(self.callers[position].clone())
    }

    fn idle_for(&self, class: RequestClass) -> impl Iterator<Item = usize> {
        let first = class.first_caller(self.callers.len());
        self.idle.range(first..).copied()
    }
}
