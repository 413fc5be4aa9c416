//! A fake store and HTTP listeners for tests of the command line.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hs_http::{HttpReply, HttpRequest, ServeLimits, serve};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// What the fake store does with the next write.
#[derive(Clone, Debug)]
pub enum StoreFault {
    /// Applies it.
    None,
    /// Applies a write of another value first.
    Overtaken(&'static str),
    /// Applies it, but sends no reply in time.
    ReplyLost,
    /// Drops it, and sends no reply in time.
    RequestLost,
    /// Applies a write of another value first, and sends no reply in time.
    ReplyLostOvertaken(&'static str),
}

/// A fake store with one key.
#[derive(Debug)]
pub struct FakeStore {
    pub revision: u64,
    pub body: Vec<u8>,
    pub fault: StoreFault,
}

impl FakeStore {
    /// Starts a store that holds a manifest, or nothing if `body` is empty.
    pub fn start(body: &str, fault: StoreFault) -> (SocketAddr, Arc<Mutex<Self>>) {
        let store = Arc::new(Mutex::new(Self {
            revision: if body.is_empty() { 0 } else { 40 },
            body: body.into(),
            fault,
        }));
        let shared = store.clone();
        let address = start(move |request| {
            let (reply, is_lost) = shared.lock().expect("store").answer(&request);
            async move {
                if is_lost {
                    tokio::time::sleep(Duration::from_secs(60)).await;
                }
                reply
            }
        });
        (address, store)
    }

    fn answer(&mut self, request: &HttpRequest) -> (HttpReply, bool) {
        assert_eq!(request.path, "/kv/manifest");
        if request.method == "GET" {
            let reply = match self.revision {
                0 => HttpReply::error(404, "missing", "no such key"),
                _ => HttpReply::bytes(200, "application/json", self.body.clone()),
            };
            return (reply.with_header("x-revision", self.revision), false);
        }
        let fault = std::mem::replace(&mut self.fault, StoreFault::None);
        match fault {
            StoreFault::None | StoreFault::ReplyLost => {}
            StoreFault::Overtaken(other) | StoreFault::ReplyLostOvertaken(other) => {
                self.revision += 1;
                self.body = other.into();
            }
            StoreFault::RequestLost => return (HttpReply::text(200, ""), true),
        }
        let is_lost = !matches!(fault, StoreFault::None | StoreFault::Overtaken(_));
        let status = match request.query_number("if_revision") == Some(self.revision) {
            true => {
                self.revision += 1;
                self.body = request.body.to_vec();
                200
            }
            false => 409,
        };
        let revision = serde_json::json!({ "revision": self.revision });
        (HttpReply::json(status, &revision), is_lost)
    }
}

/// Starts an HTTP listener on loopback that runs until the test process ends.
pub fn start<Handler, Reply>(handler: Handler) -> SocketAddr
where
    Handler: Fn(HttpRequest) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = HttpReply> + Send + 'static,
{
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            sender.send(listener.local_addr()).expect("send");
            let (_stop, stopped) = watch::channel(false);
            serve(listener, ServeLimits::default(), stopped, handler).await;
        });
    });
    receiver.recv().expect("receive").expect("address")
}

/// Runs the `hornbeamshunt` binary without a token in its environment.
pub fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hornbeamshunt"))
        .args(arguments)
        .env_remove("HORNBEAMSHUNT_TOKEN")
        .output()
        .expect("run")
}

/// Writes a temporary file and returns its path.
pub fn file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("write");
    path.to_string_lossy().into_owned()
}
