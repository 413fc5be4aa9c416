//! Bounds of starts without an answer, on workers and stores of different speeds.

use std::time::Duration;

use crate::fixture::{id, step};
use crate::slow_links::{LARGE, LinkTimes, MANY_WORKERS, SlowLinks, WORKERS, many_tasks};

/// Workers and a store of one speed.
struct SpeedCase {
    name: &'static str,
    times: LinkTimes,
    /// Longest queue on a worker, as time until its last start is answered.
    max_queue: Duration,
}

/// Share of the starts that the workers could answer which they do answer.
const MIN_SHARE: f64 = 0.9;

impl SpeedCase {
    /// Plays a large job. Returns the share of starts that are answered after three seconds, and the longest queue then.
    fn play(&self) -> (f64, Duration) {
        let mut links = SlowLinks::new(self.times);
        links.submit(LARGE, "bulk", vec![many_tasks(false); 4].concat());
        links.run_for(Duration::from_secs(3));
        let before = links.answered;
        links.run_for(Duration::from_secs(1));
        let possible = WORKERS as f64 / self.times.answer.as_secs_f64();
        let last = links.queues.values().filter_map(|queue| queue.back());
        let queue = last.map(|(_, at)| *at - links.now).max();
        let share = (links.answered - before) as f64 / possible;
        (share, queue.unwrap_or_default())
    }

    fn check(&self) {
        let (share, queue) = self.play();
        assert!(share >= MIN_SHARE, "{}: {share}", self.name);
        assert!(queue <= self.max_queue, "{}: {queue:?}", self.name);
    }
}

/// Pattern: a large job on workers of different speeds. Guards against a bound that slow workers exceed for seconds, or that
/// leaves fast ones idle.
#[test]
fn open_starts_follow_the_speed_of_the_answers() {
    let millis = Duration::from_millis;
    let cases = [
        SpeedCase {
            name: "fast",
            times: LinkTimes::answering_in(millis(3)),
            max_queue: millis(200),
        },
        SpeedCase {
            name: "slow",
            times: LinkTimes::answering_in(millis(20)),
            max_queue: millis(400),
        },
    ];
    cases.iter().for_each(SpeedCase::check);
}

/// Pattern: a large job on workers that are far. Guards against a bound that takes distance for a queue, or does not grow.
#[test]
fn far_workers_are_kept_busy() {
    let times = LinkTimes {
        distance: Duration::from_millis(400),
        ..LinkTimes::answering_in(Duration::from_millis(4))
    };
    let case = SpeedCase {
        name: "far",
        times,
        max_queue: Duration::MAX,
    };
    case.check();
}

/// Pattern: a large job on far workers. Guards against a bound that grows several times before the effect shows, and lets
/// others wait for that long.
#[test]
fn the_queues_of_far_workers_stay_short() {
    let millis = Duration::from_millis;
    for answer in [millis(4), millis(20)] {
        let times = LinkTimes {
            distance: millis(100),
            ..LinkTimes::answering_in(answer)
        };
        let case = SpeedCase {
            name: "far",
            times,
            max_queue: millis(400),
        };
        case.check();
    }
}

/// Pattern: a large job on a slow store. Guards against a bound that keeps the workers idle between two writes, or grows
/// beyond what they answer in one.
#[test]
fn workers_are_kept_busy_with_a_slow_store() {
    let millis = Duration::from_millis;
    for answer in [millis(3), millis(10)] {
        let times = LinkTimes {
            commit: millis(400),
            ..LinkTimes::answering_in(answer)
        };
        let case = SpeedCase {
            name: "slow store",
            times,
            max_queue: millis(800),
        };
        case.check();
    }
}

/// Pattern: far workers that become fast. Guards against a bound that shrinks for slow ones and never grows again.
#[test]
fn workers_that_become_fast_are_kept_busy() {
    let times = |answer| LinkTimes {
        distance: Duration::from_millis(100),
        ..LinkTimes::answering_in(answer)
    };
    let mut links = SlowLinks::new(times(Duration::from_millis(20)));
    links.submit(LARGE, "bulk", vec![many_tasks(false); 4].concat());
    links.run_for(Duration::from_secs(3));
    let answer = Duration::from_millis(4);
    links.times = times(answer);
    links.run_for(Duration::from_secs(2));
    let before = links.answered;
    links.run_for(Duration::from_secs(1));
    let share = (links.answered - before) as f64 / (WORKERS as f64 / answer.as_secs_f64());
    assert!(share >= MIN_SHARE, "{share}");
}

/// Pattern: slow workers that become fast. Guards against a bound that grows by more than its effect can show.
#[test]
fn a_bound_doubles_at_most() {
    let millis = Duration::from_millis;
    let times = LinkTimes::answering_in(millis(20));
    let mut links = SlowLinks::with_workers(times, MANY_WORKERS);
    links.submit(LARGE, "bulk", vec![many_tasks(false); 8].concat());
    links.run_for(Duration::from_secs(2));
    links.times = LinkTimes::answering_in(millis(1));
    let first = links.cell.max_open_starts();
    for _ in 0..500 {
        let before = links.cell.max_open_starts();
        links.run_for(millis(1));
        assert!(links.cell.max_open_starts() <= 2 * before);
    }
    assert!(links.cell.max_open_starts() > first, "it does not grow");
}

/// Pattern: small jobs after a large one. Guards against a bound that grows although it keeps nothing waiting, and then lets
/// the next large job flood the workers.
#[test]
fn a_bound_that_is_not_reached_stays() {
    let times = LinkTimes::answering_in(Duration::from_millis(3));
    let mut links = SlowLinks::with_workers(times, MANY_WORKERS);
    links.submit(LARGE, "bulk", many_tasks(false));
    links.run_for(Duration::from_secs(3));
    assert_eq!(links.answered, 4096);
    let before = links.cell.max_open_starts();
    for number in 0..20 {
        links.submit(id(10 + number), "bulk", vec![step(8, 1, 500)]);
        links.run_for(Duration::from_millis(100));
    }
    assert_eq!(links.answered, 4096 + 20 * 8);
    assert_eq!(links.cell.max_open_starts(), before);
}
