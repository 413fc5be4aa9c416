//! The manifest in force.

mod view;

/// Key of the manifest in the store.
pub const MANIFEST_KEY: &str = "manifest";

pub use view::ManifestView;
