//! How many cancellations of unknown jobs a process stores.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hs_control::unknown_cancellations::UnknownCancellations;

struct RateCase {
    name: &'static str,
    /// Team of the callers that try first, as often as possible.
    crowd: Option<&'static str>,
    /// Team of the caller that tries next.
    caller: Option<&'static str>,
    /// Time between them.
    pause: Duration,
    /// What the crowd and the caller may store.
    expected: (usize, usize),
}

const ATTEMPTS: usize = 1000;

fn take_all(rate: &mut UnknownCancellations, team: Option<&str>, now: Instant) -> usize {
    let team: Option<Arc<str>> = team.map(Into::into);
    (0..ATTEMPTS)
        .filter(|_| rate.take(team.as_ref(), now))
        .count()
}

/// Guards against a caller that makes a process store any number of cancellations, and against a team that uses up what
/// others may store.
#[test]
fn cancellations_are_limited_for_each_team() {
    let cases = [
        RateCase {
            name: "no teams",
            crowd: None,
            caller: None,
            pause: Duration::ZERO,
            expected: (100, 0),
        },
        RateCase {
            name: "no teams, later",
            crowd: None,
            caller: None,
            pause: Duration::from_secs(3),
            expected: (100, 6),
        },
        RateCase {
            name: "one team",
            crowd: Some("a"),
            caller: Some("a"),
            pause: Duration::ZERO,
            expected: (110, 0),
        },
        RateCase {
            name: "another team",
            crowd: Some("a"),
            caller: Some("b"),
            pause: Duration::ZERO,
            expected: (110, 10),
        },
        RateCase {
            name: "another team after callers without one",
            crowd: None,
            caller: Some("b"),
            pause: Duration::ZERO,
            expected: (100, 10),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut rate = UnknownCancellations::new(start);
        let first = take_all(&mut rate, case.crowd, start);
        rate.remove_full(start);
        let second = take_all(&mut rate, case.caller, start + case.pause);
        assert_eq!((first, second), case.expected, "{}", case.name);
    }
}
