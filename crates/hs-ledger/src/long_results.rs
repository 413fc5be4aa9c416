//! Results that are too long for their records.

use std::collections::VecDeque;

use crate::RecordKey;

/// Most bytes that are held. The oldest result is dropped first; its record keeps the beginning.
const HELD_BYTES: usize = 16 << 20;

/// Whole results of tasks whose records hold only the beginning.
#[derive(Debug, Default)]
pub(crate) struct LongResults {
    held: VecDeque<(RecordKey, usize, String)>,
    bytes: usize,
}

impl LongResults {
    /// Holds the result of a task.
    pub fn hold(&mut self, record: RecordKey, task: usize, result: &str) {
        if result.len() > HELD_BYTES {
            return;
        }
        self.bytes += result.len();
        self.held.push_back((record, task, result.to_owned()));
        while self.bytes > HELD_BYTES
            && let Some((_, _, dropped)) = self.held.pop_front()
        {
            self.bytes -= dropped.len();
        }
    }

    /// Returns the result of a task if it is held.
    pub fn get(&self, record: RecordKey, task: usize) -> Option<&str> {
        let mut held = self.held.iter();
        let found = held.find(|(key, index, _)| (*key, *index) == (record, task));
        found.map(|(_, _, result)| result.as_str())
    }

    /// Drops the results of a record.
    pub fn release(&mut self, record: RecordKey) {
        self.held.retain(|(key, _, _)| *key != record);
        self.bytes = self.held.iter().map(|(_, _, result)| result.len()).sum();
    }
}
