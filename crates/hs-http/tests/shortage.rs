//! Calls of a process that has no descriptor left. The limit holds for the whole process, so that this is its only test.

use std::fs::File;
use std::sync::Arc;
use std::time::Duration;

use hs_http::{CallError, DirectClient, HttpClient, RequestHeader};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(1);

/// Number of files that the process may open.
const MAX_FILES: u64 = 64;

/// Guards against a peer that counts as failing because this process has no descriptor for a connection to it.
#[tokio::test]
async fn a_call_without_a_descriptor_is_told_from_a_refused_one() {
    let limit = Rlimit {
        current: Some(MAX_FILES),
        ..getrlimit(Resource::Nofile)
    };
    setrlimit(Resource::Nofile, limit).expect("a lower limit");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address").to_string();
    let mut files = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        files.push(file);
    }
    let header = RequestHeader {
        name: "x-test",
        value: "1",
    };
    let peer: Arc<str> = address.as_str().into();
    let direct = DirectClient::default();
    let direct = direct.post_json("call", &peer, "/", header, &(), LIMIT);
    let pooled = HttpClient::default();
    let errors = [
        direct.await.expect_err("no descriptor"),
        pooled
            .get("call", &address, "/", LIMIT)
            .await
            .expect_err("no descriptor"),
    ];
    drop(files);
    for error in errors {
        let is_shortage = matches!(error, CallError::NoResources { .. });
        assert!(is_shortage && error.is_not_sent(), "{error}");
    }
}
