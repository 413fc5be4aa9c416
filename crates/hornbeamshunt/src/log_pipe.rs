//! Writes log lines to standard output from a thread of its own.
//!
//! Lines go through a bounded queue. When it is full, lines are left out and counted, so that a reader
//! that does not keep up never holds a decision up.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 4096;

/// Lines written in one call at the most.
const BATCH_LINES: usize = 256;

/// The end of the queue that the logger writes to.
#[derive(Debug)]
pub(crate) struct LogPipe {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogPipe {
    /// Starts the thread that writes.
    pub(crate) fn spawn(output: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::spawn(move || write_lines(&receiver, &counter, output));
        Self { lines, dropped }
    }
}

impl Write for LogPipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        for line in lines.try_iter().take(BATCH_LINES) {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("WARN log lines left out lines={lost}\n").as_bytes());
        }
        // There is nowhere to report that standard output is gone.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}
