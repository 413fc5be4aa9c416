//! Fault switches of the stand-ins and the seeded sampling of lost replies.

use std::time::Duration;

use hs_http::HttpReply;
use serde::{Deserialize, Serialize};

/// How a stand-in treats calls during an outage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DownMode {
    /// The connection is closed without a reply.
    Drop,
    /// The call gets status 503.
    Refuse,
}

/// Which replies are lost, after their calls have taken effect.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyLoss {
    /// The given number of replies, beginning with the next one.
    Next(u32),
    /// Each reply with the given probability.
    Probability(f64),
}

/// Body of the store's `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFault {
    /// Outage of the store, if any.
    pub down: Option<DownMode>,
    /// Delay of each call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Loss of replies to writes, if any.
    pub lose_replies: Option<ReplyLoss>,
}

/// Body of the VM list's `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmsFault {
    /// Outage of the VM list, if any.
    pub down: Option<DownMode>,
    /// Delay of each read, in milliseconds.
    pub delay_ms: u64,
}

/// Body of the worker's `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFault {
    /// Outage of the worker, if any. Its tasks continue to run.
    pub down: Option<DownMode>,
    /// Whether each task that starts while this switch is on fails at once.
    pub fail_all: bool,
    /// Length of a pause that begins when the switches are set, in milliseconds. Calls wait for its
    /// end before they take effect.
    pub pause_ms: u64,
    /// Delay of each call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Loss of replies to starts, if any.
    pub lose_replies: Option<ReplyLoss>,
    /// Loss of replies to lease calls, if any.
    pub lose_lease_replies: Option<ReplyLoss>,
    /// Whether the worker is draining: it refuses new starts with 503.
    pub draining: bool,
}

impl DownMode {
    /// Returns the reply that the caller gets during the outage, or `None` if its connection is
    /// closed.
    pub(crate) fn outage_reply(self) -> Option<HttpReply> {
        match self {
            Self::Drop => None,
            Self::Refuse => Some(HttpReply::error(503, "down", "the service is unavailable")),
        }
    }
}

/// Decides which replies are lost. The same seed and the same sequence of calls give the same
/// losses.
#[derive(Debug)]
pub(crate) struct ReplyLossSampler {
    state: u64,
}

impl ReplyLossSampler {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns whether the next reply is lost, and decrements the count of [`ReplyLoss::Next`].
    pub(crate) fn next_is_lost(&mut self, loss: &mut Option<ReplyLoss>) -> bool {
        match loss {
            None | Some(ReplyLoss::Next(0)) => false,
            Some(ReplyLoss::Next(count)) => {
                *count -= 1;
                true
            }
            Some(ReplyLoss::Probability(probability)) => self.next_f64() < *probability,
        }
    }

    /// Returns the next number in `0.0..1.0` of the SplitMix64 generator.
    fn next_f64(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
        // The upper 53 bits fill the mantissa exactly.
        (bits >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Waits for the injected delay of a call, if there is one.
pub(crate) async fn apply_delay(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
