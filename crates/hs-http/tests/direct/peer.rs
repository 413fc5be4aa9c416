//! A peer that replies in several ways, well-formed or not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hs_http::{CallError, CallReply, DirectClient, RequestHeader};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;
use tokio::time::sleep;

/// Timeout of calls that get a reply.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Size above which the client rejects a reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 4 << 20;

/// Time between two parts of a reply.
const PACKET_INTERVAL: Duration = Duration::from_millis(5);

/// How the peer replies to the requests of a connection.
#[derive(Clone, Debug)]
pub enum PeerBehaviour {
    /// Replies at once.
    Reply,
    /// Replies and closes the connection, without a header that says so.
    CloseAfterReply,
    /// Replies with a header that announces the end of the connection, and closes it later.
    AnnounceClose,
    /// Delays the reply by this time.
    Delay(Duration),
    /// Delays the reply by this time, and names the connection instead of the request.
    NameConnection(Duration),
    /// Names the connection. The first ones, as many as this, reply to one request and are silent after that.
    FallSilent(usize),
    /// Replies once this number of requests has arrived.
    WaitForOthers(Arc<Barrier>),
    /// Refuses connections.
    Refuse,
    /// Closes each connection after it has read a request.
    CloseAfterRequest,
    /// Sends this reply and closes the connection.
    Send(&'static str),
    /// Sends the parts of a reply in separate packets, and keeps the connection open.
    SendParts(&'static [&'static str]),
    /// Replies with a body that is one byte too long.
    TooLong,
}

/// Peer that replies with the number of the request.
pub struct Peer {
    pub address: Arc<str>,
    connections: Arc<AtomicUsize>,
}

impl Peer {
    pub async fn start(behaviour: PeerBehaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let address: SocketAddr = listener.local_addr().expect("address");
        let connections = Arc::new(AtomicUsize::new(0));
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = connections.clone();
        if !matches!(behaviour, PeerBehaviour::Refuse) {
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let connection = counter.fetch_add(1, Ordering::Relaxed) + 1;
                    let served = serve(stream, connection, behaviour.clone(), requests.clone());
                    tokio::spawn(served);
                }
            });
        }
        Self {
            address: address.to_string().into(),
            connections,
        }
    }

    pub async fn call(
        &self,
        client: &DirectClient,
        timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let header = RequestHeader {
            name: "expect-instance",
            value: "w1",
        };
        let call = client.post_json("start", &self.address, "/orders", header, &(), timeout);
        call.await
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    behaviour: PeerBehaviour,
    requests: Arc<AtomicUsize>,
) {
    let mut buffer = [0; 4096];
    let mut has_replied = false;
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        let number = (requests.fetch_add(1, Ordering::Relaxed) + 1).to_string();
        let whole = |headers: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{body}")
        };
        let reply = match &behaviour {
            PeerBehaviour::Reply | PeerBehaviour::CloseAfterReply => whole("", &number),
            PeerBehaviour::AnnounceClose => whole("connection: close\r\n", &number),
            PeerBehaviour::Delay(delay) => {
                sleep(*delay).await;
                whole("", &number)
            }
            PeerBehaviour::NameConnection(delay) => {
                sleep(*delay).await;
                whole("", &connection.to_string())
            }
            PeerBehaviour::FallSilent(silent) => {
                if connection <= *silent && has_replied {
                    continue;
                }
                sleep(PACKET_INTERVAL).await;
                whole("", &connection.to_string())
            }
            PeerBehaviour::WaitForOthers(barrier) => {
                barrier.wait().await;
                whole("", &number)
            }
            PeerBehaviour::Refuse | PeerBehaviour::CloseAfterRequest => return,
            PeerBehaviour::Send(reply) => (*reply).to_owned(),
            PeerBehaviour::SendParts(parts) => {
                for part in *parts {
                    let _ = stream.write_all(part.as_bytes()).await;
                    sleep(PACKET_INTERVAL).await;
                }
                continue;
            }
            PeerBehaviour::TooLong => whole("", &" ".repeat(MAX_REPLY_BYTES + 1)),
        };
        let _ = stream.write_all(reply.as_bytes()).await;
        has_replied = true;
        if matches!(
            behaviour,
            PeerBehaviour::CloseAfterReply | PeerBehaviour::Send(_)
        ) {
            return;
        }
    }
}

/// Returns the body of a reply, and fails if there is none.
pub fn body(reply: Result<CallReply, CallError>) -> String {
    let body = reply.expect("a reply").body;
    String::from_utf8(body.to_vec()).expect("text")
}
