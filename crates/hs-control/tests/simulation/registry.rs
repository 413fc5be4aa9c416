//! The registry of workers and the configuration of the simulated platform.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::{AdviceSpec, QueueSpec, WorkerEntry};
use hs_control::port::{ConfigReply, RegisteredWorker, WorkerChange, WorkerChanges};
use hs_control::{ClusterConfig, QueueRoute, RequestLimits, TeamConfig};
use hs_wire::Resources;

use crate::world::{Reply, World};

/// Queue whose tasks run on every worker.
pub const OPEN_QUEUE: &str = "open";

/// Queue whose tasks need a ticket from the advice service.
pub const ADVISED_QUEUE: &str = "advised";

/// Memory of each worker in MiB.
const WORKER_MEMORY_MIB: u32 = 16_000;

/// Revision of the only configuration.
const CONFIG_REVISION: u64 = 1;

/// Registered workers, and the history of the registry.
#[derive(Debug, Default)]
pub struct SimRegistry {
    entries: Vec<RegisteredWorker>,
    changes: Vec<WorkerChange>,
}

impl SimRegistry {
    /// Registers a worker, or replaces its entry.
    pub fn register(&mut self, worker: RegisteredWorker) {
        self.entries
            .retain(|entry| entry.entry.id != worker.entry.id);
        self.entries.push(worker.clone());
        self.changes.push(WorkerChange::Registered(worker));
    }

    /// Removes the entry of a worker, and returns it.
    ///
    /// # Panics
    ///
    /// Panics if the worker is not registered.
    pub fn unregister(&mut self, id: &str) -> RegisteredWorker {
        let position = self.entries.iter().position(|entry| *entry.entry.id == *id);
        let removed = self
            .entries
            .remove(position.expect("the worker is registered"));
        self.changes.push(WorkerChange::Removed(id.to_owned()));
        removed
    }

    /// Returns whether a worker is registered.
    pub fn is_registered(&self, id: &str) -> bool {
        self.entries.iter().any(|entry| *entry.entry.id == *id)
    }

    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Returns all workers and the revision of the registry.
    pub fn workers(&self) -> (Vec<RegisteredWorker>, u64) {
        (self.entries.clone(), self.revision())
    }

    /// Returns the changes after a revision.
    pub fn changes(&self, after: u64) -> WorkerChanges {
        let first = usize::try_from(after).expect("a revision is an index");
        WorkerChanges::Events(self.changes[first..].to_vec(), self.revision())
    }
}

/// Returns the entry of a worker with this number.
pub fn registered_worker(number: usize, started_ms: u64, cpu_milli: u32) -> RegisteredWorker {
    RegisteredWorker {
        entry: WorkerEntry {
            id: format!("w{number}").into(),
            started_ms,
            service: "service".into(),
            labels: Vec::new(),
            capacity: Resources {
                cpu_milli,
                memory_mib: WORKER_MEMORY_MIB,
                ..Resources::default()
            },
            draining: false,
        },
        address: format!("worker:{number}").into(),
    }
}

fn queue(name: &str, advice: Option<AdviceSpec>) -> QueueSpec {
    QueueSpec {
        name: name.into(),
        service: "service".into(),
        priority: 1,
        max_attempts: 3,
        stretch: 2.0,
        target: Duration::from_secs(2),
        advice,
    }
}

/// Returns the configuration of a simulation with these teams.
fn configuration(teams: Vec<TeamConfig>) -> Arc<ClusterConfig> {
    let advice = AdviceSpec {
        base_cost: Duration::from_millis(8),
        cost_per_worker: Duration::from_micros(400),
        ticket_validity: Duration::from_secs(2),
    };
    let queues = [queue(OPEN_QUEUE, None), queue(ADVISED_QUEUE, Some(advice))];
    let routes = queues.map(|queue| QueueRoute {
        host: queue.name.to_string(),
        prefix: "/".to_owned(),
        public: false,
        queue,
    });
    Arc::new(ClusterConfig {
        version: 1,
        routes: routes.into(),
        teams,
        limits: RequestLimits {
            max_body_bytes: 100_000,
            ..RequestLimits::default()
        },
    })
}

impl World {
    /// Returns whether the registry lists the incarnation of a worker that is running.
    pub fn is_listed(&self, number: usize) -> bool {
        let worker = &self.workers[number];
        let mut entries = self.registry.entries.iter().map(|listed| &listed.entry);
        entries.any(|entry| entry.id == worker.id && entry.started_ms == worker.started_ms)
    }

    /// Processes a request for the configuration, which never changes.
    pub fn config(&mut self, known: Option<(u64, u64)>, wait: Duration, reply: Reply<ConfigReply>) {
        if known.is_none() {
            let newest = ConfigReply::Newest(configuration(self.teams.clone()), CONFIG_REVISION);
            return self.reply(reply, Ok(newest));
        }
        let end = self.now + wait;
        self.at(end, move |world| {
            world.reply(reply, Ok(ConfigReply::Unchanged(CONFIG_REVISION)));
        });
    }
}
