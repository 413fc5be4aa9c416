//! Bounds on the advice requests of a cell.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::AdviceReply;

use crate::advised_load::{AdvisedLoad, LoadSize, OwnerSpeed};
use crate::backlog::{queues, wide_gang};
use crate::fixture::{advised_queue, id, job, step};
use crate::world::World;

const ROUND_TIME: Duration = Duration::from_millis(50);

fn cell_with_callers(advice_callers: usize) -> AdvisedLoad {
    let size = LoadSize {
        workers: 1100,
        advice_callers,
        allowed_percent: 35,
        owner: OwnerSpeed::IDLE,
    };
    AdvisedLoad::new(size, queues())
}

/// Guards against hundreds of requests at once after a takeover, which take the owner so long that it loses the
/// cell before it reads the first reply.
#[test]
fn a_pass_emits_few_requests() {
    let mut load = cell_with_callers(146);
    for number in 0..1000 {
        load.submit(id(number), job("check", vec![step(4, 16_000, 540)]));
    }
    load.run_for(Duration::from_millis(5));
    let requests = load.counts.advice_requests;
    assert!((1..=64).contains(&requests), "{requests}");
}

/// Guards against requests that wait for a process until the workers that they name are taken.
#[test]
fn no_more_requests_are_in_flight_than_the_processes_answer_soon() {
    let mut load = cell_with_callers(2);
    for number in 0..100 {
        load.submit(id(number), wide_gang(number));
    }
    load.run_for(Duration::from_millis(200));
    let requests = load.counts.advice_requests;
    // Two of three processes send long requests, each of which takes about a second.
    assert!((2..=6).contains(&requests), "{requests}");
}

/// Guards against requests that are never answered and keep all others from being sent.
#[test]
fn a_lost_request_leaves_its_place_to_others() {
    let queues = vec![advised_queue("plan", 1, Duration::from_secs(2))];
    let mut world = World::with_reports(2, queues);
    world.cell.set_advice_callers(1);
    for number in 0..3 {
        world.submit(id(number), job("plan", vec![step(1, 1000, 500)]));
    }
    world.advance_cell();
    assert_eq!(world.advice_requests().len(), 1);
    for _ in 0..220 {
        world.pass_time(ROUND_TIME);
        world.advance_cell();
    }
    assert_eq!(world.advice_requests().len(), 2);
}

/// Guards against steps that repeat their requests ten times a second while all calls fail, which keeps a busy
/// owner too busy to read the replies of the calls that don't.
#[test]
fn a_step_whose_requests_fail_repeats_them_less_and_less_often() {
    let queues = vec![advised_queue("plan", 1, Duration::from_millis(300))];
    let mut world = World::with_reports(2, queues);
    world.submit(id(1), job("plan", vec![step(1, 1000, 500)]));
    let mut answered = 0;
    for _ in 0..100 {
        world.advance_cell();
        while let Some(request) = world.advice_requests().get(answered) {
            let step = request.step;
            answered += 1;
            world.cell.advice_settled(step, &[], None, true, world.now);
        }
        world.pass_time(ROUND_TIME);
    }
    assert!((5..=8).contains(&answered), "{answered} requests in 5 s");
}

/// Guards against placements whose tickets expire while a busy owner records them, so that they are undone and the
/// workers were kept from others for nothing.
#[test]
fn tickets_that_expire_before_a_slow_write_ends_are_renewed() {
    let queues = vec![advised_queue("plan", 1, Duration::from_millis(10))];
    let mut world = World::with_reports(1, queues);
    world.cell.record_commit_time(Duration::from_millis(250));
    world.submit(id(1), job("plan", vec![step(1, 1000, 500)]));
    world.advance_cell();
    let request = world.advice_requests()[0].step;
    let worker: Arc<str> = "w0".into();
    let reply = AdviceReply {
        allowed: vec![(worker.clone(), "ticket".into())],
        ticket_validity: Duration::from_millis(450),
    };
    let now = world.now;
    world
        .cell
        .advice_settled(request, &[worker], Some(reply), true, now);
    world.pass_time(ROUND_TIME);
    world.advance_cell();
    assert_eq!(world.cell.allocated_runs(), 0);
    assert_eq!(
        world.advice_requests().len(),
        2,
        "the ticket is not renewed"
    );
}
