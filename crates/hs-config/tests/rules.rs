//! Checks that the rules match the Rust types.

use std::collections::BTreeSet;
use std::fmt::Debug;

use hs_config::rule::{FieldDefault, ObjectRule};
use hs_config::{
    CustomerEntry, DayWindow, LimitSettings, Manifest, Settings, ShortReserve, WorkloadEntry,
    parse_manifest, rules,
};
use hs_wire::Resources;
use serde::de::DeserializeOwned;

/// Returns the field names of a type, which the error of the deserialiser for an unknown field
/// lists.
fn fields_of<T: DeserializeOwned + Debug>() -> BTreeSet<String> {
    let error = serde_json::from_str::<T>("{\"\":0}").expect_err("unknown field");
    let error = error.to_string();
    let (_, expected) = error.split_once("expected").expect("names of the fields");
    let quoted = expected.split('`').skip(1).step_by(2);
    quoted.map(ToOwned::to_owned).collect()
}

/// Guards against a field that is added to a type but not to the rules, so that it is reported as
/// unknown, and against the reverse.
#[test]
fn rules_name_the_fields_of_the_types() {
    let cases: [(&ObjectRule, BTreeSet<String>); 8] = [
        (&rules::SETTINGS, fields_of::<Settings>()),
        (&rules::LIMITS, fields_of::<LimitSettings>()),
        (&rules::MANIFEST, fields_of::<Manifest>()),
        (&rules::CUSTOMER, fields_of::<CustomerEntry>()),
        (&rules::WORKLOAD, fields_of::<WorkloadEntry>()),
        (&rules::SHORT_RESERVE, fields_of::<ShortReserve>()),
        (&rules::DAY_WINDOW, fields_of::<DayWindow>()),
        (&rules::RESOURCES, fields_of::<Resources>()),
    ];
    assert_eq!(cases.len(), rules::ALL.len());
    for (rule, fields) in cases {
        let named = rule.fields.iter().map(|field| field.name.to_owned());
        assert_eq!(named.collect::<BTreeSet<_>>(), fields, "{}", rule.name);
    }
}

/// Guards against documentation whose defaults differ from those of the types.
#[test]
fn rules_state_the_defaults_of_the_types() {
    let text = "{ customers: [{ name: 'a' }], workloads: [{ name: 'w', class: 'check', resources: { slots: 1 } }] }";
    let json = parse_manifest(text).unwrap().to_json().unwrap();
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    let zero = serde_json::to_value(Resources::ZERO).unwrap();
    let objects = [
        (&rules::MANIFEST, &json),
        (&rules::CUSTOMER, &json["customers"][0]),
        (&rules::WORKLOAD, &json["workloads"][0]),
        (&rules::RESOURCES, &zero),
    ];
    for (rule, object) in objects {
        for field in rule.fields {
            let found = &object[field.name];
            match field.default {
                FieldDefault::Required => assert!(!found.is_null(), "{}", field.name),
                FieldDefault::Absent => assert!(found.is_null(), "{}", field.name),
                FieldDefault::Value("[]" | "{}") => {}
                FieldDefault::Value(value) => {
                    assert_eq!(found.to_string().trim_matches('"'), value, "{}", field.name);
                }
            }
        }
    }
    let limits = format!("{:?}", LimitSettings::default());
    for field in rules::LIMITS.fields {
        let FieldDefault::Value(value) = field.default else {
            panic!("{} has no default", field.name);
        };
        assert!(
            limits.contains(&format!("{}: {value}", field.name)),
            "{}",
            field.name
        );
    }
}
