//! The manifest with which entry processes accept the submissions of the scenarios.

/// Manifest with the customers and workloads that the scenarios use.
pub const SAMPLE_MANIFEST: &str = r#"{
  // `surge` sends the burst. All weights are equal, so that a fair share is a quarter.
  "customers": [
    { "name": "north", "queue_limit": 20000 },
    { "name": "south", "queue_limit": 20000 },
    { "name": "east", "queue_limit": 20000 },
    { "name": "surge", "queue_limit": 20000 },
  ],
  "workloads": [
    {
      "name": "check", "class": "check", "estimate_ms": 5,
      "resources": { "cpu_milli": 1000, "memory_mib": 512, "slots": 1, "connections": 1 },
    },
    {
      "name": "order", "class": "order", "estimate_ms": 20,
      "resources": { "cpu_milli": 1000, "memory_mib": 1024, "slots": 1, "connections": 1 },
    },
    {
      "name": "reconcile", "class": "batch", "estimate_ms": 2000, "repeatable": true,
      "resources": { "cpu_milli": 4000, "memory_mib": 8192, "slots": 1, "connections": 1 },
    },
    {
      "name": "train", "class": "gang", "tasks": 4, "estimate_ms": 1000,
      "resources": { "cpu_milli": 8000, "memory_mib": 16384, "slots": 1, "connections": 1 },
    },
  ],
  // A quarter of the slots of a worker stays free for checks.
  "short_reserve": {
    "resources": { "cpu_milli": 4000, "memory_mib": 2048, "slots": 2, "connections": 8 },
  },
  "long_ceiling": 6,
}
"#;
