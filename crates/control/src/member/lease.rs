//! Renewal of a node's shares of team limits.

use masticarch_kernel::error;
use masticarch_policy::convert;
use masticarch_policy::share::lease as policy;
use masticarch_wire::message::lease;

use crate::{agreement, allotment, registry, services};

/// Grants shares after leadership is confirmed by a round that starts after the
/// request arrived, so that a deposed leader grants nothing.
///
/// # Errors
/// [`error::Error::Closed`] when a service has stopped.
pub async fn answer(
    services: &services::Services,
    connection: u64,
    request: lease::Request,
) -> Result<lease::Reply, error::Error> {
    let is_waited_for = request.reports.iter().any(|report| report.wanted > 0.0);
    let pace = if is_waited_for {
        agreement::message::Pace::Now
    } else {
        agreement::message::Pace::Heartbeat
    };
    if services.log.confirm(pace).await.is_err() {
        return Ok(lease::Reply::NotLeader(services.log.leader().await));
    }
    let (name, incarnation) = (request.node.clone(), request.incarnation);
    let present = |reply| registry::message::Message::Present(name, incarnation, reply);
    if !services.registry.ask(present).await? {
        // The next leader would not know of its shares.
        return Ok(lease::Reply::Grants(Vec::new()));
    }
    let request = policy::Request {
        node: request.incarnation,
        connection,
        reports: request.reports.into_iter().map(report).collect(),
    };
    let renewed = services
        .allotment
        .ask(|reply| allotment::message::Message::Renew(request, reply))
        .await?;
    Ok(match renewed {
        Some(grants) => lease::Reply::Grants(grants.into_iter().map(grant).collect()),
        None => lease::Reply::NotLeader(services.log.leader().await),
    })
}

fn report(report: lease::Report) -> policy::Report {
    policy::Report {
        team: report.team,
        held: policy::Share {
            rate: report.held.rate.into(),
            burst: report.held.burst.into(),
        },
        released: report.released.into(),
        demand: report.demand.into(),
        wanted: report.wanted.into(),
    }
}

/// Rounds down, so that no holder has more than the owner counts.
fn grant(grant: policy::Grant) -> lease::Grant {
    lease::Grant {
        team: grant.team,
        share: lease::Share {
            rate: convert::floor_f32(grant.share.rate),
            burst: convert::floor_f32(grant.share.burst),
        },
        tokens: convert::floor_f32(grant.tokens),
        drawn: convert::floor_f32(grant.drawn),
    }
}
