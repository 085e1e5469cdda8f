//! Sends the refusals of the gate.

use std::time::Duration;

use masticarch_model::{code, name};

use crate::gate::pending;
use crate::refusal;

/// Time after which a caller may try again: the interval at which shares of team limits
/// are renewed, and longer than the shedding level takes to relax by one rank.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses a request. Nobody receives the refusal if the connection task has ended.
pub fn send(reply: pending::Reply, code: code::Code) {
    send_for(reply, code, None);
}

/// Refuses a request and names its team in the log.
pub fn send_for(reply: pending::Reply, code: code::Code, team: Option<name::Name>) {
    let mut refusal = refusal::Refusal::new(code, detail(code));
    let is_temporary = matches!(
        code,
        code::Code::OverRate | code::Code::Overloaded | code::Code::NotCurrent
    );
    refusal.retry_after = is_temporary.then_some(RETRY_AFTER);
    refusal.team = team;
    let _ = reply.send(Err(refusal));
}

/// The text of a refusal for the reader of the answer.
const fn detail(code: code::Code) -> &'static str {
    match code {
        code::Code::NoKey => "the route needs a key",
        code::Code::UnknownKey => "the key is not known",
        code::Code::KeyWithdrawn => "the key has been withdrawn",
        code::Code::WrongTeam => "the team may not use the route",
        code::Code::NoRoute => "no route matches the path",
        code::Code::OverRate => "the team's rate and burst are used up",
        code::Code::Overloaded => "the service has no capacity for this priority",
        code::Code::NoTarget => "no usable target serves the route",
        code::Code::DeadlineExceeded => "the deadline has passed",
        code::Code::Draining => "the node is leaving",
        code::Code::NotCurrent => {
            "the node cannot show that its configuration and its share of the rate are current"
        }
        _ => "the request cannot run at present",
    }
}
