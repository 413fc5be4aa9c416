//! HTTP adapter to the store.

use std::net::SocketAddr;
use std::time::Duration;

use hs_http::{CallReply, HttpClient};
use hyper::Method;
use serde::Deserialize;

use super::{PortError, StorePort, StoreValue, StoreWrite};

/// Header with the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// Time beyond a watch's own wait that its reply may take.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// The store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: HttpClient,
    peer: String,
}

#[derive(Deserialize)]
struct WriteBody {
    revision: u64,
}

impl HttpStore {
    /// Builds the adapter.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self {
            client,
            peer: address.to_string(),
        }
    }

    fn value(&self, operation: &'static str, reply: CallReply) -> Result<StoreValue, PortError> {
        let revision = reply
            .header_number(REVISION_HEADER)
            .ok_or_else(|| PortError::unreadable(operation, &self.peer, "no revision header"))?;
        Ok(StoreValue {
            revision,
            body: reply.body.to_vec(),
        })
    }
}

impl StorePort for HttpStore {
    async fn get(&self, key: &str, limit: Duration) -> Result<Option<StoreValue>, PortError> {
        let operation = "store read";
        let path = format!("/kv/{key}");
        let reply = self.client.get(operation, &self.peer, &path, limit).await?;
        match reply.status {
            200 => self.value(operation, reply).map(Some),
            404 => Ok(None),
            _ => Err(PortError::from_reply(operation, &self.peer, &reply)),
        }
    }

    async fn put(
        &self,
        key: &str,
        if_revision: u64,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<StoreWrite, PortError> {
        let operation = "store write";
        let path = format!("/kv/{key}?if_revision={if_revision}");
        let call = self
            .client
            .call(operation, Method::PUT, &self.peer, &path, body, limit);
        let reply = call.await?;
        let parse = |reply: &CallReply| {
            let body = reply.json::<WriteBody>();
            body.map_err(|error| PortError::unreadable(operation, &self.peer, error))
        };
        match reply.status {
            200 => Ok(StoreWrite::Written(parse(&reply)?.revision)),
            409 => Ok(StoreWrite::Conflict(parse(&reply)?.revision)),
            _ => Err(PortError::from_reply(operation, &self.peer, &reply)),
        }
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<StoreValue>, PortError> {
        let operation = "store watch";
        let path = format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        let call = self
            .client
            .get(operation, &self.peer, &path, wait + WATCH_SLACK);
        let reply = call.await?;
        match reply.status {
            200 => self.value(operation, reply).map(Some),
            204 => Ok(None),
            _ => Err(PortError::from_reply(operation, &self.peer, &reply)),
        }
    }
}
