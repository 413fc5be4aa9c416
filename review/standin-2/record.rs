//! What was sent, answered and run, in the order of time. It is written to record.txt and judged at the end.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone, Debug)]
pub enum Event {
    /// A client's call and its answer: method, job, status (0 without an answer), body.
    Call {
        machine: usize,
        method: &'static str,
        job: String,
        sent_ms: u64,
        status: u16,
        body: String,
    },
    /// A worker began a run.
    Began {
        worker: String,
        life: u32,
        task: String,
        run: u64,
    },
    /// A worker listed the end of a run under this number.
    Ended {
        worker: String,
        life: u32,
        number: u64,
        task: String,
        run: u64,
        how: &'static str,
    },
    /// A worker has forgotten an end, since `ackCursor` has reached it. `lapsed` tells whether the lease has lapsed
    /// between the two.
    Noted {
        worker: String,
        life: u32,
        number: u64,
        task: String,
        run: u64,
        cursor: u64,
        lapsed: bool,
    },
    /// A worker's life ended without a word, and what it ran with it.
    Crashed {
        worker: String,
        life: u32,
        runs: Vec<(String, u64)>,
    },
    Up {
        worker: String,
        life: u32,
    },
    Note(String),
}

#[derive(Clone)]
pub struct Record {
    start: Instant,
    events: Arc<Mutex<Vec<(u64, Event)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            events: Arc::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, event: Event) {
        let mut events = self.events.lock().unwrap();
        events.push((self.now_ms(), event));
    }

    pub fn note(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:>7} {text}", self.now_ms());
        self.add(Event::Note(text));
    }

    pub fn events(&self) -> Vec<(u64, Event)> {
        self.events.lock().unwrap().clone()
    }

    pub fn save(&self, path: &str) -> std::io::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        writeln!(
            file,
            "milliseconds from the start of the script, then what happened"
        )?;
        for (at, event) in self.events() {
            match event {
                Event::Call {
                    machine,
                    method,
                    job,
                    sent_ms,
                    status,
                    body,
                } => writeln!(
                    file,
                    "{at:>7} call {method} {job} machine={machine} sent={sent_ms} status={status} {body}"
                )?,
                Event::Began {
                    worker,
                    life,
                    task,
                    run,
                } => {
                    writeln!(
                        file,
                        "{at:>7} began {task} run={run} on {worker} life={life}"
                    )?;
                }
                Event::Ended {
                    worker,
                    life,
                    number,
                    task,
                    run,
                    how,
                } => writeln!(
                    file,
                    "{at:>7} ended {task} run={run} {how} on {worker} life={life} number={number}"
                )?,
                Event::Noted {
                    worker,
                    life,
                    number,
                    task,
                    run,
                    cursor,
                    lapsed,
                } => writeln!(
                    file,
                    "{at:>7} noted {task} run={run} on {worker} life={life} number={number} ackCursor={cursor} lapsed={lapsed}"
                )?,
                Event::Crashed { worker, life, runs } => {
                    writeln!(file, "{at:>7} crashed {worker} life={life} with {runs:?}")?;
                }
                Event::Up { worker, life } => writeln!(file, "{at:>7} up {worker} life={life}")?,
                Event::Note(text) => writeln!(file, "{at:>7} {text}")?,
            }
        }
        file.flush()
    }
}
