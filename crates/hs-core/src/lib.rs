//! Placement core: a synchronous state machine without I/O.
//!
//! One [`Placer`] places work on all workers that its process owns. The caller passes the time with
//! every call, so that runs are reproducible. Capacity accounting is based on allocations only: a
//! task holds its resources from the decision to place it until [`Placer::finish`], whatever its
//! worker reports.

pub mod decision;
pub mod placer;
pub mod policy;
pub mod request;
pub mod worker;

mod band_queue;
mod customer_account;
mod deadline_heap;
mod decide;
mod free_capacity_index;
mod free_capacity_tree;
mod health_tracker;
mod margin;
mod outlier;
mod reservation;
mod run_times;
mod shape_queue;
mod straggler;
mod submit;
mod work_record;
mod work_shape;
mod worker_health;
mod worker_pool;
mod worker_record;

pub use decision::{CancelOutcome, Decision, TaskEnd};
pub use placer::Placer;
pub use policy::{CustomerPolicy, PlacerPolicy, PolicyMode};
pub use request::{CustomerKey, WorkBand, WorkKey, WorkRequest};
pub use straggler::Straggler;
pub use worker::{CapacitySummary, WorkerKey, WorkerSpec, WorkerState};
