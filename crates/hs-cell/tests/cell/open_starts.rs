//! Starts that are given out and not answered, under load patterns of many tasks.

use std::time::Duration;

use hs_cell::{StartTaker, TaskRun};

use crate::fixture::{WORKER_CPU, id, step};
use crate::slow_links::{LARGE, LinkTimes, MANY_WORKERS, SMALL, SlowLinks, WORKERS, many_tasks};

/// Most open starts that a job may have before any is answered.
const MAX_INITIAL_STARTS: usize = 512;

/// Most open starts that a job may have on many workers before any is answered.
const MAX_INITIAL_STARTS_IN_ALL: usize = 1024;

/// Pattern: a job of many small tasks for which there is room. Guards against an owner that gives all of them out at once, so
/// that every other start waits behind them.
#[test]
fn a_large_job_gives_out_few_starts_at_a_time() {
    let never = LinkTimes::answering_in(Duration::from_secs(3600));
    let cases = [
        (WORKERS, MAX_INITIAL_STARTS),
        (MANY_WORKERS, MAX_INITIAL_STARTS_IN_ALL),
    ];
    for (workers, limit) in cases {
        let mut links = SlowLinks::with_workers(never, workers);
        // Each worker has room for few tasks, so that all get some.
        let wide = vec![step(4096, WORKER_CPU / 100, 3000); 2];
        links.submit(LARGE, "bulk", wide);
        links.run_for(Duration::from_secs(1));
        let open = links.cell.open_starts();
        assert!((1..=limit).contains(&open), "{workers} workers: {open}");
        assert_eq!(links.cell.allocated_runs(), open);
    }
}

/// A job that comes after a large one.
struct LaterCase {
    name: &'static str,
    queue: &'static str,
    /// Time that a worker takes for a start.
    answer_time: Duration,
    /// Longest time until its first task starts.
    max_wait: Duration,
}

/// Pattern: a small job beside a large one. Guards against a job that waits for all tasks of the one before it, of any
/// priority.
#[test]
fn a_small_job_starts_soon_beside_a_large_one() {
    let cases = [
        LaterCase {
            name: "a higher priority",
            queue: "urgent",
            answer_time: Duration::from_millis(1),
            max_wait: Duration::from_millis(200),
        },
        LaterCase {
            name: "the same queue",
            queue: "bulk",
            answer_time: Duration::from_millis(1),
            max_wait: Duration::from_millis(200),
        },
        LaterCase {
            name: "slow workers",
            queue: "urgent",
            answer_time: Duration::from_millis(10),
            max_wait: Duration::from_secs(1),
        },
    ];
    for case in cases {
        let mut links = SlowLinks::new(LinkTimes::answering_in(case.answer_time));
        let steps = vec![many_tasks(false); 4].concat();
        links.submit(LARGE, "bulk", steps);
        links.run_for(Duration::from_millis(500));
        links.submit(SMALL, case.queue, vec![step(2, 100, 500)]);
        links.run_for(case.max_wait);
        assert!(links.started_at.contains_key(&SMALL), "{}", case.name);
        assert!(links.answered < 4 * 4096, "{}: all have started", case.name);
    }
}

/// Pattern: a small job and no answers. Guards against a large job that takes all starts that may be open.
#[test]
fn a_large_job_leaves_starts_to_others() {
    let mut links = SlowLinks::new(LinkTimes::answering_in(Duration::from_secs(3600)));
    links.submit(LARGE, "urgent", many_tasks(false));
    links.run_for(Duration::from_millis(500));
    links.submit(SMALL, "bulk", vec![step(2, 100, 500)]);
    links.run_for(Duration::from_millis(500));
    let open = links.cell.open_starts();
    links.submit(id(3), "bulk", many_tasks(false));
    links.run_for(Duration::from_millis(500));
    let waiting = links.queues.values().flatten();
    let small = waiting.filter(|(run, _)| run.task.job() == SMALL).count();
    assert_eq!(small, 2);
    assert!(
        links.cell.open_starts() > open,
        "the third job has no start"
    );
}

/// Pattern: a gang of more members than may be open. Guards against one that never starts, since it fits into no window.
#[test]
fn a_gang_starts_together_however_many_members_it_has() {
    let mut links = SlowLinks::new(LinkTimes::answering_in(Duration::from_millis(1)));
    links.submit(LARGE, "bulk", many_tasks(true));
    links.run_for(Duration::from_millis(10));
    assert_eq!(links.cell.allocated_runs(), 4096);
    links.submit(SMALL, "bulk", vec![step(2, 100, 500)]);
    // Before the window has grown by answers.
    links.run_for(Duration::from_millis(40));
    let placed = links.cell.allocated_runs();
    assert_eq!(placed, 4098, "the small job waits for the gang");
}

/// Pattern: one wide gang after another. Guards against gangs that exceed the bounds together, so that none has started
/// within its time.
#[test]
fn a_gang_waits_for_the_starts_of_others() {
    let mut links = SlowLinks::new(LinkTimes::answering_in(Duration::from_millis(1)));
    links.submit(LARGE, "bulk", many_tasks(true));
    links.run_for(Duration::from_millis(20));
    assert_eq!(links.cell.allocated_runs(), 4096);
    links.submit(SMALL, "bulk", many_tasks(true));
    links.run_for(Duration::from_millis(100));
    assert_eq!(links.cell.allocated_runs(), 4096, "both are given out");
    links.run_for(Duration::from_secs(5));
    assert_eq!(links.cell.allocated_runs(), 2 * 4096);
}

/// Guards against starts that count as open for ever, whatever becomes of them.
#[test]
fn open_starts_are_closed_by_each_outcome() {
    let mut links = SlowLinks::new(LinkTimes::answering_in(Duration::from_secs(3600)));
    links.submit(LARGE, "bulk", vec![step(6, 100, 500)]);
    links.run_for(Duration::from_millis(50));
    assert_eq!(links.cell.open_starts(), 6);
    let mut queues = links.queues.iter();
    let (key, queue) = queues.find(|(_, queue)| !queue.is_empty()).expect("starts");
    let (key, runs): (_, Vec<TaskRun>) = (*key, queue.iter().map(|(run, _)| *run).collect());
    links.cell.start_confirmed(key, runs[0], links.now);
    links
        .cell
        .start_unanswered(key, runs[1], StartTaker::Reported, links.now);
    assert_eq!(links.cell.open_starts(), 4);
    assert!(links.cell.oldest_open_start(links.now).is_some());
    links.cell.cancel(LARGE, links.now);
    assert_eq!(links.cell.open_starts(), 0);
}
