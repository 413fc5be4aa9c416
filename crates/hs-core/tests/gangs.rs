//! Gangs start as a whole, and gangs and large tasks neither starve nor delay shorter work.

mod common;

use std::time::{Duration, Instant};

use common::{amount, policy, request, worker};
use hs_core::{
    Decision, Placer, PlacerPolicy, TaskEnd, WorkBand, WorkKey, WorkRequest, WorkerState,
};
use hs_wire::Resources;

/// A simulated cluster whose tasks end after their real run time, which differs from the declared
/// one.
struct Cluster {
    placer: Placer,
    now: Instant,
    start: Instant,
    ends: Vec<(Instant, WorkKey, u16)>,
    /// Tag of each placed work item and time since `start`.
    placed: Vec<(u64, Duration)>,
}

impl Cluster {
    fn new(policy: PlacerPolicy, workers: usize, capacity: Resources) -> Self {
        let now = Instant::now();
        let mut placer = Placer::new(policy, now);
        for index in 0..workers {
            placer.add_worker(worker(index, index / 4, capacity), now);
        }
        Self {
            placer,
            now,
            start: now,
            ends: Vec::new(),
            placed: Vec::new(),
        }
    }

    fn request(&self, band: WorkBand, need: Resources, run_ms: u64, tag: u64) -> WorkRequest {
        let customer = self.placer.customer("c0").expect("a known customer");
        let mut request = request(customer, band, need);
        request.estimate = Some(Duration::from_millis(run_ms));
        request.workload = run_ms as u32;
        request.tag = tag;
        request
    }

    fn submit_task(&mut self, band: WorkBand, need: Resources, run_ms: u64, tag: u64) -> WorkKey {
        self.submit(self.request(band, need, run_ms, tag))
    }

    fn submit_gang(&mut self, tasks: u16, tag: u64) -> WorkKey {
        let mut request = self.request(WorkBand::Long, amount(8, 1), 100, tag);
        request.tasks = tasks;
        self.submit(request)
    }

    fn submit(&mut self, request: WorkRequest) -> WorkKey {
        self.placer.submit(request, self.now).expect("admitted")
    }

    /// Advances the time in steps of 10 ms, calling `arrive` before each step. Tasks end after the
    /// run time that their tag encodes (see [`Cluster::poll`]).
    fn run(&mut self, length: Duration, mut arrive: impl FnMut(&mut Self)) {
        let end = self.now + length;
        while self.now < end {
            arrive(self);
            self.poll();
            self.now += Duration::from_millis(10);
            let now = self.now;
            let due: Vec<_> = self.ends.extract_if(.., |(end, ..)| *end <= now).collect();
            for (_, work, task) in due {
                self.placer.finish(work, task, TaskEnd::Done, now);
            }
        }
    }

    fn poll(&mut self) {
        while let Some(decision) = self.placer.poll(self.now) {
            let Decision::Place {
                work, tag, workers, ..
            } = decision
            else {
                continue;
            };
            // The lowest three digits of a tag encode the run time in units of 10 ms, or of 100 ms
            // for tags from 9000 on.
            let unit = if tag < 9000 { 10 } else { 100 };
            let end = self.now + Duration::from_millis(tag % 1000 * unit);
            let tasks = (0..workers.len()).map(|task| (end, work, task as u16));
            self.ends.extend(tasks);
            self.placed.push((tag, self.now - self.start));
        }
    }

    /// Checks that work started within `limit_ms` after `start`.
    fn assert_started(&self, tag: u64, limit_ms: u64, name: &str) {
        let started = self.started(tag);
        let limit = Duration::from_millis(limit_ms);
        assert!(started.is_some_and(|at| at < limit), "{name}: {started:?}");
    }

    fn started(&self, tag: u64) -> Option<Duration> {
        let mut placed = self.placed.iter();
        placed.find(|(placed, _)| *placed == tag).map(|(_, at)| *at)
    }
}

