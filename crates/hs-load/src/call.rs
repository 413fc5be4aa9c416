//! A single submission: sending it, retrying it and polling for its outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_http::{CallError, CallReply, HttpClient};
use hs_wire::{Outcome, Submission, WorkReply};
use serde::Serialize;
use tokio::time::sleep;

/// Time allowed for a reply beyond the wait of the submission and the run time of its task.
const REPLY_GRACE: Duration = Duration::from_secs(2);

/// Timeout of a query for the outcome of accepted work.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the first query or retry; it doubles with each one up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest delay before a query or retry, which bounds the error of the total time of durable work.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// A submission with its schedule and its expected results.
#[derive(Clone, Debug)]
pub(crate) struct LoadCall {
    /// Caller addresses of the entry processes.
    pub(crate) targets: Arc<[SocketAddr]>,
    /// Index into `targets`, modulo their number, of the entry process to call. It advances after a
    /// failed exchange, as a load balancer would pick another process.
    pub(crate) target_index: usize,
    pub(crate) submission: Submission,
    /// Number of expected results, each equal to the key.
    pub(crate) tasks: usize,
    /// Whether the submission is retried, and polled for its outcome once accepted.
    pub(crate) durable: bool,
    /// Run time that the payload requests.
    pub(crate) run_time: Duration,
    /// Intended send time.
    pub(crate) intended_send: Instant,
    /// Time after which the submission is neither retried nor polled.
    pub(crate) follow_until: Instant,
}

/// Final state of a submission as the load tool saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// The entry process replied with this outcome.
    Replied(Outcome),
    /// The reply carried another key, another result or the wrong number of results.
    WrongAnswer,
    /// The request may have been sent, but no reply arrived.
    NoReply,
    /// No connection could be opened.
    NotSent,
    /// The reply was not a valid [`WorkReply`].
    Unreadable,
    /// The submission was accepted, but a later query did not find it.
    Lost,
}

/// Outcome and timing of a submission.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    pub(crate) outcome: CallOutcome,
    /// Name of the reason in the reply, if it gives one.
    reason: Option<String>,
    /// Time from the intended send time to the actual send.
    pub(crate) send_delay: Duration,
    /// Time from the intended send time to the outcome.
    pub(crate) total: Duration,
    /// Time from the intended send time to the start, for work that ran.
    pub(crate) wait: Option<Duration>,
    pub(crate) run_time: Duration,
    /// Number of times the submission was sent again.
    pub(crate) retries: u32,
    /// Description of a reply that does not belong to this submission.
    pub(crate) wrong_answer: Option<String>,
}

impl CallOutcome {
    /// Returns whether the outcome of the work is unknown to the caller.
    pub(crate) fn is_unanswered(self) -> bool {
        match self {
            Self::Replied(outcome) => outcome == Outcome::Accepted,
            Self::NoReply | Self::Unreadable | Self::Lost => true,
            Self::WrongAnswer | Self::NotSent => false,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Replied(outcome) => outcome.name(),
            Self::WrongAnswer => "wrong_answer",
            Self::NoReply => "no_reply",
            Self::NotSent => "not_sent",
            Self::Unreadable => "unreadable",
            Self::Lost => "lost",
        }
    }
}

impl CallResult {
    /// Returns the name under which the outcome is counted, with the reason if there is one.
    pub(crate) fn label(&self) -> String {
        match &self.reason {
            Some(reason) => format!("{}.{reason}", self.outcome.name()),
            None => self.outcome.name().to_owned(),
        }
    }
}

/// Result of one request to an entry process.
enum ExchangeResult {
    Reply(WorkReply),
    NotFound,
    Failed(CallOutcome),
}

