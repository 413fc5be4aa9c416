//! `check`: findings of a file.

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
    #[argh(option, from_str_fn(kind))]
    kind: Option<FileKind>,
}

impl CheckCommand {
    pub(crate) fn run(self) -> Result<CommandExit, CommandError> {
        let text = file::read(&self.file)?;
        let kind = self.kind.or_else(|| FileKind::guess(&text));
        let (name, checked) = match kind {
            Some(FileKind::Settings) => ("settings", parse_settings(&text).map(drop)),
            // A text that cannot be read has the same findings as either kind.
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

fn kind(word: &str) -> Result<FileKind, String> {
    match word {
        "settings" => Ok(FileKind::Settings),
        "manifest" => Ok(FileKind::Manifest),
        _ => Err(format!("{word:?} is neither settings nor manifest")),
    }
}
