//! Virtual time of start-time fair queuing.

/// Virtual time of the parties that share one queue.
///
/// Each party has a start tag, the virtual time at which its next work starts; the smallest is served first.
/// Answers the load pattern of parties that always have work queued: each is served in proportion to its weight.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VirtualClock {
    now: u64,
}

impl VirtualClock {
    /// Returns the start tag of a party that begins to queue work. It gets no credit for the time without work.
    pub fn activated_tag(self, tag: u64) -> u64 {
        tag.max(self.now)
    }

    /// Returns the start tag of a party after its work was served: it advances by the cost divided by the weight.
    pub fn charge(&mut self, tag: u64, cost: u64, weight: u32) -> u64 {
        // The new tag starts from the virtual time instead of the party's old tag, so that a party gets no credit
        // for the time in which its work did not fit. It would otherwise keep all others waiting until the credit
        // is used up.
        self.now = self.now.max(tag);
        self.now + (cost / u64::from(weight.max(1))).max(1)
    }
}
