//! Guards against a store stand-in with wrong compare-and-swap, watches or fault injection, which
//! would hide errors of the product.

mod support;

use std::time::{Duration, Instant};

use hs_standin::{StoreCalls, StoreOptions, run_store};
use hyper::Method;
use serde_json::{Value, json};
use support::Standin;

async fn store(seed: u64) -> Standin {
    let options = StoreOptions {
        seed,
        ..StoreOptions::default()
    };
    Standin::start(|listener, stop| run_store(listener, options, stop)).await
}

/// Guards against a write that takes effect although its expected revision is stale.
#[tokio::test]
async fn write_with_stale_revision_is_refused() {
    struct Case {
        path: &'static str,
        status: u16,
        revision: u64,
    }
    let case = |path, status, revision| Case {
        path,
        status,
        revision,
    };
    let cases = [
        case("/kv/manifest?if_revision=1", 409, 0),
        case("/kv/manifest?if_revision=0", 200, 1),
        case("/kv/manifest?if_revision=0", 409, 1),
        case("/kv/ledger/0?if_revision=0", 200, 2),
        case("/kv/manifest?if_revision=1", 200, 3),
        case("/kv/manifest?if_revision=1", 409, 3),
    ];
    let store = store(0).await;
    for Case {
        path,
        status,
        revision,
    } in cases
    {
        let body = format!("{status} {path}");
        let reply = store.call(Method::PUT, path, body).await.expect("a reply");
        let found: Value = reply.json().expect("a JSON body");
        assert_eq!(
            (reply.status, found),
            (status, json!({ "revision": revision })),
            "{path}"
        );
    }
    let read = store.call(Method::GET, "/kv/manifest", "").await;
    let read = read.expect("a reply");
    assert_eq!(read.header_number("x-revision"), Some(3));
    assert_eq!(read.body, "200 /kv/manifest?if_revision=1");
    let absent = store.call(Method::GET, "/kv/none", "").await;
    assert_eq!(absent.expect("a reply").status, 404);
    let calls: StoreCalls = store.get("/calls").await;
    let expected = StoreCalls {
        reads: 2,
        writes: 6,
        watches: 0,
    };
    assert_eq!(calls, expected);
}

/// Guards against a store stand-in that accepts larger values than the store of the platform.
#[tokio::test]
async fn oversized_value_is_refused() {
    let store = store(0).await;
    for (size, status) in [(1_000_000, 200), (1_000_001, 413)] {
        let path = format!("/kv/{size}?if_revision=0");
        let reply = store.call(Method::PUT, &path, vec![b'x'; size]).await;
        assert_eq!(reply.expect("a reply").status, status, "{size} bytes");
    }
}

/// Guards against a watch that misses a write, or that replies before its wait is over without a
/// write.
#[tokio::test]
async fn watch_returns_after_write_or_timeout() {
    let store = store(0).await;
    let begin = Instant::now();
    let path = "/watch/a/b?after=0&wait_ms=50";
    let reply = store.call(Method::GET, path, "").await.expect("a reply");
    assert_eq!(reply.status, 204);
    assert!(begin.elapsed() >= Duration::from_millis(50));

    let path = "/watch/a/b?after=0&wait_ms=5000";
    let write = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        let other = store.call(Method::PUT, "/kv/a?if_revision=0", "no").await;
        assert_eq!(other.expect("a reply").status, 200);
        let wanted = store.call(Method::PUT, "/kv/a/b?if_revision=0", "yes");
        assert_eq!(wanted.await.expect("a reply").status, 200);
    };
    let (reply, ()) = tokio::join!(store.call(Method::GET, path, ""), write);
    let reply = reply.expect("a reply");
    assert_eq!((reply.status, &reply.body[..]), (200, &b"yes"[..]));
    assert_eq!(reply.header_number("x-revision"), Some(2));
}

/// Guards against calls that an injected outage does not affect, in particular a watch that was
/// already pending when the outage began.
#[tokio::test]
async fn outage_affects_every_call() {
    let store = store(0).await;
    for (down, status) in [("refuse", Some(503)), ("drop", None)] {
        store.post("/fault", &json!({})).await;
        let begin_outage = async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            let reply = store.post("/fault", &json!({ "down": down })).await;
            assert_eq!(reply.status, 200);
        };
        let path = "/watch/k?after=0&wait_ms=5000";
        let (watched, ()) = tokio::join!(store.call(Method::GET, path, ""), begin_outage);
        assert_eq!(watched.ok().map(|reply| reply.status), status, "{down}");
        for (method, path) in [
            (Method::GET, "/kv/k"),
            (Method::PUT, "/kv/k?if_revision=0"),
            (Method::GET, "/watch/k?after=0&wait_ms=0"),
        ] {
            let reply = store.call(method, path, "").await;
            if let Err(error) = &reply {
                assert!(!error.is_not_sent(), "{down} {path}: {error}");
            }
            assert_eq!(
                reply.ok().map(|reply| reply.status),
                status,
                "{down} {path}"
            );
        }
    }
    store.post("/fault", &json!({})).await;
    let read = store.call(Method::GET, "/kv/k", "").await.expect("a reply");
    assert_eq!(read.status, 404, "a write during the outage took effect");
}

/// Guards against a write without effect when only its reply should be lost.
#[tokio::test]
async fn write_with_lost_reply_takes_effect() {
    let store = store(0).await;
    let fault = json!({ "lose_replies": { "next": 1 } });
    store.post("/fault", &fault).await;
    let lost = store.call(Method::PUT, "/kv/k?if_revision=0", "one").await;
    assert!(!lost.expect_err("a lost reply").is_not_sent());
    let read = store.call(Method::GET, "/kv/k", "").await.expect("a reply");
    assert_eq!(read.body, "one");
    let next = store.call(Method::PUT, "/kv/k?if_revision=1", "two").await;
    assert_eq!(next.expect("a reply").status, 200);
}

/// Guards against losses that differ between two runs with the same seed.
#[tokio::test]
async fn same_seed_loses_same_replies() {
    let mut runs = Vec::new();
    for seed in [7, 7, 8] {
        let store = store(seed).await;
        let fault = json!({ "lose_replies": { "probability": 0.5 } });
        store.post("/fault", &fault).await;
        let mut losses = Vec::new();
        for _ in 0..32 {
            let reply = store.call(Method::PUT, "/kv/k?if_revision=9", "").await;
            losses.push(reply.is_err());
        }
        assert!(losses.contains(&true) && losses.contains(&false));
        runs.push(losses);
    }
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
}

/// Guards against a write that takes effect before its delay, and against a delayed write that is
/// dropped because its caller timed out.
#[tokio::test]
async fn delayed_write_takes_effect_after_caller_timeout() {
    let store = store(0).await;
    store.post("/fault", &json!({ "delay_ms": 500 })).await;
    let write = store.call(Method::PUT, "/kv/k?if_revision=0", "late");
    let timed_out = tokio::time::timeout(Duration::from_millis(50), write).await;
    assert!(timed_out.is_err());
    store.post("/fault", &json!({})).await;
    let read = store.call(Method::GET, "/kv/k", "").await.expect("a reply");
    assert_eq!(read.status, 404);
    tokio::time::sleep(Duration::from_millis(900)).await;
    let read = store.call(Method::GET, "/kv/k", "").await.expect("a reply");
    assert_eq!(read.body, "late");
}
