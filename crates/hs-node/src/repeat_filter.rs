//! Filter for log lines about input that is read again and again.

use std::collections::HashMap;

/// Maximum number of sources that are remembered. Their names come from other processes.
const MAX_SOURCES: usize = 256;

/// Tells whether a finding about a source differs from the one before, so that it is logged once and
/// not at each reading.
#[derive(Debug, Default)]
pub(crate) struct RepeatFilter {
    last: HashMap<String, String>,
}

impl RepeatFilter {
    /// Returns whether `finding` differs from the last one about `source`.
    pub(crate) fn is_new(&mut self, source: &str, finding: &str) -> bool {
        if self.last.get(source).is_some_and(|last| last == finding) {
            return false;
        }
        if self.last.len() >= MAX_SOURCES {
            self.last.clear();
        }
        self.last.insert(source.to_owned(), finding.to_owned());
        true
    }

    /// Forgets the last finding about a source, because its input is correct again.
    pub(crate) fn forget(&mut self, source: &str) {
        self.last.remove(source);
    }
}
