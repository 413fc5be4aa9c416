//! Handling of submissions: validation, routing by workload class, and the log line of the reply.

use std::sync::Arc;
use std::time::Instant;

use hs_event::EventCode;
use hs_wire::{NotRunReason, Outcome, Submission, WorkClass, WorkReply};

use super::check::CheckRun;
use super::{DurableCall, call_partition_owner};
use crate::port::Platform;
use crate::shared::NodeShared;

/// Maximum length of a key, a customer or a workload name.
const MAX_NAME_BYTES: usize = 128;

/// Processes a submission until its outcome is known or the wait of the caller ends, and returns
/// the reply.
pub async fn submit<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    submission: Submission,
    arrived_at: Instant,
) -> WorkReply {
    let names = [&submission.key, &submission.customer, &submission.workload];
    if names
        .iter()
        .any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES)
    {
        let detail = format!("key, customer and workload need 1 to {MAX_NAME_BYTES} bytes");
        return WorkReply::not_run(&submission.key, NotRunReason::Malformed, detail);
    }
    let Some(view) = shared.view() else {
        // Without a manifest it is unknown whether the work is durable, and only the owner of a
        // durable record may reply that the work did not run.
        return WorkReply::unknown(&submission.key, "this process has no manifest yet");
    };
    let entry = view
        .workload(&submission.workload)
        .map(|(_, entry)| entry.clone());
    let class = entry.as_ref().map(|entry| entry.class);
    let reply = match entry {
        Some(entry) if entry.class == WorkClass::Check => {
            run_check(
                shared,
                submission.clone(),
                entry,
                view.revision(),
                arrived_at,
            )
            .await
        }
        // Only the owner of the record knows whether the work ran under an earlier manifest. So the
        // owner also refuses submissions whose workload is a service or has no manifest entry.
        _ => call_partition_owner(shared, DurableCall::Submit(submission.clone()), arrived_at)
            .await
            .unwrap_or_else(|| WorkReply::unknown(&submission.key, "no record")),
    };
    shared
        .metrics
        .record_reply(class.unwrap_or(WorkClass::Order), reply.outcome);
    log_reply(&submission, &reply);
    reply
}

async fn run_check<P: Platform>(
    shared: &Arc<NodeShared<P>>,
    submission: Submission,
    entry: hs_config::WorkloadEntry,
    revision: u64,
    arrived_at: Instant,
) -> WorkReply {
    let run = CheckRun {
        shared: shared.clone(),
        submission,
        entry,
        revision,
        arrived_at,
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
