//! Client of the caller API.

use std::net::SocketAddr;
use std::time::Duration;

use hs_http::HttpClient;
use hs_wire::{Submission, WorkReply};

/// A caller of entry processes.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    client: HttpClient,
}

impl Caller {
    /// Submits work. Returns `None` if the connection failed or no reply arrived.
    pub async fn submit(&self, entry: SocketAddr, work: &Submission) -> Option<WorkReply> {
        let limit = Duration::from_millis(work.wait_limit_ms()) + Duration::from_secs(5);
        let peer = entry.to_string();
        let call = self
            .client
            .post_json("submission", &peer, "/v1/work", work, limit);
        call.await.ok()?.json().ok()
    }

    /// Queries the result of work. Returns the status code, and the reply if there is one. Returns
    /// `None` if the call failed.
    pub async fn query(
        &self,
        entry: SocketAddr,
        work: &Submission,
    ) -> Option<(u16, Option<WorkReply>)> {
        let path = format!("/v1/work/{}/{}", work.customer, work.key);
        let limit = Duration::from_secs(5);
        let reply = self
            .client
            .get("query", &entry.to_string(), &path, limit)
            .await
            .ok()?;
        Some((reply.status, reply.json().ok()))
    }

    /// Cancels work. Returns `None` if the call failed.
    pub async fn cancel(&self, entry: SocketAddr, work: &Submission) -> Option<WorkReply> {
        let path = format!("/v1/work/{}/{}/cancel", work.customer, work.key);
        let peer = entry.to_string();
        let limit = Duration::from_secs(5);
        let call = self.client.post_json("cancel", &peer, &path, &(), limit);
        call.await.ok()?.json().ok()
    }
}

/// Builds a submission whose payload contains its key, so that starts can be counted by key.
pub fn submission(key: &str, workload: &str, deadline_ms: u64, payload: &str) -> Submission {
    Submission {
        key: key.to_owned(),
        customer: "acme".to_owned(),
        workload: workload.to_owned(),
        deadline_ms,
        wait_ms: None,
        issued_at_ms: None,
        payload: format!("{payload} echo={key}").trim().to_owned(),
    }
}