struct StarvationCase {
    name: &'static str,
    tasks: u16,
    need: Resources,
    band: WorkBand,
    small_band: WorkBand,
    /// Declared run time of the small tasks; their real run time is 50 to 170 ms.
    small_estimate_ms: u64,
    limit_ms: u64,
}

/// Guards against gangs and large tasks that wait forever because small tasks take any freed
/// capacity before enough of it is free at the same time.
#[test]
fn large_work_does_not_starve() {
    let case = |name, tasks, cores, band, small_band, small_estimate_ms, limit_ms| StarvationCase {
        name,
        tasks,
        need: amount(cores, 1),
        band,
        small_band,
        small_estimate_ms,
        limit_ms,
    };
    let (short, normal, long) = (WorkBand::Short, WorkBand::Normal, WorkBand::Long);
    let cases = [
        case("gang among its own band", 8, 8, long, long, 100, 1500),
        case("gang over the whole cluster", 16, 4, long, long, 100, 1500),
        case("gang below a higher band", 8, 8, long, normal, 100, 1500),
        case("gang below checks", 8, 8, long, short, 100, 1500),
        case("estimates far too low", 8, 8, long, long, 1, 1500),
        case("estimates far too high", 8, 8, long, long, 60_000, 1500),
        case(
            "large task among its own band",
            1,
            8,
            normal,
            normal,
            100,
            3000,
        ),
        case("large check among checks", 1, 8, short, short, 100, 3000),
    ];
    for case in cases {
        let mut cluster = Cluster::new(policy(2), 8, amount(8, 8));
        // Small tasks fill every worker and run 50 to 170 ms, so no worker becomes empty by
        // chance.
        let mut count = 0;
        let mut feed = |cluster: &mut Cluster| {
            let other = cluster.placer.customer("c1").expect("a known customer");
            while cluster.placer.capacity_summary().queued < 40 {
                count += 1;
                let tag = 1005 + count * 7 % 13;
                let mut small =
                    cluster.request(case.small_band, amount(1, 1), case.small_estimate_ms, tag);
                small.customer = other;
                cluster.submit(small);
            }
        };
        cluster.run(Duration::from_millis(300), &mut feed);
        let mut large = cluster.request(case.band, case.need, 100, 7010);
        large.tasks = case.tasks;
        cluster.submit(large);
        cluster.run(Duration::from_secs(10), &mut feed);
        cluster.assert_started(7010, 300 + case.limit_ms, case.name);
    }
}

/// Guards against a deadlock of gangs that each hold part of the capacity that the others need, and
/// against an old gang that younger ones overtake forever.
#[test]
fn gangs_start_in_order_of_age() {
    let mut cluster = Cluster::new(policy(1), 8, amount(8, 8));
    cluster.submit_task(WorkBand::Long, amount(8, 1), 200, 1020);
    cluster.run(Duration::from_millis(20), |_| {});
    for (tasks, tag) in [(8, 2010), (7, 3010), (8, 4010), (3, 5010)] {
        cluster.submit_gang(tasks, tag);
    }
    cluster.run(Duration::from_secs(3), |_| {});
    let started: Vec<_> = [2010, 4010].map(|tag| cluster.started(tag)).into();
    assert_eq!(cluster.placed.len(), 5, "{:?}", cluster.placed);
    assert!(started.is_sorted(), "{:?}", cluster.placed);
    assert!(cluster.placer.capacity_summary().free == cluster.placer.capacity_summary().total);
}

