//! Process settings and manifest: parsing, checks, findings.
//!
//! Both are JSON with comments. Settings say where a process runs and what it talks to; everything
//! that changes behaviour stands in the manifest, so that it is the same everywhere.

pub mod finding;
pub mod manifest;
pub mod parse;
pub mod settings;

pub use finding::{ConfigError, ConfigFinding};
pub use manifest::{CustomerEntry, DayWindow, Manifest, PolicyName, ShortReserve, WorkloadEntry};
pub use parse::{parse_manifest, parse_settings};
pub use settings::{LimitSettings, Settings};
