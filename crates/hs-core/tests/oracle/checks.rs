//! Checks of the placer against values recomputed from the list of known work.

use std::collections::HashSet;

use hs_core::{CustomerKey, PolicyMode, WorkBand, WorkKey, WorkRequest, WorkerKey, WorkerState};
use hs_wire::Resources;

use super::{Harness, KnownWork};

impl Harness {
    /// Checks the short reserve and the limit on long tasks of a worker that was given work.
    pub fn check_limits(&self, key: WorkerKey, capacity: Resources, placed: &WorkRequest) {
        let band = placed.band;
        if band >= WorkBand::Normal {
            let limit = capacity.saturating_sub(self.policy.short_reserve);
            let used = self.used_on(key, WorkBand::Normal).dimensions();
            let needs = placed.resources.dimensions().into_iter();
            // Adopted tasks may already occupy part of the short reserve. Placed work does not
            // change the dimensions of which it uses nothing, so only the others are checked.
            for (index, _) in needs.enumerate().filter(|(_, need)| *need > 0) {
                let limit = limit.dimensions()[index];
                assert!(
                    used[index] <= limit,
                    "short reserve is used by a lower band"
                );
            }
        }
        let tasks = self.tasks_on(key).into_iter();
        let long = tasks.filter(|(work, _)| self.known_work[work].request.band == WorkBand::Long);
        let max_long = self.policy.long_ceiling.filter(|_| band == WorkBand::Long);
        assert!(
            max_long.is_none_or(|max_long| long.count() <= max_long as usize),
            "too many long tasks on a worker"
        );
    }

    /// Polls until there are no more decisions, then compares every worker with the oracle.
    pub fn poll_and_check(&mut self) {
        while let Some(decision) = self.placer.poll(self.now) {
            self.apply_decision(decision);
        }
        let mut active = 0;
        for (key, capacity, state) in &self.workers {
            active += usize::from(*state == WorkerState::Active);
            let held = self.used_on(*key, WorkBand::Urgent);
            assert!(held.fits(*capacity), "{held:?} on a worker of {capacity:?}");
            assert_eq!(self.placer.worker_load(*key), Some((*capacity, held)));
        }
        assert!(
            self.ejected.len() <= (active * 30 / 100).max(1),
            "too many ejected"
        );
        let waiting = self
            .known_work
            .values()
            .filter(|known| known.workers.is_none());
        assert_eq!(
            self.placer.capacity_summary().queued as usize,
            waiting.count()
        );
        if self.short_tasks_only && self.policy.mode == PolicyMode::Fair {
            for known in self
                .known_work
                .values()
                .filter(|known| known.workers.is_none())
            {
                assert!(!self.could_start(&known.request), "waits: {known:?}");
            }
        }
    }

    /// Returns whether a queued single task fits now within quota, capacity and margin.
    pub fn could_start(&self, request: &WorkRequest) -> bool {
        let held = self
            .used_by(request.customer)
            .saturating_add(request.resources);
        let quota = self.policy_of(request.customer).quota;
        let fits = |(key, capacity, state): &(WorkerKey, Resources, WorkerState)| {
            let free = capacity.saturating_sub(self.used_on(*key, WorkBand::Urgent));
            *state == WorkerState::Active && request.resources.fits(free)
        };
        quota.is_none_or(|quota| held.fits(quota))
            && self.workers.iter().any(fits)
            && !self.blocked_by_margin(request)
    }

