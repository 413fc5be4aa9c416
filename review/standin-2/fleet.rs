//! The system's own processes, started with the command of the deploy file.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, num, table, text};

pub struct Machine {
    pub front: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    program: Vec<String>,
    folder: PathBuf,
}

/// Returns the first port from which enough ports are free on an address.
fn free_port(ip: &str, from: u16) -> u16 {
    let is_free = |port: u16| std::net::TcpListener::bind((ip, port)).is_ok();
    let mut port = from;
    while !(port..port + 4).all(is_free) {
        port += 10;
    }
    port
}

impl Fleet {
    /// Prepares machines on loopback addresses of their own. `store` gives each machine's address of the store.
    /// `advice` gives that of its advice service, if there is one.
    pub fn new(
        count: usize,
        store: impl Fn(usize) -> String,
        advice: impl Fn(usize) -> Option<String>,
    ) -> Self {
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = "))
            .expect("run");
        let program = run
            .trim()
            .trim_matches('"')
            .split(' ')
            .map(str::to_owned)
            .collect();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let salt = (std::process::id() % 200) as u8;
        let machines = (0..count).map(|number| {
            let ip = format!("127.{}.0.{}", 20 + salt, number + 11);
            let port = free_port(&ip, 21_000 + (std::process::id() % 1000) as u16 * 10);
            let (front, ready) = (format!("{ip}:{port}"), format!("{ip}:{}", port + 1));
            let settings = table([
                ("node", text(format!("edge-z1-{number}"))),
                ("role", text("entry")),
                ("machineClass", text("edge")),
                ("serves", Json::List(vec![text("edge")])),
                ("ip", text(ip.clone())),
                ("zone", text("z1")),
                ("region", text("g1")),
                (
                    "listen",
                    table([
                        ("front", text(front.clone())),
                        ("ready", text(ready.clone())),
                    ]),
                ),
                (
                    "internalPorts",
                    Json::List(vec![num(port as u64 + 2), num(port as u64 + 3)]),
                ),
                ("seeds", Json::List(vec![])),
                ("bootstrap", Json::Bool(true)),
                (
                    "limits",
                    table([("cpuShare", Json::Number(0.25)), ("memoryMb", num(260))]),
                ),
                ("heartbeatMs", num(1500)),
                ("orders", text("call")),
                ("advice", advice(number).map_or(Json::Null, text)),
                (
                    "bounds",
                    table([
                        ("graceS", num(6)),
                        ("holdMaxMs", num(10_000)),
                        ("status_s", num(120)),
                        ("configApplyMs", num(2000)),
                        ("contactMs", num(3000)),
                        ("fencingEnforced", Json::Bool(false)),
                    ]),
                ),
                (
                    "platform",
                    table([("addr", text(store(number))), ("form", text("kv"))]),
                ),
            ]);
            let path = folder.join(format!("settings-{number}.json"));
            std::fs::write(&path, settings.to_string()).expect("settings");
            let log = folder.join(format!("log-{number}.txt"));
            Machine {
                front,
                ready,
                settings: path,
                log,
                child: None,
            }
        });
        let machines = machines.collect();
        Self {
            machines,
            program,
            folder,
        }
    }

    pub fn start(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let log = File::create(&machine.log).expect("a log file");
        let mut command = Command::new(&self.program[0]);
        command.args(&self.program[1..]).env_clear();
        command.env("HORNBEAMSHUNT_SETTINGS", &machine.settings);
        command
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .stdin(Stdio::null());
        let child = command.spawn().expect("the program of the deploy file");
        if let Ok(path) = std::env::var("CASE_PIDS") {
            let file = File::options().append(true).create(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        machine.child = Some(child);
    }

    /// Starts all machines and waits until they report themselves as ready.
    pub fn start_all(&mut self) -> bool {
        for number in 0..self.machines.len() {
            self.start(number);
        }
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |machine: &Machine| {
            let wait = Duration::from_millis(300);
            http::call(&machine.ready, "GET", "/v1/ready", "x", "", wait).0 == 200
        };
        while !self.machines.iter().all(is_ready) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}
