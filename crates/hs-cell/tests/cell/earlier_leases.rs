//! Runs that an earlier owner may have started on workers that the new owner does not reach.

use std::time::{Duration, Instant};

use hs_cell::CellOptions;

/// Time after the takeover at which the last lease ends that the earlier owner has asked for.
const ASKED_LEASE: Duration = Duration::from_millis(9_725);

/// Longest time, on the owner's clock, for which a worker keeps a run after it was started.
const LONGEST_LEASE: Duration = Duration::from_millis(10_750);

/// Guards against runs that start elsewhere while an incarnation keeps them that started after the one which the registry
/// lists: the age of a listed incarnation does not tell which one has taken the last starts of the earlier owner.
#[test]
fn runs_of_an_earlier_owner_count_until_any_incarnation_has_ended_them() {
    let options = CellOptions::default();
    let takeover = Instant::now();
    let end = options.earlier_lease_end(takeover + ASKED_LEASE, takeover);
    let counted = end - takeover;
    assert!(counted >= LONGEST_LEASE, "{counted:?}");
}
