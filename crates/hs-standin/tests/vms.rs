//! Guards against a VM list stand-in that shows updates earlier than the platform does, or without
//! the injected outages.

mod support;

use std::time::Duration;

use hs_standin::{VmsOptions, run_vms};
use hs_wire::{Resources, VmEntry, VmList, VmRole, VmState};
use hyper::Method;
use serde_json::json;
use support::Standin;

fn entry(id: &str) -> VmEntry {
    VmEntry {
        id: id.to_owned(),
        addr: "127.0.0.1:1".to_owned(),
        data_centre: "a".to_owned(),
        rack: String::new(),
        role: VmRole::Entry,
        state: VmState::Live,
        capacity: Resources::ZERO,
    }
}

/// Guards against an update that readers see before the lag is over, or never.
#[tokio::test]
async fn update_is_visible_only_after_the_lag() {
    let options = VmsOptions {
        lag_ms: 300,
        vms: vec![entry("one")],
    };
    let vms = Standin::start(|listener, stop| run_vms(listener, options, stop)).await;
    for id in ["two", "three"] {
        let reply = vms.post("/vms", &json!({ "vms": [entry(id)] })).await;
        assert_eq!(reply.status, 200);
    }
    let cases = [(0, 1, "one"), (500, 3, "three")];
    for (wait_ms, version, id) in cases {
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let list: VmList = vms.get("/vms").await;
        let vms = vec![entry(id)];
        assert_eq!(
            list,
            VmList {
                version,
                vms,
                ..VmList::default()
            },
            "after {wait_ms} ms"
        );
    }
}

/// Guards against an injected outage that does not affect reads.
#[tokio::test]
async fn outage_affects_reads() {
    let options = VmsOptions::default();
    let vms = Standin::start(|listener, stop| run_vms(listener, options, stop)).await;
    for (fault, status) in [
        (json!({ "down": "refuse" }), Some(503)),
        (json!({ "down": "drop" }), None),
        (json!({}), Some(200)),
    ] {
        vms.post("/fault", &fault).await;
        let reply = vms.call(Method::GET, "/vms", "").await;
        assert_eq!(reply.ok().map(|reply| reply.status), status, "{fault}");
    }
}
