//! One submission, followed to its outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_http::{CallError, CallReply, HttpClient};
use hs_wire::{Outcome, Submission, WorkReply};
use serde::Serialize;
use tokio::time::sleep;

/// Time beyond a submission's own wait that its reply may take.
const REPLY_SLACK: Duration = Duration::from_secs(2);

/// Longest time of a query.
const QUERY_LIMIT: Duration = Duration::from_secs(2);

/// Pause before the first query or repetition; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between queries, which bounds the error of the total time of durable work.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// A submission and what is expected of it.
#[derive(Clone, Debug)]
pub(crate) struct LoadCall {
    /// Entry processes.
    pub(crate) targets: Arc<[SocketAddr]>,
    /// Index of the entry process that gets the submission. Another one gets what follows a broken
    /// exchange, as behind a load balancer.
    pub(crate) turn: usize,
    pub(crate) submission: Submission,
    /// Number of results, each equal to the key.
    pub(crate) tasks: usize,
    /// Whether it may be sent again, and is followed when accepted.
    pub(crate) durable: bool,
    /// Run time that the payload asks for.
    pub(crate) run_time: Duration,
    /// Intended send time.
    pub(crate) intended: Instant,
    /// Time at which following ends.
    pub(crate) give_up: Instant,
}

/// How a submission ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallEnd {
    /// With this outcome.
    Replied(Outcome),
    /// With a result or key of another submission.
    WrongAnswer,
    /// The call broke off.
    NoReply,
    /// No connection could be opened.
    NotSent,
    /// The reply was not a work reply.
    Unreadable,
    /// It was accepted, and later not known.
    Lost,
}

/// Times and end of a submission.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    pub(crate) end: CallEnd,
    /// Name of the reason, for work that did not run.
    reason: Option<String>,
    /// Time from the intended to the real send.
    pub(crate) late: Duration,
    /// Time from the intended send to the end.
    pub(crate) total: Duration,
    /// Waiting time, for work that ran.
    pub(crate) wait: Option<Duration>,
    pub(crate) run_time: Duration,
    pub(crate) resent: u32,
    /// Description of a wrong answer.
    pub(crate) wrong_answer: Option<String>,
}

impl CallEnd {
    /// Returns whether the caller does not know what became of the work.
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
    /// Returns the name under which the outcome is counted.
    pub(crate) fn label(&self) -> String {
        match &self.reason {
            Some(reason) => format!("{}.{reason}", self.end.name()),
            None => self.end.name().to_owned(),
        }
    }
}

/// What one exchange yielded.
enum Answer {
    Work(WorkReply),
    NotFound,
    End(CallEnd),
}

impl LoadCall {
    /// Sends the submission and follows durable work to its outcome.
    pub(crate) async fn run(mut self, client: &HttpClient) -> CallResult {
        let late = self.intended.elapsed();
        let mut resent = 0;
        let mut pause = FIRST_PAUSE;
        let mut accepted = false;
        loop {
            let answer = match accepted {
                true => self.query(client).await,
                false => self.submit(client).await,
            };
            let total = self.intended.elapsed();
            let may_follow = self.durable && Instant::now() + pause < self.give_up;
            let retry = match &answer {
                Answer::Work(reply) => match reply.outcome {
                    Outcome::Accepted => {
                        accepted = true;
                        true
                    }
                    // A hint means that the process does not know, not that the work ended so.
                    Outcome::Unknown => reply.retry_after_ms.is_some(),
                    Outcome::Done | Outcome::Failed | Outcome::NotRun | Outcome::Cancelled => false,
                },
                Answer::NotFound => accepted,
                Answer::End(_) => {
                    self.turn += 1;
                    true
                }
            };
            if !(retry && may_follow) {
                return self.result(answer, accepted, late, total, resent);
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
            resent += u32::from(!accepted);
        }
    }

    fn peer(&self) -> String {
        self.targets[self.turn % self.targets.len()].to_string()
    }

    async fn submit(&self, client: &HttpClient) -> Answer {
        let wait = Duration::from_millis(self.submission.wait_limit_ms());
        let limit = wait + self.run_time + REPLY_SLACK;
        let peer = self.peer();
        let path = "/v1/work";
        let call = client.post_json("submission", &peer, path, &self.submission, limit);
        read(call.await)
    }

    async fn query(&self, client: &HttpClient) -> Answer {
        let Submission { customer, key, .. } = &self.submission;
        let path = format!("/v1/work/{customer}/{key}");
        let peer = self.peer();
        read(client.get("query", &peer, &path, QUERY_LIMIT).await)
    }

    fn result(
        &self,
        answer: Answer,
        accepted: bool,
        late: Duration,
        total: Duration,
        resent: u32,
    ) -> CallResult {
        let mut result = CallResult {
            end: CallEnd::Unreadable,
            reason: None,
            late,
            total,
            wait: None,
            run_time: self.run_time,
            resent,
            wrong_answer: None,
        };
        match answer {
            Answer::NotFound if accepted => result.end = CallEnd::Lost,
            Answer::NotFound => {}
            // An earlier attempt may have arrived.
            Answer::End(CallEnd::NotSent) if resent > 0 || accepted => {
                result.end = CallEnd::NoReply;
            }
            Answer::End(end) => result.end = end,
            Answer::Work(reply) => {
                result.wrong_answer = self.find_fault(&reply);
                result.end = match result.wrong_answer {
                    Some(_) => CallEnd::WrongAnswer,
                    None => CallEnd::Replied(reply.outcome),
                };
                result.reason = reply.reason.and_then(|reason| name(&reason));
                if matches!(reply.outcome, Outcome::Done | Outcome::Failed) {
                    result.wait = Some(late + Duration::from_millis(reply.waited_ms));
                }
            }
        }
        result
    }

    /// Returns what is wrong with a reply, if it is not the answer to this submission.
    fn find_fault(&self, reply: &WorkReply) -> Option<String> {
        let key = &self.submission.key;
        if reply.key != *key {
            return Some(format!("key {key} got the reply to key {}", reply.key));
        }
        let own = reply.results.iter().all(|result| result == key);
        match reply.outcome {
            Outcome::Done if !own || reply.results.len() != self.tasks => {
                Some(format!("key {key} got the results {:?}", reply.results))
            }
            _ => None,
        }
    }
}

fn read(call: Result<CallReply, CallError>) -> Answer {
    match call {
        Ok(reply) => match (reply.json::<WorkReply>(), reply.status) {
            (Ok(work), _) => Answer::Work(work),
            (Err(_), 404) => Answer::NotFound,
            (Err(_), _) => Answer::End(CallEnd::Unreadable),
        },
        Err(error) if error.is_not_sent() => Answer::End(CallEnd::NotSent),
        Err(_) => Answer::End(CallEnd::NoReply),
    }
}

/// Returns the name of a value that is a string in JSON.
fn name(value: &impl Serialize) -> Option<String> {
    let value = serde_json::to_value(value).ok()?;
    value.as_str().map(str::to_owned)
}
