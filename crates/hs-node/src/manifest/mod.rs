//! The current manifest.

mod view;

/// Key of the manifest in the configuration store.
pub const MANIFEST_KEY: &str = "manifest";

pub use view::ManifestView;
