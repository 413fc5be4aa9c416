//! Store value in memory that checks each write against the value before it.

use std::collections::HashSet;

use hs_ledger::{LedgerRecord, PartitionImage, TaskKey};

/// Store of one value with compare-and-swap.
#[derive(Default)]
pub struct FakeStore {
    pub revision: u64,
    pub image: Option<PartitionImage>,
    /// Time of the last write in milliseconds.
    pub changed_ms: u64,
    /// Writes that may still arrive although their callers got no reply.
    pub delayed_writes: Vec<(u64, Vec<u8>)>,
    /// Facts that any value so far has contained.
    pub stored_facts: HashSet<String>,
}

impl FakeStore {
    /// Writes the value and returns its revision, or `None` if the store holds another revision.
    pub fn put(&mut self, if_revision: u64, body: &[u8], now_ms: u64) -> Option<u64> {
        if if_revision != self.revision {
            return None;
        }
        let image = PartitionImage::decode(body).unwrap();
        assert!(image.encode().unwrap() == body, "encoding is not stable");
        assert_eq!(image.unreadable, [], "a record of an owner");
        if let Some(old) = &self.image {
            check_succession(old, &image);
        }
        self.stored_facts.insert(format!("writer {}", image.writer));
        for record in &image.records {
            let key = &record.key;
            self.stored_facts
                .insert(format!("outcome {key} {}", record.outcome()));
            for (task, state) in (0..).zip(&record.tasks) {
                let attempt = state.attempt;
                let id = record.task_id(TaskKey { task, attempt }).unwrap();
                if state.placed_ms > 0 {
                    self.stored_facts.insert(format!("placed {id}"));
                }
            }
        }
        self.revision += 1;
        self.changed_ms = now_ms;
        self.image = Some(image);
        Some(self.revision)
    }

    /// Returns whether any value so far has contained this fact.
    pub fn has_stored(&self, fact: &str) -> bool {
        self.stored_facts.contains(fact)
    }
}

/// Checks that a value may follow the one before it: one owner at a time, and no record is lost.
fn check_succession(old: &PartitionImage, new: &PartitionImage) {
    if old.writer == new.writer {
        assert!(!old.released, "an owner wrote after its release");
        assert!(
            new.seq > old.seq && new.epoch == old.epoch,
            "an owner did not raise the sequence number, or changed the epoch"
        );
    } else {
        assert_eq!(
            new.epoch,
            old.epoch + 1,
            "a takeover did not raise the epoch by one"
        );
    }
    for before in &old.records {
        let mut after = new.records.iter();
        let after = after.find(|record| record.key == before.key);
        check_record(before, after.expect("a committed record was lost"));
    }
}

fn check_record(old: &LedgerRecord, new: &LedgerRecord) {
    assert_eq!(old.body_hash, new.body_hash, "a record changed its body");
    if old.outcome().is_final() {
        assert_eq!(old, new, "a final record changed");
    }
    for (before, after) in old.tasks.iter().zip(&new.tasks) {
        assert!(after.attempt >= before.attempt, "a task lost an attempt");
        if !before.state.is_open() {
            assert_eq!(before, after, "a final task changed");
        }
    }
}
