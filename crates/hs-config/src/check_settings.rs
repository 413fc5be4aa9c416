//! Validation rules of the settings that involve several fields.

use std::net::{IpAddr, SocketAddr};

use crate::check::TreeCheck;
use crate::path::FieldPath;
use crate::tree::ConfigTree;

const LISTENER_FIELDS: [&str; 3] = ["caller_listen", "control_listen", "peer_listen"];

/// Reports violations of the rules that involve several fields of the settings.
pub(crate) fn check_settings(check: &mut TreeCheck, tree: &ConfigTree) {
    let root = FieldPath::default();
    let address = |name: &str| tree.text(name)?.parse::<SocketAddr>().ok();
    for (index, name) in LISTENER_FIELDS.iter().enumerate() {
        let Some(own) = address(name) else { continue };
        let earlier = &LISTENER_FIELDS[..index];
        let conflict = earlier
            .iter()
            .find(|other| address(other).is_some_and(|other| conflicts(own, other)));
        if let Some(other) = conflict {
            let message = format!("{own} is the same address as {other}");
            check.report(&root.field(name), message);
        }
    }
    let has_token = matches!(tree.get("control_token"), Some(ConfigTree::Text(_)));
    if let Some(control) = address("control_listen")
        && !control.ip().to_canonical().is_loopback()
        && !has_token
    {
        let message = format!("{control} is not on loopback, so control_token is required");
        check.report(&root.field("control_listen"), message);
    }
}

/// Returns whether two listeners cannot be bound at the same time. With port 0 the system assigns a
/// free port to each.
fn conflicts(left: SocketAddr, right: SocketAddr) -> bool {
    let (one, other): (IpAddr, IpAddr) = (left.ip(), right.ip());
    left.port() != 0
        && left.port() == right.port()
        && (one == other || one.is_unspecified() || other.is_unspecified())
}
