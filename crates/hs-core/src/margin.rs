//! Capacity margin that a customer above its fair share leaves to the other customers.

use hs_wire::Resources;

use crate::{CustomerKey, Placer, WorkBand};

/// Divisor of the total capacity that gives the margin. A customer above its fair share may not
/// take the margin with work of the bands `Urgent` and `Short`. If a burst takes all capacity, each
/// check of the other customers has to wait for a task to end; with a margin of one sixteenth,
/// fewer than one in a hundred of them waited at 70 percent load.
const MARGIN_DIVISOR: u64 = 16;

/// Maximum number of customers whose parked work one call of [`Placer::poll`] retries.
const MAX_MARGIN_RETRIES_PER_POLL: usize = 8;

impl Placer {
    /// Returns whether the margin holds work back: it would take part of the margin while its
    /// customer uses more than one and a half times its fair share of some resource. Only the bands
    /// `Urgent` and `Short` are subject to the margin.
    pub(crate) fn blocked_by_margin(
        &self,
        customer: CustomerKey,
        band: WorkBand,
        amount: Resources,
    ) -> bool {
        if band > WorkBand::Short {
            return false;
        }
        let totals = self.pool.totals();
        let needs = amount.dimensions().into_iter().zip(totals);
        let mut needs = needs.filter(|(need, _)| *need > 0);
        let takes_margin = needs.any(|(need, (capacity, used))| {
            (used + u64::from(need)) * MARGIN_DIVISOR > capacity * (MARGIN_DIVISOR - 1)
        });
        if !takes_margin {
            return false;
        }
        let account = &self.accounts[customer];
        let weight = u64::from(account.policy.weight);
        // Usage fluctuates, so only more than one and a half times the fair share counts as a
        // burst. Both sides are doubled to stay in integers.
        let weight_limit = weight * 3;
        let held = account.used.dimensions().into_iter().zip(totals);
        held.into_iter().any(|(held, (capacity, _))| {
            held.saturating_mul(2 * self.active_weight) > capacity.saturating_mul(weight_limit)
        })
    }

    /// Appends a customer to the margin waiters unless it is among them.
    pub(crate) fn wait_for_margin(&mut self, customer: CustomerKey) {
        let account = &mut self.accounts[customer];
        if !std::mem::replace(&mut account.waits_for_margin, true) {
            self.margin_waiters.push_back(customer);
        }
    }

    /// Returns how many margin waiters one call of [`Placer::poll`] retries.
    pub(crate) fn margin_retries(&self) -> usize {
        self.margin_waiters.len().min(MAX_MARGIN_RETRIES_PER_POLL)
    }

    /// Returns the lanes of the first margin waiter to their queues.
    pub(crate) fn retry_margin_waiter(&mut self) {
        if let Some(customer) = self.margin_waiters.pop_front() {
            self.accounts[customer].waits_for_margin = false;
            self.unpark(customer);
        }
    }

    /// Adds or subtracts the weight of a customer if it began or ceased to have work.
    pub(crate) fn update_active_weight(&mut self, customer: CustomerKey) {
        let account = &mut self.accounts[customer];
        let (before, active) = (account.active, account.has_work());
        account.active = active;
        let weight = u64::from(account.policy.weight);
        match (before, active) {
            (false, true) => self.active_weight += weight,
            (true, false) => self.active_weight -= weight,
            _ => {}
        }
    }

    /// Recomputes the sum of the weights of the customers that have work.
    pub(crate) fn recompute_active_weight(&mut self) {
        self.active_weight = 0;
        for account in self.accounts.values_mut() {
            account.active = account.has_work();
            let weight = u64::from(account.policy.weight);
            self.active_weight += if account.active { weight } else { 0 };
        }
    }
}
