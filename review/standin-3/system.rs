//! The system under test: its processes, the stand-ins around them, and the client.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Server};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{CPU_MILLI, Runs, Worker};

/// Command of the deploy file.
const PROGRAM: &str = "target/release/hornbeamshunt";

const PROCESSES: usize = 3;

const SERVICE: &str = "booking-desk";

/// Time that a client waits for a reply.
const CLIENT_DEADLINE: Duration = Duration::from_millis(3000);

/// Returns an address with a port that is free on it.
pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("the address of a listener")
}

/// A queue of the configuration.
#[derive(Clone, Debug)]
pub struct Queue {
    pub name: &'static str,
    pub prefix: &'static str,
    pub priority: u64,
}

pub const HOST: &str = "desk.example";

/// A process of the system.
struct Process {
    node: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct System {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub runs: Runs,
    /// CPU of a task of each accepted job.
    pub accepted: BTreeMap<String, u64>,
    processes: Vec<Process>,
    folder: PathBuf,
    _store_server: Server,
    next_job: u64,
    version: u64,
}

impl System {
    /// Starts the stand-ins and the processes, and waits until all processes are ready.
    pub fn start(
        record: Arc<Record>,
        worker_count: usize,
        queues: &[Queue],
    ) -> Result<Self, String> {
        let store = Store::new(record.clone());
        let store_server = Server::start(free_address("127.2.0.1"), store.clone());
        let store_server = store_server.map_err(|error| error.to_string())?;
        let runs: Runs = Arc::new(Mutex::new(Vec::new()));
        let start_worker =
            |number| Worker::start(number, SERVICE, store.clone(), runs.clone(), record.clone());
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut system = Self {
            workers: (0..worker_count).map(start_worker).collect(),
            record,
            store,
            runs,
            accepted: BTreeMap::new(),
            processes: Vec::new(),
            folder,
            next_job: 0x5c0e_7a21_0000_0000 + u64::from(std::process::id()) * 0x10000,
            version: 0,
            _store_server: store_server,
        };
        system.configure(queues);
        let store_address = system._store_server.address;
        for number in 0..PROCESSES {
            let process = system.settings_of(number, store_address)?;
            system.processes.push(process);
            system.start_process(number)?;
        }
        system.wait_until(
            "all processes are ready",
            Duration::from_secs(10),
            |system| (0..PROCESSES).all(|number| system.is_ready(number)),
        )?;
        Ok(system)
    }

    /// Writes a configuration with these queues, as the operator does.
    pub fn configure(&mut self, queues: &[Queue]) {
        self.version += 3;
        let routes = queues.iter().map(|queue| {
            Json::object([
                ("name", queue.name.into()),
                ("host", HOST.into()),
                ("prefix", queue.prefix.into()),
                ("kind", "non_idempotent".into()),
                ("timeoutMs", 3000.into()),
                ("targetDurationMs", 1000.into()),
                ("priority", queue.priority.into()),
                ("service", SERVICE.into()),
                ("maxAttempts", 3.into()),
                ("stretch", 4.into()),
            ])
        });
        let service = Json::object([
            ("name", SERVICE.into()),
            ("healthPath", "/health".into()),
            ("maxConns", 64.into()),
            ("protocol", "h1".into()),
            ("tls", Json::Bool(false)),
            ("admissionCheck", Json::Bool(false)),
            ("standby", Json::Bool(false)),
        ]);
        let limits = Json::object([
            ("maxHeaderBytes", 16384.into()),
            ("maxBodyBytes", 262_144.into()),
            ("headerTimeoutMs", 3000.into()),
            ("idleTimeoutMs", 15000.into()),
        ]);
        let config = Json::object([
            ("version", self.version.into()),
            ("routes", Json::List(routes.collect())),
            ("services", Json::List(vec![service])),
            ("limits", limits),
        ]);
        self.store.put("op/config", &config.to_string());
        let names: Vec<&str> = queues.iter().map(|queue| queue.name).collect();
        self.record.note(format!(
            "operator: configuration {} with queues {names:?} is acknowledged",
            self.version
        ));
    }

