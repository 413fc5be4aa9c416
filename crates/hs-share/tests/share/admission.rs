//! Grants of admitted jobs.

use std::time::{Duration, Instant};

use hs_share::{AdmissionGrants, JobClass};

/// Guards against an admitted job that takes a second token when it is offered, or a third one when it is sent
/// again.
#[test]
fn a_grant_is_taken_once() {
    let now = Instant::now();
    let mut grants = AdmissionGrants::new(8);
    grants.add(7, JobClass::Surplus, now);
    assert_eq!(grants.get(7), Some(JobClass::Surplus));
    assert_eq!(grants.take(7), Some(JobClass::Surplus));
    assert_eq!(grants.take(7), None);
}

struct MemoryCase {
    name: &'static str,
    /// Jobs and the times in seconds at which they are admitted.
    admitted: Vec<(u32, u64)>,
    kept: Vec<u32>,
}

/// Guards against memory that grows with jobs that are admitted and never offered.
#[test]
fn old_grants_are_forgotten() {
    let cases = [
        MemoryCase {
            name: "beyond the limit",
            admitted: vec![(1, 0), (2, 0), (3, 0), (4, 0), (5, 0)],
            kept: vec![2, 3, 4, 5],
        },
        MemoryCase {
            name: "after the retention time",
            admitted: vec![(1, 0), (2, 20), (3, 31)],
            kept: vec![2, 3],
        },
        MemoryCase {
            name: "admitted again",
            admitted: vec![(1, 0), (1, 20), (2, 31)],
            kept: vec![1, 2],
        },
        MemoryCase {
            name: "the same job again and again",
            admitted: vec![(1, 0), (2, 1), (2, 2), (2, 3), (2, 4)],
            kept: vec![2],
        },
    ];
    let start = Instant::now();
    for case in cases {
        let mut grants = AdmissionGrants::new(4);
        for (job, at) in case.admitted {
            grants.add(job, JobClass::Owed, start + Duration::from_secs(at));
        }
        let kept: Vec<u32> = (1..=5).filter(|job| grants.get(*job).is_some()).collect();
        assert_eq!(kept, case.kept, "{}", case.name);
        assert_eq!(grants.len(), case.kept.len(), "{}", case.name);
    }
}
