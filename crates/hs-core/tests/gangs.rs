//! Gangs and large tasks start as a whole, and neither starve nor hold up short work.

mod common;

use std::time::{Duration, Instant};

use common::{amount, policy, request, worker};
use hs_core::{Decision, Placer, PlacerPolicy, TaskEnd, WorkBand, WorkKey, WorkRequest};
use hs_wire::Resources;

/// A cluster whose tasks end after their real run time.
struct Cluster {
    placer: Placer,
    now: Instant,
    start: Instant,
    ends: Vec<(Instant, WorkKey, u16)>,
    /// Tag and time of each placement.
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

    fn gang(&self, tasks: u16, run_ms: u64, tag: u64) -> WorkRequest {
        let mut request = self.request(WorkBand::Long, amount(8, 1), run_ms, tag);
        request.tasks = tasks;
        request
    }

    fn submit(&mut self, request: WorkRequest) -> WorkKey {
        self.placer.submit(request, self.now).expect("admitted")
    }

    /// Lets time pass in steps of 10 ms. A task runs as many milliseconds as its workload says.
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
            // The lowest three digits of a tag say how many tens of milliseconds the work runs.
            let end = self.now + Duration::from_millis(tag % 1000 * 10);
            let tasks = (0..workers.len()).map(|task| (end, work, task as u16));
            self.ends.extend(tasks);
            self.placed.push((tag, self.now - self.start));
        }
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
    /// Declared run time of the small tasks; they really run 50 to 170 ms.
    small_estimate_ms: u64,
    limit_ms: u64,
}

/// Guards against gangs and large tasks that wait for ever, since small tasks take each piece of
/// room before enough of it is free at once.
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
        // Small tasks fill every worker, and run 50 to 170 ms, so that no worker becomes empty by
        // itself.
        let mut count = 0;
        let mut feed = |cluster: &mut Cluster| {
            let other = cluster.placer.customer("c1").expect("a known customer");
            while cluster.placer.free_summary().queued < 40 {
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
        let started = cluster
            .started(7010)
            .map(|at| at - Duration::from_millis(300));
        let limit = Duration::from_millis(case.limit_ms);
        assert!(
            started.is_some_and(|at| at < limit),
            "{}: {started:?}",
            case.name
        );
    }
}

/// Guards against a deadlock of gangs that each hold a part of the room that the other needs, and
/// against an old gang that younger ones overtake for ever.
#[test]
fn gangs_start_in_order_of_age() {
    let mut cluster = Cluster::new(policy(1), 8, amount(8, 8));
    let small = cluster.request(WorkBand::Long, amount(8, 1), 200, 1020);
    cluster.submit(small);
    cluster.run(Duration::from_millis(20), |_| {});
    for (tasks, tag) in [(8, 2010), (7, 3010), (8, 4010), (3, 5010)] {
        let gang = cluster.gang(tasks, 100, tag);
        cluster.submit(gang);
    }
    cluster.run(Duration::from_secs(3), |_| {});
    let started: Vec<_> = [2010, 4010].map(|tag| cluster.started(tag)).into();
    assert_eq!(cluster.placed.len(), 5, "{:?}", cluster.placed);
    assert!(started.is_sorted(), "{:?}", cluster.placed);
    assert!(cluster.placer.free_summary().free == cluster.placer.free_summary().total);
}

/// Guards against a reservation that leaves room idle which shorter work could use, and against
/// backfill that delays the gang.
#[test]
fn backfill_ends_before_the_gang() {
    let mut cluster = Cluster::new(policy(1), 4, amount(8, 8));
    // One worker is busy for 800 ms; the gang needs all four.
    let blocker = cluster.request(WorkBand::Long, amount(8, 1), 800, 1080);
    cluster.submit(blocker);
    cluster.run(Duration::from_millis(10), |_| {});
    let gang = cluster.gang(4, 100, 2010);
    cluster.submit(gang);
    // Others pass it over once, so that it gets a reservation.
    let first = cluster.request(WorkBand::Long, amount(1, 1), 100, 3010);
    cluster.submit(first);
    cluster.run(Duration::from_millis(100), |_| {});
    let fits = cluster.request(WorkBand::Long, amount(4, 1), 300, 4030);
    let too_long = cluster.request(WorkBand::Long, amount(4, 1), 5000, 5500);
    cluster.submit(fits);
    cluster.submit(too_long);
    cluster.run(Duration::from_secs(2), |_| {});
    let at = |tag| cluster.started(tag).unwrap();
    assert!(
        at(4030) < Duration::from_millis(200),
        "{:?}",
        cluster.placed
    );
    assert!(
        at(2010) < Duration::from_millis(900),
        "{:?}",
        cluster.placed
    );
    assert!(at(5500) > at(2010), "{:?}", cluster.placed);
}

/// Guards against a reservation that outlives its use: room stays withheld though the gang cannot
/// start, or after it was cancelled.
#[test]
fn reservation_expires_and_ends_on_cancel() {
    let mut cluster = Cluster::new(policy(1), 2, amount(8, 8));
    // The estimate says 1 s; the task really never ends.
    let mut stuck = cluster.request(WorkBand::Long, amount(8, 1), 1000, 1999);
    stuck.estimate = None;
    let stuck = cluster.submit(stuck);
    cluster.poll();
    cluster.ends.retain(|(_, work, _)| *work != stuck);
    let gang = cluster.gang(2, 100, 2010);
    let gang = cluster.submit(gang);
    let feed = |cluster: &mut Cluster| {
        if cluster.placer.free_summary().queued < 3 {
            let small = cluster.request(WorkBand::Long, amount(4, 1), 5000, 3050);
            cluster.submit(small);
        }
    };
    cluster.run(Duration::from_secs(29), feed);
    let before = cluster.placed.len();
    assert!(before < 8, "the reservation holds: {before}");
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

/// Guards against tasks of one gang that are spread over racks although one rack has room.
#[test]
fn gang_prefers_one_rack() {
    let now = Instant::now();
    let mut placer = Placer::new(policy(1), now);
    let keys: Vec<_> = (0..12)
        .map(|index| placer.add_worker(worker(index, index % 3, amount(8, 8)), now))
        .collect();
    let customer = placer.customer("c0").unwrap();
    // Rack 1 has less room left than the others, but enough, so that it is the best fit.
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
