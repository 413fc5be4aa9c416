//! Tests of the retry budget and the circuit breaker.

use std::time::Instant;

use hs_peer::{BreakerOptions, BreakerState, CircuitBreaker, RETRY_WINDOW, RetryBudget};
use quickcheck::TestResult;

use crate::common::{check_property, ms};

/// Number of requests, milliseconds until the first retry, and expected number of allowed retries.
struct BudgetCase(u32, u64, usize);

const BUDGET_CASES: [BudgetCase; 5] = [
    BudgetCase(0, 0, 10),
    BudgetCase(1_000, 0, 110),
    BudgetCase(1_000, 9_900, 110),
    BudgetCase(1_000, 10_000, 10),
    BudgetCase(1_000, 3_600_000, 10),
];

/// Guards against a budget that allows no retries while there are few requests, and against one
/// that lets retries multiply an overload.
#[test]
fn budget_allows_a_tenth_of_requests_and_ten_more() {
    for BudgetCase(requests, wait_ms, expected) in BUDGET_CASES {
        let now = Instant::now();
        let mut budget = RetryBudget::new(now);
        (0..requests).for_each(|_| budget.record_request(now));
        let now = now + ms(wait_ms);
        let allowed = (0..500).filter(|_| budget.try_retry(now)).count();
        assert_eq!(allowed, expected, "{requests} requests, {wait_ms} ms");
        // The budget is available again when the used retries have left the window.
        assert!(!budget.try_retry(now + RETRY_WINDOW - ms(100)));
        assert!(budget.try_retry(now + RETRY_WINDOW + ms(100)));
    }
}

/// Guards against more retries in any window of 10 s than 10 and a tenth of the requests. The
/// counts are compared with those from the exact times.
fn budget_keeps_limit(steps: Vec<(u16, u8)>) -> TestResult {
    let mut now = Instant::now();
    let mut budget = RetryBudget::new(now);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for (wait, calls) in steps {
        now += ms(u64::from(wait % 1_500));
        let recent = |times: &Vec<Instant>| {
            times.len() - times.partition_point(|time| now - *time >= RETRY_WINDOW)
        };
        for _ in 0..calls {
            if calls % 2 == 0 {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_retry(now) {
                retries.push(now);
                if recent(&retries) > recent(&requests) / 10 + 10 {
                    return TestResult::error("too many retries in the window");
                }
            } else if recent(&retries) == 0 {
                return TestResult::error("refused without any retry in the window");
            }
        }
    }
    TestResult::passed()
}

#[test]
fn budget_keeps_limit_in_any_window() {
    check_property(0x5eed_0001, 100, 300, budget_keeps_limit as fn(_) -> _);
}

/// Guards against a backoff that does not grow, exceeds 2 s, or is not reset by a success.
#[test]
fn breaker_backs_off_exponentially() {
    let mut now = Instant::now();
    let mut breaker = CircuitBreaker::new(BreakerOptions::default());
    for _ in 0..2 {
        for _ in 0..3 {
            assert_eq!(breaker.state(), BreakerState::Closed);
            let permit = breaker.admit(now).unwrap();
            breaker.record_failure(permit, now);
        }
        for backoff in [100, 200, 400, 800, 1_600, 2_000, 2_000].map(ms) {
            let until = now + backoff;
            assert_eq!(breaker.state(), BreakerState::Open { until });
            assert!(breaker.admit(until - ms(1)).is_none());
            now = until;
            let permit = breaker.admit(now).unwrap();
            assert!(breaker.admit(now).is_none(), "two probes at once");
            breaker.record_failure(permit, now);
        }
        now += ms(2_000);
        let permit = breaker.admit(now).unwrap();
        breaker.record_success(permit);
    }
}

/// Guards against failures that are not reset by a success, results of earlier calls that change
/// the state, and a probe without a result that blocks calls forever.
#[test]
fn breaker_ignores_late_results() {
    let now = Instant::now();
    let mut breaker = CircuitBreaker::new(BreakerOptions::default());
    let permit = breaker.admit(now).unwrap();
    let fail = |breaker: &mut CircuitBreaker, count| {
        (0..count).for_each(|_| breaker.record_failure(permit, now));
        breaker.state()
    };
    assert_eq!(fail(&mut breaker, 2), BreakerState::Closed);
    breaker.record_success(permit);
    assert_eq!(fail(&mut breaker, 2), BreakerState::Closed);
    let until = now + ms(100);
    let open = fail(&mut breaker, 3);
    assert_eq!(open, BreakerState::Open { until });
    breaker.record_success(permit);
    assert_eq!(breaker.state(), open, "a late success closed the breaker");
    let abandoned_probe = breaker.admit(until).unwrap();
    assert!(breaker.admit(until + ms(1_999)).is_none());
    let probe = breaker.admit(until + ms(2_000)).unwrap();
    breaker.record_failure(abandoned_probe, until + ms(2_000));
    breaker.record_success(probe);
    assert_eq!(breaker.state(), BreakerState::Closed);
}
