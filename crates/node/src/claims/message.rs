//! Messages to the claims service.

use std::time::Instant;

use masticarch_kernel::reply;
use masticarch_model::{attempt, claim, settlement};

use super::reservation;
use crate::leader;

/// What became of a claim.
#[derive(Debug)]
pub enum Outcome {
    /// This attempt holds the claim and may run the request.
    Claimed(reservation::Reservation),
    /// Another attempt holds or held the claim.
    Held(claim::Claim),
    /// The claim could not be committed in time; the request must not run. The
    /// service settles the claim as not run in the background.
    Unavailable,
}

/// Messages to the claims service.
#[derive(Debug)]
pub enum Message {
    /// Claims a request, with its digest, until the deadline.
    Claim(claim::Subject, [u8; 32], Instant, reply::Reply<Outcome>),
    /// Settles a claim; repeated in the background until committed.
    Settle(claim::Subject, attempt::Attempt, settlement::Settlement),
    /// A connection to the control leader is free again.
    Idle(Box<leader::Leader>),
}
