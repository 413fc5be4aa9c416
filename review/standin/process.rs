//! The project's own processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, object};
use crate::store::Store;

/// Time in which the processes have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub struct Process {
    child: Child,
    settings: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// Processes with their settings and logs in a temporary folder.
pub struct Processes {
    pub all: Vec<Process>,
    folder: PathBuf,
}

impl Processes {
    /// Starts processes that use the store, and waits until they are ready.
    pub fn start(count: usize, store: &Store) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("hs-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut processes = Self {
            all: Vec::new(),
            folder,
        };
        for number in 0..count {
            let (front, ready, control) = (
                http::free_address(),
                http::free_address(),
                http::free_address(),
            );
            let settings = settings(number, front, ready, control, store.serve(number));
            let path = processes.folder.join(format!("settings-{number}.json"));
            fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
            let child = spawn(&path)?;
            processes.all.push(Process {
                child,
                settings: path,
                front,
                ready,
            });
        }
        let until = Instant::now() + READY_TIMEOUT;
        while !processes.all.iter().all(Process::is_ready) {
            if Instant::now() >= until {
                return Err("the processes did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(processes)
    }

    /// Waits until a process has exited after a signal, and starts it again.
    pub fn restart(&mut self, number: usize) -> Result<(), String> {
        let process = &mut self.all[number];
        process.child.wait().map_err(|error| error.to_string())?;
        thread::sleep(RESTART_DELAY);
        process.child = spawn(&process.settings)?;
        Ok(())
    }

    /// Sends a signal to a process.
    pub fn signal(&self, number: usize, name: &str) {
        let id = self.all[number].child.id().to_string();
        let _ = Command::new("kill").args([format!("-{name}"), id]).status();
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for process in &mut self.all {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.ready, "GET", "/v1/ready", &[], "", timeout);
        matches!(answer, Ok((200, _)))
    }
}

/// Starts a process with the command of the deploy file. Its log goes beside its settings.
fn spawn(settings: &Path) -> Result<Child, String> {
    let command = run_command(Path::new("deploy/system.toml"))?;
    let (program, arguments) = command
        .split_first()
        .ok_or("no command in the deploy file")?;
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"));
    let log = log.map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let child = Command::new(program)
        .args(arguments)
        .env_clear()
        .env("HORNBEAMSHUNT_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn();
    child.map_err(|error| format!("{program}: {error}"))
}

/// Returns the words of the first `run` of a deploy file.
fn run_command(path: &Path) -> Result<Vec<String>, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut lines = text.lines().filter_map(|line| line.strip_prefix("run = "));
    let command = lines.next().ok_or("the deploy file has no command")?;
    let words = command.trim_matches('"').split_whitespace();
    Ok(words.map(str::to_owned).collect())
}

fn settings(
    number: usize,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    store: SocketAddr,
) -> Json {
    let internal = u64::from(http::free_address().port());
    let text = |address: SocketAddr| Json::Text(address.to_string());
    object([
        ("node", format!("edge-z1-{number}").as_str().into()),
        ("role", "entry".into()),
        ("machineClass", "edge".into()),
        ("serves", vec!["edge".into()].into()),
        ("ip", "127.0.0.1".into()),
        ("zone", "z1".into()),
        ("region", "r1".into()),
        ("zones", object([("z1", "r1".into())])),
        (
            "listen",
            object([
                ("front", text(front)),
                ("ready", text(ready)),
                ("control", text(control)),
            ]),
        ),
        (
            "internalPorts",
            vec![internal.into(), internal.into()].into(),
        ),
        ("seeds", Vec::new().into()),
        ("bootstrap", true.into()),
        (
            "limits",
            object([
                ("cpuShare", Json::Number(0.25)),
                ("cores", 1.into()),
                ("memoryMb", 260.into()),
                ("maxFds", 4100.into()),
            ]),
        ),
        ("dataDir", Json::Null),
        ("discovery", "platform".into()),
        ("entry", "vip".into()),
        ("heartbeatMs", 1500.into()),
        (
            "bounds",
            object([
                ("contactMs", 3000.into()),
                ("ackMs", 4000.into()),
                ("drainMs", 2000.into()),
                ("graceS", 6.into()),
                ("configApplyMs", 2000.into()),
                ("holdMaxMs", 10_000.into()),
                ("stopMs", 200.into()),
                ("gangMs", 3000.into()),
                ("cancel_ms", 3000.into()),
                ("visible_ms", 3000.into()),
                ("status_s", 120.into()),
                ("leaseMs", 3000.into()),
            ]),
        ),
        ("orders", "call".into()),
        (
            "platform",
            object([
                ("addr", text(store)),
                ("form", "kv".into()),
                ("writesPerS", 400.into()),
                ("readsPerS", 2000.into()),
                ("historyS", 20.into()),
                ("valueBytes", 1_048_576.into()),
                ("ttlMinMs", 1000.into()),
            ]),
        ),
    ])
}
