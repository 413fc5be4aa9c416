//! Random inputs to the placer.

use hs_core::WorkerState;
use quickcheck::{Arbitrary, Gen};

/// One input to the placer. A `u8` selects one of the existing workers or work items, or a task
/// end; the bytes of a `u64` encode a work request.
#[derive(Clone, Debug)]
pub enum Command {
    AddWorker(u8),
    RemoveWorker(u8),
    SetState(u8, WorkerState),
    Submit(u64),
    PlaceNow(u64),
    Adopt(u8, u64),
    Finish(u8, u8),
    Cancel(u8),
    Advance(u16),
}

impl Arbitrary for Command {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..=2 => Self::AddWorker(pick),
            3 => Self::RemoveWorker(pick),
            4 if pick < 128 => Self::SetState(pick, WorkerState::Draining),
            4 => Self::SetState(pick, WorkerState::Active),
            5..=14 => Self::Submit(u64::arbitrary(g)),
            15..=17 => Self::PlaceNow(u64::arbitrary(g)),
            18 => Self::Adopt(pick, u64::arbitrary(g)),
            19..=26 => Self::Finish(pick, u8::arbitrary(g)),
            27..=28 => Self::Cancel(pick),
            _ => Self::Advance(u16::arbitrary(g) % 4000),
        }
    }
}
