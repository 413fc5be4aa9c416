//! Text forms of IDs, JSON form of job specifications, and their validation.

use hs_cell::{JobId, JobSpec, TaskId};

use crate::fixture::{job, step};

struct IdCase {
    name: &'static str,
    text: &'static str,
    valid: bool,
}

/// Guards against job IDs that are accepted in a form other than the displayed one, under which the job
/// could not be found again.
#[test]
fn job_ids_round_trip_through_text() {
    let cases = [
        IdCase {
            name: "plain",
            text: "5c0e7a21d94b36f8",
            valid: true,
        },
        IdCase {
            name: "leading zeros",
            text: "00000000000000ff",
            valid: true,
        },
        IdCase {
            name: "upper case",
            text: "5C0E7A21D94B36F8",
            valid: false,
        },
        IdCase {
            name: "short",
            text: "5c0e",
            valid: false,
        },
        IdCase {
            name: "sign",
            text: "+c0e7a21d94b36f8",
            valid: false,
        },
        IdCase {
            name: "empty",
            text: "",
            valid: false,
        },
    ];
    for IdCase { name, text, valid } in cases {
        let id = text.parse::<JobId>();
        assert_eq!(id.is_ok(), valid, "{name}");
        if let Ok(id) = id {
            assert_eq!(id.to_string(), text, "{name}");
        }
    }
}

/// Guards against reports of workers that name another task than the start order did.
#[test]
fn task_ids_round_trip_through_text() {
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

/// Guards against a job specification that a later owner reads differently from how it was accepted.
#[test]
fn job_specs_round_trip_through_json() {
    let mut second = step(3, 500, 900);
    second.after.push(0);
    second.gang = true;
    second.affinity = Some("r0-1".into());
    let spec = job("plan", vec![step(1, 100, 50), second]);
    let text = serde_json::to_string(&*spec).unwrap();
    let read: JobSpec = serde_json::from_str(&text).unwrap();
    assert_eq!(read, *spec);
}

/// Guards against a long-running step that a later owner reads as an ordinary one, because its field was
/// renamed in the store together with the field of the type.
#[test]
fn stored_name_of_long_running_steps_is_stable() {
    let text =
        r#"{"queue":"plan","input":"","steps":[{"count":1,"lasting":true}],"accepted_ms":7}"#;
    let spec: JobSpec = serde_json::from_str(text).unwrap();
    assert!(spec.steps[0].long_running);
    let written = serde_json::to_string(&spec).unwrap();
    assert!(written.contains(r#""lasting":true"#), "{written}");
}

struct SpecCase {
    name: &'static str,
    spec: JobSpec,
    error: Option<&'static str>,
}

/// Guards against jobs that are accepted although they can never run.
#[test]
fn invalid_job_specs_are_rejected() {
    let mut backward = step(1, 100, 50);
    backward.after.push(1);
    let cases = [
        SpecCase {
            name: "plain",
            spec: (*job("a", vec![step(1, 100, 50)])).clone(),
            error: None,
        },
        SpecCase {
            name: "no steps",
            spec: (*job("a", vec![])).clone(),
            error: Some("1 to 64 steps"),
        },
        SpecCase {
            name: "no tasks",
            spec: (*job("a", vec![step(0, 100, 50)])).clone(),
            error: Some("step 0 has 0 tasks"),
        },
        SpecCase {
            name: "after a later step",
            spec: (*job("a", vec![backward, step(1, 100, 50)])).clone(),
            error: Some("step 0 comes after step 1"),
        },
    ];
    for SpecCase { name, spec, error } in cases {
        match (spec.validate(), error) {
            (Ok(()), None) => {}
            (Err(found), Some(text)) => {
                assert!(found.to_string().contains(text), "{name}: {found}")
            }
            (result, _) => panic!("{name}: {result:?}"),
        }
    }
}
