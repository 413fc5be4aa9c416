//! Names of the kinds of tasks, and their keys.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a kind of task. A forgotten kind that returns has another key.
    pub struct KindKey;
}

/// Maximum number of kinds that are known at a time.
pub const MAX_KINDS: usize = 1024;

/// What the tasks of a kind have in common.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum KindName {
    /// Name of what the tasks run.
    Image(Arc<str>),
    /// Queue and shape of a step that names no image.
    Shape {
        /// Name of the queue.
        queue: Arc<str>,
        /// Number of tasks.
        count: u16,
        /// CPU of a task in thousandths of a core.
        cpu_milli: u32,
        /// Memory of a task in MiB.
        memory_mib: u32,
    },
}

impl fmt::Display for KindName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Image(image) => f.write_str(image),
            Self::Shape {
                queue,
                count,
                cpu_milli,
                memory_mib,
            } => write!(f, "{queue}:{count}x{cpu_milli}m/{memory_mib}MiB"),
        }
    }
}

/// Known kinds. The one that was not used for the longest time is forgotten first.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindArena {
    kinds: SlotMap<KindKey, KnownKind>,
    keys: HashMap<KindName, KindKey>,
}

#[derive(Clone, Debug)]
struct KnownKind {
    name: KindName,
    used_at: Instant,
}

impl KindArena {
    pub(crate) fn intern(&mut self, name: &KindName, now: Instant) -> KindKey {
        if let Some(key) = self.keys.get(name) {
            self.kinds[*key].used_at = now;
            return *key;
        }
        if self.kinds.len() >= MAX_KINDS {
            self.forget_oldest();
        }
        let key = self.kinds.insert(KnownKind {
            name: name.clone(),
            used_at: now,
        });
        self.keys.insert(name.clone(), key);
        key
    }

    pub(crate) fn find(&self, name: &KindName) -> Option<KindKey> {
        self.keys.get(name).copied()
    }

    pub(crate) fn name(&self, key: KindKey) -> Option<&KindName> {
        self.kinds.get(key).map(|kind| &kind.name)
    }

    pub(crate) fn len(&self) -> usize {
        self.kinds.len()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(_, kind)| kind.used_at);
        let Some(key) = oldest.map(|(key, _)| key) else {
            return;
        };
        if let Some(kind) = self.kinds.remove(key) {
            self.keys.remove(&kind.name);
        }
    }
}
