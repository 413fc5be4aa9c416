//! Tests of the decoding of lists in which another writer left odd entries.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod odd_json;
mod vm_list;
