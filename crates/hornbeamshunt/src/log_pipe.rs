//! Writes log lines to standard output on a separate thread.
//!
//! Lines pass through a bounded queue. While the queue is full, new lines are dropped and counted, so
//! that a slow reader of standard output never delays a decision.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4096;

/// Maximum number of lines that one write adds to the first line of its batch.
const MAX_BATCH_LINES: usize = 256;

/// Time from the first line of a batch to its write. Lines that follow within it take no wake-up and no
/// system call of their own. A process that is killed loses the lines of that time.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Sending end of the queue, used as the output of the logger.
#[derive(Debug)]
pub(crate) struct LogPipe {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogPipe {
    /// Starts the thread that writes the lines to `output`.
    pub(crate) fn spawn(output: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
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
        thread::sleep(BATCH_DELAY);
        for line in lines.try_iter().take(MAX_BATCH_LINES) {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("WARN log lines left out lines={lost}\n").as_bytes());
        }
        // A closed standard output cannot be reported anywhere.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}
