//! The closed set of events.

use std::fmt;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// One kind of log line.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum EventCode { $($(#[$doc])* $name,)* }

        impl EventCode {
            /// Every event, in the order of the numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the log level at which the event is written.
            pub fn level(self) -> log::Level {
                match self { $(Self::$name => log::Level::$level,)* }
            }

            /// Returns what the event means, as it stands in the catalogue.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    /// The process serves.
    ProcessStarted = 1001, Info, "entry process started";
    /// The process ends.
    ProcessStopping = 1002, Info, "entry process shutting down";
    /// The process was paused.
    ProcessResumed = 1003, Warn, "process resumed after a pause";
    /// The process was told that its settings changed.
    SettingsReloaded = 1004, Info, "settings reloaded";
    /// Work was started on a worker of this process.
    WorkPlaced = 2001, Info, "work placed on a worker";
    /// Work waits in a queue.
    WorkQueued = 2002, Info, "work queued";
    /// Work was sent to a peer.
    WorkForwarded = 2003, Info, "work forwarded to a peer";
    /// Work was refused and did not run.
    WorkRefused = 2004, Info, "work refused, not run";
    /// Work ended.
    WorkEnded = 2005, Info, "work ended";
    /// An answer came after its caller had gone.
    AnswerDropped = 2006, Info, "answer dropped, caller gone";
    /// A worker refused a start.
    StartRefused = 2007, Info, "worker refused a start";
    /// A start had no answer.
    StartUnknown = 2008, Warn, "start with unknown outcome";
    /// Work was cancelled.
    WorkCancelled = 2009, Info, "work cancelled";
    /// A task runs far longer than its workload usually does.
    TaskStraggling = 2010, Warn, "task runs far longer than usual";
    /// A worker's lease was taken.
    LeaseTaken = 3001, Info, "worker lease taken";
    /// A worker's lease was lost.
    LeaseLost = 3002, Warn, "worker lease lost";
    /// A worker stopped taking new work.
    WorkerDraining = 3003, Info, "worker draining";
    /// A worker was ejected.
    WorkerEjected = 3004, Warn, "worker ejected after failures";
    /// A worker was readmitted.
    WorkerReadmitted = 3005, Info, "worker readmitted after a probe";
    /// A peer became live.
    PeerJoined = 4001, Info, "peer live";
    /// A peer stopped sending heartbeats.
    PeerLost = 4002, Warn, "peer dead";
    /// A peer ended as planned.
    PeerLeft = 4003, Info, "peer left";
    /// A manifest came into force.
    ManifestApplied = 5001, Info, "manifest in force";
    /// A manifest was not applied.
    ManifestRejected = 5002, Warn, "manifest not applied";
    /// A ledger partition was taken over.
    PartitionTaken = 6001, Info, "ledger partition taken over";
    /// A ledger partition was lost to another owner.
    PartitionLost = 6002, Warn, "ledger partition lost to another owner";
    /// The store does not answer.
    StoreDown = 6003, Warn, "store unavailable";
    /// The store answers again.
    StoreUp = 6004, Info, "store available";
    /// A store write had no reply and was read back.
    WriteReadBack = 6005, Warn, "store write without reply, read back";
    /// A ledger partition was given up.
    PartitionReleased = 6006, Info, "ledger partition given up";
    /// A replica of a service was started.
    ReplicaStarted = 7001, Info, "service replica started";
    /// A replica of a service was stopped, since it is not wanted.
    ReplicaStopped = 7002, Info, "service replica stopped";
    /// A replica of a service could not be started, or ended by itself.
    ReplicaMissing = 7003, Warn, "service replica missing";
    /// This process owns the cell.
    CellTaken = 8001, Info, "cell taken over";
    /// This process gave the cell up as planned.
    CellReleased = 8002, Info, "cell given up";
    /// Another process owns the cell.
    CellLost = 8003, Warn, "cell lost to another owner";
    /// The state could not be read from the store.
    CellUnreadable = 8004, Warn, "cell state not readable";
    /// The process enters or leaves the rotation.
    ReadinessChanged = 8005, Info, "readiness changed";
    /// The owner lags behind its timer.
    OwnerTooSlow = 8006, Warn, "cell given up by a slow process";
    /// The owner begins to renew the lease of a worker.
    WorkerLinked = 8011, Info, "worker linked";
    /// The registry no longer lists a worker.
    WorkerUnlisted = 8012, Info, "worker left the registry";
    /// A renewal had no answer.
    WorkerUnresponsive = 8013, Info, "worker does not answer";
    /// The owner has heard of a job.
    JobQueued = 8021, Info, "job queued";
    /// The end of a job is in the store.
    JobEnded = 8022, Info, "job ended";
    /// A job was not stored.
    JobRefused = 8023, Info, "job refused, not run";
    /// A job may have been stored.
    JobInDoubt = 8024, Info, "job in doubt";
    /// A cancellation is in effect.
    JobCancelled = 8025, Info, "job cancelled";
    /// A process sends beats to the owner.
    MemberJoined = 8031, Info, "member joined";
    /// This process has found the owner.
    OwnerFound = 8032, Info, "owner followed";
    /// A beat to the owner failed.
    OwnerUnreachable = 8033, Info, "owner not reached";
    /// The claim could not be written.
    ClaimWriteFailed = 8034, Info, "claim not taken";
    /// A run was placed and recorded, and its start is sent.
    StartSent = 8041, Info, "start sent";
    /// A worker did not start a run.
    RunRefused = 8042, Info, "start refused by the worker";
    /// A start stays without an answer and is stopped.
    StartUnanswered = 8043, Warn, "start unanswered";
    /// A run is stopped.
    StopSent = 8044, Info, "stop sent";
    /// A worker lists the end of a run.
    RunEnded = 8045, Info, "run ended";
    /// The advice service has answered, or a call failed.
    AdviceEnded = 8051, Info, "advice answered";
    /// A step needs tickets.
    AdviceRequested = 8052, Info, "advice wanted";
    /// A row of a worker's list has an unreadable name.
    ForeignRun = 8101, Warn, "worker runs something unknown";
    /// A worker lists an end of an unknown kind.
    UnknownEnd = 8102, Warn, "unknown kind of end";
    /// An item of the store can not be read.
    RecordUnreadable = 8103, Warn, "record unreadable";
    /// A record can not be serialised.
    RecordUnwritable = 8104, Error, "record not written";
    /// The listener for other processes has ended.
    PeerListenerEnded = 8105, Error, "peer listener ended";
}

impl EventCode {
    /// Writes one line: the number, the text and the fields as `name=value`.
    pub fn log(self, fields: fmt::Arguments<'_>) {
        let level = self.level();
        log::log!(target: "hornbeamshunt", level, "E{} {} {fields}", self.number(), self.text());
    }
}
