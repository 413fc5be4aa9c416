//! What was sent, answered and run, with the time in milliseconds since the start.

use std::fmt::Arguments;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    pub fn line(&self, text: Arguments<'_>) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{ms:>7} {text}");
    }
}
