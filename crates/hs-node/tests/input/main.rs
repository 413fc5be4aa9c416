//! Input that breaks the rules of the caller and operator listeners.

mod control;
mod manifest;
mod raw;
mod site;
mod submission;
