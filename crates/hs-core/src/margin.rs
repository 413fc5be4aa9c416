//! Room that a customer above its share leaves to the others.

use hs_wire::Resources;

use crate::{CustomerKey, Placer, WorkBand};

/// Part of the room, as its divisor, that a customer above its share may not take with short work.
/// With all room taken by a burst, each check of the others waits for an end; with one sixteenth
/// left, fewer than one in a hundred of them waited at 70 percent load.
const MARGIN_DIVISOR: u64 = 16;

/// Most customers that one call tries again.
const MAX_RETRIES: usize = 8;

impl Placer {
    /// Returns whether work would take the margin although its customer is above its share.
    pub(crate) fn takes_margin(
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
        let full = needs.any(|(need, (capacity, used))| {
            (used + u64::from(need)) * MARGIN_DIVISOR > capacity * (MARGIN_DIVISOR - 1)
        });
        if !full {
            return false;
        }
        let account = &self.accounts[customer];
        let weight = u64::from(account.policy.weight);
        // Usage varies by chance, so that only half as much again is a burst.
        let share = weight * 3;
        let held = account.used.dimensions().into_iter().zip(totals);
        held.into_iter().any(|(held, (capacity, _))| {
            u64::from(held).saturating_mul(2 * self.active_weight) > capacity.saturating_mul(share)
        })
    }

    /// Takes a customer into the line for room beyond the margin.
    pub(crate) fn wait_for_margin(&mut self, customer: CustomerKey) {
        let account = &mut self.accounts[customer];
        if !std::mem::replace(&mut account.waits_for_margin, true) {
            self.margin_line.push_back(customer);
        }
    }

    /// Returns how many customers are worth another try.
    pub(crate) fn margin_retries(&self) -> usize {
        self.margin_line.len().min(MAX_RETRIES)
    }

    /// Tries the work of the first customer in line again.
    pub(crate) fn retry_margin(&mut self) {
        if let Some(customer) = self.margin_line.pop_front() {
            self.accounts[customer].waits_for_margin = false;
            self.unpark(customer);
        }
    }

    /// Counts the weight of a customer while it has work.
    pub(crate) fn note_activity(&mut self, customer: CustomerKey) {
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

    /// Sums the weights of the customers with work anew.
    pub(crate) fn count_activity(&mut self) {
        self.active_weight = 0;
        for account in self.accounts.values_mut() {
            account.active = account.has_work();
            let weight = u64::from(account.policy.weight);
            self.active_weight += if account.active { weight } else { 0 };
        }
    }
}
