//! Silent cuts of a control process.

use crate::proxy::{self, fault};

/// What a cut holds back. No connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Everything.
    Both,
    /// What is sent to the process.
    Inbound,
    /// What the process sends.
    Outbound,
}

impl Partition {
    /// The fault on connections that are opened to the process.
    #[must_use]
    pub fn towards(self) -> proxy::Fault {
        self.fault(fault::Direction::Forward, fault::Direction::Backward)
    }

    /// The fault on connections that the process opens.
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
