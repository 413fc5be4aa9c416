//! Fault switches and the generator behind them.

use std::time::Duration;

use hs_http::HttpReply;
use serde::{Deserialize, Serialize};

/// How a stand-in that is down treats a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DownMode {
    /// The connection is closed without a reply.
    Drop,
    /// The reply is 503.
    Refuse,
}

/// Which replies are lost after their call has taken effect.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyLoss {
    /// This many from now on.
    Next(u32),
    /// Each with this probability.
    Probability(f64),
}

/// Body of the store's `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFault {
    /// Whether the store is down, and how.
    pub down: Option<DownMode>,
    /// Time that each call waits before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Replies to writes that are lost.
    pub lose_replies: Option<ReplyLoss>,
}

/// Body of the VM list's `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmsFault {
    /// Whether the list is down, and how.
    pub down: Option<DownMode>,
    /// Time that each read waits, in milliseconds.
    pub delay_ms: u64,
}

/// Body of the worker's `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFault {
    /// Whether the worker is unreachable, and how. Its tasks go on.
    pub down: Option<DownMode>,
    /// Every task that starts from now on fails at once.
    pub fail_all: bool,
    /// Time from now on during which calls are held, in milliseconds. They take effect afterwards.
    pub pause_ms: u64,
    /// Time that each call waits before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Replies to starts that are lost.
    pub lose_replies: Option<ReplyLoss>,
    /// Replies to lease calls that are lost.
    pub lose_lease_replies: Option<ReplyLoss>,
    /// Whether new starts are refused with 503.
    pub draining: bool,
}

impl DownMode {
    /// Returns what the caller sees: a reply, or none.
    pub(crate) fn reply(self) -> Option<HttpReply> {
        match self {
            Self::Drop => None,
            Self::Refuse => Some(HttpReply::error(503, "down", "the service is unavailable")),
        }
    }
}

/// Decides which replies are lost. The same seed and the same calls give the same losses.
#[derive(Debug)]
pub(crate) struct LossGate {
    state: u64,
}

impl LossGate {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns whether the next reply is lost, and counts it.
    pub(crate) fn loses(&mut self, loss: &mut Option<ReplyLoss>) -> bool {
        match loss {
            None | Some(ReplyLoss::Next(0)) => false,
            Some(ReplyLoss::Next(count)) => {
                *count -= 1;
                true
            }
            Some(ReplyLoss::Probability(share)) => self.unit() < *share,
        }
    }

    /// Returns the next number in `0.0..1.0` (SplitMix64).
    fn unit(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
        // The upper 53 bits fill the mantissa exactly.
        (bits >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Waits for the delay of a call, if there is one.
pub(crate) async fn hold(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
