//! Parsing and validation of the process settings and the manifest.
//!
//! Both are JSON5 files. Settings configure where a process runs and which addresses it connects
//! to. Everything that affects behaviour is configured in the manifest, so that it is the same on
//! all entry processes.

mod check;
mod check_manifest;
mod check_settings;
pub mod finding;
pub mod kind;
mod locate;
pub mod manifest;
pub mod parse;
mod path;
pub mod rule;
pub mod rules;
pub mod settings;
mod tree;

pub use finding::{ConfigError, ConfigFinding};
pub use kind::FileKind;
pub use manifest::{CustomerEntry, DayWindow, Manifest, PolicyName, ShortReserve, WorkloadEntry};
pub use parse::{parse_manifest, parse_settings};
pub use settings::{LimitSettings, Settings};
