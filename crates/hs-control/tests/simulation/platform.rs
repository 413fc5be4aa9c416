//! The platform as a simulated process sees it.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hs_cell::{AdviceReply, StartOrder, StepId, TaskRun};
use hs_control::port::{
    AdvicePort, CatalogPort, ClockPort, ConfigReply, LeaseRenewal, NetworkPort, OrderAnswer,
    PortError, RegisteredWorker, RenewalReply, StartReply, StopReply, StoreChanges, StoreItem,
    StorePage, StorePort, StoreTxn, TxnReply, WorkerChanges, WorkerEndpoint, WorkerPort,
};
use hs_timer::timeout;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::network::{MeteredStream, SimListener};
use crate::process::ProcessIdentity;
use crate::wire_size::{HEAD_BYTES, WireSize};
use crate::worker::OrderSender;
use crate::world::{Reply, SharedWorld, World, unix_ms_at};

/// Work of sending a request.
const REQUEST_WORK: u64 = 25;

/// Work of reading a reply.
const REPLY_WORK: u64 = 25;

/// Work of opening a connection to a worker.
const CONNECT_WORK: u64 = 60;

/// Work of decoding an item of the store or an entry of the registry.
const ITEM_WORK: u64 = 10;

/// Time on a whole core of a unit of [`ClockPort::record_work`] in nanoseconds. A pass over a backlog of 10,000 jobs
/// without a bound did 225,000 units; one over 7,000 took 70 to 90 ms on half a core.
const NANOS_PER_RECORDED_WORK: u64 = 150;

/// Client of all services, for one process.
#[derive(Clone)]
pub struct SimPlatform {
    world: SharedWorld,
    process: ProcessIdentity,
    /// Workers to which this process has a connection.
    connected: Arc<Mutex<BTreeSet<usize>>>,
}

impl SimPlatform {
    /// Builds the client of a process.
    pub fn new(world: SharedWorld, process: ProcessIdentity) -> Self {
        Self {
            world,
            process,
            connected: Arc::default(),
        }
    }

    /// Calls a service, which handles the request with `handle`.
    async fn call<T: WireSize + Send + 'static>(
        &self,
        operation: &'static str,
        peer: &str,
        body_bytes: usize,
        limit: Duration,
        handle: impl FnOnce(&mut World, Reply<T>) + Send + 'static,
    ) -> Result<T, PortError> {
        self.process.cpu.charge(REQUEST_WORK);
        let (reply, answer) = oneshot::channel();
        let link = &self.process.link;
        let sent_at = link.send(self.process.cpu.local_time(), HEAD_BYTES + body_bytes);
        match link.is_cut() {
            true => self.world.lock().observer.keep_unanswered(reply),
            false => self
                .world
                .lock()
                .send_at(sent_at, move |world| handle(world, reply)),
        }
        let received = async {
            let answer = answer.await;
            if let Ok(Ok(answer)) = &answer {
                let arrived_at = self.process.cpu.local_time();
                let end = link.receive(arrived_at, HEAD_BYTES + answer.body_bytes());
                if end > arrived_at {
                    sleep(end - arrived_at).await;
                }
            }
            answer
        };
        let answer = timeout(limit, received).await;
        self.process.cpu.charge(REPLY_WORK);
        let no_reply = |cause: String| PortError::NoReply {
            operation,
            peer: peer.to_owned(),
            opened_at: None,
            cause,
        };
        match answer {
            Ok(Ok(result)) => result,
            Ok(Err(error)) => Err(no_reply(error.to_string())),
            Err(error) => Err(no_reply(error.to_string())),
        }
    }

    async fn store_call<T: WireSize + Send + 'static>(
        &self,
        operation: &'static str,
        body_bytes: usize,
        limit: Duration,
        handle: impl FnOnce(&mut World) -> T + Send + 'static,
    ) -> Result<T, PortError> {
        let process = self.process.number;
        self.call(
            operation,
            "store",
            body_bytes,
            limit,
            move |world, reply| {
                world.store_call(process, reply, handle);
            },
        )
        .await
    }

    async fn worker_call<T: WireSize + Send + 'static>(
        &self,
        operation: &'static str,
        peer: &WorkerEndpoint,
        sender: OrderSender,
        body_bytes: usize,
        limit: Duration,
        handle: impl FnOnce(&mut World, usize, Reply<T>) + Send + 'static,
    ) -> Result<T, PortError> {
        let number = worker_number(&peer.address);
        if self.connected.lock().expect("no panic").insert(number) {
            self.process.cpu.charge(CONNECT_WORK);
        }
        let called = self.call(
            operation,
            &peer.address,
            body_bytes,
            limit,
            move |world, reply| {
                world.worker_call(number, sender, reply, move |world, reply| {
                    handle(world, number, reply);
                });
            },
        );
        let result = called.await;
        if result.is_err() {
            self.connected.lock().expect("no panic").remove(&number);
        }
        result
    }

    fn sender(&self, fence: u64, peer: &WorkerEndpoint) -> OrderSender {
        OrderSender {
            process: (self.process.number, self.process.incarnation),
            fence,
            started_ms: peer.started_ms,
        }
    }

    fn charge_items(&self, count: usize) {
        self.process.cpu.charge(ITEM_WORK * count as u64);
    }
}

/// Returns the number of the worker at an address.
fn worker_number(address: &str) -> usize {
    let number = address.strip_prefix("worker:");
    let number = number.and_then(|number| number.parse().ok());
    number.expect("the registry lists simulated workers")
}

