//! Log lines of all processes of the test binary.

use std::sync::{Mutex, Once, PoisonError};

use log::{LevelFilter, Log, Metadata, Record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static INSTALLED: Once = Once::new();

struct LineLog;

impl Log for LineLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("hornbeamshunt") || metadata.target().starts_with("hs_")
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

/// Starts to keep log lines.
pub fn keep() {
    INSTALLED.call_once(|| {
        log::set_logger(&LineLog).expect("the only logger");
        log::set_max_level(LevelFilter::Info);
    });
}

/// Returns the lines so far that contain all of these texts.
pub fn with(texts: &[&str]) -> Vec<String> {
    let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    let has_all = |line: &&String| texts.iter().all(|text| line.contains(text));
    lines.iter().filter(has_all).cloned().collect()
}
