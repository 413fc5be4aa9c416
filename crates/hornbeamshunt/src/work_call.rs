//! Client of the caller API.

use std::net::SocketAddr;
use std::time::Duration;

use hs_http::{CallError, CallReply, HttpClient};
use hs_wire::{Outcome, Submission, WorkReply};
use hyper::Method;

use crate::exit::{CommandError, CommandExit};

/// Timeout of a call, in addition to the wait that a submission asks for.
const REPLY_SLACK: Duration = Duration::from_secs(5);

/// Longest wait that a submission may request, in milliseconds (one day).
const MAX_WAIT_MS: u64 = 24 * 3600 * 1000;

/// Client of the caller listener.
pub(crate) struct WorkClient {
    client: HttpClient,
    peer: String,
}

impl WorkClient {
    pub(crate) fn new(entry: SocketAddr) -> Self {
        let client = HttpClient::default();
        let peer = entry.to_string();
        Self { client, peer }
    }

    pub(crate) async fn submit(&self, work: &Submission) -> Result<CallReply, CallError> {
        let wait = Duration::from_millis(work.wait_limit_ms().min(MAX_WAIT_MS));
        let limit = wait + REPLY_SLACK;
        let call = self
            .client
            .post_json("submission", &self.peer, "/v1/work", work, limit);
        call.await
    }

    pub(crate) async fn result(&self, path: &WorkPath) -> Result<CallReply, CallError> {
        let path = &path.0;
        let call = self
            .client
            .get("result query", &self.peer, path, REPLY_SLACK);
        call.await
    }

    pub(crate) async fn cancel(&self, path: &WorkPath) -> Result<CallReply, CallError> {
        let path = format!("{}/cancel", path.0);
        let step = "cancellation";
        let call = self
            .client
            .call(step, Method::POST, &self.peer, &path, "", REPLY_SLACK);
        call.await
    }
}

/// Request path of one piece of work.
pub(crate) struct WorkPath(String);

impl WorkPath {
    /// Builds the path of a key. The segments are not percent-encoded, so other characters than the
    /// unreserved ones and `:` are rejected.
    pub(crate) fn new(customer: &str, key: &str) -> Result<Self, CommandError> {
        for (name, part) in [("customer", customer), ("key", key)] {
            let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:~".contains(c);
            if part.is_empty() || !part.chars().all(is_plain) {
                let message = format!(
                    "{name} {part:?}: only letters, digits and '-', '_', '.', ':', '~' are allowed"
                );
                return Err(CommandError::usage(message));
            }
        }
        Ok(Self(format!("/v1/work/{customer}/{key}")))
    }
}

/// Prints the body of a reply unchanged and derives the exit code from the outcome in it.
pub(crate) fn print_reply(reply: &CallReply) -> CommandExit {
    println!("{}", String::from_utf8_lossy(&reply.body));
    match reply.json::<WorkReply>().map(|reply| reply.outcome) {
        Ok(Outcome::Done | Outcome::Accepted) => CommandExit::Success,
        Ok(Outcome::Unknown) => CommandExit::Unknown,
        Ok(Outcome::Failed | Outcome::NotRun | Outcome::Cancelled) => CommandExit::Failed,
        Err(_) if (400..500).contains(&reply.status) => CommandExit::Failed,
        Err(_) => CommandExit::Unknown,
    }
}
