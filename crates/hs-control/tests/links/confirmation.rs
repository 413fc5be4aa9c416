//! Confirmation of the configuration while reads are lost, late or old, and while the machine is suspended.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::TeamSpec;
use hs_control::port::PortError;
use hs_control::{Access, AccessOptions, ClusterConfig, TeamConfig};
use hs_wire::Resources;
use tokio::time::sleep;

use crate::platform::FakePlatform;
use crate::process::Process;
use crate::store::configuration;

/// What happens to reads of the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub enum ReadFault {
    #[default]
    None,
    /// No reply.
    Lost,
    /// The reply comes after this time, with what was in force when the read was sent.
    Late(Duration),
}

/// What the store has as the configuration.
#[derive(Debug, Default)]
pub struct ConfigScript {
    /// Configuration that reads return; the only one of the other tests if there is none.
    pub stored: Option<Arc<ClusterConfig>>,
    /// Configuration that the next watch returns.
    pub watched: Option<Arc<ClusterConfig>>,
    pub fault: ReadFault,
    /// Time for which each watch waits before it fails, as a call of a late process does; watches work if there is none.
    pub watch_hang: Option<Duration>,
    /// Number of reads.
    pub reads: usize,
}

/// Returns the error of a call that got no reply.
pub fn lost() -> PortError {
    PortError::NoReply {
        operation: "configuration",
        peer: "store".to_owned(),
        opened_at: None,
        cause: "lost".to_owned(),
    }
}

/// Delays or fails a read.
///
/// # Errors
///
/// Fails if reads are lost.
pub async fn read_fault(fault: ReadFault, timeout: Duration) -> Result<(), PortError> {
    match fault {
        ReadFault::None => Ok(()),
        ReadFault::Late(time) if time < timeout => {
            sleep(time).await;
            Ok(())
        }
        ReadFault::Lost | ReadFault::Late(_) => {
            sleep(timeout).await;
            Err(lost())
        }
    }
}

/// Returns a version of the configuration whose team has this key.
pub fn config(version: u64, key: &str) -> Arc<ClusterConfig> {
    let team = TeamConfig {
        keys: vec![key.into()],
        spec: TeamSpec {
            name: "team".into(),
            weight: 1.0,
            cap: Resources::ZERO,
        },
    };
    Arc::new(ClusterConfig {
        version,
        teams: vec![team],
        ..configuration()
    })
}

