//! Decides who may hold how many bytes of what has arrived and is not handled yet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Size up to which a body may use the reserved part of the budget. Most submissions have one to four kilobytes.
pub const SMALL_BODY_BYTES: usize = 16 << 10;

/// The reserve of small bodies is this fraction of the budget.
const RESERVE_DIVISOR: usize = 8;

/// Key of a holder. Later holders have higher ones.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(u64);

/// Whose bytes a holder has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderKind {
    /// The body of a request, which may be refused.
    Request,
    /// The reply to a call of this process, which can only wait.
    Reply,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HolderState {
    Arriving,
    Complete,
    /// The holder was told to release its bytes.
    Closing,
}

#[derive(Debug)]
struct Holder {
    kind: HolderKind,
    state: HolderState,
    bytes: usize,
    since: Instant,
}

impl Holder {
    /// Returns bytes times milliseconds, which is high for what is large and slow.
    fn cost(&self, now: Instant) -> u128 {
        let age = now.saturating_duration_since(self.since) + Duration::from_millis(1);
        self.bytes as u128 * age.as_millis()
    }
}

/// Reply to a holder that asks for bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The holder has the bytes.
    Granted,
    /// The holder may ask again after bytes have been released. These holders must be told to release theirs.
    Wait(Vec<HolderId>),
    /// The holder must release its own bytes.
    Refused,
}

/// A number of bytes that bodies, replies and connections share.
///
/// If it is short, requests whose bytes times age are highest are closed. Replies are not closed, and the oldest one
/// never waits, so that replies that wait for each other make progress.
#[derive(Debug)]
pub struct ByteBudget {
    capacity: usize,
    used: usize,
    /// Bytes of holders that were told to release theirs.
    releasing: usize,
    next: u64,
    holders: BTreeMap<HolderId, Holder>,
}

impl ByteBudget {
    /// Creates a budget of this number of bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: 0,
            releasing: 0,
            next: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a holder without bytes.
    pub fn add(&mut self, kind: HolderKind, now: Instant) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            kind,
            state: HolderState::Arriving,
            bytes: 0,
            since: now,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Asks for further bytes.
    pub fn take(&mut self, id: HolderId, bytes: usize, now: Instant) -> Grant {
        let Some(holder) = self.holders.get(&id) else {
            return Grant::Refused;
        };
        if holder.state == HolderState::Closing {
            return Grant::Refused;
        }
        let (kind, total) = (holder.kind, holder.bytes + bytes);
        let uses_reserve = kind == HolderKind::Reply || total <= SMALL_BODY_BYTES;
        let limit = match uses_reserve {
            true => self.capacity,
            false => self.capacity - self.capacity / RESERVE_DIVISOR,
        };
        let shortfall = (self.used + bytes).saturating_sub(limit);
        if shortfall == 0 || self.is_oldest_reply(id) {
            self.grant(id, bytes);
            return Grant::Granted;
        }
        let missing = shortfall.saturating_sub(self.releasing);
        let min_cost = match kind {
            HolderKind::Request => holder.cost(now),
            HolderKind::Reply => 0,
        };
        let victims = self.costliest(missing, min_cost, Some(id), now);
        let covers = victims.iter().map(|victim| self.holders[victim].bytes);
        let is_covered = covers.sum::<usize>() >= missing;
        if !is_covered && kind == HolderKind::Request {
            return Grant::Refused;
        }
        self.close(&victims);
        Grant::Wait(victims)
    }

    /// Marks the bytes of a holder as complete. They are released soon, so the holder is not closed any more.
    /// Returns false if it already was.
    pub fn complete(&mut self, id: HolderId) -> bool {
        match self.holders.get_mut(&id) {
            Some(holder) if holder.state == HolderState::Arriving => {
                holder.state = HolderState::Complete;
                true
            }
            _ => false,
        }
    }

    /// Removes a holder and releases its bytes.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
            if holder.state == HolderState::Closing {
                self.releasing -= holder.bytes;
            }
        }
    }

    /// Adds the bytes of an open connection, whose number is limited elsewhere. Returns the holders that must be told to
    /// release theirs.
    pub fn add_connection(&mut self, bytes: usize, now: Instant) -> Vec<HolderId> {
        self.used += bytes;
        let free_soon = self.capacity + self.releasing;
        let missing = self.used.saturating_sub(free_soon);
        let victims = self.costliest(missing, 0, None, now);
        self.close(&victims);
        victims
    }

    /// Releases the bytes of a connection.
    pub fn remove_connection(&mut self, bytes: usize) {
        self.used -= bytes;
    }

    fn grant(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            self.used += bytes;
        }
    }

    fn is_oldest_reply(&self, id: HolderId) -> bool {
        let is_reply = |holder: &Holder| holder.kind == HolderKind::Reply;
        let is_arriving = |holder: &Holder| holder.state == HolderState::Arriving;
        let mut holders = self.holders.iter();
        let oldest = holders.find(|(_, holder)| is_reply(holder) && is_arriving(holder));
        oldest.is_some_and(|(oldest, _)| *oldest == id)
    }

    /// Returns the arriving requests of the highest cost above `min_cost` that have `missing` bytes together, or all of
    /// them if they have less.
    fn costliest(
        &self,
        missing: usize,
        min_cost: u128,
        except: Option<HolderId>,
        now: Instant,
    ) -> Vec<HolderId> {
        if missing == 0 {
            return Vec::new();
        }
        let holders = self.holders.iter().filter(|(id, holder)| {
            holder.kind == HolderKind::Request
                && holder.state == HolderState::Arriving
                && holder.bytes > 0
                && Some(**id) != except
        });
        let costs = holders.map(|(id, holder)| (holder.cost(now), *id, holder.bytes));
        let mut costs: Vec<_> = costs.filter(|(cost, ..)| *cost > min_cost).collect();
        costs.sort_unstable_by(|left, right| right.cmp(left));
        let mut found = 0;
        let needed = costs.into_iter().take_while(|(_, _, bytes)| {
            let is_needed = found < missing;
            found += bytes;
            is_needed
        });
        needed.map(|(_, id, _)| id).collect()
    }

    fn close(&mut self, victims: &[HolderId]) {
        for id in victims {
            if let Some(holder) = self.holders.get_mut(id) {
                holder.state = HolderState::Closing;
                self.releasing += holder.bytes;
            }
        }
    }
}
