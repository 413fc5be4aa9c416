//! Validation rules of the manifest that involve several fields.

use crate::check::TreeCheck;
use crate::path::FieldPath;
use crate::tree::ConfigTree;

/// Reports violations of the rules that involve several fields of a manifest.
pub(crate) fn check_manifest(check: &mut TreeCheck, tree: &ConfigTree) {
    let root = FieldPath::default();
    for list in ["customers", "workloads"] {
        let items = tree.items(list).iter().enumerate();
        check.report_duplicates(items.map(|(index, item)| {
            let path = root.field(list).item(index).field("name");
            (path, item.text("name"))
        }));
    }
    let draining = root.field("draining");
    let workers = tree.items("draining").iter().enumerate();
    check.report_duplicates(workers.map(|(index, worker)| match worker {
        ConfigTree::Text(name) => (draining.item(index), Some(name.as_str())),
        _ => (draining.item(index), None),
    }));
    for (index, customer) in tree.items("customers").iter().enumerate() {
        if customer.get("quota").is_some_and(is_zero) {
            let path = root.field("customers").item(index).field("quota");
            check.report(
                &path,
                "a quota of zero admits nothing; omit it for no limit",
            );
        }
    }
    for (index, workload) in tree.items("workloads").iter().enumerate() {
        let path = root.field("workloads").item(index);
        check_workload(check, &path, workload);
        check_service(check, &path, workload, tree.items("customers"));
    }
    let Some(reserve) = tree.get("short_reserve") else {
        return;
    };
    for (index, window) in reserve.items("opening_hours").iter().enumerate() {
        let from = window.integer("from_minute");
        if from.is_some() && from == window.integer("to_minute") {
            let hours = root.field("short_reserve").field("opening_hours");
            let message = "the window is empty; use 0 to 1440 for the whole day";
            check.report(&hours.item(index), message);
        }
    }
}

fn check_workload(check: &mut TreeCheck, path: &FieldPath, workload: &ConfigTree) {
    if workload.get("resources").is_some_and(is_zero) {
        let message = "a task must take at least one resource, or any number would fit";
        check.report(&path.field("resources"), message);
    }
    let tasks = match workload.get("tasks") {
        None => Some(1),
        Some(_) => workload.integer("tasks"),
    };
    let message = match (workload.text("class"), tasks) {
        (Some("check" | "order"), Some(2..)) => "checks and orders have exactly one task",
        (Some("gang"), Some(1)) => "a gang has at least two tasks; use batch for one",
        _ => return,
    };
    check.report(&path.field("tasks"), message);
}

fn check_service(
    check: &mut TreeCheck,
    path: &FieldPath,
    workload: &ConfigTree,
    customers: &[ConfigTree],
) {
    let is_service = match workload.text("class") {
        Some(class) => class == "service",
        None => return,
    };
    let is_listed = |name| {
        customers
            .iter()
            .any(|entry| entry.text("name") == Some(name))
    };
    match (is_service, workload.text("customer")) {
        (true, None) if workload.get("customer").is_none() => {
            let message = "a service needs the customer that it is accounted to";
            check.report(&path.field("customer"), message);
        }
        (true, Some(name)) if !is_listed(name) => {
            let message = format!("the manifest has no customer {name:?}");
            check.report(&path.field("customer"), message);
        }
        _ => {}
    }
    for field in ["customer", "payload"] {
        if !is_service && workload.get(field).is_some() {
            check.report(&path.field(field), "only services have this field");
        }
    }
}

/// Returns whether all resource amounts are absent or zero. Malformed amounts are reported by
/// [`TreeCheck::run`].
fn is_zero(amounts: &ConfigTree) -> bool {
    match amounts {
        ConfigTree::Object(fields) => fields
            .iter()
            .all(|(_, amount)| matches!(amount, ConfigTree::Integer(0))),
        _ => false,
    }
}
