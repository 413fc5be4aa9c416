//! How calls reach simulated workers: late, not at all, or another incarnation than the one that they were meant for.

use std::time::Duration;

use hs_control::port::PortError;
use tokio::sync::oneshot;

use super::{OrderSender, SimWorker};
use crate::registry::registered_worker;
use crate::simulation::FIRST_CLOCK_START_MS;
use crate::world::{Reply, World, unix_ms_at};

/// Shortest time after which a late call is carried out.
const MIN_CALL_DELAY: Duration = Duration::from_secs(2);

/// Spread of the times after which late calls are carried out, in milliseconds.
const CALL_DELAY_SPREAD_MS: u64 = 10_000;

/// Upper bound of the reading at which the clock of a later incarnation begins, in milliseconds. That of the first one
/// begins in the middle, so that the next one is behind or ahead.
const MAX_CLOCK_START_MS: u64 = 2 * FIRST_CLOCK_START_MS;

/// Time that a worker takes for a call.
const SERVICE_TIME: Duration = Duration::from_micros(500);

impl World {
    /// Carries a call to a worker, which `operation` carries out unless the worker is down or unreachable.
    pub fn worker_call<T: Send + 'static>(
        &mut self,
        number: usize,
        sender: OrderSender,
        reply: Reply<T>,
        operation: impl FnOnce(&mut World, Reply<T>) + Send + 'static,
    ) {
        let worker = &self.workers[number];
        if !worker.reachable {
            return self.observer.keep_unanswered(reply);
        }
        if !worker.up {
            let error = PortError::Refused {
                operation: "worker call",
                peer: worker.id.to_string(),
                cause: "connection refused".to_owned(),
            };
            return self.reply(reply, Err(error));
        }
        let reply = match worker.loses_replies {
            true => {
                self.observer.keep_unanswered(reply);
                oneshot::channel().0
            }
            false => reply,
        };
        let late_call_percent = worker.late_call_percent;
        if late_call_percent > 0 && self.random_below(100) < late_call_percent {
            return self.carry_out_late(number, sender, reply, operation);
        }
        let done_at = self.now + SERVICE_TIME;
        self.at(done_at, move |world| match world.workers[number].up {
            true => operation(world, reply),
            false => world.reset_call(number, reply),
        });
    }

    /// Ends a call whose worker has crashed.
    fn reset_call<T: Send + 'static>(&mut self, number: usize, reply: Reply<T>) {
        let error = PortError::NoReply {
            operation: "worker call",
            peer: self.workers[number].id.to_string(),
            opened_at: None,
            cause: "connection reset".to_owned(),
        };
        self.reply(reply, Err(error));
    }

    /// Carries a call out seconds later, on the incarnation that the worker has then. It is not answered.
    ///
    /// [`World::carries_out_obsolete_calls`] decides whether that holds for calls that an earlier incarnation would
    /// have refused. An owner has every reason to take those for gone.
    fn carry_out_late<T: Send + 'static>(
        &mut self,
        number: usize,
        sender: OrderSender,
        reply: Reply<T>,
        operation: impl FnOnce(&mut World, Reply<T>) + Send + 'static,
    ) {
        let delay = Duration::from_millis(self.random_below(CALL_DELAY_SPREAD_MS));
        let done_at = self.now + MIN_CALL_DELAY + delay;
        self.at(done_at, move |world| {
            let worker = &world.workers[number];
            let is_obsolete = worker.is_obsolete(sender) && !world.carries_out_obsolete_calls;
            match worker.up && !is_obsolete {
                true => operation(world, reply),
                false => world.observer.keep_unanswered(reply),
            }
        });
    }

    /// Ends the process of a worker. Calls in progress have no reply.
    pub fn crash_worker(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        if !worker.up {
            return;
        }
        worker.up = false;
        worker.ended.clear();
        let lost = std::mem::take(&mut worker.running);
        for parked in std::mem::take(&mut worker.parked) {
            self.reset_call(number, parked.reply);
        }
        for run in lost.into_keys() {
            self.observer.lost(self.now, number, run);
        }
    }

    /// Starts a worker again under its ID, and registers it.
    pub fn start_worker_again(&mut self, number: usize) {
        self.crash_worker(number);
        self.start_next_incarnation(number);
        self.register_again(number);
    }

    /// Starts a worker again under its ID after a power loss: its connections are not closed, so that calls in progress
    /// have no reply. It is not registered yet.
    pub fn start_worker_after_power_loss(&mut self, number: usize) {
        for parked in std::mem::take(&mut self.workers[number].parked) {
            self.observer.keep_unanswered(parked.reply);
        }
        self.crash_worker(number);
        self.start_next_incarnation(number);
    }

    /// Registers the incarnation of a worker that is running.
    pub fn register_again(&mut self, number: usize) {
        let worker = &self.workers[number];
        let entry = registered_worker(number, worker.started_ms, worker.cpu_milli);
        self.registry.register(entry);
    }

    fn start_next_incarnation(&mut self, number: usize) {
        let clock_offset_ms = self.random_below(MAX_CLOCK_START_MS);
        let worker = &mut self.workers[number];
        *worker = SimWorker {
            earlier_fence: worker.earlier_fence.max(worker.fence),
            id: worker.id.clone(),
            started_ms: unix_ms_at(self.now).max(worker.started_ms + 1),
            cpu_milli: worker.cpu_milli,
            up: true,
            reachable: worker.reachable,
            clock_offset_ms,
            clock_slowness_ppm: worker.clock_slowness_ppm,
            stop_time: worker.stop_time,
            late_call_percent: worker.late_call_percent,
            // Renewals that waited at the earlier incarnation may still be due.
            renewal_count: worker.renewal_count,
            ..SimWorker::default()
        };
        self.observer.started_again(self.now, number);
    }
}
