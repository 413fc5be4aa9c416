//! Process settings and manifest: parsing, checks, findings.
//!
//! Both are JSON with comments. Settings say where a process runs and what it talks to; everything
//! that changes behaviour stands in the manifest, so that it is the same everywhere.

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
