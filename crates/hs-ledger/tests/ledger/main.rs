//! Tests of the ledger.
//!
//! The randomized tests use a fixed seed and print it when they fail. `HS_LEDGER_SEED` sets another
//! seed, and `HS_LEDGER_CASES` sets the number of cases, for instance for a longer run.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod damage;
mod fixture;
mod linear;
mod odd_record;
mod process;
mod records;
mod simulation;
mod stateful;
mod step;
mod store;
mod writes;

/// Returns the number in the environment variable `name`, or the default if it is not set.
fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect(name))
}

/// Returns the seed of the randomized tests.
fn seed() -> u64 {
    setting("HS_LEDGER_SEED", 20_261_204)
}

/// Checks a property for `cases` random lists of up to `size` steps.
fn check_steps(cases: u64, size: usize, property: fn(Vec<step::Step>) -> bool) {
    let seed = seed();
    let cases = setting("HS_LEDGER_CASES", cases);
    let gen_source = quickcheck::Gen::from_size_and_seed(size, seed);
    let mut runner = quickcheck::QuickCheck::new().rng(gen_source).tests(cases);
    let result = runner.quicktest(property);
    assert!(result.is_ok(), "HS_LEDGER_SEED={seed}: {:?}", result.err());
}