    fn settings_of(&self, number: usize, store: SocketAddr) -> Result<Process, String> {
        let ip = format!("127.1.0.{}", number + 1);
        let (front, ready, peer) = (free_address(&ip), free_address(&ip), free_address(&ip));
        let node = format!("edge-{}", number + 1);
        let text = format!(
            r#"{{"node":"{node}","role":"entry","machineClass":"edge","serves":["edge"],"ip":"{ip}",
"zone":"sfax-depot","region":"tn-south","zones":{{"sfax-depot":"tn-south"}},
"listen":{{"front":"{front}","ready":"{ready}"}},"internalPorts":[{port},{port}],"seeds":[],
"bootstrap":true,"lossCounts":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1500,
"contracts":["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"],
"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,
"lossSlackMs":200,"configApplyMs":2000,"revertSlackMs":250,"maxSkewMs":5000,"recoveryS":12,"holdMaxMs":10000,
"stopMs":200,"gangMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,
"crossRackFactor":1.5,"checkpointIntervalS":2,"restoreMs":250,"noticeMs":4500,"migrateS":1.5,"maintenanceS":2,
"fencingEnforced":false,"leaseMs":3000,"thawMs":300,"paceMs":100,"impactMs":4000}},
"orders":"call","advice":null,
"platform":{{"addr":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            port = peer.port(),
        );
        let settings = self.folder.join(format!("{node}.json"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        Ok(Process {
            node,
            front,
            ready,
            settings,
            child: None,
        })
    }

    fn start_process(&mut self, number: usize) -> Result<(), String> {
        let process = &mut self.processes[number];
        let log = self.folder.join(format!("{}.log", process.node));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .arg("edge")
            .env("HORNBEAMSHUNT_SETTINGS", &process.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn();
        process.child = Some(child.map_err(|error| format!("{PROGRAM}: {error}"))?);
        self.record
            .note(format!("{}: process started", process.node));
        Ok(())
    }

    fn is_ready(&self, number: usize) -> bool {
        let address = self.processes[number].ready;
        let reply = http::call(
            address,
            "GET",
            "/v1/ready",
            "ready",
            "",
            Duration::from_millis(500),
        );
        reply.is_some_and(|reply| reply.0 == 200)
    }

    /// Kills the process that last wrote to the store under the condition of its claim, and starts it again a second later.
    pub fn kill_leader(&mut self) -> Result<(), String> {
        let claim = self.store.value("hs/owner").unwrap_or_default();
        let claim = Json::parse(&claim).unwrap_or(Json::Null);
        let leader = claim.get("node").text().to_owned();
        let found = self
            .processes
            .iter()
            .position(|process| process.node == leader);
        let number = found.ok_or("no process has written a claim")?;
        if let Some(mut child) = self.processes[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.note(format!("{leader}: KILLED"));
        sleep(Duration::from_secs(1));
        self.start_process(number)
    }

    /// Sends a call to a process, and to the others if it does not answer.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<Reply> {
        for process in &self.processes {
            let reply = http::call(process.front, method, path, HOST, body, CLIENT_DEADLINE);
            if reply.as_ref().is_none_or(|reply| reply.0 >= 500) {
                let status = reply.as_ref().map(|reply| reply.0);
                self.record.note(format!(
                    "client: {method} {path} at {} -> {status:?}",
                    process.node
                ));
            }
            if let Some(reply) = reply.filter(|reply| !matches!(reply.0, 502..=504)) {
                return Some(reply);
            }
        }
        None
    }

    /// Submits a job of these steps. Returns its ID once it is accepted.
    pub fn submit(
        &mut self,
        queue: &Queue,
        spec: &str,
        steps: Vec<Json>,
    ) -> Result<String, String> {
        self.submit_timed(queue, spec, steps, 0)
    }

    /// Submits a job with occurrences that are all due, or without any if `count` is 0.
    pub fn submit_timed(
        &mut self,
        queue: &Queue,
        spec: &str,
        steps: Vec<Json>,
        count: u64,
    ) -> Result<String, String> {
        self.next_job += 1;
        let id = format!("{:016x}", self.next_job);
        let cpu = steps[0].get("cpu").number().unwrap_or(0);
        let mut body = Json::object([("spec", spec.into()), ("steps", Json::List(steps))]);
        if let (Json::Object(fields), 1..) = (&mut body, count) {
            fields.insert("repeatCount".to_owned(), count.into());
            fields.insert("intervalMs".to_owned(), 1000.into());
            fields.insert(
                "firstMs".to_owned(),
                (crate::worker::unix_ms() - count * 1000).into(),
            );
        }
        let body = body.to_string();
        let path = format!("{}{id}", queue.prefix);
        let reply = self.call("POST", &path, &body);
        let shown = if body.len() > 300 {
            &body[..300]
        } else {
            &body
        };
        self.record.note(format!(
            "client: POST {path} {shown} -> {:?}",
            reply.as_ref().map(|reply| reply.0)
        ));
        if reply.is_none_or(|reply| reply.0 != 200) {
            return Err(format!("job {id} was not accepted"));
        }
        self.accepted.insert(id.clone(), cpu);
        Ok(id)
    }

    /// Returns the state of a job as a client sees it.
    pub fn state(&self, queue: &Queue, id: &str) -> String {
        let path = format!("{}{id}", queue.prefix);
        match self.call("GET", &path, "") {
            Some((200, body)) => {
                Json::parse(&body).map_or(body, |body| body.get("state").text().to_owned())
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Waits until a condition holds.
    pub fn wait_until(
        &mut self,
        what: &str,
        limit: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Result<(), String> {
        let began_at = Instant::now();
        while !holds(self) {
            if began_at.elapsed() > limit {
                return Err(format!("not within {limit:?}: {what}"));
            }
            sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Returns the worker on which a task of a job runs now.
    pub fn worker_of(&self, id: &str) -> Option<Arc<Worker>> {
        let runs = self.runs.lock().unwrap();
        let run = runs
            .iter()
            .find(|run| run.task.starts_with(id) && run.end.is_none())?;
        self.workers
            .iter()
            .find(|worker| worker.id == run.worker)
            .cloned()
    }

    /// Returns how many tasks of a job run now.
    pub fn running(&self, id: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.task.starts_with(id) && run.end.is_none())
            .count()
    }

    /// Returns how many tasks of a job have ended as done.
    pub fn done(&self, id: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        let is_done = |run: &&crate::worker::RunLog| run.end.is_some_and(|(_, how)| how == "done");
        runs.iter()
            .filter(|run| run.task.starts_with(id))
            .filter(is_done)
            .count()
    }

    /// Returns how many runs of a job have ended in this way.
    pub fn ended(&self, id: &str, how: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        let of_job = runs.iter().filter(|run| run.task.starts_with(id));
        of_job
            .filter(|run| run.end.is_some_and(|end| end.1 == how))
            .count()
    }

    /// Returns the tasks of a job that do not run, each with the time since its last run.
    pub fn gaps(&self, id: &str) -> Vec<(String, Duration)> {
        let runs = self.runs.lock().unwrap();
        let mut ends: BTreeMap<&str, Option<Instant>> = BTreeMap::new();
        for run in runs.iter().filter(|run| run.task.starts_with(id)) {
            ends.insert(run.task.as_str(), run.end.map(|end| end.0));
        }
        let gaps = ends
            .into_iter()
            .filter_map(|(task, end)| Some((task.to_owned(), end?.elapsed())));
        gaps.collect()
    }

    /// Returns whether a worker that is up has room for two more tasks of this size, and under half of all CPU is in use.
    pub fn has_ample_room(&self, cpu: u64) -> bool {
        let runs = self.runs.lock().unwrap();
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        for run in runs.iter().filter(|run| run.end.is_none()) {
            let job = self.accepted.get(&run.task[..16]);
            *used.entry(run.worker.as_str()).or_default() += job.copied().unwrap_or(0);
        }
        let up = self.workers.iter().filter(|worker| worker.is_up());
        let free: Vec<u64> = up
            .map(|worker| {
                CPU_MILLI
                    - used
                        .get(worker.id.as_str())
                        .copied()
                        .unwrap_or(0)
                        .min(CPU_MILLI)
            })
            .collect();
        let total = free.len() as u64 * CPU_MILLI;
        let in_use = total - free.iter().sum::<u64>();
        free.iter().any(|free| *free >= 2 * cpu) && in_use * 2 < total
    }

    /// Watches a job for some time. Returns the longest time in which none of its tasks ran although there was room, until
    /// `tasks` of them have ended as done.
    pub fn longest_idle(&self, id: &str, tasks: usize, watch: Duration) -> Duration {
        let began_at = Instant::now();
        let cpu = self.accepted.get(id).copied().unwrap_or(0);
        let (mut since, mut longest) = (None, Duration::ZERO);
        while began_at.elapsed() < watch && self.done(id) < tasks {
            let is_idle = self.running(id) == 0 && self.has_ample_room(cpu);
            let start = is_idle.then(|| *since.get_or_insert_with(Instant::now));
            match start {
                Some(start) => longest = longest.max(start.elapsed()),
                None => since = None,
            }
            sleep(Duration::from_millis(20));
        }
        longest
    }

    /// Returns the resident memory of the processes in MB.
    pub fn memory_mb(&self) -> Vec<u64> {
        let children = self
            .processes
            .iter()
            .filter_map(|process| process.child.as_ref());
        let sizes = children.filter_map(|child| {
            let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
            let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        });
        sizes.map(|kb| kb / 1024).collect()
    }

    /// Copies the log lines of the processes that contain one of these words to the record.
    pub fn record_log(&self, words: &[&str]) {
        for process in &self.processes {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", process.node)));
            for line in log.unwrap_or_default().lines() {
                if words.iter().any(|word| line.contains(word)) {
                    self.record.note(format!("log of {}: {line}", process.node));
                }
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
