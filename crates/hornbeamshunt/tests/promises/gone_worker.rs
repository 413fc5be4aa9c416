//! P2 for a worker that is removed from the VM list. The test takes 40 s, and the name of the
//! module sorts early, so that it starts early.

use std::time::Duration;

use hs_standin::WorkerOptions;
use hs_wire::{TaskPhase, VmRole};

use crate::cluster::{Caller, EntryNode, TestPlatform, eventually, run_test, without_slot};
use crate::single_run::{MANIFEST, TASKS, audit, link_workers, wait_running};

/// Guards against a task that is started again while a worker that was removed from the VM list still
/// runs it.
///
/// Such a worker stops its tasks 30 s after the last renewal of its lease, and the tasks may be
/// started again 5 s later.
#[test]
fn worker_removed_from_the_vm_list() {
    run_test(async {
        let mut platform = TestPlatform::start(3, WorkerOptions::default()).await;
        let links = link_workers(&mut platform).await;
        let nodes = EntryNode::start_all(&mut platform, 2, MANIFEST).await;
        let audit = audit("k", "sleep=60000");
        let caller = Caller::default();
        caller.submit(nodes[0].caller, &audit.work).await;
        let removed = wait_running(&platform, "k").await[0];
        links[removed].set_cut(true);
        let name = format!("w{removed}");
        platform
            .entries
            .retain(|vm| vm.role == VmRole::Entry || vm.id != name);
        platform.publish_vms().await;
        // 35 s, and 10 s for the VM list, the query about the task and the new placement.
        let starts = eventually("restart", Duration::from_secs(45), async || {
            let starts = platform.starts_of("k").await;
            let lost = starts
                .iter()
                .filter(|(worker, _)| *worker == removed)
                .count();
            (starts.len() == TASKS + lost).then_some(starts)
        });
        let starts = without_slot(starts).await;
        platform
            .assert_consistent(std::slice::from_ref(&audit))
            .await;
        let lost = starts.iter().filter(|(worker, _)| *worker == removed);
        for (_, start) in lost {
            assert_eq!(start.phase, TaskPhase::Stopped, "{starts:?}");
        }
    });
}
