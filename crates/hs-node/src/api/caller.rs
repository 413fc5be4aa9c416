//! HTTP API for callers.

use std::sync::Arc;

use hs_event::EventCode;
use hs_http::{HttpReply, HttpRequest};
use hs_wire::{NotRunReason, Submission, WorkReply};
use hyper::Method;
use tokio::sync::oneshot;

use crate::port::{ClockPort, Platform};
use crate::shared::NodeShared;
use crate::work::{DurableCall, call_partition_owner, submit};

/// Serves `/v1/work`: submission, query and cancellation of work.
pub struct CallerApi<P: Platform> {
    shared: Arc<NodeShared<P>>,
}

impl<P: Platform> CallerApi<P> {
    /// Creates the API over the handles of the process.
    pub fn new(shared: Arc<NodeShared<P>>) -> Self {
        Self { shared }
    }

    /// Handles one request and returns its reply.
    pub async fn handle(&self, request: HttpRequest) -> HttpReply {
        let segments = request.segments();
        match (&request.method, segments.as_slice()) {
            (&Method::POST, ["v1", "work"]) => self.submit(&request).await,
            (&Method::GET, ["v1", "work", customer, key]) => {
                let (customer, key) = ((*customer).to_owned(), (*key).to_owned());
                self.call_durable(DurableCall::Query { customer, key })
                    .await
            }
            (&Method::POST, ["v1", "work", customer, key, "cancel"]) => {
                let (customer, key) = ((*customer).to_owned(), (*key).to_owned());
                self.call_durable(DurableCall::Cancel { customer, key })
                    .await
            }
            (_, ["v1", "work", ..]) => HttpReply::error(
                405,
                "method_not_allowed",
                "use POST /v1/work or GET /v1/work/{customer}/{key}",
            ),
            _ => HttpReply::error(
                404,
                "unknown_path",
                format!("no such path: {}", request.path),
            ),
        }
    }

    async fn submit(&self, request: &HttpRequest) -> HttpReply {
        let arrived_at = self.shared.platform.clock().now();
        let submission: Submission = match request.json() {
            Ok(submission) => submission,
            Err(error) => {
                let reply = WorkReply::not_run("", NotRunReason::Malformed, error.to_string());
                return work_reply(&reply);
            }
        };
        // A separate task handles the submission and continues after the caller has disconnected,
        // so that the reservation is released and the outcome is recorded. Only the reply is
        // dropped.
        let key = submission.key.clone();
        let shared = self.shared.clone();
        let (reply_sender, reply) = oneshot::channel::<WorkReply>();
        tokio::spawn(async move {
            let key = submission.key.clone();
            let customer = submission.customer.clone();
            let reply = submit(&shared, submission, arrived_at).await;
            if reply_sender.send(reply).is_err() {
                EventCode::AnswerDropped.log(format_args!("key={key} customer={customer}"));
            }
        });
        match reply.await {
            Ok(reply) => work_reply(&reply),
            Err(_) => work_reply(&WorkReply::unknown(&key, "the process is shutting down")),
        }
    }

    async fn call_durable(&self, call: DurableCall) -> HttpReply {
        let arrived_at = self.shared.platform.clock().now();
        match call_partition_owner(&self.shared, call, arrived_at).await {
            Some(reply) => work_reply(&reply),
            None => HttpReply::error(404, "unknown_key", "there is no record of this key"),
        }
    }
}

fn work_reply(reply: &WorkReply) -> HttpReply {
    HttpReply::json(reply.status(), reply).with_retry_after_ms(reply.retry_after_ms)
}
