//! Identity of a replica.

use std::fmt;

use hs_wire::WorkId;

/// Number of a replica within its service and data centre, and which start of it this is.
///
/// The task id carries all of it, so that a keeper that takes over knows the replicas from the
/// tasks that run, without a record of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaId {
    /// Name of the service.
    pub service: String,
    /// Number of the replica, from zero.
    pub index: u16,
    /// Tells this start from earlier ones.
    pub start: String,
}

impl ReplicaId {
    /// Returns what the ids of all tasks of services begin with.
    pub const PREFIX: &str = "s:";

    /// Reads a task id; `None` if it isn't one of a replica.
    pub fn parse(id: &str) -> Option<Self> {
        let mut parts = id.strip_prefix(Self::PREFIX)?.splitn(3, ':');
        let (service, index, start) = (parts.next()?, parts.next()?, parts.next()?);
        Some(Self {
            service: service.to_owned(),
            index: index.parse().ok()?,
            start: start.to_owned(),
        })
    }

    /// Returns the task id.
    pub fn work_id(&self) -> WorkId {
        WorkId(self.to_string())
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}{}:{}:{}",
            Self::PREFIX,
            self.service,
            self.index,
            self.start
        )
    }
}