/// Age up to which the configuration counts as confirmed.
pub const MAX_AGE: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Writes a configuration with this key, of which the watch shows nothing.
    Store(u64, &'static str),
    /// Lets the watch show a configuration.
    Watch(u64, &'static str),
    Reads(ReadFault),
    Sleep(u64),
    /// Suspends the machine, with the steady clock.
    Suspend(u64),
    /// Checks the decision on a call with this key.
    Expect(&'static str, &'static str),
    /// Checks the readiness of the process.
    Ready(bool),
}

/// Returns the process, which must outlive the runtime's other tests: its tasks go on.
async fn run_steps(name: &str, steps: &[Step]) -> Process {
    let platform = FakePlatform::default();
    platform.state().config.stored = Some(config(1, "old"));
    let access = AccessOptions {
        keys_always_needed: false,
        max_key_age: Some(MAX_AGE),
        max_refusal_age: MAX_AGE,
    };
    let process = Process::start_with(&platform, access).await;
    sleep(Duration::from_millis(2500)).await;
    for (number, step) in steps.iter().enumerate() {
        let place = format!("{name}, step {number} {step:?}");
        match *step {
            Step::Store(version, key) => {
                platform.state().config.stored = Some(config(version, key));
            }
            Step::Watch(version, key) => {
                platform.state().config.watched = Some(config(version, key));
            }
            Step::Reads(fault) => platform.state().config.fault = fault,
            Step::Sleep(ms) => sleep(Duration::from_millis(ms)).await,
            Step::Suspend(ms) => platform.state().suspended += Duration::from_millis(ms),
            Step::Expect(key, expected) => {
                let rules = process.control.current_rules();
                let decision = match rules.access("", "/", Some(key)) {
                    Access::Team(..) => "team",
                    Access::UnknownKey => "unknown",
                    Access::Unconfirmed => "unconfirmed",
                    other => panic!("{place}: {other:?}"),
                };
                assert_eq!(decision, expected, "{place}");
            }
            Step::Ready(expected) => assert_eq!(process.control.is_ready(), expected, "{place}"),
        }
    }
    process
}

/// Guards against calls that are served with a withdrawn key after the bound, and against a process that stays
/// unconfirmed, or not ready, although a read has succeeded.
#[tokio::test(start_paused = true)]
async fn keys_are_relied_on_only_while_the_configuration_is_confirmed() {
    use Step::{Expect, Reads, Ready, Sleep, Store, Suspend, Watch};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
    }
    const SLOW: ReadFault = ReadFault::Late(Duration::from_millis(900));
    const LATE: ReadFault = ReadFault::Late(Duration::from_millis(2500));
    const TOO_LATE: ReadFault = ReadFault::Late(Duration::from_millis(3950));
    let cases = [
        Case {
            name: "lost reads",
            steps: &[
                Ready(true),
                Reads(ReadFault::Lost),
                Sleep(2800),
                Expect("old", "team"),
                Sleep(1500),
                Expect("old", "unconfirmed"),
                Ready(false),
                Reads(ReadFault::None),
                Sleep(1300),
                Expect("old", "team"),
                Ready(true),
            ],
        },
        Case {
            name: "watch without events",
            steps: &[
                Store(2, "new"),
                Sleep(1300),
                Expect("old", "unknown"),
                Expect("new", "team"),
            ],
        },
        Case {
            name: "reads that are answered late",
            steps: &[
                Reads(LATE),
                Sleep(7000),
                Expect("old", "team"),
                Store(2, "new"),
                Sleep(3800),
                Expect("old", "unknown"),
            ],
        },
        Case {
            name: "reads that are answered when they are too old",
            steps: &[
                Reads(TOO_LATE),
                // The last read before was sent at most 1.1 s ago, and an answer holds for 50 ms.
                Sleep(4500),
                Reads(ReadFault::Lost),
                Sleep(4100),
                Expect("old", "unconfirmed"),
            ],
        },
        Case {
            name: "suspension",
            steps: &[
                Suspend(5000),
                Expect("old", "unconfirmed"),
                Sleep(300),
                Expect("old", "team"),
            ],
        },
        Case {
            name: "read in progress at a suspension",
            steps: &[
                Store(2, "new"),
                Reads(SLOW),
                Sleep(1050),
                Suspend(5000),
                Sleep(700),
                Expect("new", "unconfirmed"),
                Sleep(400),
                Expect("new", "team"),
            ],
        },
        Case {
            name: "older version",
            steps: &[
                Store(5, "new"),
                Sleep(1300),
                Store(3, "old"),
                Sleep(6000),
                Expect("old", "unknown"),
                Expect("new", "team"),
            ],
        },
        Case {
            name: "watch that answers while reads are lost",
            steps: &[
                Reads(ReadFault::Lost),
                Watch(2, "new"),
                Sleep(1500),
                Expect("old", "unknown"),
                Expect("new", "team"),
                Sleep(2800),
                Expect("new", "unconfirmed"),
            ],
        },
    ];
    let mut processes = Vec::new();
    for case in cases {
        processes.push(run_steps(case.name, case.steps).await);
    }
}

/// Guards against calls to the store where keys follow the configuration without a bound, or where there are none, and
/// against more than one call a second elsewhere.
#[tokio::test(start_paused = true)]
async fn confirmation_costs_at_most_one_read_a_second() {
    struct Case {
        name: &'static str,
        stored: Option<Arc<ClusterConfig>>,
        max_age: Option<Duration>,
        reads: std::ops::RangeInclusive<usize>,
    }
    let case = |name, stored, max_age, reads| Case {
        name,
        stored,
        max_age,
        reads,
    };
    let teams = || Some(config(1, "old"));
    let cases = [
        case("no bound", teams(), None, 1..=1),
        case("no teams", None, Some(MAX_AGE), 1..=1),
        case("teams", teams(), Some(MAX_AGE), 9..=11),
        case("long bound", teams(), Some(4 * MAX_AGE), 3..=4),
    ];
    let mut processes = Vec::new();
    for case in cases {
        let platform = FakePlatform::default();
        platform.state().config.stored = case.stored;
        let access = AccessOptions {
            max_key_age: case.max_age,
            ..AccessOptions::default()
        };
        let process = Process::start_with(&platform, access).await;
        processes.push(process);
        sleep(Duration::from_secs(10)).await;
        let reads = platform.state().config.reads;
        assert!(case.reads.contains(&reads), "{}: {reads}", case.name);
    }
}
