//! What is wrong with a file.

use std::fmt;

use thiserror::Error;

/// One thing that is wrong.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigFinding {
    /// Line in the file, counted from one; `None` if the finding has no place.
    pub line: Option<usize>,
    /// Path of the field, such as `workloads[2].class`; empty for the whole file.
    pub field: String,
    /// What is wrong, and what would be right.
    pub message: String,
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.message)
    }
}

/// Every finding of one file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{}", join(findings))]
pub struct ConfigError {
    /// The findings, in the order of their lines.
    pub findings: Vec<ConfigFinding>,
}

fn join(findings: &[ConfigFinding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
