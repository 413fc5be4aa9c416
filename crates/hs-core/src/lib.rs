//! Placement core: a synchronous state machine without I/O.
//!
//! One [`Placer`] decides for all workers that its process owns. Time is passed in with every call,
//! so that runs can be repeated exactly. Capacity is accounted from reservations only: a task holds
//! its room from the decision until [`Placer::finish`], whatever its worker reports.

pub mod decision;
pub mod placer;
pub mod policy;
pub mod request;
pub mod worker;

mod band_queue;
mod customer_account;
mod deadline_heap;
mod decide;
mod drain;
mod free_tree;
mod health_board;
mod margin;
mod outlier;
mod room_index;
mod run_times;
mod straggler;
mod submit;
mod work_record;
mod worker_health;
mod worker_pool;
mod worker_record;

pub use decision::{CancelOutcome, Decision, TaskEnd};
pub use placer::Placer;
pub use policy::{CustomerPolicy, PlacerPolicy, PolicyMode};
pub use request::{CustomerKey, WorkBand, WorkKey, WorkRequest};
pub use straggler::Straggler;
pub use worker::{CapacitySummary, WorkerKey, WorkerSpec, WorkerState};
