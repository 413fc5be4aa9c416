//! Which connections of a listener are closed.

use std::time::{Duration, Instant};

use hs_http::connection_phase::{ConnectionPhase, PhaseLimits, PhaseSince, longest_waiting};

const LIMITS: PhaseLimits = PhaseLimits {
    idle: Duration::from_secs(15),
    head: Duration::from_secs(3),
};

struct ExpiryCase {
    name: &'static str,
    phase: ConnectionPhase,
    age_s: u64,
    /// Time since the process went on after a pause.
    resumed_s: u64,
    expires: bool,
}

/// Guards against slow heads and idle connections that stay open, and against clients that are closed since the process
/// itself was paused.
#[test]
fn connections_expire_by_phase() {
    let case = |name, phase, age_s, resumed_s, expires| ExpiryCase {
        name,
        phase,
        age_s,
        resumed_s,
        expires,
    };
    let cases = [
        case("recent head", ConnectionPhase::Head, 2, 60, false),
        case("slow head", ConnectionPhase::Head, 4, 60, true),
        case("recently idle", ConnectionPhase::Idle, 14, 60, false),
        case("idle for long", ConnectionPhase::Idle, 16, 60, true),
        case("head after a pause", ConnectionPhase::Head, 20, 1, false),
        case("idle after a pause", ConnectionPhase::Idle, 60, 1, false),
        case("body", ConnectionPhase::Body, 60, 60, false),
        case("handled request", ConnectionPhase::Handling, 60, 60, false),
    ];
    for case in cases {
        let now = Instant::now() + Duration::from_secs(600);
        let since = now - Duration::from_secs(case.age_s);
        let resumed_at = now - Duration::from_secs(case.resumed_s);
        let phase = PhaseSince {
            phase: case.phase,
            since,
        };
        let expires = phase.is_expired(LIMITS, resumed_at, now);
        assert_eq!(expires, case.expires, "{}", case.name);
    }
}

/// Guards against requests that are dropped while they are handled, and against callers that stay outside while
/// connections are idle.
#[test]
fn the_longest_waiting_connection_yields() {
    let now = Instant::now() + Duration::from_secs(600);
    let ages = [
        (ConnectionPhase::Handling, 100),
        (ConnectionPhase::Body, 20),
        (ConnectionPhase::Idle, 30),
        (ConnectionPhase::Head, 25),
        (ConnectionPhase::Closing, 90),
    ];
    let connections = ages.map(|(phase, age_s)| PhaseSince {
        phase,
        since: now - Duration::from_secs(age_s),
    });
    assert_eq!(
        longest_waiting(connections.into_iter().enumerate()),
        Some(2)
    );
    let handled = connections.into_iter().take(1).enumerate();
    assert_eq!(longest_waiting(handled), None);
}
