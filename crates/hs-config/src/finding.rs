//! Findings of the validation of a file.

use std::fmt;

use thiserror::Error;

/// A violation of a validation rule, or a syntax error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigFinding {
    /// Line in the file, counted from one; `None` if it is not known.
    pub line: Option<usize>,
    /// Path of the field, such as `workloads[2].class`; empty for the whole file.
    pub field: String,
    /// What is wrong and what is expected instead.
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

/// All findings of a file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{}", join_findings(findings))]
pub struct ConfigError {
    /// The findings, in the order of their lines.
    pub findings: Vec<ConfigFinding>,
}

fn join_findings(findings: &[ConfigFinding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
