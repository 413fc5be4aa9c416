//! Division of long work into portions, between which other tasks of the process run.

use tokio::task::yield_now;

/// Number of items in a portion. A small VM takes a few milliseconds for as many jobs.
const PORTION_ITEMS: usize = 64;

/// Counts the items of a long piece of work, such as the restoration of all jobs. Without a pause, heartbeats would
/// not be answered and the claim would not be confirmed until its end.
#[derive(Debug, Default)]
pub(crate) struct WorkPortions {
    items: usize,
}

impl WorkPortions {
    /// Counts an item, and lets other tasks run if it is the last one of a portion.
    pub(crate) async fn item_done(&mut self) {
        self.items += 1;
        if self.items.is_multiple_of(PORTION_ITEMS) {
            yield_now().await;
        }
    }
}