/// Guards against a reservation that leaves capacity idle which shorter work could use, and against
/// backfill that delays the gang.
#[test]
fn backfill_does_not_delay_the_gang() {
    let mut cluster = Cluster::new(policy(1), 4, amount(8, 8));
    // One worker is busy for 800 ms; the gang needs all four.
    cluster.submit_task(WorkBand::Long, amount(8, 1), 800, 1080);
    cluster.run(Duration::from_millis(10), |_| {});
    cluster.submit_gang(4, 2010);
    // Other work is placed ahead of the gang once, so the gang gets a reservation.
    cluster.submit_task(WorkBand::Long, amount(1, 1), 100, 3010);
    cluster.run(Duration::from_millis(100), |_| {});
    let fits = cluster.request(WorkBand::Long, amount(4, 1), 300, 4030);
    let too_long = cluster.request(WorkBand::Long, amount(4, 1), 5000, 5500);
    cluster.submit(fits);
    cluster.submit(too_long);
    cluster.run(Duration::from_secs(2), |_| {});
    let at = |tag| cluster.started(tag).unwrap();
    cluster.assert_started(4030, 200, "backfill");
    cluster.assert_started(2010, 900, "backfill");
    assert!(at(5500) > at(2010), "{:?}", cluster.placed);
}

/// Guards against a reservation that withholds capacity although the gang cannot start or was
/// cancelled.
#[test]
fn reservation_expires_and_ends_on_cancel() {
    let mut cluster = Cluster::new(policy(1), 2, amount(8, 8));
    // The task declares no run time and never ends.
    let mut endless = cluster.request(WorkBand::Long, amount(8, 1), 1000, 1999);
    endless.estimate = None;
    let endless = cluster.submit(endless);
    cluster.poll();
    cluster.ends.retain(|(_, work, _)| *work != endless);
    let gang = cluster.submit_gang(2, 2010);
    let feed = |cluster: &mut Cluster| {
        if cluster.placer.capacity_summary().queued < 3 {
            cluster.submit_task(WorkBand::Long, amount(4, 1), 5000, 3050);
        }
    };
    cluster.run(Duration::from_secs(29), feed);
    let before = cluster.placed.len();
    assert!(before < 8, "the reservation is in force: {before}");
    cluster.run(Duration::from_secs(4), feed);
    let after = cluster.placed.len();
    assert!(after > before, "the reservation has expired");
    cluster.run(Duration::from_secs(10), feed);
    cluster.placer.cancel(gang, cluster.now);
    let before = cluster.placed.len();
    cluster.run(Duration::from_secs(2), feed);
    assert!(
        cluster.placed.len() > before + 3,
        "cancel ends the reservation"
    );
    assert_eq!(cluster.started(2010), None);
}

/// Guards against tasks of one gang that are spread over racks although one rack fits them all.
#[test]
fn gang_prefers_one_rack() {
    let now = Instant::now();
    let mut placer = Placer::new(policy(1), now);
    let keys: Vec<_> = (0..12)
        .map(|index| placer.add_worker(worker(index, index % 3, amount(8, 8)), now))
        .collect();
    let customer = placer.customer("c0").unwrap();
    // Rack 1 has less free capacity than the others but enough for the gang, so it fits best.
    placer.adopt(
        keys[1],
        request(customer, WorkBand::Long, amount(8, 1)),
        now,
    );
    let mut gang = request(customer, WorkBand::Long, amount(8, 1));
    gang.tasks = 3;
    placer.submit(gang, now).unwrap();
    let Some(Decision::Place { workers, .. }) = placer.poll(now) else {
        panic!("the gang fits");
    };
    let rack = |key| keys.iter().position(|known| *known == key).unwrap() % 3;
    let racks: Vec<_> = workers.into_iter().map(rack).collect();
    assert_eq!(racks, [1, 1, 1]);
}

/// Keeps 20 small tasks queued. They run 200 to 320 ms, so no worker becomes empty by chance.
fn feed_small(cluster: &mut Cluster) {
    while cluster.placer.capacity_summary().queued < 20 {
        let started =
            cluster.placed.len() as u64 + u64::from(cluster.placer.capacity_summary().queued);
        let tag = 1020 + started * 7 % 13;
        cluster.submit_task(WorkBand::Long, amount(2, 1), 300, tag);
    }
}

