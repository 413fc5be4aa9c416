//! Reasons for the loss of a member.

/// Why a member is no longer live.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LossReason {
    /// No heartbeat arrived within the timeout.
    Timeout,
    /// The member announced that it is shutting down.
    Leaving,
    /// A heartbeat of a newer incarnation arrived, so that the previous one has ended.
    Restarted,
    /// A newer VM list does not contain the member.
    Unlisted,
}
