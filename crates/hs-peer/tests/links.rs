//! Retry budget and circuit breaker.

use std::time::{Duration, Instant};

use hs_peer::{BreakerOptions, BreakerState, CircuitBreaker, RETRY_WINDOW, RetryBudget};
use quickcheck::{Gen, QuickCheck, TestResult};

const SEED: u64 = 0x5eed_0001;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct BudgetCase {
    name: &'static str,
    requests: u32,
    wait_ms: u64,
    expected: u32,
}

const BUDGETS: [BudgetCase; 5] = [
    BudgetCase {
        name: "floor",
        requests: 0,
        wait_ms: 0,
        expected: 10,
    },
    BudgetCase {
        name: "a tenth and the floor",
        requests: 1_000,
        wait_ms: 0,
        expected: 110,
    },
    BudgetCase {
        name: "still counted",
        requests: 1_000,
        wait_ms: 9_900,
        expected: 110,
    },
    BudgetCase {
        name: "out of the window",
        requests: 1_000,
        wait_ms: 10_000,
        expected: 10,
    },
    BudgetCase {
        name: "long break",
        requests: 1_000,
        wait_ms: 3_600_000,
        expected: 10,
    },
];

/// Guards against a budget that starves a quiet process, or lets retries multiply an overload.
#[test]
fn budget_table() {
    for case in BUDGETS {
        let now = Instant::now();
        let mut budget = RetryBudget::new(now);
        (0..case.requests).for_each(|_| budget.request(now));
        let now = now + ms(case.wait_ms);
        let allowed = (0..500).filter(|_| budget.try_retry(now)).count();
        assert_eq!(allowed, case.expected as usize, "{}", case.name);
        // Spent retries come back after the window.
        assert!(
            !budget.try_retry(now + RETRY_WINDOW - ms(100)),
            "{}",
            case.name
        );
        assert!(
            budget.try_retry(now + RETRY_WINDOW + ms(100)),
            "{}",
            case.name
        );
    }
}

/// Guards against more than 10 retries and a tenth of the requests in any window of 10 s, by
/// comparison with exact times.
fn budget_keeps_limit(steps: Vec<(u16, u8)>) -> TestResult {
    let start = Instant::now();
    let mut now = start;
    let mut budget = RetryBudget::new(start);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for (wait, calls) in steps {
        now += ms(u64::from(wait % 1_500));
        let recent = |times: &Vec<Instant>| {
            times.len() - times.partition_point(|time| now - *time >= RETRY_WINDOW)
        };
        for _ in 0..calls {
            if calls % 2 == 0 {
                budget.request(now);
                requests.push(now);
            } else if budget.try_retry(now) {
                retries.push(now);
                if recent(&retries) > recent(&requests) / 10 + 10 {
                    return TestResult::error(format!("{:?}", now - start));
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
    eprintln!("seed {SEED:#x}");
    let random = Gen::from_size_and_seed(100, SEED);
    let property: fn(_) -> _ = budget_keeps_limit;
    QuickCheck::new()
        .rng(random)
        .tests(300)
        .quickcheck(property);
}

/// Guards against a back-off that doesn't grow, exceeds 2 s, or isn't reset by a success.
#[test]
fn breaker_backs_off_exponentially() {
    let mut now = Instant::now();
    let mut breaker = CircuitBreaker::new(BreakerOptions::default());
    for _ in 0..2 {
        for _ in 0..3 {
            assert_eq!(breaker.state(), BreakerState::Closed);
            let pass = breaker.admit(now).unwrap();
            breaker.failed(pass, now);
        }
        for backoff in [100, 200, 400, 800, 1_600, 2_000, 2_000].map(ms) {
            let until = now + backoff;
            assert_eq!(breaker.state(), BreakerState::Open { until });
            assert!(breaker.admit(until - ms(1)).is_none());
            now = until;
            let pass = breaker.admit(now).unwrap();
            assert!(breaker.admit(now).is_none(), "two probes at once");
            breaker.failed(pass, now);
        }
        now += ms(2_000);
        let pass = breaker.admit(now).unwrap();
        breaker.succeeded(pass);
    }
}

/// Guards against successes that are counted as failures, results of earlier calls that change the
/// state, and a probe without a result that blocks the link for good.
#[test]
fn breaker_ignores_late_results() {
    let now = Instant::now();
    let mut breaker = CircuitBreaker::new(BreakerOptions::default());
    let passes: Vec<_> = (0..9).map(|_| breaker.admit(now).unwrap()).collect();
    for pass in &passes[..2] {
        breaker.failed(*pass, now);
    }
    breaker.succeeded(passes[2]);
    for pass in &passes[3..8] {
        assert!(breaker.state() == BreakerState::Closed || *pass == passes[6]);
        breaker.failed(*pass, now);
    }
    let open = breaker.state();
    assert_eq!(
        open,
        BreakerState::Open {
            until: now + ms(100)
        }
    );
    breaker.succeeded(passes[8]);
    assert_eq!(breaker.state(), open, "a late success closed the breaker");

    let now = now + ms(100);
    let lost = breaker.admit(now).unwrap();
    assert!(breaker.admit(now + ms(1_999)).is_none());
    let probe = breaker.admit(now + ms(2_000)).unwrap();
    breaker.failed(lost, now + ms(2_000));
    breaker.succeeded(probe);
    assert_eq!(breaker.state(), BreakerState::Closed);
}
