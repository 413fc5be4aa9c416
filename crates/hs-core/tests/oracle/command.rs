//! Inputs to the placer in random order.

use quickcheck::{Arbitrary, Gen};

/// One input to the placer. Small numbers select among what exists.
#[derive(Clone, Debug)]
pub enum Command {
    AddWorker(u8),
    RemoveWorker(u8),
    SetDraining(u8, bool),
    Submit(WorkSketch),
    PlaceNow(WorkSketch),
    Adopt(u8, WorkSketch),
    Finish(u8, u8),
    Cancel(u8),
    Advance(u16),
}

/// Work before its numbers are mapped to customers, bands and amounts.
#[derive(Clone, Copy, Debug)]
pub struct WorkSketch {
    pub customer: u8,
    pub band: u8,
    pub need: u8,
    pub tasks: u8,
    pub estimate: u8,
    pub deadline: u8,
}

impl Arbitrary for WorkSketch {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            customer: u8::arbitrary(g),
            band: u8::arbitrary(g),
            need: u8::arbitrary(g),
            tasks: u8::arbitrary(g),
            estimate: u8::arbitrary(g),
            deadline: u8::arbitrary(g),
        }
    }
}

impl Arbitrary for Command {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..=2 => Self::AddWorker(pick),
            3 => Self::RemoveWorker(pick),
            4 => Self::SetDraining(pick, bool::arbitrary(g)),
            5..=14 => Self::Submit(WorkSketch::arbitrary(g)),
            15..=17 => Self::PlaceNow(WorkSketch::arbitrary(g)),
            18 => Self::Adopt(pick, WorkSketch::arbitrary(g)),
            19..=26 => Self::Finish(pick, u8::arbitrary(g)),
            27..=28 => Self::Cancel(pick),
            _ => Self::Advance(u16::arbitrary(g) % 4000),
        }
    }
}
