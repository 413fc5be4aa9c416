//! What a process does by a configuration that may not be the newest, and how it learns of that.

use std::time::Duration;

use hs_control::{Access, AccessOptions, Control};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::confirmation::{MAX_AGE, ReadFault, config};
use crate::platform::FakePlatform;
use crate::process::Process;

/// Returns the decision on a call with a key, with a read of the configuration if it is needed to know.
async fn settled(control: Control<FakePlatform>, key: &str) -> &'static str {
    let mut rules = control.current_rules();
    if rules.access("", "/", Some(key)) == Access::UnconfirmedRefusal {
        rules = control.read_rules().await;
    }
    match rules.access("", "/", Some(key)) {
        Access::Team(..) => "team",
        Access::UnknownKey => "unknown",
        Access::UnconfirmedRefusal => "unconfirmed",
        other => panic!("{other:?}"),
    }
}

/// Guards against a refusal that a newer configuration would not have given, against one read for each refused call, and
/// against callers that wait for the reads of others.
#[tokio::test(start_paused = true)]
async fn refusals_are_confirmed_by_one_read() {
    const CALLS: usize = 20;
    struct Case {
        name: &'static str,
        fault: ReadFault,
        /// Time between the change of the configuration and the calls.
        pause: Duration,
        expected: &'static str,
        reads: std::ops::RangeInclusive<usize>,
        longest_wait: Duration,
    }
    let case = |name, fault, pause_ms, expected, reads, wait_ms| Case {
        name,
        fault,
        pause: Duration::from_millis(pause_ms),
        expected,
        reads,
        longest_wait: Duration::from_millis(wait_ms),
    };
    let slow = ReadFault::Late(Duration::from_millis(300));
    let cases = [
        case("store answers", ReadFault::None, 1500, "team", 1..=1, 20),
        case("slow store", slow, 1500, "team", 1..=1, 320),
        case(
            "reads are lost",
            ReadFault::Lost,
            1500,
            "unconfirmed",
            1..=1,
            520,
        ),
        case("just confirmed", ReadFault::Lost, 0, "unknown", 0..=0, 20),
    ];
    let mut processes = Vec::new();
    for case in cases {
        let platform = FakePlatform::default();
        platform.state().config.stored = Some(config(1, "old"));
        let process = Process::start_with(&platform, AccessOptions::default()).await;
        sleep(Duration::from_millis(100)).await;
        platform.state().config.stored = Some(config(2, "new"));
        sleep(case.pause).await;
        platform.state().config.fault = case.fault;
        let earlier = platform.state().config.reads;
        let began_at = tokio::time::Instant::now();
        let mut calls = JoinSet::new();
        for _ in 0..CALLS {
            calls.spawn(settled(process.control.clone(), "new"));
        }
        for decision in calls.join_all().await {
            assert_eq!(decision, case.expected, "{}", case.name);
        }
        let reads = platform.state().config.reads - earlier;
        assert!(case.reads.contains(&reads), "{}: {reads} reads", case.name);
        let waited = began_at.elapsed();
        assert!(waited <= case.longest_wait, "{}: {waited:?}", case.name);
        processes.push(process);
    }
}

/// Guards against a process that keeps an old configuration, also for queues that were dropped, while its watch waits for
/// a reply that does not come. On a late process a timeout lasts four times as long.
#[tokio::test(start_paused = true)]
async fn a_watch_without_reply_does_not_delay_a_configuration() {
    const APPLY_TIME: Duration = Duration::from_millis(2000);
    const HANG: Duration = Duration::from_millis(5200);
    let mut processes = Vec::new();
    for max_key_age in [None, Some(MAX_AGE)] {
        let platform = FakePlatform::default();
        let access = AccessOptions {
            max_key_age,
            ..AccessOptions::default()
        };
        let process = Process::start_with(&platform, access).await;
        sleep(Duration::from_millis(100)).await;
        platform.state().config.watch_hang = Some(HANG);
        // The watch in progress is answered within 0.9 s, and the next one is not.
        sleep(Duration::from_millis(1000)).await;
        platform.state().config.stored = Some(config(2, "new"));
        sleep(APPLY_TIME).await;
        let version = process.control.config().map(|config| config.version);
        assert_eq!(version, Some(2), "{max_key_age:?}");
        processes.push(process);
    }
}
