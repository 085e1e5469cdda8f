//! Renewal of a node's leased shares of the teams' rate limits.

use masticarch_kernel::error;
use masticarch_policy::convert;
use masticarch_policy::share::lease as policy;
use masticarch_wire::message::lease;

use crate::{agreement, quota, registry, services};

/// Grants shares. Leadership is first confirmed by a quorum round that starts after
/// the request arrived, so that a deposed leader grants nothing. The round starts at
/// once if requests wait for tokens at the node.
///
/// # Errors
/// [`error::Error::Closed`] when a service has stopped.
pub async fn answer(
    services: &services::Services,
    connection: u64,
    request: lease::Request,
) -> Result<lease::Reply, error::Error> {
    let has_waiting = request.reports.iter().any(|report| report.wanted > 0.0);
    let round = if has_waiting {
        agreement::message::Round::Immediate
    } else {
        agreement::message::Round::Heartbeat
    };
    if services.log.confirm(round).await.is_err() {
        return Ok(lease::Reply::NotLeader(services.log.leader().await));
    }
    let (name, incarnation) = (request.node.clone(), request.incarnation);
    let build = |reply| registry::message::Message::HasJoined(name, incarnation, reply);
    if !services.registry.ask(build).await? {
        // The next leader would not know of shares that an unknown node holds.
        return Ok(lease::Reply::Grants(Vec::new()));
    }
    let request = policy::Request {
        node: request.incarnation,
        connection,
        reports: request.reports.into_iter().map(report).collect(),
    };
    let renewed = services
        .quota
        .ask(|reply| quota::message::Message::Renew(request, reply))
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

/// Converts a grant and rounds it down, so that no node holds more than is counted
/// as leased.
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
