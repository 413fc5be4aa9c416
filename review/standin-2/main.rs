//! Scripted cases of the review: a small deployment on loopback addresses, with stand-ins for the platform's store,
//! the workers and the clients. `cases CASE RECORD` runs a case; it exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves out the disruption.

mod advice;
mod fleet;
mod http;
mod json;
mod proxy;
mod record;
mod scenario;
mod store;
mod worker;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("cases CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case.as_str() {
        "restart" => scenario::restart(trouble, path),
        "hold" => scenario::hold(trouble, path),
        "filled" => scenario::filled(trouble, path),
        "silent" => scenario::silent(trouble, path),
        "advised" => scenario::advised(trouble, path),
        _ => {
            eprintln!("no case {case}");
            2
        }
    };
    exit(code);
}
