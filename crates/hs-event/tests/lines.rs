//! Tests of the lines that events write.

use std::sync::{Mutex, PoisonError};

use hs_event::EventCode;
use log::{LevelFilter, Log, Metadata, Record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineLog;

impl Log for LineLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

struct LineCase {
    field: &'static str,
    line: &'static str,
}

/// Guards against a name of another process that contains a line break and the text of an event,
/// which would look like a line of this process.
#[test]
fn an_event_is_one_line() {
    log::set_logger(&LineLog).expect("the only logger");
    log::set_max_level(LevelFilter::Info);
    let cases = [
        LineCase {
            field: "e1",
            line: "E4001 peer live peer=e1",
        },
        LineCase {
            field: "e1\nE5001 manifest in force revision=9",
            line: "E4001 peer live peer=e1\\nE5001 manifest in force revision=9",
        },
        LineCase {
            field: "\u{1b}[2J\r\u{85}\u{0}é",
            line: "E4001 peer live peer=\\u{1b}[2J\\r\\u{85}\\u{0}é",
        },
    ];
    for LineCase { field, line } in cases {
        EventCode::PeerJoined.log(format_args!("peer={field}"));
        let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
        assert_eq!(lines.last().map(String::as_str), Some(line));
    }
}
