//! A simulated process: the real control tasks on a runtime of their own, whose clock the simulation moves.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hs_cell::CellOptions;
use hs_control::{AccessOptions, Control, ControlMetrics, ControlOptions, PeerLimits, VmLimits};
use hs_metrics::MetricRegistry;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

use crate::cpu::{POLL_WORK, VirtualCpu};
use crate::link::VirtualLink;
use crate::platform::SimPlatform;
use crate::world::SharedWorld;

/// Longest use of processor time before other processes get their turn.
pub const SLICE: Duration = Duration::from_millis(1);

/// Number of polls of the sentinel in a row after which no other task is ready. It waits in the same queue.
const QUIET_POLLS: u32 = 2;

/// Number and processor of a process.
#[derive(Clone, Debug)]
pub struct ProcessIdentity {
    pub number: usize,
    /// Number of the start, since a process may be restarted.
    pub incarnation: u32,
    pub cpu: Arc<VirtualCpu>,
    pub link: Arc<VirtualLink>,
}

/// A process that is running.
struct LiveProcess {
    runtime: Runtime,
    control: Control<SimPlatform>,
    stop: watch::Sender<bool>,
    sentinel_polls: Arc<AtomicU64>,
    /// Time up to which the clock of the runtime was moved.
    advanced_to: Duration,
}

/// A process, which can be killed and started again.
pub struct SimProcess {
    identity: ProcessIdentity,
    limits: VmLimits,
    live: Option<LiveProcess>,
}

impl SimProcess {
    /// Builds a process that is not running.
    pub fn new(number: usize, core_share: f64, link_mbps: Option<f64>) -> Self {
        let cpu = Arc::new(VirtualCpu::new(core_share));
        Self {
            identity: ProcessIdentity {
                number,
                incarnation: 0,
                cpu,
                link: Arc::new(VirtualLink::new(link_mbps)),
            },
            limits: VmLimits {
                cores: Some(core_share),
                link_mbps,
                ..VmLimits::default()
            },
            live: None,
        }
    }

    /// Returns the name of the process's VM.
    pub fn node(number: usize) -> String {
        format!("vm{number}")
    }

    /// Returns the address of the peer listener.
    pub fn address(number: usize) -> SocketAddr {
        let port = 1000 + u16::try_from(number).expect("there are few processes");
        SocketAddr::from(([10, 0, 0, 1], port))
    }

    /// Starts the control tasks.
    pub fn start(&mut self, world: &SharedWorld, now: Duration) {
        self.identity.incarnation += 1;
        self.identity.cpu.catch_up(now);
        let runtime = Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            // After each task the slice looks at the processor time and at the tasks that others have woken.
            .event_interval(1)
            .global_queue_interval(1)
            .build()
            .expect("a runtime starts");
        let number = self.identity.number;
        let platform = SimPlatform::new(world.clone(), self.identity.clone());
        let options = ControlOptions {
            node: Self::node(number),
            peer_listen: Self::address(number),
            cell: CellOptions::default(),
            limits: self.limits,
            peer_limits: PeerLimits::default(),
            access: AccessOptions::default(),
        };
        let registry = MetricRegistry::new().expect("a registry starts");
        let metrics = ControlMetrics::new(registry);
        let (stop, stopped) = watch::channel(false);
        let control = runtime.block_on(hs_control::run(platform, options, metrics, stopped));
        let sentinel_polls = Arc::new(AtomicU64::new(0));
        runtime.spawn(Sentinel {
            polls: sentinel_polls.clone(),
        });
        self.live = Some(LiveProcess {
            control: control.expect("the listener opens"),
            runtime,
            stop,
            sentinel_polls,
            advanced_to: now,
        });
    }

    /// Ends the process at once, with all its tasks and connections.
    pub fn kill(&mut self) {
        self.live = None;
    }

    /// Asks the process to shut down.
    pub fn shut_down(&self) {
        if let Some(live) = &self.live {
            live.stop.send_replace(true);
        }
    }

    /// Cuts the process off from all others, the store and the workers.
    pub fn cut_off(&self) {
        self.identity.link.cut();
    }

    /// Stops the process until a time. Its clocks go on.
    pub fn pause_until(&self, until: Duration) {
        self.identity.cpu.catch_up(until);
    }

    /// Changes the share of a core.
    pub fn set_core_share(&self, core_share: f64) {
        self.identity.cpu.set_core_share(core_share);
    }

    /// Returns whether the process is running.
    pub fn is_live(&self) -> bool {
        self.live.is_some()
    }

    /// Spawns a task of a client on the process.
    ///
    /// # Panics
    ///
    /// Panics if the process is not running.
    pub fn spawn<F>(&self, task: impl FnOnce(Control<SimPlatform>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let live = self.live.as_ref().expect("the process is running");
        live.runtime.spawn(task(live.control.clone()));
    }

    /// Runs the process until it has nothing to do or has used up its slice, unless it is behind.
    pub fn run_slice(&mut self, now: Duration) {
        let cpu = &self.identity.cpu;
        let Some(live) = &mut self.live else {
            return;
        };
        if cpu.local_time() > now {
            return;
        }
        cpu.catch_up(now);
        let elapsed = now - live.advanced_to;
        live.advanced_to = now;
        let slice = Slice {
            cpu,
            end: now + SLICE,
            sentinel_polls: &live.sentinel_polls,
        };
        live.runtime.block_on(async {
            tokio::time::advance(elapsed).await;
            slice.run().await;
        });
    }
}

/// A turn of a process on its virtual processor.
struct Slice<'a> {
    cpu: &'a VirtualCpu,
    end: Duration,
    sentinel_polls: &'a AtomicU64,
}

impl Slice<'_> {
    /// Completes once no task is ready, or the processor time is used up.
    ///
    /// The runtime polls this future after each task, since it wakes itself.
    async fn run(&self) {
        let mut seen = self.sentinel_polls.load(Ordering::Relaxed);
        let mut quiet_polls = 0;
        poll_fn(|context| {
            let polls = self.sentinel_polls.load(Ordering::Relaxed);
            if polls == seen {
                quiet_polls = 0;
                self.cpu.charge(POLL_WORK);
            } else {
                quiet_polls += 1;
            }
            seen = polls;
            if quiet_polls >= QUIET_POLLS || self.cpu.local_time() >= self.end {
                return Poll::Ready(());
            }
            context.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }
}

/// A task that is always ready. It counts its polls, and keeps the runtime from moving its clock.
struct Sentinel {
    polls: Arc<AtomicU64>,
}

impl Future for Sentinel {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.polls.fetch_add(1, Ordering::Relaxed);
        context.waker().wake_by_ref();
        Poll::Pending
    }
}
