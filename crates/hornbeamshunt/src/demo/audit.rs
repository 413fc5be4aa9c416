//! Reply to one piece of work of the demonstration.

use hs_wire::{Outcome, WorkClass, WorkReply};

/// The reply to one submission, and the fault found in it.
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

    /// Returns the outcome, which is unknown for a submission without a reply, since it may have run.
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

    /// Returns the fault found in the reply, if there is one.
    pub(super) fn fault(&self) -> Option<&str> {
        self.fault.as_deref()
    }
}
