//! Stand-ins of the platform, the workers and the clients, with which the scripts of the review show their cases.
//!
//! `standin CASE FOLDER` plays a case and writes `record.txt` to the folder. It exits with 1 if the rule was broken,
//! 0 if it held and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod cases;
mod http;
mod json;
mod process;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::cases::Outcome;
use crate::record::Record;

fn main() -> ExitCode {
    match play() {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play() -> Outcome {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        return Err("usage: standin CASE FOLDER".to_owned());
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(folder)).map_err(|error| error.to_string())?;
    let record = Arc::new(record);
    match case.as_str() {
        "many-ends" => cases::many_ends(record, is_troubled),
        "lost-cancellation" => cases::lost_cancellation(record, is_troubled),
        "stuck-gang" => cases::stuck_gang(record, is_troubled),
        "cancelled-before" => cases::cancelled_before(record, is_troubled),
        "removed-route" => cases::removed_route(record, is_troubled),
        _ => Err(format!("unknown case {case}")),
    }
}
