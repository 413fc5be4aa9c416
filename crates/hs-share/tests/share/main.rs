//! Tests of the rules, each as a table of cases.

mod clocks;
mod quotas;
