//! Rank of a VM as the owner of the cell, and the delay with which it takes the cell over.
//!
//! The rank only decides which process goes first. The claim in the store decides who owns the cell, so a wrong rank
//! costs performance and nothing else.

use std::time::Duration;

/// Processor that the owner of a small cell needs, in cores.
const MIN_CORES: f64 = 0.25;

/// Processor that the owner needs in addition for each worker, in cores. At 350 workers it needs half a core.
const CORES_PER_WORKER: f64 = 0.25 / 350.0;

/// Upper bound of the processor that the owner needs, in cores. No VM of the platform has more.
const MAX_CORES: f64 = 0.5;

/// Bandwidth that the owner of a small cell needs in Mbit/s, mostly for its transactions.
const MIN_LINK_MBPS: f64 = 25.0;

/// Bandwidth that the owner needs in addition for each worker in Mbit/s. An owner of 350 workers with 10 Mbit/s
/// committed 9 to 17 times a second, instead of 83 times.
const LINK_MBPS_PER_WORKER: f64 = 0.1;

/// Upper bound of the bandwidth that the owner needs in Mbit/s. Processes with less than this delayed takeovers in a
/// trial, after which the cell was served better.
const MAX_LINK_MBPS: f64 = 100.0;

/// Memory that the owner of a small cell needs in MB.
const MIN_MEMORY_MB: f64 = 61.0;

/// Memory that the owner needs in addition for each worker, with its runs, in MB. 171 MB were measured at 300 VMs and
/// 1,100 workers.
const MEMORY_MB_PER_WORKER: f64 = 0.1;

/// Descriptors that the owner of a small cell needs, for clients, other processes and the store.
const MIN_FDS: f64 = 1017.0;

/// Descriptors that the owner needs in addition for each worker. 4,317 were open at 300 VMs and 1,100 workers.
const FDS_PER_WORKER: f64 = 3.0;

/// Descriptors of the limit that the platform reserves for files.
const RESERVED_FDS: f64 = 200.0;

/// Time that a whole core takes for the work of a speed measurement.
const CORE_WORK_TIME: Duration = Duration::from_micros(50);

/// Factor by which a measured speed must be below the one in the settings before it counts. Builds and machines differ
/// by less, and a VM that is slowed down by more can't do the owner's work.
const SPEED_TOLERANCE: f64 = 4.0;

/// Delay of a VM without any processor or bandwidth, as long as it has not learnt the ranks of the others.
const MAX_UNINFORMED_DELAY: Duration = Duration::from_millis(700);

/// Delay of a VM that knows of one that is better, but not by a class. Followers learn of the end of an owner up to a
/// heartbeat interval apart.
const DELAY_IN_CLASS: Duration = Duration::from_millis(300);

/// Delay of a VM that knows of one that is better by a class. It covers the longest heartbeat interval of 400 ms and
/// the stagger of 175 ms, after which the better one has gone first.
const DELAY_BELOW_CLASS: Duration = Duration::from_millis(600);

/// Additional delay for each further class. The sum stays below a second, so that starts go on within two seconds if
/// the better VMs have all failed with the owner.
const DELAY_PER_CLASS: Duration = Duration::from_millis(150);

/// Resources of a VM by its settings; `None` where they do not say, which counts as ample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VmLimits {
    /// Processor in cores.
    pub cores: Option<f64>,
    /// Bandwidth of the link in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Memory in MB.
    pub memory_mb: Option<u64>,
    /// Maximum number of descriptors.
    pub max_fds: Option<usize>,
}

impl VmLimits {
    /// Returns whether the link is too slow even for the owner of a small cell.
    pub fn has_slow_link(&self) -> bool {
        self.link_mbps.is_some_and(|mbps| mbps < MIN_LINK_MBPS)
    }
}

/// What a process has measured of its VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VmMeasurements {
    /// Time for the work of a speed measurement.
    pub work_time: Option<Duration>,
    /// Bandwidth by the time of commits against their bytes in Mbit/s, while commits wait for the link.
    pub link_mbps: Option<f64>,
}

/// How much of a resource a VM has, against what the owner needs of it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Coverage {
    /// Less than a quarter, or too little of a resource without which the process ends.
    Minimal,
    /// Less than half.
    Scarce,
    /// Less than all.
    Short,
    /// All.
    Ample,
}

/// Rank of a VM as the owner. A greater one is better. VMs that differ a little have the same rank.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct VmRank {
    /// Coverage of the scarcest resource, which limits the owner.
    scarcest: Coverage,
    /// Sum of the coverages of all resources.
    total: u8,
}

/// Factor of [`VmRank::scarcest`] on the wire, above the greatest [`VmRank::total`].
const WIRE_CLASS: u32 = 16;

