//! Sizes in the store value.