/// Guards against a reservation that keeps a draining worker, so that the gang would wait until the
/// reservation expires.
#[test]
fn draining_worker_loses_its_reservations() {
    for draining in 0..3 {
        let mut cluster = Cluster::new(policy(1), 0, Resources::ZERO);
        let now = cluster.now;
        let keys: Vec<_> = (0..3)
            .map(|index| {
                cluster
                    .placer
                    .add_worker(worker(index, 0, amount(8, 8)), now)
            })
            .collect();
        cluster.run(Duration::from_millis(100), feed_small);
        cluster.submit_gang(2, 7010);
        cluster.run(Duration::from_millis(250), feed_small);
        assert_eq!(cluster.started(7010), None);
        let now = cluster.now;
        cluster
            .placer
            .set_worker_state(keys[draining], WorkerState::Draining, now);
        cluster.run(Duration::from_secs(3), feed_small);
        cluster.assert_started(7010, 1500, &format!("worker {draining}"));
    }
}

/// Guards against reserving the capacity of a straggler: its declared end has passed, so it
/// would be expected to end at any moment.
#[test]
fn reservation_does_not_wait_for_a_straggler() {
    let mut cluster = Cluster::new(policy(1), 1, amount(8, 8));
    // It declares 100 ms like the samples after it but runs 9.99 s.
    let mut straggler = cluster.request(WorkBand::Long, amount(4, 1), 100, 1999);
    straggler.workload = 1;
    cluster.submit(straggler);
    for _ in 0..40 {
        let mut sample = cluster.request(WorkBand::Long, amount(1, 1), 100, 1010);
        sample.workload = 1;
        cluster.submit(sample);
    }
    cluster.run(Duration::from_secs(2), |_| {});
    let now = cluster.now;
    cluster.placer.add_worker(worker(1, 0, amount(8, 8)), now);
    cluster.run(Duration::from_millis(100), feed_small);
    cluster.submit_task(WorkBand::Long, amount(8, 1), 100, 7010);
    cluster.run(Duration::from_secs(5), feed_small);
    cluster.assert_started(7010, 4_000, "gang");
}

/// Guards against a gang that never starts because the other tasks declare no run time and run
/// longer than the first reservation is valid.
#[test]
fn reservation_lasts_longer_when_renewed() {
    let mut cluster = Cluster::new(policy(1), 2, amount(8, 8));
    let feed = |cluster: &mut Cluster| {
        if cluster.placer.capacity_summary().queued < 3 {
            let mut task = cluster.request(WorkBand::Long, amount(8, 1), 45_000, 9450);
            task.estimate = None;
            cluster.submit(task);
        }
    };
    let mut first = cluster.request(WorkBand::Long, amount(8, 1), 25_000, 9250);
    first.estimate = None;
    cluster.submit(first);
    cluster.run(Duration::from_secs(2), feed);
    cluster.submit_gang(2, 7010);
    // When the first task ends, other work is placed ahead of the gang, which then gets its first
    // reservation.
    cluster.run(Duration::from_secs(300), feed);
    cluster.assert_started(7010, 200_000, "gang");
}

/// Guards against work that never gets its capacity and blocks the only reservation forever, so
/// that other large work starves.
#[test]
fn failed_reservation_does_not_block_other_work() {
    let mut cluster = Cluster::new(policy(1), 3, amount(8, 8));
    let mut endless = cluster.request(WorkBand::Long, amount(8, 1), 1000, 9999);
    endless.estimate = None;
    cluster.submit(endless);
    cluster.run(Duration::from_millis(100), feed_small);
    for (tasks, tag) in [(3, 6010), (2, 7010)] {
        cluster.submit_gang(tasks, tag);
    }
    cluster.run(Duration::from_secs(90), feed_small);
    assert_eq!(cluster.started(6010), None);
    cluster.assert_started(7010, 40_000, "gang");
}
