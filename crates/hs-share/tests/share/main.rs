//! Tests of the rules, each as a table of cases.

mod admission;
mod clocks;
mod quotas;
mod shares;
mod surplus;
mod tokens;