impl LoadCall {
    /// Sends the submission, and retries and polls durable work until its outcome is known.
    pub(crate) async fn run(mut self, client: &HttpClient) -> CallResult {
        let send_delay = self.intended_send.elapsed();
        let mut retries = 0;
        let mut backoff = INITIAL_BACKOFF;
        let mut accepted = false;
        loop {
            let exchange = match accepted {
                true => self.query(client).await,
                false => self.submit(client).await,
            };
            let total = self.intended_send.elapsed();
            let may_continue = self.durable && Instant::now() + backoff < self.follow_until;
            let retry = match &exchange {
                ExchangeResult::Reply(reply) => match reply.outcome {
                    Outcome::Accepted => {
                        accepted = true;
                        true
                    }
                    // With a retry hint, `unknown` is not final but only means that this process
                    // does not know the outcome.
                    Outcome::Unknown => reply.retry_after_ms.is_some(),
                    Outcome::Done | Outcome::Failed | Outcome::NotRun | Outcome::Cancelled => false,
                },
                ExchangeResult::NotFound => accepted,
                ExchangeResult::Failed(_) => {
                    self.target_index += 1;
                    true
                }
            };
            if !(retry && may_continue) {
                return self.result(exchange, accepted, send_delay, total, retries);
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            retries += u32::from(!accepted);
        }
    }

    fn target_address(&self) -> String {
        self.targets[self.target_index % self.targets.len()].to_string()
    }

    async fn submit(&self, client: &HttpClient) -> ExchangeResult {
        let wait = Duration::from_millis(self.submission.wait_limit_ms());
        let timeout = wait + self.run_time + REPLY_GRACE;
        let address = self.target_address();
        let path = "/v1/work";
        let call = client.post_json("submission", &address, path, &self.submission, timeout);
        classify(call.await)
    }

    async fn query(&self, client: &HttpClient) -> ExchangeResult {
        let Submission { customer, key, .. } = &self.submission;
        let path = format!("/v1/work/{customer}/{key}");
        let address = self.target_address();
        classify(client.get("query", &address, &path, QUERY_TIMEOUT).await)
    }

    fn result(
        &self,
        exchange: ExchangeResult,
        accepted: bool,
        send_delay: Duration,
        total: Duration,
        retries: u32,
    ) -> CallResult {
        let mut result = CallResult {
            outcome: CallOutcome::Unreadable,
            reason: None,
            send_delay,
            total,
            wait: None,
            run_time: self.run_time,
            retries,
            wrong_answer: None,
        };
        match exchange {
            ExchangeResult::NotFound if accepted => result.outcome = CallOutcome::Lost,
            ExchangeResult::NotFound => {}
            // An earlier attempt may have reached an entry process.
            ExchangeResult::Failed(CallOutcome::NotSent) if retries > 0 || accepted => {
                result.outcome = CallOutcome::NoReply;
            }
            ExchangeResult::Failed(outcome) => result.outcome = outcome,
            ExchangeResult::Reply(reply) => {
                result.wrong_answer = self.describe_mismatch(&reply);
                result.outcome = match result.wrong_answer {
                    Some(_) => CallOutcome::WrongAnswer,
                    None => CallOutcome::Replied(reply.outcome),
                };
                result.reason = reply.reason.and_then(|reason| json_name(&reason));
                if matches!(reply.outcome, Outcome::Done | Outcome::Failed) {
                    result.wait = Some(send_delay + Duration::from_millis(reply.waited_ms));
                }
            }
        }
        result
    }

    /// Describes the difference if the reply does not belong to this submission.
    fn describe_mismatch(&self, reply: &WorkReply) -> Option<String> {
        let key = &self.submission.key;
        if reply.key != *key {
            return Some(format!("key {key} got the reply to key {}", reply.key));
        }
        let all_match = reply.results.iter().all(|result| result == key);
        match reply.outcome {
            Outcome::Done if !all_match || reply.results.len() != self.tasks => {
                Some(format!("key {key} got the results {:?}", reply.results))
            }
            _ => None,
        }
    }
}

fn classify(call: Result<CallReply, CallError>) -> ExchangeResult {
    match call {
        Ok(reply) => match (reply.json::<WorkReply>(), reply.status) {
            (Ok(work), _) => ExchangeResult::Reply(work),
            (Err(_), 404) => ExchangeResult::NotFound,
            (Err(_), _) => ExchangeResult::Failed(CallOutcome::Unreadable),
        },
        Err(error) if error.is_not_sent() => ExchangeResult::Failed(CallOutcome::NotSent),
        Err(_) => ExchangeResult::Failed(CallOutcome::NoReply),
    }
}

/// Returns the JSON form of a value if it is a string.
fn json_name(value: &impl Serialize) -> Option<String> {
    let value = serde_json::to_value(value).ok()?;
    value.as_str().map(str::to_owned)
}
