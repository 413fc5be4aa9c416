//! Runs a stand-in on a free port and sends calls to it.

use std::time::Duration;

use hs_http::{CallError, CallReply, HttpClient};
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A running stand-in. It stops when this is dropped.
pub struct Standin {
    client: HttpClient,
    address: String,
    stop: watch::Sender<bool>,
}

impl Standin {
    /// Runs a stand-in on a free port of the loopback interface.
    pub async fn start<Run, Service>(run: Run) -> Self
    where
        Run: FnOnce(TcpListener, watch::Receiver<bool>) -> Service,
        Service: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(run(listener, stopped));
        Self {
            client: HttpClient::default(),
            address,
            stop,
        }
    }

    /// Sends a request. A connection that the stand-in closes without a reply is an error.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Vec<u8>>,
    ) -> Result<CallReply, CallError> {
        let body: Vec<u8> = body.into();
        let call = self
            .client
            .call("test", method, &self.address, path, body, CALL_TIMEOUT);
        call.await
    }

    /// Sends a JSON body and returns the reply, whatever its status.
    pub async fn post<Body: Serialize>(&self, path: &str, body: &Body) -> CallReply {
        let body = serde_json::to_vec(body).expect("a JSON body");
        let reply = self.call(Method::POST, path, body).await;
        reply.expect("a reply")
    }

    /// Reads a JSON document, and panics if the status is not 200.
    pub async fn get<Reply: DeserializeOwned>(&self, path: &str) -> Reply {
        let reply = self.call(Method::GET, path, Vec::new()).await;
        let reply = reply.expect("a reply");
        assert_eq!(reply.status, 200, "GET {path}");
        reply.json().expect("a JSON document")
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}
