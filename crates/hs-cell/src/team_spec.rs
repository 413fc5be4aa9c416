//! Team settings from the operator configuration.

use std::sync::Arc;

use hs_wire::Resources;

/// Settings of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// Name by which jobs refer to the team.
    pub name: Arc<str>,
    /// Share of the capacity relative to other teams, and number of jobs a second that the team is owed.
    pub weight: f64,
    /// Maximum resources of the team's runs over all workers. Zero in a dimension is no limit.
    pub cap: Resources,
}
