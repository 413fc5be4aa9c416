//! Rules of all objects in settings and manifest. Tests check that they match the Rust types.

use crate::rule::FieldDefault::{Absent, Required, Value};
use crate::rule::FieldKind::{
    Address, Addresses, Boolean, Choice, Integer, Name, Names, Object, Objects, Text, Token,
};
use crate::rule::{FieldDefault, FieldKind, FieldRule, ObjectRule};

/// Maximum of `estimate_ms`, one year. Larger estimates overflow the instants computed from them.
const MAX_ESTIMATE_MS: u64 = 365 * 24 * 3600 * 1000;

const ANY_U32: FieldKind = Integer(0, u32::MAX as u64);

const fn field(
    name: &'static str,
    kind: FieldKind,
    default: FieldDefault,
    unit: &'static str,
) -> FieldRule {
    FieldRule {
        name,
        kind,
        default,
        unit,
    }
}

/// Settings of an entry process.
pub static SETTINGS: ObjectRule = ObjectRule {
    name: "settings",
    fields: &[
        field("id", Name, Required, ""),
        field("data_centre", Name, Required, ""),
        field("caller_listen", Address, Required, ""),
        field("control_listen", Address, Required, ""),
        field("peer_listen", Address, Required, ""),
        field("peer_advertise", Address, Absent, ""),
        field("control_token", Token, Absent, ""),
        field("store", Address, Required, ""),
        field("vm_list", Address, Required, ""),
        field("seeds", Addresses, Value("[]"), ""),
        field("limits", Object(&LIMITS), Value("{}"), ""),
    ],
};

/// Limits of the caller and operator listeners.
pub static LIMITS: ObjectRule = ObjectRule {
    name: "limits",
    fields: &[
        field(
            "body_bytes",
            Integer(1024, 1 << 20),
            Value("262144"),
            "bytes",
        ),
        field("head_bytes", Integer(8192, 65_536), Value("16384"), "bytes"),
        field("connections", Integer(1, 65_536), Value("4096"), ""),
        field(
            "head_timeout_ms",
            Integer(100, 300_000),
            Value("30000"),
            "ms",
        ),
        field(
            "body_timeout_ms",
            Integer(100, 300_000),
            Value("10000"),
            "ms",
        ),
        field(
            "drain_timeout_ms",
            Integer(0, 300_000),
            Value("10000"),
            "ms",
        ),
    ],
};

/// The manifest, which applies to all entry processes.
pub static MANIFEST: ObjectRule = ObjectRule {
    name: "manifest",
    fields: &[
        field("revision", Integer(0, u64::MAX), Value("0"), ""),
        field("customers", Objects(&CUSTOMER), Required, ""),
        field("workloads", Objects(&WORKLOAD), Required, ""),
        field("short_reserve", Object(&SHORT_RESERVE), Value("{}"), ""),
        field("long_ceiling", ANY_U32, Absent, "tasks"),
        field("draining", Names, Value("[]"), ""),
        field("retention_s", Integer(60, 604_800), Value("86400"), "s"),
        field("policy", Choice(&["fair", "baseline"]), Value("fair"), ""),
    ],
};

/// A customer, one item of `customers`.
pub static CUSTOMER: ObjectRule = ObjectRule {
    name: "customer",
    fields: &[
        field("name", Name, Required, ""),
        field("weight", Integer(1, 1000), Value("1"), ""),
        field("quota", Object(&RESOURCES), Absent, ""),
        field("queue_limit", Integer(1, 100_000), Value("1000"), ""),
    ],
};

/// A workload, one item of `workloads`.
pub static WORKLOAD: ObjectRule = ObjectRule {
    name: "workload",
    fields: &[
        field("name", Name, Required, ""),
        field(
            "class",
            Choice(&["check", "order", "batch", "gang", "service"]),
            Required,
            "",
        ),
        field("urgent", Boolean, Value("false"), ""),
        field("resources", Object(&RESOURCES), Required, ""),
        field("tasks", Integer(1, 1000), Value("1"), "tasks"),
        field("estimate_ms", Integer(1, MAX_ESTIMATE_MS), Absent, "ms"),
        field("repeatable", Boolean, Absent, ""),
        field("customer", Name, Absent, ""),
        field("payload", Text, Absent, ""),
    ],
};

/// Resources on each worker that are reserved for short and urgent work.
pub static SHORT_RESERVE: ObjectRule = ObjectRule {
    name: "short_reserve",
    fields: &[
        field("resources", Object(&RESOURCES), Value("{}"), ""),
        field("opening_hours", Objects(&DAY_WINDOW), Value("[]"), ""),
    ],
};

/// A daily time window.
pub static DAY_WINDOW: ObjectRule = ObjectRule {
    name: "day_window",
    fields: &[
        field("from_minute", Integer(0, 1439), Required, "min (UTC)"),
        field("to_minute", Integer(1, 1440), Required, "min (UTC)"),
    ],
};

/// Resource amounts of a quota, a task or a reserve.
pub static RESOURCES: ObjectRule = ObjectRule {
    name: "resources",
    fields: &[
        field("cpu_milli", ANY_U32, Value("0"), "1/1000 core"),
        field("memory_mib", ANY_U32, Value("0"), "MiB"),
        field("accelerators", ANY_U32, Value("0"), ""),
        field("slots", ANY_U32, Value("0"), ""),
        field("connections", ANY_U32, Value("0"), ""),
    ],
};

/// All objects of settings and manifest.
pub static ALL: &[&ObjectRule] = &[
    &SETTINGS,
    &LIMITS,
    &MANIFEST,
    &CUSTOMER,
    &WORKLOAD,
    &SHORT_RESERVE,
    &DAY_WINDOW,
    &RESOURCES,
];
