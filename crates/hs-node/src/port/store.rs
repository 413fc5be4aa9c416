//! HTTP adapter to the store.

use std::net::SocketAddr;
use std::time::Duration;

use hs_http::{CallReply, HttpClient};
use hyper::Method;
use serde::Deserialize;

use super::{PortError, StorePort, StoreValue, StoreWrite};

/// Response header that holds the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// Time that the reply of a watch may take in addition to the wait of the watch.
const WATCH_REPLY_MARGIN: Duration = Duration::from_secs(1);

/// HTTP client of the configuration store.
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
    /// Creates the adapter for the store at an address.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self {
            client,
            peer: address.to_string(),
        }
    }

    fn parse_value(
        &self,
        operation: &'static str,
        reply: CallReply,
    ) -> Result<StoreValue, PortError> {
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
    async fn get(
        &self,
        key: &str,
        call_timeout: Duration,
    ) -> Result<Option<StoreValue>, PortError> {
        let operation = "store read";
        let path = format!("/kv/{key}");
        let reply = self
            .client
            .get(operation, &self.peer, &path, call_timeout)
            .await?;
        match reply.status {
            200 => self.parse_value(operation, reply).map(Some),
            404 => Ok(None),
            _ => Err(PortError::from_reply(operation, &self.peer, &reply)),
        }
    }

    async fn put(
        &self,
        key: &str,
        if_revision: u64,
        body: Vec<u8>,
        call_timeout: Duration,
    ) -> Result<StoreWrite, PortError> {
        let operation = "store write";
        let path = format!("/kv/{key}?if_revision={if_revision}");
        let call = self.client.call(
            operation,
            Method::PUT,
            &self.peer,
            &path,
            body,
            call_timeout,
        );
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
            .get(operation, &self.peer, &path, wait + WATCH_REPLY_MARGIN);
        let reply = call.await?;
        match reply.status {
            200 => self.parse_value(operation, reply).map(Some),
            204 => Ok(None),
            _ => Err(PortError::from_reply(operation, &self.peer, &reply)),
        }
    }
}
