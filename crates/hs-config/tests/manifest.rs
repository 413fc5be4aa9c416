//! Validation findings of manifests.

use hs_config::{ConfigError, FileKind, parse_manifest};

/// An invalid manifest and its expected findings, as `line|field|part of the message`.
struct ManifestCase {
    name: &'static str,
    text: &'static str,
    findings: &'static [&'static str],
}

/// Compares all findings, so that both a missing and an additional one fail the test.
fn assert_findings(name: &str, error: &ConfigError, expected: &[&str]) {
    assert_eq!(error.findings.len(), expected.len(), "{name}: {error}");
    for (finding, expected) in error.findings.iter().zip(expected) {
        let parts: Vec<&str> = expected.split('|').collect();
        let line = finding
            .line
            .map_or_else(String::new, |line| line.to_string());
        assert_eq!(line, parts[0], "{name}: line of {finding}");
        assert_eq!(finding.field, parts[1], "{name}: field of {finding}");
        assert!(finding.message.contains(parts[2]), "{name}: {finding}");
    }
}

const CASES: &[ManifestCase] = &[
    ManifestCase {
        name: "syntax error",
        text: "{\n  customers: [\n    { name: 'a' }\n    { name: 'b' }\n  ],\n}",
        findings: &["4||expected comma"],
    },
    ManifestCase {
        name: "end of text inside an object",
        text: "{\n  customers: [],\n",
        findings: &["2||EOF"],
    },
    ManifestCase {
        name: "text after the document",
        text: "{ customers: [], workloads: [] }\n}",
        findings: &["2||trailing"],
    },
    ManifestCase {
        name: "not an object",
        text: "[]",
        findings: &["1||expected an object, found a list"],
    },
    ManifestCase {
        name: "nesting that would overflow the stack",
        text: "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
        findings: &["1||nested deeper"],
    },
    ManifestCase {
        name: "missing fields of the file and of items",
        text: "{\n customers: [\n  {},\n ]\n}",
        findings: &[
            "1|workloads|missing field",
            "3|customers[0].name|missing field",
        ],
    },
    ManifestCase {
        name: "unknown and repeated fields",
        text: "{\n customers: [],\n wrokloads: [],\n workloads: [],\n policy: 'fair',\n policy: 'fair',\n}",
        findings: &["3|wrokloads|unknown field", "6|policy|already set"],
    },
    ManifestCase {
        name: "wrong types",
        text: "{\n customers: {},\n workloads: [\n  3,\n  { name: 1,\n    class: 'check',\n    urgent: 'no',\n    resources: 5 },\n ],\n draining: [ 7 ],\n retention_s: '60',\n}",
        findings: &[
            "2|customers|found an object",
            "4|workloads[0]|found a number",
            "5|workloads[1].name|found a number",
            "7|workloads[1].urgent|found a string",
            "8|workloads[1].resources|found a number",
            "10|draining[0]|found a number",
            "11|retention_s|found a string",
        ],
    },
    ManifestCase {
        name: "values out of range",
        text: "{\n customers: [\n  { name: 'a', weight: 0 },\n  { name: 'b',\n    weight: 1001 },\n  { name: 'c', queue_limit: 100001 },\n ],\n workloads: [ { name: 'w', class: 'klass',\n  tasks: 1001,\n  estimate_ms: -5,\n  resources: { slots: 4294967296 } } ],\n retention_s: 59,\n policy: 'best',\n}",
        findings: &[
            "3|customers[0].weight|0 is out of range 1 to 1000",
            "5|customers[1].weight|1001 is out of range",
            "6|customers[2].queue_limit|out of range 1 to 100000",
            "8|workloads[0].class|not one of check, order",
            "9|workloads[0].tasks|out of range 1 to 1000",
            "10|workloads[0].estimate_ms|-5 is not a whole number",
            "11|workloads[0].resources.slots|out of range",
            "12|retention_s|59 is out of range 60 to 604800",
            "13|policy|not one of fair, baseline",
        ],
    },
    ManifestCase {
        name: "bad and duplicate names",
        text: "{\n customers: [\n  { name: '' },\n  { name: 'a b' },\n  { name: 'same' },\n  { name: 'same' },\n ],\n workloads: [\n  { name: 'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa',\n    class: 'check', resources: { slots: 1 } },\n ],\n draining: [ 'x',\n  'x' ],\n}",
        findings: &[
            "3|customers[0].name|empty",
            "4|customers[1].name|may only contain",
            "6|customers[3].name|duplicate name \"same\"",
            "9|workloads[0].name|65 characters",
            "13|draining[1]|duplicate name \"x\"",
        ],
    },
    ManifestCase {
        name: "tasks against class, and work that takes nothing",
        text: "{\n customers: [ { name: 'a', quota: {} } ],\n workloads: [\n  { name: 'c', class: 'check', tasks: 2, resources: { slots: 1 } },\n  { name: 'o', class: 'order', tasks: 3, resources: { slots: 1 } },\n  { name: 'g', class: 'gang', tasks: 1, resources: { slots: 1 } },\n  { name: 'h', class: 'gang', resources: { slots: 1 } },\n  { name: 'z', class: 'batch', resources: { slots: 0 } },\n ],\n}",
        findings: &[
            "2|customers[0].quota|quota of zero",
            "4|workloads[0].tasks|exactly one",
            "5|workloads[1].tasks|exactly one",
            "6|workloads[2].tasks|at least two",
            "7|workloads[3].tasks|at least two",
            "8|workloads[4].resources|at least one resource",
        ],
    },
    ManifestCase {
        name: "opening hours",
        text: "{\n customers: [], workloads: [],\n short_reserve: { opening_hours: [\n  { from_minute: 1440, to_minute: 1 },\n  { from_minute: 0, to_minute: 1441 },\n  { from_minute: 0, to_minute: 0 },\n  { from_minute: 60, to_minute: 60 },\n ] },\n}",
        findings: &[
            "4|short_reserve.opening_hours[0].from_minute|out of range 0 to 1439",
            "5|short_reserve.opening_hours[1].to_minute|out of range 1 to 1440",
            "6|short_reserve.opening_hours[2].to_minute|out of range",
            "6|short_reserve.opening_hours[2]|window is empty",
            "7|short_reserve.opening_hours[3]|window is empty",
        ],
    },
];

