//! Repairs of injected faults.

/// What ends a fault; the number is that of the node or of the control process.
#[derive(Clone, Copy, Debug)]
pub enum Repair {
    RestartNode(usize),
    AwaitStop(usize),
    ThawNode(usize),
    RestartControl(usize),
    ThawControl(usize),
    NextRun(usize),
}
