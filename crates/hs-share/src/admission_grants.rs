//! Jobs whose class was decided before they were offered.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::JobClass;

/// Time for which a grant is kept. A process stores an admitted job and offers it well within it.
const RETENTION: Duration = Duration::from_secs(30);

/// Classes of the jobs that were admitted and not offered yet.
///
/// Answers the load pattern of a congested team, each of whose jobs asks for admission and is then offered: it
/// takes one token and not two. A grant that is forgotten too early costs its team a further token.
#[derive(Clone, Debug)]
pub struct AdmissionGrants<K> {
    classes: HashMap<K, (Instant, JobClass)>,
    /// Grants in the order in which they are forgotten, including some that were taken.
    expiries: VecDeque<(Instant, K)>,
    max_grants: usize,
}

impl<K: Copy + Eq + Hash> AdmissionGrants<K> {
    /// Creates an empty collection of at most `max_grants`. Beyond that the oldest ones are forgotten.
    pub fn new(max_grants: usize) -> Self {
        Self {
            classes: HashMap::new(),
            expiries: VecDeque::new(),
            max_grants,
        }
    }

    /// Keeps the class of an admitted job.
    pub fn add(&mut self, job: K, class: JobClass, now: Instant) {
        self.forget_old(now);
        self.classes.insert(job, (now, class));
        self.expiries.push_back((now, job));
        while self.expiries.len() > self.max_grants {
            self.forget_first();
        }
    }

    /// Returns the class of a job that asks again.
    pub fn get(&self, job: K) -> Option<JobClass> {
        self.classes.get(&job).map(|(_, class)| *class)
    }

    /// Removes the grant of a job that is offered, and returns its class.
    pub fn take(&mut self, job: K) -> Option<JobClass> {
        self.classes.remove(&job).map(|(_, class)| class)
    }

    /// Returns the number of grants.
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Returns whether there are no grants.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, _)) = self.expiries.front()
            && now.saturating_duration_since(*at) >= RETENTION
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((at, job)) = self.expiries.pop_front() else {
            return;
        };
        // A job that was admitted again has a later entry.
        if self.classes.get(&job).is_some_and(|(kept, _)| *kept == at) {
            self.classes.remove(&job);
        }
    }
}
