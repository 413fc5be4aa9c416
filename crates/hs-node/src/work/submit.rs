//! Entry of a submission.

use std::sync::Arc;
use std::time::Instant;

use hs_event::EventCode;
use hs_wire::{NotRunReason, Outcome, Submission, WorkClass, WorkReply};

use super::check::CheckRun;
use super::{DurableCall, call_partition_owner};
use crate::port::Platform;
use crate::shared::NodeShared;

/// Longest key, customer or workload name in bytes.
const NAME_BYTES: usize = 128;

/// Serves a submission to its outcome, or to the end of the caller's wait.
pub async fn submit<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    submission: Submission,
    arrived: Instant,
) -> WorkReply {
    let names = [&submission.key, &submission.customer, &submission.workload];
    if names
        .iter()
        .any(|name| name.is_empty() || name.len() > NAME_BYTES)
    {
        let detail = format!("key, customer and workload need 1 to {NAME_BYTES} bytes");
        return WorkReply::not_run(&submission.key, NotRunReason::Malformed, detail);
    }
    let Some(view) = shared.view() else {
        // Without a manifest it is not known whether the work is durable, and then only the owner of
        // its record may say that it did not run.
        return WorkReply::unknown(&submission.key, "this process has no manifest yet");
    };
    let entry = view
        .workload(&submission.workload)
        .map(|(_, entry)| entry.clone());
    let class = entry.as_ref().map(|entry| entry.class);
    let reply = match entry {
        Some(entry) if entry.class == WorkClass::Check => {
            check(shared, submission.clone(), entry, view.revision(), arrived).await
        }
        // Only the owner of the key's record knows whether it ran under an earlier manifest, so that it
        // also refuses what no manifest entry or a service stands for.
        _ => call_partition_owner(shared, DurableCall::Submit(submission.clone()), arrived)
            .await
            .unwrap_or_else(|| WorkReply::unknown(&submission.key, "no record")),
    };
    shared
        .metrics
        .record_reply(class.unwrap_or(WorkClass::Order), reply.outcome);
    log_reply(&submission, &reply);
    reply
}

async fn check<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    submission: Submission,
    entry: hs_config::WorkloadEntry,
    revision: u64,
    arrived: Instant,
) -> WorkReply {
    let run = CheckRun {
        shared: shared.clone(),
        submission,
        entry,
        revision,
        arrived,
    };
    run.run().await
}

fn log_reply(submission: &Submission, reply: &WorkReply) {
    let code = match reply.outcome {
        Outcome::NotRun => EventCode::WorkRefused,
        _ => EventCode::WorkEnded,
    };
    code.log(format_args!(
        "key={} customer={} workload={} outcome={} reason={:?} worker={} waited_ms={} revision={}",
        submission.key,
        submission.customer,
        submission.workload,
        reply.outcome,
        reply.reason,
        reply.workers.first().map_or("-", String::as_str),
        reply.waited_ms,
        reply.revision,
    ));
}
