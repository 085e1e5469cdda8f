//! What goes back with an answer.

/// What goes back to the entry node with an answer or a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Retry credit left.
    pub credit: u8,
    /// Executions in the call tree; `None` when a part is unknown.
    pub executions: Option<u32>,
    /// Lowest priority rank that is admitted at present.
    pub overload: u8,
    /// Present admission limit.
    pub limit: u32,
    /// Requests in flight.
    pub in_flight: u32,
}
