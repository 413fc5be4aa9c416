//! Durable partition records: a synchronous state machine without I/O.
