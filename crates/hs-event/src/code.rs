//! The catalogue of log events.

use std::fmt;

use crate::escape::EscapedFields;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// Kind of a log event.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum EventCode { $($(#[$doc])* $name,)* }

        impl EventCode {
            /// All events, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number that the log line starts with, after an `E`.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the log level at which the event is written.
            pub fn level(self) -> log::Level {
                match self { $(Self::$name => log::Level::$level,)* }
            }

            /// Returns the fixed description of the event, as `docs/events.md` lists it.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    /// The process started and serves requests.
    ProcessStarted = 1001, Info, "entry process started";
    /// The process is shutting down.
    ProcessStopping = 1002, Info, "entry process shutting down";
    /// The process resumed after a pause in which it did not run.
    ProcessResumed = 1003, Warn, "process resumed after a pause";
    /// The process received a notification that its settings changed.
    SettingsReloaded = 1004, Info, "settings reloaded";
    /// The number of files that the process may open is known.
    DescriptorLimit = 1005, Info, "limit of open files";
    /// Work was started on a worker of this process.
    WorkPlaced = 2001, Info, "work placed on a worker";
    /// Work was put into a queue.
    WorkQueued = 2002, Info, "work queued";
    /// Work was forwarded to a peer.
    WorkForwarded = 2003, Info, "work forwarded to a peer";
    /// Work was refused and did not run.
    WorkRefused = 2004, Info, "work refused, not run";
    /// Work ended.
    WorkEnded = 2005, Info, "work ended";
    /// A reply was dropped because its caller had disconnected.
    AnswerDropped = 2006, Info, "answer dropped, caller gone";
    /// A worker refused a start.
    StartRefused = 2007, Info, "worker refused a start";
    /// A start request got no reply, so the task may run.
    StartUnknown = 2008, Warn, "start with unknown outcome";
    /// Work was cancelled.
    WorkCancelled = 2009, Info, "work cancelled";
    /// A task runs far longer than its workload usually does.
    TaskStraggling = 2010, Warn, "task runs far longer than usual";
    /// A worker's lease was acquired.
    LeaseTaken = 3001, Info, "worker lease taken";
    /// A worker's lease expired or went to another owner.
    LeaseLost = 3002, Warn, "worker lease lost";
    /// A worker stopped taking new work.
    WorkerDraining = 3003, Info, "worker draining";
    /// A worker was ejected from placement after failures.
    WorkerEjected = 3004, Warn, "worker ejected after failures";
    /// An ejected worker was readmitted after a successful probe.
    WorkerReadmitted = 3005, Info, "worker readmitted after a probe";
    /// An entry of the VM list can't be used.
    VmUnusable = 3006, Warn, "VM list entry not usable";
    /// A reply of a worker, or a task in it, can't be decoded.
    WorkerUnreadable = 3007, Warn, "worker reply not readable";
    /// A VM list can't be decoded.
    VmListUnreadable = 3008, Warn, "VM list not readable";
    /// A peer became live.
    PeerJoined = 4001, Info, "peer live";
    /// A peer stopped sending heartbeats.
    PeerLost = 4002, Warn, "peer dead";
    /// A peer left as planned.
    PeerLeft = 4003, Info, "peer left";
    /// A manifest took effect.
    ManifestApplied = 5001, Info, "manifest in force";
    /// A manifest was not applied.
    ManifestRejected = 5002, Warn, "manifest not applied";
    /// A team of the configuration cannot be used as it is written.
    TeamUnusable = 5003, Warn, "team not usable as written";
    /// The configuration was read too long ago for calls that need a key.
    ConfigUnconfirmed = 5004, Warn, "configuration unconfirmed";
    /// The configuration was read again.
    ConfigConfirmed = 5005, Info, "configuration confirmed";
    /// A call for the configuration got no usable reply.
    ConfigCallFailed = 5006, Info, "configuration not read";
    /// A request was refused because of what the configuration says.
    RefusedByConfig = 5007, Info, "request refused by the configuration";
    /// A ledger partition was taken over.
    PartitionTaken = 6001, Info, "ledger partition taken over";
    /// A ledger partition was lost to another owner.
    PartitionLost = 6002, Warn, "ledger partition lost to another owner";
    /// The store does not reply.
    StoreDown = 6003, Warn, "store unavailable";
    /// The store replies again.
    StoreUp = 6004, Info, "store available";
    /// A store write got no reply; its result was read back.
    WriteReadBack = 6005, Warn, "store write without reply, read back";
    /// The ownership of a ledger partition was released.
    PartitionReleased = 6006, Info, "ledger partition given up";
    /// The store value of a ledger partition can't be decoded.
    PartitionUnreadable = 6007, Error, "ledger partition not readable";
    /// A record of a ledger partition can't be used.
    RecordDamaged = 6008, Error, "ledger record not usable";
    /// A replica of a service was started.
    ReplicaStarted = 7001, Info, "service replica started";
    /// A replica of a service was stopped because it is no longer required.
    ReplicaStopped = 7002, Info, "service replica stopped";
    /// A replica of a service could not be started, or ended on its own.
    ReplicaMissing = 7003, Warn, "service replica missing";
    /// This process became the owner of the cell.
    CellTaken = 8001, Info, "cell taken over";
    /// This process released the ownership of the cell as planned.
    CellReleased = 8002, Info, "cell given up";
    /// Another process owns the cell.
    CellLost = 8003, Warn, "cell lost to another owner";
    /// The state could not be read from the store.
    CellUnreadable = 8004, Warn, "cell state not readable";
    /// The readiness of the process changed, which adds it to or removes it from load balancing.
    ReadinessChanged = 8005, Info, "readiness changed";
    /// The owner released the cell because its timer fired too late.
    OwnerTooSlow = 8006, Warn, "cell given up by a slow process";
    /// The owner starts to renew the lease of a worker.
    WorkerLinked = 8011, Info, "worker linked";
    /// The registry no longer lists a worker.
    WorkerUnlisted = 8012, Info, "worker left the registry";
    /// A lease renewal got no reply.
    WorkerUnresponsive = 8013, Info, "worker does not answer";
    /// A registry entry does not describe a worker that can be used.
    EntryUnusable = 8014, Warn, "registry entry names no worker";
    /// Another incarnation of a worker has answered a renewal, before the registry lists it.
    WorkerReplaced = 8015, Info, "another incarnation answers";
    /// The first end that a new incarnation lists is not its first. Nobody has read those before.
    EndsForgotten = 8016, Warn, "ends were forgotten unread";
    /// A run is released because the lease of its worker has ended, as the owner counts it.
    RunReleased = 8017, Info, "run released after its lease";
    /// The owner added a job to its queue.
    JobQueued = 8021, Info, "job queued";
    /// The end of a job was written to the store.
    JobEnded = 8022, Info, "job ended";
    /// A job was refused and not stored.
    JobRefused = 8023, Info, "job refused, not run";
    /// A job may or may not have been stored.
    JobInDoubt = 8024, Info, "job in doubt";
    /// A cancellation of a job took effect.
    JobCancelled = 8025, Info, "job cancelled";
    /// The owner does not know the job of a cancellation, which it keeps until the job comes.
    CancellationKept = 8026, Info, "cancellation of an unknown job kept";
    /// Requests or connections were turned away in the last second.
    ClientsTurnedAway = 8027, Warn, "clients turned away";
    /// A process started to send heartbeats to the owner.
    MemberJoined = 8031, Info, "member joined";
    /// This process found the owner and sends heartbeats to it.
    OwnerFound = 8032, Info, "owner followed";
    /// A heartbeat to the owner failed.
    OwnerUnreachable = 8033, Info, "owner not reached";
    /// The ownership claim could not be written to the store.
    ClaimWriteFailed = 8034, Info, "claim not taken";
    /// The start request of a placed and recorded run is sent.
    StartSent = 8041, Info, "start sent";
    /// A worker refused to start a run.
    RunRefused = 8042, Info, "start refused by the worker";
    /// A start request got no reply in time, and the run is stopped.
    StartUnanswered = 8043, Warn, "start unanswered";
    /// A stop request for a run is sent.
    StopSent = 8044, Info, "stop sent";
    /// A worker reported the end of a run.
    RunEnded = 8045, Info, "run ended";
    /// A run is to be stopped on a worker to which the owner has no link. The stop is sent after its next report.
    StopDeferred = 8046, Info, "stop waits for its worker";
    /// An attempt to send a start failed, was repeated, or was answered by another clock than that of the last report.
    StartAttempted = 8047, Info, "start attempted";
    /// This process lacks the descriptors, ports or memory for an order to a worker.
    OrderNotSent = 8048, Warn, "order not sent for want of resources";
    /// An advice request was answered or failed.
    AdviceEnded = 8051, Info, "advice answered";
    /// A step needs tickets, and an advice request for it is queued.
    AdviceRequested = 8052, Info, "advice wanted";
    /// A step that is no longer on time waits.
    StepWaiting = 8053, Info, "step waits";
    /// Work of the owner task since the last such line.
    OwnerLoad = 8061, Info, "owner load";
    /// Numbers of workers by whether they accept runs.
    WorkerCensus = 8062, Info, "workers by state";
    /// A gang holds a reservation of workers.
    WorkersReserved = 8063, Info, "workers reserved";
    /// A worker crashed while it had a run.
    WorkerCrashed = 8071, Warn, "worker crashed under a run";
    /// Several workers crashed under a task, which runs alone from now on.
    TaskSuspected = 8072, Warn, "task suspected of crashing workers";
    /// A suspected task ran for long enough without a crash.
    TaskCleared = 8073, Info, "suspected task cleared";
    /// Workers crashed again while they ran only this task, and its job failed.
    TaskGivenUp = 8074, Warn, "task given up after crashes of workers";
    /// Tasks of a kind are known to run slower beside tasks of another kind.
    InterferenceFound = 8081, Info, "kinds interfere";
    /// Evidence of an interference has faded or was refuted.
    InterferenceEnded = 8082, Info, "kinds no longer known to interfere";
    /// Numbers of workers by speed and of interfering pairs.
    EvidenceCensus = 8083, Info, "workers by speed";
    /// A worker lists a run whose name cannot be parsed.
    ForeignRun = 8101, Warn, "worker runs something unknown";
    /// A worker reports an end of an unknown kind.
    UnknownEnd = 8102, Warn, "unknown kind of end";
    /// An item of the store cannot be parsed.
    RecordUnreadable = 8103, Warn, "record unreadable";
    /// A record cannot be serialised.
    RecordUnwritable = 8104, Error, "record not written";
    /// The listener for other processes stopped with an error.
    PeerListenerEnded = 8105, Error, "peer listener ended";
    /// A task of the process panicked. It is started again.
    TaskPanicked = 8106, Error, "task panicked";
    /// An item in a reply of the store cannot be decoded, and the others are used.
    ItemUnreadable = 8107, Warn, "store item unreadable";
    /// A row in a reply of a worker or of the advice service cannot be decoded, and the others are used.
    RowUnreadable = 8108, Warn, "row of a reply unreadable";
    /// The listener for other processes could not accept a connection. It goes on after a pause.
    PeerAcceptFailed = 8109, Warn, "peer connection not accepted";
    /// The store refuses a record for good, or cannot hold it. Its job fails.
    RecordRefused = 8110, Error, "record refused by the store";
}

impl EventCode {
    /// Writes one log line with the number, the text and `fields`, which are written as
    /// `name=value`. Control characters in them are escaped.
    pub fn log(self, fields: fmt::Arguments<'_>) {
        let level = self.level();
        let fields = EscapedFields(fields);
        log::log!(target: "hornbeamshunt", level, "E{} {} {fields}", self.number(), self.text());
    }
}
