//! Network partitions that isolate a control process.

use crate::proxy::{self, fault};

/// Traffic that is held back; no connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Traffic in both directions.
    Both,
    /// Traffic to the process.
    Inbound,
    /// Traffic from the process.
    Outbound,
}

impl Partition {
    /// Fault of connections that others open to the process.
    #[must_use]
    pub fn towards(self) -> proxy::Fault {
        self.fault(fault::Direction::Forward, fault::Direction::Backward)
    }

    /// Fault of connections that the process opens.
    #[must_use]
    pub fn from(self) -> proxy::Fault {
        self.fault(fault::Direction::Backward, fault::Direction::Forward)
    }

    fn fault(self, inbound: fault::Direction, outbound: fault::Direction) -> proxy::Fault {
        proxy::Fault {
            stall: self == Self::Both,
            silent: match self {
                Self::Both => None,
                Self::Inbound => Some(inbound),
                Self::Outbound => Some(outbound),
            },
            ..proxy::Fault::default()
        }
    }
}
