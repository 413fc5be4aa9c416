//! Use of the last known entries of VMs whose entries in a new list can't be used.

use hs_wire::{UnusableVm, VmEntry, VmList, VmState};

/// Adds the last known entry of each VM whose entry in `list` can't be used.
///
/// Without this, a damaged entry would look like a VM that is gone: its lease would be released, its
/// running work stopped, and started elsewhere. The VM is shown as leaving unless its entry says that
/// it is live, so that a VM that may be leaving gets no new work. If a VM of the list that was not
/// known before has the same address, it becomes unusable instead.
pub(super) fn keep_known_vms(list: &mut VmList, known: &[&VmEntry]) {
    let known_vm = |id: &str| known.iter().copied().find(|vm| vm.id == id);
    for unusable in list.unusable.clone() {
        let is_listed = list.vms.iter().any(|vm| vm.id == unusable.id);
        let Some(vm) = known_vm(&unusable.id).filter(|_| !is_listed) else {
            continue;
        };
        let shares_address = |other: &VmEntry| other.addr == vm.addr && other.role == vm.role;
        if let Some(position) = list.vms.iter().position(shares_address) {
            if known_vm(&list.vms[position].id).is_some() {
                continue;
            }
            let other = list.vms.remove(position);
            list.unusable
                .push(UnusableVm::shares_address(&other, &vm.id));
        }
        let state = match unusable.is_live {
            true => VmState::Live,
            false => VmState::Leaving,
        };
        list.vms.push(VmEntry {
            state,
            ..vm.clone()
        });
    }
}
