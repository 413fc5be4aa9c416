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

/// Maximum size of one write, unless a single line is longer. Writes of this size to a pipe are atomic
/// (`PIPE_BUF` of Linux), and readers that take one buffer for each write lose nothing.
const MAX_WRITE_BYTES: usize = 4096;

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
        for line in lines.try_iter().take(MAX_QUEUED_LINES) {
            if batch.len() + line.len() > MAX_WRITE_BYTES {
                write_batch(&mut output, &mut batch);
            }
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("WARN log lines left out lines={lost}\n").as_bytes());
        }
        write_batch(&mut output, &mut batch);
    }
}

/// Writes a batch and clears it.
fn write_batch(output: &mut impl Write, batch: &mut Vec<u8>) {
    // A closed standard output cannot be reported anywhere.
    let _ = output.write_all(batch).and_then(|()| output.flush());
    batch.clear();
}
