//! Checks of settings that concern several fields.

use std::net::{IpAddr, SocketAddr};

use crate::check::TreeCheck;
use crate::path::FieldPath;
use crate::tree::ConfigTree;

const LISTENERS: [&str; 3] = ["caller_listen", "control_listen", "peer_listen"];

/// Adds the findings that concern several fields of settings.
pub(crate) fn check_settings(check: &mut TreeCheck, tree: &ConfigTree) {
    let root = FieldPath::default();
    let address = |name: &str| tree.text(name)?.parse::<SocketAddr>().ok();
    for (index, name) in LISTENERS.iter().enumerate() {
        let Some(own) = address(name) else { continue };
        let earlier = &LISTENERS[..index];
        let clash = earlier
            .iter()
            .find(|other| address(other).is_some_and(|other| collides(own, other)));
        if let Some(other) = clash {
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

/// Returns whether two listeners cannot both be bound. Port 0 is a new port each time.
fn collides(left: SocketAddr, right: SocketAddr) -> bool {
    let (one, other): (IpAddr, IpAddr) = (left.ip(), right.ip());
    left.port() != 0
        && left.port() == right.port()
        && (one == other || one.is_unspecified() || other.is_unspecified())
}
