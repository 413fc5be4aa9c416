//! Decoding of lease grants, task by task.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{LeaseGrant, Resources, TaskView, UnreadableTask, WorkerUsage, lenient};

/// A grant whose tasks are not interpreted yet.
#[derive(Deserialize)]
pub(crate) struct RawGrant {
    fence: u64,
    #[serde(default)]
    incarnation: u64,
    ttl_ms: u64,
    capacity: Resources,
    #[serde(default)]
    draining: bool,
    #[serde(default)]
    tasks: Vec<Box<RawValue>>,
    #[serde(default, deserialize_with = "lenient::or_default")]
    usage: WorkerUsage,
}

impl From<RawGrant> for LeaseGrant {
    fn from(raw: RawGrant) -> Self {
        let mut grant = Self {
            fence: raw.fence,
            incarnation: raw.incarnation,
            ttl_ms: raw.ttl_ms,
            capacity: raw.capacity,
            draining: raw.draining,
            tasks: Vec::with_capacity(raw.tasks.len()),
            unreadable: Vec::new(),
            usage: raw.usage,
        };
        for task in raw.tasks {
            match serde_json::from_str::<TaskView>(task.get()) {
                Ok(view) => grant.tasks.push(view),
                Err(error) => grant.unreadable.push(UnreadableTask {
                    id: lenient::field(task.get(), "id"),
                    cause: error.to_string(),
                }),
            }
        }
        grant
    }
}
