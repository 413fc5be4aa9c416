//! Orders to a worker that wait for a turn.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use hs_cell::{JobId, StartOrder};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};

use super::pending_stops::PendingStop;

/// Maximum number of stops of a worker in progress. The others wait as long as none of these is answered.
const MAX_OPEN_STOPS: usize = 32;

/// Sender of orders to a worker.
#[derive(Debug)]
pub(super) struct OrderSender {
    starts: Arc<WaitingStarts>,
    stops: mpsc::UnboundedSender<Queued<PendingStop>>,
    waiting_stops: Arc<AtomicUsize>,
}

/// Queues of the starts and the stops, which take turns: many stops, as after the cancellation of a large job, delay no
/// start for long, and the other way round.
#[derive(Debug)]
pub(super) struct OrderQueue {
    starts: Arc<WaitingStarts>,
    stops: mpsc::UnboundedReceiver<Queued<PendingStop>>,
    open_stops: Arc<Semaphore>,
    waiting_stops: Arc<AtomicUsize>,
}

/// Starts that wait, of which each job has as many turns as any other (start-time fair queueing). A job with many starts, as a
/// wide gang, does not delay the few of another one.
#[derive(Debug, Default)]
struct WaitingStarts {
    orders: Mutex<StartOrders>,
    added: Notify,
}

#[derive(Debug, Default)]
struct StartOrders {
    /// Orders by the round in which they have their turn, and number.
    by_round: BTreeMap<(u64, u64), Queued<StartOrder>>,
    /// Round of the last start of each job that has one in the queue.
    last_rounds: HashMap<JobId, u64>,
    /// Round of the order that was taken last.
    round: u64,
    last_number: u64,
}

/// An order and the time at which it was queued.
#[derive(Debug)]
pub(super) struct Queued<T> {
    pub order: T,
    pub at: Instant,
}

/// An order to a worker.
#[derive(Debug)]
pub(super) enum LinkOrder {
    Start(StartOrder),
    /// The permit is returned when the stop is answered.
    Stop(PendingStop, OwnedSemaphorePermit),
}

/// Creates the queues of a worker.
pub(super) fn order_queue() -> (OrderSender, OrderQueue) {
    let starts = Arc::new(WaitingStarts::default());
    let (stop_sender, stops) = mpsc::unbounded_channel();
    let waiting_stops = Arc::new(AtomicUsize::new(0));
    let sender = OrderSender {
        starts: starts.clone(),
        stops: stop_sender,
        waiting_stops: waiting_stops.clone(),
    };
    let queue = OrderQueue {
        starts,
        stops,
        open_stops: Arc::new(Semaphore::new(MAX_OPEN_STOPS)),
        waiting_stops,
    };
    (sender, queue)
}

impl OrderSender {
    /// Queues a start.
    pub(super) fn send_start(&self, order: StartOrder, at: Instant) {
        self.starts.add(Queued { order, at });
    }

    /// Queues a stop.
    pub(super) fn send_stop(&self, order: PendingStop, at: Instant) {
        self.waiting_stops.fetch_add(1, Ordering::Relaxed);
        // A link only ends after it has reported the reason to the owner.
        let _ = self.stops.send(Queued { order, at });
    }

    /// Returns the number of orders that wait in the queues.
    pub(super) fn waiting(&self) -> usize {
        self.starts.lock().by_round.len() + self.waiting_stops.load(Ordering::Relaxed)
    }
}

impl OrderQueue {
    /// Waits for the next order. Returns `None` once the sender is gone.
    pub(super) async fn next(&mut self) -> Option<Queued<LinkOrder>> {
        let stops = &mut self.stops;
        let open_stops = self.open_stops.clone();
        let next_stop = async {
            let permit = open_stops.acquire_owned().await.ok()?;
            let Queued { order, at } = stops.recv().await?;
            let order = LinkOrder::Stop(order, permit);
            Some(Queued { order, at })
        };
        // Without a bias, either queue is as likely to be asked first.
        tokio::select! {
            Queued { order, at } = self.starts.take() => {
                let order = LinkOrder::Start(order);
                Some(Queued { order, at })
            }
            stop = next_stop => {
                self.waiting_stops.fetch_sub(1, Ordering::Relaxed);
                stop
            }
        }
    }
}

impl WaitingStarts {
    fn add(&self, start: Queued<StartOrder>) {
        self.lock().push(start);
        self.added.notify_one();
    }

    /// Waits for the next start.
    async fn take(&self) -> Queued<StartOrder> {
        loop {
            let first = self.lock().pop();
            if let Some(start) = first {
                return start;
            }
            self.added.notified().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, StartOrders> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StartOrders {
    fn push(&mut self, start: Queued<StartOrder>) {
        let job = start.order.run.task.job();
        let next = self.last_rounds.get(&job).map_or(0, |last| last + 1);
        let round = next.max(self.round);
        self.last_rounds.insert(job, round);
        self.last_number += 1;
        self.by_round.insert((round, self.last_number), start);
    }

    fn pop(&mut self) -> Option<Queued<StartOrder>> {
        let ((round, _), start) = self.by_round.pop_first()?;
        self.round = round;
        let job = start.order.run.task.job();
        if self.last_rounds.get(&job) == Some(&round) {
            self.last_rounds.remove(&job);
        }
        Some(start)
    }
}
