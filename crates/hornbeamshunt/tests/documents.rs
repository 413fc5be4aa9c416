//! Checks that documents and sample files agree with the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use hs_config::rule::{FieldDefault, FieldRule};
use hs_config::{parse_manifest, parse_settings, rules};
use hs_event::EventCode;
use hs_wire::{ErrorBody, NotRunReason, Outcome, Resources, Submission, WorkReply};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(name: &str) -> String {
    fs::read_to_string(root().join(name)).expect(name)
}

/// Returns the rows of all tables whose first cell begins with `first`.
fn rows<'a>(text: &'a str, first: &str) -> Vec<&'a str> {
    let start = format!("| {first}");
    let lines = text.lines();
    lines.filter(|line| line.starts_with(&start)).collect()
}

/// Guards against events that the catalogue lacks, and against outdated entries in it.
#[test]
fn the_event_catalogue_is_complete() {
    let catalogue = read("docs/events.md");
    let found = rows(&catalogue, "E");
    assert_eq!(found.len(), EventCode::ALL.len());
    for (row, event) in found.iter().zip(EventCode::ALL) {
        let level = event.level().to_string().to_lowercase();
        let expected = format!("| E{} | {level} | {} | ", event.number(), event.text());
        assert!(row.starts_with(&expected), "{row}\nexpected {expected}");
        assert!(row.len() > expected.len() + 2, "no advice: {row}");
    }
}

/// Guards against pages that refer to an event that does not exist.
#[test]
fn pages_name_known_events() {
    let known: BTreeSet<u16> = EventCode::ALL.iter().map(|event| event.number()).collect();
    for page in ["docs/operators.md", "docs/events.md", "docs/api.md"] {
        for word in read(page).split(|c: char| !c.is_ascii_alphanumeric()) {
            let number = word.strip_prefix('E').and_then(|word| word.parse().ok());
            assert!(
                number.is_none_or(|number| known.contains(&number)),
                "{page}: {word}"
            );
        }
    }
}

/// Returns the beginning of the row of a field in the operator guide, up to its meaning.
fn expected_row(field: &FieldRule) -> String {
    let unit = if field.unit.is_empty() {
        "-"
    } else {
        field.unit
    };
    let default = match field.default {
        FieldDefault::Required => "required".to_owned(),
        FieldDefault::Absent => "-".to_owned(),
        FieldDefault::Value(value) => format!("`{value}`"),
    };
    let kind = field.kind.describe();
    format!("| `{}` | {kind} | {unit} | {default} | ", field.name)
}

/// Guards against a field, range, unit or default that differs between the guide and the rules. Other
/// tests check the rules against the types.
#[test]
fn the_operator_guide_lists_every_field() {
    let guide = read("docs/operators.md");
    let mut tables = guide.split("| field | kind and range | unit | default | meaning |\n");
    tables.next();
    let tables: Vec<&str> = tables.collect();
    assert_eq!(tables.len(), rules::ALL.len());
    for (table, rule) in tables.iter().zip(rules::ALL) {
        let rows = table
            .lines()
            .skip(1)
            .take_while(|line| line.starts_with('|'));
        let rows: Vec<&str> = rows.collect();
        assert_eq!(rows.len(), rule.fields.len(), "{}", rule.name);
        for (row, field) in rows.iter().zip(rule.fields) {
            let expected = expected_row(field);
            assert!(row.starts_with(&expected), "{row}\nexpected {expected}");
            assert!(row.len() > expected.len() + 2, "no meaning: {row}");
        }
    }
}

/// Returns the examples of a page, each as the label after "json" and the body.
fn examples(text: &str) -> Vec<(String, String)> {
    let blocks = text.split("```json ").skip(1).map(|block| {
        let (label, rest) = block.split_once('\n').expect("end of line");
        let (body, _) = rest.split_once("```").expect("end of block");
        (label.to_owned(), body.to_owned())
    });
    blocks.collect()
}

/// Guards against examples that the wire types reject, or whose status differs from that of the code.
#[test]
fn examples_of_the_interfaces_are_accepted() {
    let mut shown = BTreeSet::new();
    for (label, body) in examples(&read("docs/api.md")) {
        let words: Vec<&str> = label.split(' ').collect();
        match words[..] {
            ["submission"] => drop(serde_json::from_str::<Submission>(&body).expect(&label)),
            ["reply", status, name] => {
                let reply: WorkReply = serde_json::from_str(&body).expect(&label);
                assert_eq!(reply.status().to_string(), status, "{label}");
                let reason = reply
                    .reason
                    .map(|reason| serde_json::json!(reason).to_string());
                let found = reason.unwrap_or_else(|| reply.outcome.name().to_owned());
                assert_eq!(found.trim_matches('"'), name, "{label}");
                let has_hint = reply.retry_after_ms.is_some();
                let hinted = reply.reason.map(NotRunReason::is_retryable);
                assert_eq!(
                    has_hint,
                    hinted.unwrap_or(reply.outcome == Outcome::Unknown)
                );
                // "cancelled" is both an outcome and a reason.
                shown.insert((reply.reason.is_some(), name.to_owned()));
            }
            ["error", _, name] => {
                let error: ErrorBody = serde_json::from_str(&body).expect(&label);
                assert_eq!(error.code, name);
            }
            ["status"] => drop(serde_json::from_str::<serde_json::Value>(&body).expect(&label)),
            ["manifest"] => drop(parse_manifest(&body).expect(&label)),
            _ => panic!("unknown kind of example: {label}"),
        }
    }
    let error = serde_json::from_str::<NotRunReason>("\"\"").expect_err("no reason");
    let mut expected: BTreeSet<_> = names(&error.to_string()).map(|name| (true, name)).collect();
    let error = serde_json::from_str::<Outcome>("\"\"").expect_err("no outcome");
    expected.extend(names(&error.to_string()).map(|name| (false, name)));
    // This outcome has one example for each reason instead.
    expected.remove(&(false, "not_run".to_owned()));
    assert_eq!(shown, expected, "one example for each outcome and reason");
}

