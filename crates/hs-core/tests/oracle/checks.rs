//! What the oracle recomputes from the list of known work.

use std::collections::HashSet;

use hs_core::{CustomerKey, PolicyMode, WorkBand, WorkKey, WorkRequest, WorkerKey, WorkerState};
use hs_wire::Resources;

use super::{Harness, Known};

impl Harness {
    pub fn check_limits(&self, key: WorkerKey, capacity: Resources, placed: &WorkRequest) {
        let band = placed.band;
        if band >= WorkBand::Normal {
            let room = capacity.saturating_sub(self.policy.short_reserve);
            let held = self.held(key, WorkBand::Normal).dimensions();
            let needs = placed.resources.dimensions().into_iter();
            // Adopted tasks may hold part of the reserve already, which work that takes nothing of
            // that dimension does not make worse.
            for (index, _) in needs.enumerate().filter(|(_, need)| *need > 0) {
                let room = room.dimensions()[index];
                assert!(held[index] <= room, "reserve of short work taken");
            }
        }
        let tasks = self.tasks_on(key).into_iter();
        let long = tasks.filter(|(work, _)| self.works[work].request.band == WorkBand::Long);
        let most = self.policy.long_ceiling.filter(|_| band == WorkBand::Long);
        assert!(
            most.is_none_or(|most| long.count() <= most as usize),
            "long ceiling"
        );
    }

    /// Polls until nothing changes, then compares every worker with the oracle.
    pub fn settle(&mut self) {
        while let Some(decision) = self.placer.poll(self.now) {
            self.decide(decision);
        }
        let mut active = 0;
        for (key, capacity, state) in &self.workers {
            active += usize::from(*state == WorkerState::Active);
            let held = self.held(*key, WorkBand::Urgent);
            assert!(held.fits(*capacity), "{held:?} on a worker of {capacity:?}");
            assert_eq!(self.placer.worker_load(*key), Some((*capacity, held)));
        }
        assert!(
            self.out.len() <= (active * 30 / 100).max(1),
            "too many ejected"
        );
        let waiting = self.works.values().filter(|known| known.workers.is_none());
        assert_eq!(
            self.placer.capacity_summary().queued as usize,
            waiting.count()
        );
        if self.plain && self.policy.mode == PolicyMode::Fair {
            for known in self.works.values().filter(|known| known.workers.is_none()) {
                assert!(!self.could_start(&known.request), "waits: {known:?}");
            }
        }
    }

    pub fn could_start(&self, request: &WorkRequest) -> bool {
        let held = self
            .held_by(request.customer)
            .saturating_add(request.resources);
        let quota = self.policy_of(request.customer).quota;
        let fits = |(key, capacity, state): &(WorkerKey, Resources, WorkerState)| {
            let free = capacity.saturating_sub(self.held(*key, WorkBand::Urgent));
            *state == WorkerState::Active && request.resources.fits(free)
        };
        quota.is_none_or(|quota| held.fits(quota))
            && self.workers.iter().any(fits)
            && !self.takes_margin(request)
    }

    /// Returns whether a customer that holds more than one and a half times its share would take
    /// the last sixteenth of the room.
    fn takes_margin(&self, request: &WorkRequest) -> bool {
        let active = self
            .workers
            .iter()
            .filter(|(.., state)| *state == WorkerState::Active);
        let (mut capacity, mut used) = (Resources::ZERO, request.resources);
        for (key, of, _) in active {
            capacity = capacity.saturating_add(*of);
            used = used.saturating_add(self.held(*key, WorkBand::Urgent));
        }
        let customers = self.works.values().map(|known| known.request.customer);
        let customers: HashSet<_> = customers.collect();
        let held = self.held_by(request.customer).dimensions();
        let (capacity, used) = (capacity.dimensions(), used.dimensions());
        let needs = request.resources.dimensions();
        let exceeds = |index: usize| 2 * held[index] * customers.len() as u32 > 3 * capacity[index];
        let fills = |index: usize| needs[index] > 0 && 16 * used[index] > 15 * capacity[index];
        (0..5).any(exceeds) && (0..5).any(fills)
    }

    pub fn could_fit(&self, request: &WorkRequest) -> bool {
        let fair = self.policy.mode == PolicyMode::Fair;
        let mut room = 0;
        for (_, capacity, _) in &self.workers {
            let mut free = *capacity;
            if request.band >= WorkBand::Normal {
                free = free.saturating_sub(self.policy.short_reserve);
            }
            let long = request.band == WorkBand::Long;
            let most = self
                .policy
                .long_ceiling
                .filter(|_| long)
                .unwrap_or(u32::MAX);
            for _ in 0..u32::from(request.tasks).min(most) {
                if let Some(left) = free.checked_sub(request.resources) {
                    free = left;
                    room += 1;
                }
            }
        }
        let total = request.resources.saturating_mul(u32::from(request.tasks));
        let quota = self.policy_of(request.customer).quota.filter(|_| fair);
        room >= request.tasks && quota.is_none_or(|quota| total.fits(quota))
    }

    pub fn policy_of(&self, customer: CustomerKey) -> &hs_core::CustomerPolicy {
        let mut customers = self.policy.customers.iter();
        let found = customers.find(|policy| self.placer.customer(&policy.name) == Some(customer));
        found.expect("a known customer")
    }

    pub fn waiting(&self, customer: CustomerKey, band: WorkBand) -> u32 {
        let of = |known: &&Known| {
            (known.request.customer, known.request.band) == (customer, band)
                && known.workers.is_none()
        };
        self.works.values().filter(of).count() as u32
    }

    pub fn running(&self) -> impl Iterator<Item = (WorkKey, u16)> {
        self.order.iter().flat_map(|work| {
            let workers = self.works[work].workers.iter().flatten().enumerate();
            let held = workers.filter(|(_, worker)| worker.is_some());
            held.map(|(task, _)| (*work, task as u16))
        })
    }

    pub fn tasks_on(&self, key: WorkerKey) -> Vec<(WorkKey, u16)> {
        let on = |(work, task): &(WorkKey, u16)| {
            let workers = self.works[work].workers.as_ref().expect("running work");
            workers[usize::from(*task)] == Some(key)
        };
        self.running().filter(on).collect()
    }

    pub fn held(&self, key: WorkerKey, from: WorkBand) -> Resources {
        let tasks = self.tasks_on(key).into_iter();
        self.sum(tasks, |request| request.band >= from)
    }

    pub fn held_by(&self, customer: CustomerKey) -> Resources {
        self.sum(self.running(), |request| request.customer == customer)
    }

    fn sum(
        &self,
        tasks: impl Iterator<Item = (WorkKey, u16)>,
        counts: impl Fn(&WorkRequest) -> bool,
    ) -> Resources {
        let requests = tasks.map(|(work, _)| &self.works[&work].request);
        let amounts = requests
            .filter(|request| counts(request))
            .map(|request| request.resources);
        amounts.fold(Resources::ZERO, |sum, amount| {
            sum.checked_add(amount).expect("no overflow")
        })
    }
}
