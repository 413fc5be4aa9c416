//! Conversions between peer message types and `hs-wire` types.

use crate::message;

impl From<hs_wire::Resources> for message::Resources {
    fn from(resources: hs_wire::Resources) -> Self {
        Self {
            cpu_milli: resources.cpu_milli,
            memory_mib: resources.memory_mib,
            accelerators: resources.accelerators,
            slots: resources.slots,
            connections: resources.connections,
        }
    }
}

impl From<message::Resources> for hs_wire::Resources {
    fn from(resources: message::Resources) -> Self {
        Self {
            cpu_milli: resources.cpu_milli,
            memory_mib: resources.memory_mib,
            accelerators: resources.accelerators,
            slots: resources.slots,
            connections: resources.connections,
        }
    }
}