/// Returns the text of all source files of the entry process and of its listeners.
fn sources() -> String {
    let mut text = String::new();
    let mut directories = vec![
        root().join("crates/hs-node/src"),
        root().join("crates/hs-http/src"),
    ];
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(&directory).expect("directory") {
            let path = entry.expect("entry").path();
            match path.is_dir() {
                true => directories.push(path),
                false => text += &fs::read_to_string(&path).expect("source"),
            }
        }
    }
    text
}

/// Guards against examples whose explanation no process ever sends.
#[test]
fn explanations_in_examples_are_those_of_the_code() {
    /// Messages whose text is formatted or comes from a library, with their text in the code.
    const FORMATTED: [(&str, &str); 4] = [
        ("need 1 to 128 bytes", "need 1 to {MAX_NAME_BYTES} bytes"),
        ("no such path: /v2/work", "no such path: {}"),
        ("exceeds 262144 bytes", "exceeds {} bytes"),
        (
            "connection closed before message completed",
            "\"body_unreadable\", error.to_string()",
        ),
    ];
    let sources = sources();
    for (label, body) in examples(&read("docs/api.md")) {
        let body: serde_json::Value = serde_json::from_str(&body).expect(&label);
        for name in ["detail", "message"] {
            let Some(text) = body[name].as_str() else {
                continue;
            };
            let text = FORMATTED
                .iter()
                .fold(text.to_owned(), |text, (shown, code)| {
                    text.replace(shown, code)
                });
            assert!(sources.contains(&text), "{label}: no source of {text:?}");
        }
    }
}

/// Returns the names that a deserialiser lists in its error about an empty name.
fn names(error: &str) -> impl Iterator<Item = String> {
    let quoted = error.split('`').skip(1).step_by(2);
    let names = quoted.filter(|name| !name.is_empty());
    names.map(ToOwned::to_owned)
}

/// A sample deployment, with the capacity of its workers.
struct SampleCase {
    name: &'static str,
    worker: Resources,
    workloads: &'static [&'static str],
    has_hours: bool,
}

/// Returns the capacity of a worker with 64 cores, 8 slots and 64 connections. The design page
/// gives the memory in GB; 1 GB is 953.67 MiB.
const fn worker(memory_mib: u32) -> Resources {
    Resources {
        cpu_milli: 64_000,
        memory_mib,
        accelerators: 0,
        slots: 8,
        connections: 64,
    }
}

const SAMPLES: &[SampleCase] = &[
    SampleCase {
        name: "tidewrack",
        worker: worker(244_140),
        workloads: &["price-check", "order", "run-plan", "reconciliation"],
        has_hours: false,
    },
    SampleCase {
        name: "etau",
        worker: worker(122_070),
        workloads: &[
            "counter-check",
            "deposit-settlement",
            "nightly-reconciliation",
        ],
        has_hours: true,
    },
];

/// Guards against sample files that `check` rejects, that lack a workload of their deployment, or
/// that have a workload that does not fit a worker beside the reserve.
#[test]
fn sample_files_are_valid() {
    for case in SAMPLES {
        let name = case.name;
        parse_settings(&read(&format!("examples/{name}.settings.json5"))).expect(name);
        let manifest = read(&format!("examples/{name}.manifest.json5"));
        let manifest = parse_manifest(&manifest).expect(name);
        let workloads = &manifest.workloads;
        let found: Vec<&str> = workloads.iter().map(|work| work.name.as_str()).collect();
        assert_eq!(found, case.workloads, "{name}");
        let reserve = &manifest.short_reserve;
        assert_ne!(reserve.resources, Resources::ZERO, "{name}");
        assert_eq!(!reserve.opening_hours.is_empty(), case.has_hours, "{name}");
        let available = case.worker.checked_sub(reserve.resources).expect(name);
        for workload in workloads {
            assert!(
                workload.resources.fits(available),
                "{name}: {}",
                workload.name
            );
        }
    }
}