impl ClockPort for SimPlatform {
    fn now(&self) -> Instant {
        self.world.origin() + self.process.cpu.local_time()
    }

    fn unix_ms(&self) -> u64 {
        unix_ms_at(self.process.cpu.local_time())
    }

    fn record_work(&self, amount: u64) {
        let core_ns = amount * NANOS_PER_RECORDED_WORK;
        self.process.cpu.charge_nanos(core_ns);
    }
}

impl NetworkPort for SimPlatform {
    type Stream = MeteredStream;
    type Listener = SimListener;

    async fn listen(&self, address: SocketAddr) -> io::Result<SimListener> {
        let mut world = self.world.lock();
        let cpu = self.process.cpu.clone();
        let link = self.process.link.clone();
        Ok(world.network.listen(address.to_string(), cpu, link))
    }

    async fn connect(&self, address: &str) -> io::Result<MeteredStream> {
        self.process.cpu.charge(CONNECT_WORK);
        let stream = self.world.lock().network.connect(address)?;
        let process = &self.process;
        Ok(MeteredStream::new(
            stream,
            process.cpu.clone(),
            process.link.clone(),
        ))
    }
}

impl StorePort for SimPlatform {
    async fn read(&self, key: &str, limit: Duration) -> Result<Option<StoreItem>, PortError> {
        let key = key.to_owned();
        self.store_call("store read", 0, limit, move |world| world.store.get(&key))
            .await
    }

    async fn range(
        &self,
        prefix: &str,
        after: &str,
        limit: Duration,
    ) -> Result<StorePage, PortError> {
        let (prefix, after) = (prefix.to_owned(), after.to_owned());
        let read = self.store_call("store range", 0, limit, move |world| {
            world.store.range(&prefix, &after)
        });
        let page = read.await?;
        self.charge_items(page.items.len());
        Ok(page)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        _wait: Duration,
        limit: Duration,
    ) -> Result<StoreChanges, PortError> {
        let prefix = prefix.to_owned();
        let watched = self.store_call("store watch", 0, limit, move |world| {
            world.store.changes(&prefix, after)
        });
        let changes = watched.await?;
        if let StoreChanges::Events(items, _) = &changes {
            self.charge_items(items.len());
        }
        Ok(changes)
    }

    async fn transact(&self, txn: &StoreTxn, limit: Duration) -> Result<TxnReply, PortError> {
        self.charge_items(txn.writes.len() + txn.deletes.len());
        let txn = txn.clone();
        let process = self.process.number;
        self.store_call("store write", txn.body_bytes(), limit, move |world| {
            world.transact(process, &txn)
        })
        .await
    }
}

impl CatalogPort for SimPlatform {
    async fn config(
        &self,
        known: Option<(u64, u64)>,
        wait: Duration,
        limit: Duration,
    ) -> Result<ConfigReply, PortError> {
        self.call("configuration", "store", 0, limit, move |world, reply| {
            world.config(known, wait, reply);
        })
        .await
    }

    async fn workers(&self, limit: Duration) -> Result<(Vec<RegisteredWorker>, u64), PortError> {
        let read = self.store_call("registry", 0, limit, |world| world.registry.workers());
        let (workers, revision) = read.await?;
        self.charge_items(workers.len());
        Ok((workers, revision))
    }

    async fn worker_changes(
        &self,
        after: u64,
        _wait: Duration,
        limit: Duration,
    ) -> Result<WorkerChanges, PortError> {
        self.store_call("registry watch", 0, limit, move |world| {
            world.registry.changes(after)
        })
        .await
    }
}

impl WorkerPort for SimPlatform {
    async fn start(
        &self,
        peer: &WorkerEndpoint,
        fence: u64,
        lease_end_ms: u64,
        order: &StartOrder,
        limit: Duration,
    ) -> Result<OrderAnswer<StartReply>, PortError> {
        let sender = self.sender(fence, peer);
        let order = order.clone();
        self.worker_call(
            "start",
            peer,
            sender,
            order.body_bytes(),
            limit,
            move |world, number, reply| {
                let answer = world.start_run(number, sender, lease_end_ms, &order);
                world.reply(reply, Ok(answer));
            },
        )
        .await
    }

    async fn stop(
        &self,
        peer: &WorkerEndpoint,
        fence: u64,
        run: TaskRun,
        limit: Duration,
    ) -> Result<OrderAnswer<StopReply>, PortError> {
        let sender = self.sender(fence, peer);
        self.worker_call(
            "stop",
            peer,
            sender,
            0,
            limit,
            move |world, number, reply| {
                let answer = world.stop_run(number, sender, run);
                world.reply(reply, Ok(answer));
            },
        )
        .await
    }

    async fn renew_lease(
        &self,
        peer: &WorkerEndpoint,
        renewal: LeaseRenewal,
        limit: Duration,
    ) -> Result<RenewalReply, PortError> {
        let sender = self.sender(renewal.fence, peer);
        self.worker_call(
            "renewal",
            peer,
            sender,
            0,
            limit,
            move |world, number, reply| {
                world.renew_lease(number, sender, renewal, reply);
            },
        )
        .await
    }
}

impl AdvicePort for SimPlatform {
    async fn advise(
        &self,
        step: StepId,
        workers: &[Arc<str>],
        limit: Duration,
    ) -> Result<AdviceReply, PortError> {
        let workers = workers.to_vec();
        let process = self.process.number;
        self.call(
            "advice",
            "advice",
            workers.body_bytes(),
            limit,
            move |world, reply| {
                world.advise(process, step, workers, reply);
            },
        )
        .await
    }
}
