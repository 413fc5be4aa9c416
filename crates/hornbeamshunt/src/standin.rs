//! `standin` command: runs stand-ins for the services of the platform, for tests and trials.

use std::net::SocketAddr;

use argh::FromArgs;
use hs_standin::{
    StoreOptions, VmsOptions, VmsUpdate, WorkerOptions, run_store, run_vms, run_worker,
};
use hs_wire::Resources;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::exit::{CommandError, CommandExit};
use crate::file;
use crate::serve::stop_signal;

/// Run a stand-in for the store, the VM list or workers, for tests and trials.
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct StandinCommand {
    #[argh(subcommand)]
    kind: StandinKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinKind {
    Store(StoreCommand),
    Vms(VmsCommand),
    Worker(WorkerCommand),
}

/// Run a key-value store in memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// Run a VM list.
#[derive(FromArgs)]
#[argh(subcommand, name = "vms")]
struct VmsCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// JSON file with the list at the start: {"vms": [...]}
    #[argh(option)]
    list: Option<String>,

    /// age of the list that readers get, in milliseconds (default 0)
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// Run workers on consecutive ports.
#[derive(FromArgs)]
#[argh(subcommand, name = "worker")]
struct WorkerCommand {
    /// address of the first worker
    #[argh(option)]
    listen: SocketAddr,

    /// number of workers (default 1)
    #[argh(option, default = "1")]
    count: u16,

    /// processor time of one worker in thousandths of a core (default 64000)
    #[argh(option, default = "64_000")]
    cpu_milli: u32,

    /// memory of one worker in MiB (default 262144)
    #[argh(option, default = "262_144")]
    memory_mib: u32,

    /// accelerators of one worker (default 0)
    #[argh(option, default = "0")]
    accelerators: u32,

    /// slots of one worker (default 8)
    #[argh(option, default = "8")]
    slots: u32,

    /// connections of one worker (default 64)
    #[argh(option, default = "64")]
    connections: u32,

    /// accept starts over capacity and record the excess
    #[argh(switch)]
    unchecked: bool,

    /// time without a renewal after which durable tasks are stopped, in milliseconds (default
    /// 30000)
    #[argh(option, default = "30_000")]
    task_lease_ms: u64,
}

impl StandinCommand {
    pub(crate) async fn run(self) -> Result<CommandExit, CommandError> {
        let stop = stop_signal()?;
        match self.kind {
            StandinKind::Store(command) => {
                let listener = bind(command.listen).await?;
                run_store(listener, StoreOptions::default(), stop).await;
            }
            StandinKind::Vms(command) => command.run(stop).await?,
            StandinKind::Worker(command) => command.run(stop).await?,
        }
        Ok(CommandExit::Success)
    }
}

impl VmsCommand {
    async fn run(self, stop: watch::Receiver<bool>) -> Result<(), CommandError> {
        let vms = match &self.list {
            None => Vec::new(),
            Some(path) => {
                let update: VmsUpdate = serde_json::from_str(&file::read(path)?)
                    .map_err(|error| CommandError::usage(format!("{path}: {error}")))?;
                update.vms
            }
        };
        let options = VmsOptions {
            lag_ms: self.lag_ms,
            vms,
        };
        run_vms(bind(self.listen).await?, options, stop).await;
        Ok(())
    }
}

impl WorkerCommand {
    async fn run(self, stop: watch::Receiver<bool>) -> Result<(), CommandError> {
        let options = WorkerOptions {
            capacity: Resources {
                cpu_milli: self.cpu_milli,
                memory_mib: self.memory_mib,
                accelerators: self.accelerators,
                slots: self.slots,
                connections: self.connections,
            },
            task_lease_ms: self.task_lease_ms,
            allow_overcommit: self.unchecked,
            ..WorkerOptions::default()
        };
        let mut workers = JoinSet::new();
        for number in 0..self.count {
            let mut address = self.listen;
            let port = address.port().checked_add(number);
            address.set_port(port.ok_or_else(|| {
                CommandError::usage("the last worker would need a port above 65535")
            })?);
            workers.spawn(run_worker(bind(address).await?, options, stop.clone()));
        }
        while workers.join_next().await.is_some() {}
        Ok(())
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, CommandError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| CommandError::failed(format!("listen on {address}: {error}")))
}
