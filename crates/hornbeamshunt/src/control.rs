//! Client of the operator listener.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hs_http::{CallReply, HttpClient};
use http_body_util::Full;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use serde_json::Value;

/// Timeout of one call to the operator listener.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the operator listener.
#[derive(Clone)]
pub(crate) struct ControlClient {
    client: HttpClient,
    token: Option<String>,
}

impl ControlClient {
    pub(crate) fn new(token: Option<String>) -> Self {
        let client = HttpClient::default();
        Self { client, token }
    }

    /// Reads `/v1/status`.
    pub(crate) async fn status(&self, control: SocketAddr) -> Result<Value, String> {
        let peer = control.to_string();
        let mut request = Request::get(format!("http://{peer}/v1/status"));
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.body(Full::new(Bytes::new()));
        // The error of an invalid header does not contain the header's value, here the token.
        let request = request.map_err(|error| format!("status of {peer}: {error}"))?;
        let call = self
            .client
            .send("status query", &peer, request, CONTROL_TIMEOUT);
        let reply = call.await.map_err(|error| error.to_string())?;
        match reply.status {
            200 => reply
                .json()
                .map_err(|error| format!("status of {peer}: {error}")),
            status => Err(status_error(&peer, status, &reply)),
        }
    }
}

/// Returns the error message of a reply other than 200.
fn status_error(peer: &str, status: u16, reply: &CallReply) -> String {
    let text = String::from_utf8_lossy(&reply.body);
    match status {
        401 => format!("status of {peer}: the token is missing or wrong"),
        _ => format!("status of {peer}: HTTP {status}: {text}"),
    }
}
