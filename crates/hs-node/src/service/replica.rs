//! Identity of one start of a replica.

use std::fmt;

use hs_wire::WorkId;

/// Identity of one start of a replica: its service, its number within the service and data centre,
/// and an id of the start.
///
/// The task id contains all of it, so that the reconciler of a new owner of the service can
/// identify the replicas by the running tasks and needs no record of its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaId {
    /// Name of the service.
    pub service: String,
    /// Number of the replica within the service and data centre, from zero.
    pub index: u16,
    /// Distinguishes this start of the replica from others. Later starts sort after earlier ones.
    pub start: String,
}

impl ReplicaId {
    /// Prefix of the task ids of all replicas.
    pub const PREFIX: &str = "s:";

    /// Parses a task id. Returns `None` if it is not that of a replica.
    pub fn parse(id: &str) -> Option<Self> {
        let mut parts = id.strip_prefix(Self::PREFIX)?.splitn(3, ':');
        let (service, index, start) = (parts.next()?, parts.next()?, parts.next()?);
        Some(Self {
            service: service.to_owned(),
            index: index.parse().ok()?,
            start: start.to_owned(),
        })
    }

    /// Returns the identity as a task id.
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
