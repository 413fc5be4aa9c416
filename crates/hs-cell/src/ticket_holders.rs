//! Steps that hold tickets, in the order in which they are visited.
//!
//! Tickets expire within seconds, so steps whose advice was just answered come before those that were visited
//! with their tickets before.

use std::collections::BTreeMap;

use crate::StepId;

/// Turn of a step, the least comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HolderTurn {
    /// Whether the step was visited since its last reply.
    is_visited: bool,
    number: u64,
}

/// Steps that hold tickets.
#[derive(Debug, Default)]
pub(crate) struct TicketHolders {
    turns: BTreeMap<HolderTurn, StepId>,
    by_step: BTreeMap<StepId, HolderTurn>,
    last_number: u64,
}

impl TicketHolders {
    /// Adds a step whose advice was answered.
    pub(crate) fn add_answered(&mut self, id: StepId) {
        self.insert(id, false);
    }

    /// Gives all other steps a turn before this one, if it is one of them.
    pub(crate) fn move_back(&mut self, id: StepId) {
        if self.by_step.contains_key(&id) {
            self.insert(id, true);
        }
    }

    pub(crate) fn remove(&mut self, id: StepId) {
        if let Some(turn) = self.by_step.remove(&id) {
            self.turns.remove(&turn);
        }
    }

    /// Returns the steps by their turns.
    pub(crate) fn iter(&self) -> impl Iterator<Item = StepId> {
        self.turns.values().copied()
    }

    fn insert(&mut self, id: StepId, is_visited: bool) {
        self.remove(id);
        self.last_number += 1;
        let turn = HolderTurn {
            is_visited,
            number: self.last_number,
        };
        self.turns.insert(turn, id);
        self.by_step.insert(id, turn);
    }
}