impl Coverage {
    /// Returns the coverage of a resource of which the process does the same work with less, slower.
    fn of_speed(available: Option<f64>, need: f64) -> Self {
        let ratio = available.map_or(1.0, |available| available / need);
        match ratio {
            ratio if ratio >= 1.0 => Self::Ample,
            ratio if ratio >= 0.5 => Self::Short,
            ratio if ratio >= 0.25 => Self::Scarce,
            _ => Self::Minimal,
        }
    }

    /// Returns the coverage of a resource without which the process ends or refuses connections.
    fn of_space(available: Option<f64>, need: f64) -> Self {
        match available.is_none_or(|available| available >= need) {
            true => Self::Ample,
            false => Self::Minimal,
        }
    }

    fn from_wire(number: u32) -> Option<Self> {
        let all = [Self::Minimal, Self::Scarce, Self::Short, Self::Ample];
        all.into_iter().find(|coverage| *coverage as u32 == number)
    }
}

impl VmRank {
    /// Returns the rank of a VM in a cell of so many workers, zero if their number is unknown.
    pub fn new(limits: &VmLimits, measured: VmMeasurements, workers: u32) -> Self {
        let workers = f64::from(workers);
        let link = match (limits.link_mbps, measured.link_mbps) {
            (Some(limit), Some(measured)) => Some(limit.min(measured)),
            (limit, measured) => limit.or(measured),
        };
        let fds = limits.max_fds.map(|fds| fds as f64 - RESERVED_FDS);
        let coverages = [
            Coverage::of_speed(
                cores(limits, measured),
                (MIN_CORES + CORES_PER_WORKER * workers).min(MAX_CORES),
            ),
            Coverage::of_speed(
                link,
                (MIN_LINK_MBPS + LINK_MBPS_PER_WORKER * workers).min(MAX_LINK_MBPS),
            ),
            Coverage::of_space(
                limits.memory_mb.map(|memory| memory as f64),
                MIN_MEMORY_MB + MEMORY_MB_PER_WORKER * workers,
            ),
            Coverage::of_space(fds, MIN_FDS + FDS_PER_WORKER * workers),
        ];
        Self {
            scarcest: coverages.into_iter().fold(Coverage::Ample, Ord::min),
            total: coverages.map(|coverage| coverage as u8).iter().sum(),
        }
    }

    /// Returns whether the VM has all that the owner's work needs.
    pub fn is_fit(self) -> bool {
        self.scarcest == Coverage::Ample
    }

    /// Returns the rank as a number that is not zero.
    pub fn to_wire(self) -> u32 {
        1 + self.scarcest as u32 * WIRE_CLASS + u32::from(self.total)
    }

    /// Decodes a rank. Returns `None` for zero, which stands for an unknown rank, and for invalid numbers.
    pub fn from_wire(number: u32) -> Option<Self> {
        let number = number.checked_sub(1)?;
        Some(Self {
            scarcest: Coverage::from_wire(number / WIRE_CLASS)?,
            total: u8::try_from(number % WIRE_CLASS).ok()?,
        })
    }

    /// Returns the delay of a takeover by a VM of this rank if the best VM that is up has rank `best`.
    pub fn takeover_delay(self, best: Self) -> Duration {
        if best <= self {
            return Duration::ZERO;
        }
        match best.scarcest as u32 - self.scarcest as u32 {
            0 => DELAY_IN_CLASS,
            classes => DELAY_BELOW_CLASS + DELAY_PER_CLASS * (classes - 1),
        }
    }
}

/// Returns the delay of a takeover by a VM that does not know the ranks of the others, as when all processes start.
/// It grows with what the VM lacks of the processor or bandwidth for a small cell.
pub fn uninformed_takeover_delay(limits: &VmLimits) -> Duration {
    let missing = |available: Option<f64>, need: f64| {
        let available = available.unwrap_or(need);
        (need - available).clamp(0.0, need) / need
    };
    let processor = missing(limits.cores, MIN_CORES);
    let link = missing(limits.link_mbps, MIN_LINK_MBPS);
    MAX_UNINFORMED_DELAY.mul_f64(processor.max(link))
}

/// Returns the processor of a VM in cores, if its settings say. A measurement counts if it is far below them.
fn cores(limits: &VmLimits, measured: VmMeasurements) -> Option<f64> {
    let limit = limits.cores?;
    let work_time = measured.work_time.filter(|time| !time.is_zero());
    let speed = work_time.map(|time| CORE_WORK_TIME.div_duration_f64(time));
    Some(speed.map_or(limit, |speed| limit.min(speed * SPEED_TOLERANCE)))
}
