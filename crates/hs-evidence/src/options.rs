//! Switches of the estimates.

/// Which estimates may change the order of the workers on which a task fits. With both off nothing is observed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LearningOptions {
    /// Whether the speed of workers counts.
    pub learn_speeds: bool,
    /// Whether kinds that slow each other down are kept apart.
    pub separate_interfering: bool,
}

impl LearningOptions {
    /// Returns whether runs are observed at all.
    pub fn is_on(self) -> bool {
        self.learn_speeds || self.separate_interfering
    }
}
