//! Keys and records as text.

use hs_cell::{JobId, JobSpec, TaskId};

use crate::fixture::{job, step};

struct KeyCase {
    name: &'static str,
    text: &'static str,
    valid: bool,
}

/// Guards against keys that are taken and can't be found again under their text.
#[test]
fn job_keys_read_back_as_written() {
    let cases = [
        KeyCase {
            name: "plain",
            text: "5c0e7a21d94b36f8",
            valid: true,
        },
        KeyCase {
            name: "leading zeros",
            text: "00000000000000ff",
            valid: true,
        },
        KeyCase {
            name: "upper case",
            text: "5C0E7A21D94B36F8",
            valid: false,
        },
        KeyCase {
            name: "short",
            text: "5c0e",
            valid: false,
        },
        KeyCase {
            name: "sign",
            text: "+c0e7a21d94b36f8",
            valid: false,
        },
        KeyCase {
            name: "empty",
            text: "",
            valid: false,
        },
    ];
    for KeyCase { name, text, valid } in cases {
        let id = text.parse::<JobId>();
        assert_eq!(id.is_ok(), valid, "{name}");
        if let Ok(id) = id {
            assert_eq!(id.to_string(), text, "{name}");
        }
    }
}

/// Guards against a list of a worker whose rows name another task than the order did.
#[test]
fn task_keys_read_back_as_written() {
    let text = "5c0e7a21d94b36f8.2.1.17";
    let task: TaskId = text.parse().unwrap();
    assert_eq!(task.to_string(), text);
    for wrong in [
        "5c0e7a21d94b36f8.2.1",
        "5c0e7a21d94b36f8.2.1.17.0",
        "x.0.0.0",
    ] {
        assert!(wrong.parse::<TaskId>().is_err(), "{wrong}");
    }
}

/// Guards against a job that a later owner reads differently from how it was accepted.
#[test]
fn specs_read_back_as_written() {
    let mut second = step(3, 500, 900);
    second.after.push(0);
    second.gang = true;
    second.affinity = Some("r0-1".into());
    let spec = job("plan", vec![step(1, 100, 50), second]);
    let text = serde_json::to_string(&*spec).unwrap();
    let read: JobSpec = serde_json::from_str(&text).unwrap();
    assert_eq!(read, *spec);
}

struct SpecCase {
    name: &'static str,
    spec: JobSpec,
    fault: Option<&'static str>,
}

/// Guards against jobs that are accepted and can never be run.
#[test]
fn impossible_jobs_are_refused() {
    let mut backward = step(1, 100, 50);
    backward.after.push(1);
    let cases = [
        SpecCase {
            name: "plain",
            spec: (*job("a", vec![step(1, 100, 50)])).clone(),
            fault: None,
        },
        SpecCase {
            name: "no steps",
            spec: (*job("a", vec![])).clone(),
            fault: Some("1 to 64 steps"),
        },
        SpecCase {
            name: "no tasks",
            spec: (*job("a", vec![step(0, 100, 50)])).clone(),
            fault: Some("step 0 has 0 tasks"),
        },
        SpecCase {
            name: "after a later step",
            spec: (*job("a", vec![backward, step(1, 100, 50)])).clone(),
            fault: Some("step 0 comes after step 1"),
        },
    ];
    for SpecCase { name, spec, fault } in cases {
        match (spec.validate(), fault) {
            (Ok(()), None) => {}
            (Err(error), Some(text)) => {
                assert!(error.to_string().contains(text), "{name}: {error}")
            }
            (result, _) => panic!("{name}: {result:?}"),
        }
    }
}
