//! Tests of the load tool against a fake entry process.

mod answers;
mod support;
mod times;
