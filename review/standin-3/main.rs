//! Runs a case of the review: `cases NAME FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod system;
mod worker;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record: {error}");
            exit(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format!(
        "case {name}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let verdict = cases::run(name, record.clone(), has_trouble);
    let (line, code) = match verdict {
        Ok(None) => ("the rule held".to_owned(), 0),
        Ok(Some(cause)) => (format!("the rule was BROKEN: {cause}"), 1),
        Err(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.note(&line);
    println!("{line}");
    exit(code);
}
