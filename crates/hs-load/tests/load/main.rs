//! Tests of the load tool against a tiny entry process.

mod answers;
mod support;
mod times;
