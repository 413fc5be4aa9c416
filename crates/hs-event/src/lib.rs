//! Numbered log events.
//!
//! Every routing or placement decision writes one line that starts with the event number, so that
//! operators can search by number. `docs/events.md` lists all events. Payloads are never logged.

mod code;
mod escape;

pub use code::EventCode;
