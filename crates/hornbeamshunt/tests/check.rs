//! The `check` command, and exit codes of wrong usage.

#[expect(dead_code, reason = "the store is used by other tests")]
mod common;

use common::{file, run};

struct CheckCase {
    name: &'static str,
    text: &'static str,
    arguments: &'static [&'static str],
    exit: i32,
    output: &'static [&'static str],
}

const SETTINGS: &str = "{ id: 'e', data_centre: 'd', caller_listen: '127.0.0.1:1', control_listen: '127.0.0.1:2', peer_listen: '127.0.0.1:3', store: '127.0.0.1:4', vm_list: '127.0.0.1:5' }";

const CASES: &[CheckCase] = &[
    CheckCase {
        name: "manifest.json",
        text: "{ customers: [], workloads: [] }",
        arguments: &[],
        exit: 0,
        output: &["valid manifest"],
    },
    CheckCase {
        name: "settings.json",
        text: SETTINGS,
        arguments: &[],
        exit: 0,
        output: &["valid settings"],
    },
    CheckCase {
        name: "findings.json",
        text: "{ customers: [],\n workloads: [ {} ],\n draining: [ '' ] }",
        arguments: &[],
        exit: 1,
        output: &[
            "line 2: workloads[0].name: missing",
            "line 2: workloads[0].class: missing",
            "line 3: draining[0]: the name is empty",
        ],
    },
    CheckCase {
        name: "kind.json",
        text: SETTINGS,
        arguments: &["--kind", "manifest"],
        exit: 1,
        output: &["customers: missing field"],
    },
    CheckCase {
        name: "usage.json",
        text: SETTINGS,
        arguments: &["--kind", "other"],
        exit: 2,
        output: &[],
    },
];

/// Guards against findings that are not printed, and against exit code 0 with findings.
#[test]
fn check_prints_findings() {
    for case in CASES {
        let path = file(case.name, case.text);
        let mut arguments = vec!["check", path.as_str()];
        arguments.extend(case.arguments);
        let output = run(&arguments);
        let text = String::from_utf8_lossy(&output.stdout);
        assert_eq!(
            output.status.code(),
            Some(case.exit),
            "{}: {text}",
            case.name
        );
        for part in case.output {
            assert!(text.contains(part), "{}: {text}", case.name);
        }
    }
}

/// Guards against wrong usage that has the exit code of a refusal (1).
#[test]
fn wrong_usage_exits_2() {
    let path = file("usage-2.json", "{ customers: [], workloads: [] }");
    let cases: [&[&str]; 6] = [
        &[],
        &["unheard"],
        &["check"],
        &["publish", &path, "--store", "no-address"],
        &["publish", &path, "--store", "127.0.0.1:1", "--wait"],
        &["result", "--entry", "127.0.0.1:1", "customer", "a/b"],
    ];
    for arguments in cases {
        assert_eq!(run(arguments).status.code(), Some(2), "{arguments:?}");
    }
    assert_eq!(run(&["--help"]).status.code(), Some(0));
    assert_eq!(run(&["check", "no-such-file"]).status.code(), Some(1));
}
