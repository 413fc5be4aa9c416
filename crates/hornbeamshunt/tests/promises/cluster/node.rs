//! Entry processes of a test cluster.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hs_http::HttpClient;
use hs_wire::{Resources, VmEntry, VmRole, VmState};
use serde_json::Value;

use super::{TestPlatform, eventually, free_address};

const BINARY: &str = env!("CARGO_BIN_EXE_hornbeamshunt");

/// Settings of one entry process that differ from the defaults.
#[derive(Clone, Debug, Default)]
pub struct NodeSpec {
    /// Data centre; empty for `dc1`.
    pub data_centre: String,
    /// Address of the store; `None` for that of the platform.
    pub store: Option<SocketAddr>,
    /// Address of the VM list; `None` for that of the platform.
    pub vm_list: Option<SocketAddr>,
    /// Address that is advertised to peers; `None` for that of the peer listener.
    pub advertise: Option<SocketAddr>,
    /// Address of the peer listener; `None` for a free one.
    pub peer_listen: Option<SocketAddr>,
}

/// One entry process. Dropping it kills the process.
pub struct EntryNode {
    pub caller: SocketAddr,
    pub control: SocketAddr,
    config: PathBuf,
    child: Option<Child>,
    client: HttpClient,
}

impl EntryNode {
    /// Starts `count` entry processes in `dc1`, adds them to the VM list, publishes the manifest, and
    /// waits until all are ready and every worker and partition is owned.
    pub async fn start_all(platform: &mut TestPlatform, count: usize, manifest: &str) -> Vec<Self> {
        let mut nodes = Vec::with_capacity(count);
        for number in 0..count {
            nodes.push(Self::prepare(platform, number, NodeSpec::default()).await);
        }
        platform.publish_vms().await;
        publish(platform, manifest);
        for node in &mut nodes {
            node.spawn();
        }
        wait_until_owned(&nodes, platform.workers.len()).await;
        nodes
    }

    /// Chooses the addresses, writes the settings file and adds the process to the entries of the VM
    /// list, without starting it.
    pub async fn prepare(platform: &mut TestPlatform, number: usize, spec: NodeSpec) -> Self {
        let id = format!("e{number}");
        let (caller, control) = (free_address(), free_address());
        let peer = spec.peer_listen.unwrap_or_else(free_address);
        let data_centre = match spec.data_centre.as_str() {
            "" => "dc1".to_owned(),
            name => name.to_owned(),
        };
        let advertise = spec.advertise.unwrap_or(peer);
        let settings = serde_json::json!({
            "id": id,
            "data_centre": data_centre,
            "caller_listen": caller,
            "control_listen": control,
            "peer_listen": peer,
            "peer_advertise": advertise,
            "store": spec.store.unwrap_or(platform.store.address),
            "vm_list": spec.vm_list.unwrap_or(platform.vms.address),
            "seeds": platform.entries.iter().filter(|vm| vm.role == VmRole::Entry)
                .map(|vm| vm.addr.clone()).collect::<Vec<_>>(),
        });
        let name = format!(
            "hornbeamshunt-{}-{}.json",
            std::process::id(),
            caller.port()
        );
        let config = std::env::temp_dir().join(name);
        fs::write(&config, settings.to_string()).expect("settings");
        platform.entries.push(VmEntry {
            id,
            addr: advertise.to_string(),
            data_centre,
            rack: String::new(),
            role: VmRole::Entry,
            state: VmState::Live,
            capacity: Resources::ZERO,
        });
        Self {
            caller,
            control,
            config,
            child: None,
            client: HttpClient::default(),
        }
    }

    /// Starts the process.
    pub fn spawn(&mut self) {
        let log = self.config.with_extension("log");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("log file");
        let child = Command::new(BINARY)
            .args(["serve", "--config"])
            .arg(&self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("entry process");
        self.child = Some(child);
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.config.with_extension("log")).unwrap_or_default()
    }

    /// Sends the process a signal: `STOP`, `CONT`, `TERM` or `KILL`.
    pub fn signal(&self, name: &str) {
        let id = self
            .child
            .as_ref()
            .expect("a running process")
            .id()
            .to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(status.expect("kill").success(), "kill -{name} {id}");
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM, waits until the process has ended, and returns whether it exited with success.
    pub async fn terminate(&mut self) -> bool {
        self.signal("TERM");
        let mut child = self.child.take().expect("a running process");
        let limit = Duration::from_secs(20);
        eventually("end of the process", limit, async || {
            child.try_wait().expect("wait")
        })
        .await
        .success()
    }

    /// Returns the operator's status, or `None` if the process does not answer.
    pub async fn status(&self) -> Option<Value> {
        let peer = self.control.to_string();
        let limit = Duration::from_secs(2);
        let reply = self
            .client
            .get("status", &peer, "/v1/status", limit)
            .await
            .ok()?;
        reply.json().ok()
    }
}

impl Drop for EntryNode {
    fn drop(&mut self) {
        self.kill();
        // The log of a failed test is kept for debugging.
        if !std::thread::panicking() {
            let _ = fs::remove_file(self.config.with_extension("log"));
        }
        let _ = fs::remove_file(&self.config);
    }
}

/// Waits until the processes are ready, and together own all workers and partitions.
pub async fn wait_until_owned(nodes: &[EntryNode], workers: usize) {
    eventually(
        "ownership of every worker",
        Duration::from_secs(10),
        async || {
            let mut owned = 0;
            for node in nodes {
                let status = node.status().await?;
                if status["ready"] != true {
                    return None;
                }
                owned += status["workers"].as_array()?.len();
            }
            (owned == workers).then_some(())
        },
    )
    .await;
    eventually(
        "ownership of every partition",
        Duration::from_secs(10),
        async || {
            let mut owned = 0;
            for node in nodes {
                let status = node.status().await?;
                let partitions = status["partitions"].as_array()?.iter();
                owned += partitions
                    .filter(|partition| partition["is_owned"] == true)
                    .count();
            }
            (owned == PARTITION_COUNT).then_some(())
        },
    )
    .await;
}

/// Number of ledger partitions of an installation.
pub(super) const PARTITION_COUNT: usize = 4;

/// Number of the next manifest file, so that concurrent publications use different files.
static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

/// Publishes a manifest with the `publish` command, and returns its output.
pub fn publish(platform: &TestPlatform, manifest: &str) -> std::process::Output {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("hornbeamshunt-{}-{number}.manifest", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, manifest).expect("manifest");
    let output = Command::new(BINARY)
        .arg("publish")
        .arg(&path)
        .args(["--store", &platform.store.address.to_string()])
        .output()
        .expect("publish");
    let _ = fs::remove_file(path);
    output
}
