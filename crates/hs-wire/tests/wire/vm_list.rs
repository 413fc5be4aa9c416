//! Decoding of VM lists.

use std::thread;

use hs_wire::{Resources, VmEntry, VmList, VmRole, VmState};
use quickcheck::{Arbitrary, Gen};

use crate::odd_json::{nested, odd_object, odd_value};

/// Stack of the thread that decodes, a quarter of that of a worker thread of the runtime.
const STACK_BYTES: usize = 512 << 10;

/// Number of lists of the property test.
const RANDOM_LISTS: usize = 2000;

fn good(id: &str, port: u16) -> VmEntry {
    VmEntry {
        id: id.to_owned(),
        addr: format!("10.0.0.1:{port}"),
        data_centre: "dc1".to_owned(),
        rack: "r1".to_owned(),
        role: VmRole::Worker,
        state: VmState::Live,
        capacity: Resources {
            slots: 8,
            ..Resources::ZERO
        },
    }
}

/// Returns a list of two good entries around others.
fn list_around(entries: &str) -> String {
    let encode = |vm: &VmEntry| serde_json::to_string(vm).unwrap();
    let (first, last) = (encode(&good("w0", 1)), encode(&good("w1", 2)));
    let entries = match entries {
        "" => String::new(),
        entries => format!("{entries},"),
    };
    format!("{{\"version\":3,\"vms\":[{first},{entries}{last}]}}")
}

/// Decodes a list on a thread with a small stack, which a recursive decoder would overflow.
fn decode(text: String) -> VmList {
    let decode = move || VmList::decode(text.as_bytes());
    let thread = thread::Builder::new().stack_size(STACK_BYTES);
    let list = thread.spawn(decode).unwrap().join().unwrap();
    list.expect("a list")
}

/// Returns the entry `x` with one field replaced or added.
fn with_field(name: &str, value: &str) -> String {
    let fields = [
        ("id", "\"x\""),
        ("addr", "\"10.0.0.2:80\""),
        ("data_centre", "\"dc1\""),
        ("role", "\"worker\""),
        ("state", "\"live\""),
    ];
    let others = fields.iter().filter(|(field, _)| *field != name);
    let mut parts: Vec<String> = others
        .map(|(field, it)| format!("\"{field}\":{it}"))
        .collect();
    parts.push(format!("\"{name}\":{value}"));
    format!("{{{}}}", parts.join(","))
}

/// Entries beside the good ones, and what the list says about them.
struct EntryCase {
    name: &'static str,
    entries: String,
    /// Id and liveness of each unusable entry.
    unusable: &'static [(&'static str, bool)],
    /// Ids of further entries that are used.
    used: &'static [&'static str],
}

fn cases() -> Vec<EntryCase> {
    let case = |name, entries: String, unusable, used| EntryCase {
        name,
        entries,
        unusable,
        used,
    };
    let unusable_x: &[(&str, bool)] = &[("x", true)];
    let without_id: &[(&str, bool)] = &[("", false)];
    let long_id = format!("\"{}\"", "x".repeat(44));
    let deep_list = nested("[", "]", 100_000);
    let deep_object = nested("{\"a\":", "}", 100_000);
    let two_vms = [
        with_field("rack", "\"\""),
        with_field("addr", "\"10.0.0.3:80\""),
    ];
    let twice = [
        with_field("rack", "\"\""),
        with_field("state", "\"leaving\""),
    ];
    let other_id = with_field("id", "\"y\"");
    vec![
        case("deep list", deep_list.clone(), without_id, &[]),
        case("deep object", deep_object.clone(), without_id, &[]),
        case("deep id", with_field("id", &deep_list), &[("", true)], &[]),
        case(
            "deep address",
            with_field("addr", &deep_object),
            unusable_x,
            &[],
        ),
        case("deep rack", with_field("rack", &deep_list), &[], &["x"]),
        case(
            "deep capacity",
            with_field("capacity", &deep_object),
            &[],
            &["x"],
        ),
        case(
            "deep unknown field",
            with_field("other", &deep_list),
            &[],
            &["x"],
        ),
        case("number", "1e400".to_owned(), without_id, &[]),
        case("null", "null".to_owned(), without_id, &[]),
        case("no fields", "{}".to_owned(), without_id, &[]),
        case("number as id", with_field("id", "7"), &[("", true)], &[]),
        case("empty id", with_field("id", "\"\""), &[("", true)], &[]),
        case(
            "id with a line break",
            with_field("id", "\"a\\nb\""),
            &[("a\nb", true)],
            &[],
        ),
        case(
            "id that the ledger can't store",
            with_field("id", &long_id),
            &[("xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", true)],
            &[],
        ),
        case(
            "id with signs of a URL",
            with_field("id", "\"a b&c#d%e/f\""),
            &[],
            &["a b&c#d%e/f"],
        ),
        case(
            "port 0",
            with_field("addr", "\"10.0.0.2:0\""),
            unusable_x,
            &[],
        ),
        case(
            "port 65536",
            with_field("addr", "\"10.0.0.2:65536\""),
            unusable_x,
            &[],
        ),
        case(
            "port -1",
            with_field("addr", "\"10.0.0.2:-1\""),
            unusable_x,
            &[],
        ),
        case("no host", with_field("addr", "\":80\""), unusable_x, &[]),
        case(
            "address with a line break",
            with_field("addr", "\"10.0.0.2:80\\n\""),
            unusable_x,
            &[],
        ),
        case(
            "unknown role",
            with_field("role", "\"store\""),
            unusable_x,
            &[],
        ),
        case(
            "unknown state",
            with_field("state", "\"odd\""),
            &[("x", false)],
            &[],
        ),
        case("leaving", with_field("state", "\"leaving\""), &[], &["x"]),
        case(
            "capacity out of range",
            with_field("capacity", "{\"slots\":18446744073709551616}"),
            &[],
            &["x"],
        ),
        case("one VM twice", twice.join(","), &[], &["x"]),
        case("one id for two VMs", two_vms.join(","), unusable_x, &[]),
        case(
            "one address for two ids",
            [two_vms[0].clone(), other_id].join(","),
            &[("y", true)],
            &["x"],
        ),
    ]
}

