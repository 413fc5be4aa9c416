//! What became of one piece of work.

use hs_wire::{Outcome, WorkClass, WorkReply};

/// The answer to one submission and what is wrong with it.
pub(super) struct DemoAudit {
    pub(super) class: WorkClass,
    reply: Option<WorkReply>,
    fault: Option<String>,
}

impl DemoAudit {
    pub(super) fn new(class: WorkClass, reply: Option<WorkReply>, fault: Option<String>) -> Self {
        Self {
            class,
            reply,
            fault,
        }
    }

    /// Returns the outcome; a submission without a reply may have run.
    pub(super) fn outcome(&self) -> Outcome {
        let reply = self.reply.as_ref();
        reply.map_or(Outcome::Unknown, |reply| reply.outcome)
    }

    /// Returns the time from arrival to start in milliseconds, for work that ran.
    pub(super) fn waited_ms(&self) -> Option<u64> {
        let reply = self.reply.as_ref()?;
        let ran = matches!(reply.outcome, Outcome::Done | Outcome::Failed);
        ran.then_some(reply.waited_ms)
    }

    /// Returns what is wrong with the answer.
    pub(super) fn fault(&self) -> Option<&str> {
        self.fault.as_deref()
    }
}
