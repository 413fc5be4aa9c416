//! Tests of the reservations on the workers of one process.

use std::sync::Arc;

use hs_config::parse_manifest;
use hs_core::TaskEnd;
use hs_node::SystemClock;
use hs_node::manifest::ManifestView;
use hs_node::placer::{
    PlaceMode, PlaceRefusal, PlaceRequest, PlacerHandle, PlacerMessage, PlacerTask, TaskGrant,
    WorkerReport,
};
use hs_wire::{LeaseGrant, NotRunReason, Resources, TaskPhase, TaskView, WorkId, WorkerUsage};

use crate::harness::MANIFEST;

/// Number of slots of each worker.
const SLOTS: u32 = 4;

fn view(id: &str) -> TaskView {
    TaskView {
        id: WorkId(id.to_owned()),
        phase: TaskPhase::Running,
        resources: slots(1),
        customer: "acme".to_owned(),
        workload: "order".to_owned(),
        result: String::new(),
        ran_ms: 0,
    }
}

fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::ZERO
    }
}

fn add_worker(placer: &PlacerHandle, name: &str, tasks: Vec<TaskView>) {
    let report = WorkerReport {
        name: name.to_owned(),
        rack: String::new(),
        address: format!("{name}:1"),
        draining: false,
        grant: LeaseGrant {
            fence: 1,
            incarnation: 1,
            ttl_ms: 1500,
            capacity: slots(SLOTS),
            draining: false,
            tasks,
            unreadable: Vec::new(),
            usage: WorkerUsage::default(),
        },
    };
    placer.send(PlacerMessage::WorkerAdded { report });
}

fn start() -> PlacerHandle {
    let (placer, messages) = PlacerHandle::channel();
    let messages = Arc::new(tokio::sync::Mutex::new(messages));
    let inbox = messages.try_lock_owned().expect("only one task");
    tokio::spawn(PlacerTask::new(SystemClock, inbox).run());
    let manifest = parse_manifest(MANIFEST).expect("manifest");
    let view = Arc::new(ManifestView::new(manifest, MANIFEST.to_owned()));
    placer.send(PlacerMessage::Manifest { view, members: 1 });
    placer
}

async fn place(
    placer: &PlacerHandle,
    mode: PlaceMode,
    tasks: &[&str],
) -> Result<Vec<TaskGrant>, PlaceRefusal> {
    let request = PlaceRequest {
        customer: "acme".to_owned(),
        workload: "order".to_owned(),
        tasks: tasks
            .iter()
            .map(|task| WorkId((*task).to_owned()))
            .collect(),
        deadline: None,
        mode,
    };
    placer.place(request).await
}

async fn free_slots(placer: &PlacerHandle) -> u32 {
    placer.status().await.summary.free.slots
}

/// Guards against capacity that stays reserved for good after the reply to a reservation was lost:
/// the holder asks again for the same task, and later releases it once.
#[tokio::test]
async fn a_repeated_reservation_holds_capacity_once() {
    for mode in [PlaceMode::Immediate, PlaceMode::Partial] {
        let placer = start();
        add_worker(&placer, "w0", Vec::new());
        add_worker(&placer, "w1", Vec::new());
        let first = place(&placer, mode, &["t"]).await.expect("a grant");
        // A full worker makes the second reservation choose the other one.
        let fillers = ["a", "b", "c", "d", "e", "f", "g"];
        for filler in &fillers[..3] {
            place(&placer, PlaceMode::Immediate, &[filler])
                .await
                .expect("a grant");
        }
        let second = place(&placer, mode, &["t"]).await.expect("a grant");
        assert_eq!(first, second, "{mode:?}");
        assert_eq!(free_slots(&placer).await, 2 * SLOTS - 4, "{mode:?}");
        placer.release(WorkId("t".to_owned()), TaskEnd::Done);
        assert_eq!(free_slots(&placer).await, 2 * SLOTS - 3, "{mode:?}");
    }
}

/// Guards against malformed reservations of a peer that take capacity which nothing releases.
#[tokio::test]
async fn malformed_reservations_hold_no_capacity() {
    let too_many: Vec<String> = (0..70_000).map(|number| format!("t{number}")).collect();
    let too_many: Vec<&str> = too_many.iter().map(String::as_str).collect();
    let cases: [(&str, &[&str]); 3] = [
        ("no task", &[]),
        ("the same task twice", &["t", "t"]),
        ("more tasks than an index can count", &too_many),
    ];
    for (name, tasks) in cases {
        for mode in [PlaceMode::Immediate, PlaceMode::Partial, PlaceMode::Queued] {
            let placer = start();
            add_worker(&placer, "w0", Vec::new());
            let result = place(&placer, mode, tasks).await;
            let malformed = Err(PlaceRefusal::Refused(NotRunReason::Malformed));
            assert_eq!(result, malformed, "{name} {mode:?}");
            assert_eq!(free_slots(&placer).await, SLOTS, "{name} {mode:?}");
        }
    }
}

/// Guards against a running task whose capacity is released because another worker does not know
/// it: a process whose reservation was never used takes over the worker that runs the task.
#[tokio::test]
async fn an_answer_about_one_worker_keeps_the_reservation_on_another() {
    let placer = start();
    add_worker(&placer, "w0", Vec::new());
    place(&placer, PlaceMode::Immediate, &["t"])
        .await
        .expect("a grant");
    add_worker(&placer, "w1", vec![view("t")]);
    assert_eq!(free_slots(&placer).await, 2 * SLOTS - 2);
    placer.send(PlacerMessage::QueryAnswered {
        name: "w0".to_owned(),
        queried: vec![WorkId("t".to_owned())],
        fence_raised: true,
        known: Vec::new(),
    });
    let status = placer.status().await;
    let reserved: Vec<u32> = status.workers.iter().map(|it| it.reserved.slots).collect();
    assert_eq!(reserved, [0, 1], "slots reserved on w0 and w1");
}

/// Guards against capacity that nothing releases because a worker listed a running task twice.
#[tokio::test]
async fn a_task_listed_twice_holds_capacity_once() {
    let placer = start();
    add_worker(&placer, "w0", vec![view("t"), view("t")]);
    assert_eq!(free_slots(&placer).await, SLOTS - 1);
    placer.release(WorkId("t".to_owned()), TaskEnd::Done);
    assert_eq!(free_slots(&placer).await, SLOTS);
}
