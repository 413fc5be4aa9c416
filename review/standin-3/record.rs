//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Maximum number of lines about runs and refused writes. A case with thousands of tasks would fill megabytes.
const MAX_DETAILS: usize = 2000;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
    details: AtomicUsize,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(folder.join("record.txt"))?),
            started: Instant::now(),
            details: AtomicUsize::new(0),
        })
    }

    /// Adds a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let time = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{time:8.3} {}", line.as_ref());
    }

    /// Adds a line about a run or a refused write, unless there are too many.
    pub fn detail(&self, line: impl AsRef<str>) {
        match self.details.fetch_add(1, Ordering::SeqCst) {
            count if count < MAX_DETAILS => self.note(line),
            MAX_DETAILS => self.note("further runs and refused writes are not listed"),
            _ => {}
        }
    }

    /// Returns the number of lines about runs and refused writes, with those that are not listed.
    pub fn details(&self) -> usize {
        self.details.load(Ordering::SeqCst)
    }
}
