//! Messages to the claims service.

use std::time::Instant;

use masticarch_kernel::reply;
use masticarch_model::{attempt, claim, settlement};

use super::reservation;
use crate::leader;

/// Outcome of a claim.
#[derive(Debug)]
pub enum Outcome {
    /// This attempt holds the claim and may run the request.
    Claimed(reservation::Reservation),
    /// Another attempt holds or held the claim.
    Held(claim::Claim),
    /// The claim was not committed in time, as far as is known; the request must not
    /// run. The service settles the claim as not run in the background.
    Unavailable,
}

/// Messages to the claims service.
#[derive(Debug)]
pub enum Message {
    /// Claims a request with its digest; gives up at the deadline.
    Claim(claim::Subject, [u8; 32], Instant, reply::Reply<Outcome>),
    /// Settles a claim; retried in the background until it is committed.
    Settle(claim::Subject, attempt::Attempt, settlement::Settlement),
    /// A connection to the control leader is free again.
    Idle(Box<leader::Leader>),
}
