//! The end of following an owner.

/// Why an owner is no longer followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FollowEnd {
    /// The process does not own the cell.
    NotOwner,
    /// The process does not answer.
    NoReply,
    /// The process can't confirm its claim, so it may be cut off from the store.
    Unconfirmed,
    /// The process has exited.
    Exited,
}