    /// Returns whether the request would use the last sixteenth of the capacity while its customer
    /// uses more than one and a half times its fair share.
    fn blocked_by_margin(&self, request: &WorkRequest) -> bool {
        let active = self
            .workers
            .iter()
            .filter(|(.., state)| *state == WorkerState::Active);
        let (mut capacity, mut used) = (Resources::ZERO, request.resources);
        for (key, of, _) in active {
            capacity = capacity.saturating_add(*of);
            used = used.saturating_add(self.used_on(*key, WorkBand::Urgent));
        }
        let customers = self.known_work.values().map(|known| known.request.customer);
        let customers: HashSet<_> = customers.collect();
        let held = self.used_by(request.customer).dimensions();
        let (capacity, used) = (capacity.dimensions(), used.dimensions());
        let needs = request.resources.dimensions();
        let exceeds = |index: usize| 2 * held[index] * customers.len() as u32 > 3 * capacity[index];
        let fills = |index: usize| needs[index] > 0 && 16 * used[index] > 15 * capacity[index];
        (0..5).any(exceeds) && (0..5).any(fills)
    }

    /// Returns whether the request would fit if all workers were idle and its customer used none.
    pub fn could_fit(&self, request: &WorkRequest) -> bool {
        let fair = self.policy.mode == PolicyMode::Fair;
        let mut fitting = 0;
        for (_, capacity, _) in &self.workers {
            let mut free = *capacity;
            if request.band >= WorkBand::Normal {
                free = free.saturating_sub(self.policy.short_reserve);
            }
            let long = request.band == WorkBand::Long;
            let max_tasks = self
                .policy
                .long_ceiling
                .filter(|_| long)
                .unwrap_or(u32::MAX);
            for _ in 0..u32::from(request.tasks).min(max_tasks) {
                if let Some(left) = free.checked_sub(request.resources) {
                    free = left;
                    fitting += 1;
                }
            }
        }
        let total = request.resources.saturating_mul(u32::from(request.tasks));
        let quota = self.policy_of(request.customer).quota.filter(|_| fair);
        fitting >= request.tasks && quota.is_none_or(|quota| total.fits(quota))
    }

    pub fn policy_of(&self, customer: CustomerKey) -> &hs_core::CustomerPolicy {
        let mut customers = self.policy.customers.iter();
        let found = customers.find(|policy| self.placer.customer(&policy.name) == Some(customer));
        found.expect("a known customer")
    }

    pub fn queued_count(&self, customer: CustomerKey, band: WorkBand) -> u32 {
        let is_counted = |known: &&KnownWork| {
            (known.request.customer, known.request.band) == (customer, band)
                && known.workers.is_none()
        };
        self.known_work.values().filter(is_counted).count() as u32
    }

    pub fn running(&self) -> impl Iterator<Item = (WorkKey, u16)> {
        self.order.iter().flat_map(|work| {
            let workers = self.known_work[work].workers.iter().flatten().enumerate();
            let held = workers.filter(|(_, worker)| worker.is_some());
            held.map(|(task, _)| (*work, task as u16))
        })
    }

    pub fn tasks_on(&self, key: WorkerKey) -> Vec<(WorkKey, u16)> {
        let runs_on_worker = |(work, task): &(WorkKey, u16)| {
            let workers = self.known_work[work]
                .workers
                .as_ref()
                .expect("running work");
            workers[usize::from(*task)] == Some(key)
        };
        self.running().filter(runs_on_worker).collect()
    }

    /// Returns the resources that tasks of a band and the lower ones use on a worker.
    pub fn used_on(&self, key: WorkerKey, highest_band: WorkBand) -> Resources {
        let tasks = self.tasks_on(key).into_iter();
        self.sum(tasks, |request| request.band >= highest_band)
    }

    pub fn used_by(&self, customer: CustomerKey) -> Resources {
        self.sum(self.running(), |request| request.customer == customer)
    }

    fn sum(
        &self,
        tasks: impl Iterator<Item = (WorkKey, u16)>,
        counts: impl Fn(&WorkRequest) -> bool,
    ) -> Resources {
        let requests = tasks.map(|(work, _)| &self.known_work[&work].request);
        let amounts = requests
            .filter(|request| counts(request))
            .map(|request| request.resources);
        amounts.fold(Resources::ZERO, |sum, amount| {
            sum.checked_add(amount).expect("no overflow")
        })
    }
}
