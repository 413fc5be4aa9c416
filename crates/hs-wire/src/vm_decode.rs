//! Decoding of the VM list, entry by entry.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{UnusableVm, VmEntry, VmList, VmRole, VmState, lenient};

/// Maximum length of the id of a VM in bytes of JSON. The ledger stores `id@incarnation` of a
/// worker in 64 bytes, and an incarnation has up to 20 digits.
const MAX_ID_BYTES: usize = 43;

/// Maximum length of the cause for which an entry can't be used, in characters. The decoder quotes
/// texts of the entry, which may be megabytes long, and peers get the cause with the list.
const MAX_CAUSE_CHARS: usize = 200;

/// Maximum length of the id of an entry that can't be used, in characters; that of a VM is shorter.
const MAX_SHOWN_ID_CHARS: usize = 64;

/// The list with entries that are not interpreted yet.
#[derive(Deserialize)]
struct RawList<'a> {
    version: u64,
    #[serde(borrow)]
    vms: Vec<&'a RawValue>,
    /// Entries that a peer could not use; not part of the platform's list.
    #[serde(default, deserialize_with = "lenient::or_default")]
    unusable: Vec<UnusableVm>,
}

impl VmList {
    /// Decodes a list. An entry that can't be used is listed in [`VmList::unusable`] and does not
    /// affect the others:
    ///
    /// - one that is not a VM entry, or whose id is empty, too long or has control characters,
    /// - one whose address is not `ip:port`, with a port other than zero,
    /// - all entries of an id that has entries with different addresses, roles or data centres, and
    /// - all but the first of the entries of a role that have the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not JSON, has no version or has no list of entries.
    pub fn decode(body: &[u8]) -> Result<Self, serde_json::Error> {
        let text = String::from_utf8_lossy(body);
        let raw: RawList = serde_json::from_str(&text)?;
        let mut list = Self {
            version: raw.version,
            vms: Vec::with_capacity(raw.vms.len()),
            unusable: raw.unusable,
        };
        for entry in raw.vms {
            match decode_entry(entry.get()) {
                Ok(vm) => list.vms.push(vm),
                Err(unusable) => list.unusable.push(unusable),
            }
        }
        list.merge_repeated_entries();
        list.remove_contradictory_entries();
        list.remove_shared_addresses();
        Ok(list)
    }

    /// Keeps one of several entries of an id that describe the same VM. It is leaving if one of them
    /// says so.
    fn merge_repeated_entries(&mut self) {
        let mut positions: HashMap<String, usize> = HashMap::new();
        let mut merged: Vec<VmEntry> = Vec::with_capacity(self.vms.len());
        for vm in self.vms.drain(..) {
            let same = positions.get(&vm.id).map(|position| &mut merged[*position]);
            match same {
                Some(first) if is_same_vm(first, &vm) => {
                    if vm.state == VmState::Leaving {
                        first.state = VmState::Leaving;
                    }
                }
                Some(_) => merged.push(vm),
                None => {
                    positions.insert(vm.id.clone(), merged.len());
                    merged.push(vm);
                }
            }
        }
        self.vms = merged;
    }

    /// Removes all entries of an id that has several. Neither is certain to be the VM on which work
    /// was started under this id.
    fn remove_contradictory_entries(&mut self) {
        let mut seen = HashSet::new();
        let repeated = self.vms.iter().filter(|vm| !seen.insert(vm.id.as_str()));
        let repeated: HashSet<String> = repeated.map(|vm| vm.id.clone()).collect();
        for id in &repeated {
            let mut entries = self.vms.iter().filter(|vm| vm.id == *id);
            self.unusable.push(UnusableVm {
                id: id.clone(),
                is_live: entries.all(|vm| vm.state == VmState::Live),
                cause: "the id has entries of different VMs".to_owned(),
            });
        }
        self.vms.retain(|vm| !repeated.contains(&vm.id));
    }

    /// Keeps the first of the entries of a role that have the same address. Two links of one process
    /// to a worker would take its lease from each other.
    fn remove_shared_addresses(&mut self) {
        let mut ids: HashMap<(VmRole, Option<SocketAddr>), String> = HashMap::new();
        let unusable = &mut self.unusable;
        self.vms.retain(|vm| {
            let address = (vm.role, vm.addr.parse().ok());
            match ids.get(&address) {
                None => {
                    ids.insert(address, vm.id.clone());
                    true
                }
                Some(other) => {
                    unusable.push(UnusableVm::shares_address(vm, other));
                    false
                }
            }
        });
    }
}

impl UnusableVm {
    /// Describes a VM whose address is that of another VM.
    pub fn shares_address(vm: &VmEntry, other: &str) -> Self {
        Self {
            id: vm.id.clone(),
            is_live: vm.state == VmState::Live,
            cause: format!("{} is the address of {other:?}", vm.addr),
        }
    }
}

fn is_same_vm(left: &VmEntry, right: &VmEntry) -> bool {
    left.addr == right.addr && left.role == right.role && left.data_centre == right.data_centre
}

fn decode_entry(text: &str) -> Result<VmEntry, UnusableVm> {
    let cause = match serde_json::from_str::<VmEntry>(text) {
        Ok(vm) => match find_defect(&vm) {
            None => return Ok(vm),
            Some(defect) => defect,
        },
        Err(error) => error.to_string(),
    };
    let state: Option<VmState> = lenient::field(text, "state");
    let id: String = lenient::field(text, "id").unwrap_or_default();
    Err(UnusableVm {
        id: id.chars().take(MAX_SHOWN_ID_CHARS).collect(),
        is_live: state == Some(VmState::Live),
        cause: cause.chars().take(MAX_CAUSE_CHARS).collect(),
    })
}

/// Returns why an entry can't be used although its fields have the right types.
fn find_defect(vm: &VmEntry) -> Option<String> {
    let encoded_id = serde_json::to_string(&vm.id).unwrap_or_default();
    // The encoding has a quotation mark at each end.
    if vm.id.is_empty() || encoded_id.len() > MAX_ID_BYTES + 2 {
        return Some(format!(
            "the id is empty or longer than {MAX_ID_BYTES} bytes"
        ));
    }
    if vm.id.chars().any(char::is_control) {
        return Some("the id has control characters".to_owned());
    }
    match vm.addr.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => None,
        Ok(_) | Err(_) => Some(format!("{:?} is not an address ip:port", vm.addr)),
    }
}
