//! Tests of store values in which another writer left an odd record.

use std::thread;

use hs_ledger::{Admission, LedgerPartition, PartitionImage, TaskState};
use quickcheck::{Arbitrary, Gen};

use crate::fixture::{FIRST_ATTEMPT, NOW_MS, admit, spec, submission, take_over, write};
use crate::{seed, setting};

/// Stack of the thread that decodes, a quarter of that of a worker thread of the runtime.
const STACK_BYTES: usize = 512 << 10;

/// Key of the record beside the odd one.
const GOOD_KEY: &str = "good";

/// Returns the value of a partition with one placed task, and the text of its record.
fn good_value() -> (String, String) {
    let mut ledger = take_over(None, 0, "p");
    let record = admit(&mut ledger, GOOD_KEY, &spec(1, true));
    ledger
        .mark_placed(record, FIRST_ATTEMPT, "w@1", NOW_MS)
        .unwrap();
    let image = write(&mut ledger, 1, NOW_MS);
    let record = serde_json::to_string(&image.records[0]).unwrap();
    (String::from_utf8(image.encode().unwrap()).unwrap(), record)
}

/// Returns a value with a text in front of its first record.
fn with_record(value: &str, odd: &str) -> String {
    value.replacen("\"records\":[", &format!("\"records\":[{odd},"), 1)
}

fn decode(value: String) -> PartitionImage {
    let decode = move || PartitionImage::decode(value.as_bytes());
    let thread = thread::Builder::new().stack_size(STACK_BYTES);
    let image = thread.spawn(decode).unwrap().join().unwrap();
    image.expect("a partition")
}

/// What happens to a new submission.
#[derive(Debug, Eq, PartialEq)]
enum Admitted {
    New,
    Unreadable,
}

fn admitted(ledger: &mut LedgerPartition, key: &str) -> Admitted {
    match ledger.admit(&submission(key, "payload"), &spec(1, true), NOW_MS) {
        Admission::New { .. } => Admitted::New,
        Admission::Unreadable => Admitted::Unreadable,
        other => panic!("{key}: {other:?}"),
    }
}

struct RecordCase {
    name: &'static str,
    /// Text of the odd record, made from that of a good one with the key `odd`.
    damage: fn(&str) -> String,
    /// Whether another new key is admitted: the odd record shows its own.
    shows_key: bool,
}

const CASES: &[RecordCase] = &[
    RecordCase {
        name: "deep list",
        damage: |_| format!("{}{}", "[".repeat(100_000), "]".repeat(100_000)),
        shows_key: false,
    },
    RecordCase {
        name: "number",
        damage: |_| "1e400".to_owned(),
        shows_key: false,
    },
    RecordCase {
        name: "number as key",
        damage: |good| good.replacen("\"k\":\"odd\"", "\"k\":7", 1),
        shows_key: false,
    },
    RecordCase {
        name: "deep tasks",
        damage: |good| {
            let deep = format!("\"t\":[{}{},", "[".repeat(10_000), "]".repeat(10_000));
            good.replacen("\"t\":[", &deep, 1)
        },
        shows_key: true,
    },
    RecordCase {
        name: "no task",
        damage: |good| {
            let tasks = good.find("\"t\":[").unwrap();
            format!("{}\"t\":[]}}", &good[..tasks])
        },
        shows_key: true,
    },
    RecordCase {
        name: "unknown state",
        damage: |good| good.replacen("\"s\":\"p\"", "\"s\":\"z\"", 1),
        shows_key: true,
    },
    RecordCase {
        name: "placed task without its state",
        damage: |good| good.replacen("\"s\":\"p\",", "", 1),
        shows_key: true,
    },
    RecordCase {
        name: "placed task without its worker",
        damage: |good| good.replacen("\"w\":\"w@1\",", "", 1),
        shows_key: true,
    },
    RecordCase {
        name: "negative time",
        damage: |good| good.replacen("\"a\":1800000000000", "\"a\":-1", 1),
        shows_key: true,
    },
    RecordCase {
        name: "time out of range",
        damage: |good| good.replacen("\"a\":1800000000000", "\"a\":18446744073709551616", 1),
        shows_key: true,
    },
    RecordCase {
        name: "two records of one key",
        damage: |good| {
            let second = good.replacen("\"a\":1800000000000", "\"a\":1800000000001", 1);
            format!("{good},{second}")
        },
        shows_key: true,
    },
];

/// Guards against an odd record that keeps all others of its partition from being taken over, and
/// against one that counts as absent, so that its work runs a second time.
#[test]
fn good_records_hold_beside_an_odd_one() {
    let (value, good) = good_value();
    for case in CASES {
        let name = case.name;
        let odd = (case.damage)(&good.replacen(GOOD_KEY, "odd", 1));
        let image = decode(with_record(&value, &odd));
        assert_eq!(image.records.len(), 1, "{name}");
        let mut ledger = take_over(Some(image.clone()), 1, "q");
        let open: Vec<_> = ledger.open_tasks().map(|open| open.state).collect();
        assert_eq!(open, [TaskState::Placed], "{name}");
        assert!(ledger.find("customer", GOOD_KEY).is_some(), "{name}");
        assert_eq!(admitted(&mut ledger, "odd"), Admitted::Unreadable, "{name}");
        assert!(ledger.may_have_unreadable("customer", "odd"), "{name}");
        let other = match case.shows_key {
            true => Admitted::New,
            false => Admitted::Unreadable,
        };
        assert_eq!(admitted(&mut ledger, "other"), other, "{name}");
        let written = write(&mut ledger, 2, NOW_MS);
        assert_eq!(
            written.unreadable, image.unreadable,
            "{name}: kept unchanged"
        );
        assert!(ledger.size_bytes() > odd.len(), "{name}: counted");
    }
}

/// Guards against an odd record of any kind that hides the others or is lost with the next write.
#[test]
fn random_damage_to_a_record_is_kept() {
    let (value, good) = good_value();
    let good = good.replacen(GOOD_KEY, "odd", 1);
    let mut source = Gen::from_size_and_seed(100, seed());
    let replacements = [
        "null",
        "-1",
        "1e400",
        "18446744073709551616",
        "[]",
        "{}",
        "\"\"",
    ];
    for _ in 0..setting("HS_LEDGER_CASES", 5000) {
        let is_separator = |byte: &u8| b":,[]{}".contains(byte);
        let position = usize::arbitrary(&mut source) % good.len();
        let start = good.as_bytes()[..position].iter().rposition(is_separator);
        let start = start.map_or(0, |start| start + 1);
        let length = good.as_bytes()[start..].iter().position(is_separator);
        let replacement = replacements[usize::arbitrary(&mut source) % replacements.len()];
        let odd = [
            &good[..start],
            replacement,
            &good[start + length.unwrap_or(0)..],
        ]
        .concat();
        let text = with_record(&value, &odd);
        let Ok(image) = PartitionImage::decode(text.as_bytes()) else {
            // The damage concerns the syntax of the whole value.
            assert!(
                serde_json::from_str::<serde::de::IgnoredAny>(&text).is_err(),
                "{odd}"
            );
            continue;
        };
        assert_eq!(image.records.len() + image.unreadable.len(), 2, "{odd}");
        let mut ledger = take_over(Some(image.clone()), 1, "q");
        assert!(ledger.find("customer", GOOD_KEY).is_some(), "{odd}");
        let written = write(&mut ledger, 2, NOW_MS);
        assert_eq!(written.unreadable, image.unreadable, "{odd}");
    }
}
