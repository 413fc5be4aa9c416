//! Choice of the VM list in use.

use std::collections::HashSet;
use std::sync::Arc;

use hs_event::EventCode;
use hs_wire::{UnusableVm, VmEntry, VmList, VmRole};
use tokio::sync::watch;

use super::known_vms::keep_known_vms;

/// Maximum number of log lines about unusable entries for one list.
const MAX_REPORTS: usize = 20;

/// Publishes the newest VM list of the platform and the peers.
pub(super) struct VmLists {
    sender: watch::Sender<Arc<VmList>>,
    /// Newest VM list of a peer, kept while the first read from the platform has neither ended nor
    /// failed: a peer may show a VM that has left or is leaving as live.
    kept: Option<VmList>,
    is_first_read_pending: bool,
    /// Version of the last list that was not applied because it names no entry VM.
    rejected_version: Option<u64>,
    /// Unusable entries of the last list, which have been logged.
    reported: HashSet<String>,
}

impl VmLists {
    /// Creates the state over the published list, whose version is zero before the first one.
    pub(super) fn new(sender: watch::Sender<Arc<VmList>>) -> Self {
        let is_first_read_pending = sender.borrow().version == 0;
        Self {
            sender,
            kept: None,
            is_first_read_pending,
            rejected_version: None,
            reported: HashSet::new(),
        }
    }

    /// Applies the list of a peer if it is newer. During the first read from the platform it is
    /// kept until that has ended.
    pub(super) fn offer_of_peer(&mut self, list: VmList) {
        let kept = self.kept.as_ref().map_or(0, |kept| kept.version);
        if !self.is_first_read_pending {
            self.apply(list);
        } else if list.version > kept {
            self.kept = Some(list);
        }
    }

    /// Applies a list of the platform if it is newer, and ends the first read.
    pub(super) fn offer_of_platform(&mut self, list: VmList) {
        self.apply(list);
        self.end_first_read();
    }

    /// Records that the platform has answered or failed.
    pub(super) fn end_first_read(&mut self) {
        self.is_first_read_pending = false;
        if let Some(list) = self.kept.take() {
            self.apply(list);
        }
    }

    /// Applies a list if it is newer. A list without any entry VM is certainly wrong, because
    /// this process runs on an entry VM. Without its workers, the process would release their
    /// leases, and their tasks would be stopped and started elsewhere.
    fn apply(&mut self, mut list: VmList) {
        let current = self.sender.borrow().clone();
        if list.version <= current.version {
            return;
        }
        let of_peer = self.kept.iter().flat_map(|kept| &kept.vms);
        let known: Vec<&VmEntry> = current.vms.iter().chain(of_peer).collect();
        keep_known_vms(&mut list, &known);
        self.report_unusable(&list);
        if list.vms.iter().any(|vm| vm.role == VmRole::Entry) {
            let _ = self.sender.send(Arc::new(list));
        } else if self.rejected_version.replace(list.version) != Some(list.version) {
            log::warn!("VM list {} names no entry VM and is ignored", list.version);
        }
    }

    /// Logs the unusable entries that the list before did not have.
    fn report_unusable(&mut self, list: &VmList) {
        let is_kept = |id: &str| list.vms.iter().any(|vm| vm.id == id);
        let reported = list.unusable.iter().map(report_key).collect();
        let reported = std::mem::replace(&mut self.reported, reported);
        let new = list.unusable.iter();
        let new: Vec<_> = new
            .filter(|vm| !reported.contains(report_key(vm).as_str()))
            .collect();
        for UnusableVm { id, cause, .. } in new.iter().take(MAX_REPORTS) {
            let kept = is_kept(id);
            EventCode::VmUnusable.log(format_args!(
                "vm={id:.64} kept={kept} version={} cause=\"{cause:.200}\"",
                list.version
            ));
        }
        let omitted = new.len().saturating_sub(MAX_REPORTS);
        if omitted > 0 {
            EventCode::VmUnusable.log(format_args!("version={} more={omitted}", list.version));
        }
    }
}

/// Returns what identifies an unusable entry between two lists.
fn report_key(vm: &UnusableVm) -> String {
    match vm.id.is_empty() {
        true => vm.cause.clone(),
        false => vm.id.clone(),
    }
}
