//! Calls to the workers of the fake platform, and how they answer.

/// How a worker answers calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerBehaviour {
    /// Answers each call.
    Answers,
    /// Answers no call.
    Silent,
    /// Refuses connections.
    Refuses,
    /// Answers renewals, but neither starts nor stops.
    IgnoresOrders,
    /// Answers starts and stops, but no renewals.
    IgnoresReports,
    /// Answers renewals, while this process has no descriptor left for starts and stops.
    Unreached,
    /// This process has no descriptor left for any call.
    OutOfReach,
    /// Answers reports, but refuses to renew the lease.
    RefusesLeases,
    /// Another incarnation answers, whose clock is far behind.
    Replaced,
}

/// A call to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    Renewal,
    Start,
    Stop,
}
