//! Steps far behind in the order of a long backlog.

use std::time::Duration;

use crate::fixture::{id, job, queue, step};
use crate::world::World;

/// Guards against a step that never starts beside free workers, because no pass gets as far as to it: all before it
/// need more than any worker has.
#[test]
fn a_step_behind_thousands_that_cannot_start_has_its_turn() {
    const WAITING: u64 = 5000;
    /// Passes in which each waiting step has its turn, if each of them visits 200 more.
    const ROUNDS: usize = 25;
    let mut world = World::with_reports(2, vec![queue("check", 0, 3), queue("late", 0, 3)]);
    for number in 0..WAITING {
        world.submit(id(number), job("check", vec![step(1, 9000, 500)]));
    }
    let last = id(WAITING);
    world.submit(last, job("late", vec![step(1, 1000, 5000)]));
    for _ in 0..ROUNDS {
        world.advance_cell();
        world.pass_time(Duration::from_millis(50));
    }
    assert_eq!(world.cell.allocated_runs(), 1, "the last step waits");
}