/// Guards against a validation that stops after the first finding, or reports a wrong line or
/// field.
#[test]
fn manifest_findings() {
    for case in CASES {
        let error = parse_manifest(case.text).expect_err(case.name);
        assert_findings(case.name, &error, case.findings);
    }
}

/// Guards against a published manifest that differs from the file that it was generated from.
#[test]
fn published_text_parses_to_the_same_manifest() {
    let text = "{ // comment\n revision: 7, customers: [{ name: 'a', quota: { slots: 3 } }],\n workloads: [{ name: 'g', class: 'gang', tasks: 2, resources: { slots: 1 }, repeatable: null }],\n short_reserve: { resources: { slots: 1 }, opening_hours: [{ from_minute: 1320, to_minute: 60 }] },\n draining: ['w-1'], long_ceiling: 4, policy: 'baseline' }";
    let manifest = parse_manifest(text).unwrap();
    let json = manifest.to_json().unwrap();
    assert_eq!(parse_manifest(&json).unwrap(), manifest);
    let plain: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(plain["revision"], 7);
}

/// Guards against a large invalid file whose validation takes longer than an operator waits.
#[test]
fn a_large_broken_file_is_checked_within_seconds() {
    let customers = "{ name: '' },\n".repeat(20_000);
    let text = format!("{{ customers: [\n{customers}], workloads: [] }}");
    let started = std::time::Instant::now();
    let error = parse_manifest(&text).expect_err("empty names");
    assert_eq!(error.findings.len(), 20_000 + 19_999, "empty and duplicate");
    assert_eq!(error.findings[0].line, Some(2));
    assert!(started.elapsed().as_secs() < 20, "{:?}", started.elapsed());
}

/// Guards against a settings file that is validated with the rules for manifests.
#[test]
fn kind_of_a_file() {
    let cases = [
        ("{ id: 'a', store: 'x' }", Some(FileKind::Settings)),
        ("{ customers: [] }", Some(FileKind::Manifest)),
        ("{}", None),
        ("{ id: ", None),
    ];
    for (text, kind) in cases {
        assert_eq!(FileKind::guess(text), kind, "{text}");
    }
}
