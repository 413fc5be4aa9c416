//! `check` command: validates a settings file or a manifest.

use argh::FromArgs;
use hs_config::{FileKind, parse_manifest, parse_settings};

use crate::exit::{CommandError, CommandExit};
use crate::file;

/// check a settings file or a manifest and print every finding
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckCommand {
    /// file to check
    #[argh(positional)]
    file: String,

    /// settings or manifest; by default guessed by the names of the fields
    #[argh(option, from_str_fn(parse_kind))]
    kind: Option<FileKind>,
}

impl CheckCommand {
    pub(crate) fn run(self) -> Result<CommandExit, CommandError> {
        let text = file::read(&self.file)?;
        let kind = self.kind.or_else(|| FileKind::guess(&text));
        let (name, checked) = match kind {
            Some(FileKind::Settings) => ("settings", parse_settings(&text).map(drop)),
            // A text that cannot be parsed has the same findings as settings and as a manifest.
            Some(FileKind::Manifest) | None => ("manifest", parse_manifest(&text).map(drop)),
        };
        match checked {
            Ok(()) => {
                println!("{}: valid {name}", self.file);
                Ok(CommandExit::Success)
            }
            Err(error) => {
                for finding in &error.findings {
                    println!("{}: {finding}", self.file);
                }
                if kind.is_none() {
                    eprintln!("checked as a manifest; --kind settings checks as settings");
                }
                Ok(CommandExit::Failed)
            }
        }
    }
}

fn parse_kind(value: &str) -> Result<FileKind, String> {
    match value {
        "settings" => Ok(FileKind::Settings),
        "manifest" => Ok(FileKind::Manifest),
        _ => Err(format!("{value:?} is neither settings nor manifest")),
    }
}