/// Guards against one odd entry that hides all others: the whole list failed to decode, at each
/// reading.
#[test]
fn good_entries_hold_beside_an_odd_one() {
    for case in cases() {
        let list = decode(list_around(&case.entries));
        let name = case.name;
        assert!(list.vms.contains(&good("w0", 1)), "{name}: {list:?}");
        assert!(list.vms.contains(&good("w1", 2)), "{name}: {list:?}");
        let unusable = list.unusable.iter().map(|vm| (vm.id.as_str(), vm.is_live));
        let unusable: Vec<_> = unusable.collect();
        assert_eq!(unusable, case.unusable, "{name}");
        let used = list.vms.iter().map(|vm| vm.id.as_str());
        let used: Vec<&str> = used.filter(|id| !["w0", "w1"].contains(id)).collect();
        assert_eq!(used, case.used, "{name}");
    }
}

/// Guards against a VM that gets work because one of its two entries does not show that it leaves,
/// and against work that is refused because a capacity can't be read.
#[test]
fn the_safer_reading_of_an_entry_is_used() {
    let twice = [
        with_field("state", "\"leaving\""),
        with_field("state", "\"live\""),
    ];
    let list = decode(list_around(&twice.join(",")));
    let vm = list.vms.iter().find(|vm| vm.id == "x").expect("x");
    assert_eq!(vm.state, VmState::Leaving);
    let list = decode(list_around(&with_field("capacity", "{\"slots\":-1}")));
    let vm = list.vms.iter().find(|vm| vm.id == "x").expect("x");
    assert_eq!(vm.capacity, Resources::MAX);
}

/// Guards against a process that passes a list on without its unusable entries, whose VMs would then
/// count as gone.
#[test]
fn unusable_entries_are_passed_on() {
    let list = decode(list_around(&with_field("addr", "\"\"")));
    let text = serde_json::to_string(&list).unwrap();
    let passed_on = decode(text);
    assert_eq!(passed_on, list);
    assert!(passed_on.contains("x"));
}

/// Guards against an odd entry that makes the list that peers get, or a log line, as long as itself.
#[test]
fn long_texts_of_an_entry_are_cut_off() {
    let long = format!("\"{}\"", "é".repeat(1 << 20));
    for field in ["id", "addr", "role", "state"] {
        let list = decode(list_around(&with_field(field, &long)));
        let vm = &list.unusable[0];
        assert!(vm.id.len() <= 128, "{field}: {}", vm.id.len());
        assert!(vm.cause.len() <= 400, "{field}: {}", vm.cause.len());
    }
}

/// Guards against odd entries of any kind that hide the good ones or end the process.
#[test]
fn good_entries_hold_beside_random_ones() {
    let mut source = Gen::from_size_and_seed(20, 20_261_205);
    let fields = [
        ("id", "\"x\""),
        ("addr", "\"10.0.0.2:80\""),
        ("data_centre", "\"dc1\""),
        ("rack", "\"r1\""),
        ("role", "\"worker\""),
        ("state", "\"live\""),
        ("capacity", "{\"slots\":8}"),
    ];
    for _ in 0..RANDOM_LISTS {
        let count = 1 + u8::arbitrary(&mut source) % 3;
        let mut entry = || match bool::arbitrary(&mut source) {
            true => odd_object(&mut source, &fields),
            false => odd_value(&mut source),
        };
        let entries: Vec<String> = (0..count).map(|_| entry()).collect();
        let text = list_around(&entries.join(","));
        let list = VmList::decode(text.as_bytes()).expect("a list");
        for vm in [good("w0", 1), good("w1", 2)] {
            assert!(list.vms.contains(&vm), "{text:.1000}");
        }
        let mut ids: Vec<&str> = list.vms.iter().map(|vm| vm.id.as_str()).collect();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), list.vms.len(), "{text:.1000}");
    }
}
