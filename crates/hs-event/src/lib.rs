//! Numbered log events.
//!
//! Every routing or placement decision writes one line that starts with the event number, so that
//! operators can search by number. `docs/events.md` lists all events. Payloads are never logged. Text that other
//! programs have chosen is written as a [`LogText`].

mod code;
mod escape;
mod log_text;

pub use code::EventCode;
pub use log_text::LogText;
