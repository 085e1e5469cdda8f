//! Answers the calls of operators.

use masticarch_kernel::{error, reply};
use masticarch_model::{catalog, change, code, command, name, outcome, version};
use masticarch_wire::message::operator;

use super::status;
use crate::{agreement, registry, services};

/// Answers one call of an operator whose credential has been verified.
pub async fn answer(
    services: &services::Services,
    operator: &name::Name,
    request: operator::Request,
) -> operator::Reply {
    match respond(services, operator, request).await {
        Ok(reply) => reply,
        Err(code::Code::NotLeader) => operator::Reply::NotLeader(services.log.leader().await),
        Err(code) => {
            services.metrics.refused(code);
            operator::Reply::Refused(code, code.reason().into())
        }
    }
}

async fn respond(
    services: &services::Services,
    operator: &name::Name,
    request: operator::Request,
) -> Result<operator::Reply, code::Code> {
    match request {
        operator::Request::Apply(change) => apply(services, operator, change).await,
        operator::Request::Check(change) => {
            let build = |reply| registry::message::Message::Check(change, reply);
            read(services, build).await.map(change_reply)
        }
        operator::Request::Get => {
            let view = read(services, registry::message::Message::View).await?;
            let configuration = Box::new(view.configuration);
            let version = view.configuration_version;
            Ok(operator::Reply::Configuration(version, configuration))
        }
        operator::Request::History(count) => {
            let build = |reply| registry::message::Message::History(count, reply);
            let records = read(services, build).await?;
            let entries = records.into_iter().map(history_entry).collect();
            Ok(operator::Reply::History(entries))
        }
        operator::Request::Status => {
            confirm(services).await?;
            let status = status::collect(services).await.map_err(stopped)?;
            Ok(operator::Reply::Status(Box::new(status)))
        }
        operator::Request::Drain(name) => drain(services, name).await,
        operator::Request::AddMember(member) => {
            change_members(services, |reply| {
                agreement::message::Message::AddLearner(member, reply)
            })
            .await
        }
        operator::Request::PromoteMember(id) => {
            change_members(services, |reply| {
                agreement::message::Message::Promote(id, reply)
            })
            .await
        }
        operator::Request::RemoveMember(id) => {
            change_members(services, |reply| {
                agreement::message::Message::Remove(id, reply)
            })
            .await
        }
    }
}

/// Commits a change under the name of the operator's credential, whatever name the
/// change itself contains.
async fn apply(
    services: &services::Services,
    operator: &name::Name,
    mut change: change::Change,
) -> Result<operator::Reply, code::Code> {
    change.operator = operator.clone();
    let command = command::Command::Change(change);
    services.commands.commit(&command).await.map(change_reply)
}

async fn drain(
    services: &services::Services,
    name: name::Name,
) -> Result<operator::Reply, code::Code> {
    match services
        .commands
        .commit(&command::Command::Drain(name))
        .await?
    {
        outcome::Outcome::Refused(code) => Err(code),
        _ => Ok(operator::Reply::Done),
    }
}

async fn change_members(
    services: &services::Services,
    build: impl FnOnce(reply::Reply<Result<(), code::Code>>) -> agreement::message::Message,
) -> Result<operator::Reply, code::Code> {
    services.log.ask(build).await?;
    Ok(operator::Reply::Done)
}

/// Reads from the catalog after leadership is confirmed, so that the answer
/// contains every change that was acknowledged before the call.
async fn read<R>(
    services: &services::Services,
    build: impl FnOnce(reply::Reply<R>) -> registry::message::Message,
) -> Result<R, code::Code> {
    confirm(services).await?;
    services.registry.ask(build).await.map_err(stopped)
}

async fn confirm(services: &services::Services) -> Result<(), code::Code> {
    services
        .log
        .confirm(agreement::message::Round::Immediate)
        .await
}

const fn stopped(_: error::Error) -> code::Code {
    code::Code::NoQuorum
}

fn change_reply(outcome: outcome::Outcome) -> operator::Reply {
    match outcome {
        outcome::Outcome::Changed(version) => operator::Reply::Accepted(version),
        outcome::Outcome::Conflict(version) => operator::Reply::Conflict(version),
        outcome::Outcome::Faulty(findings) => operator::Reply::Faulty(findings),
        outcome::Outcome::Refused(code) => operator::Reply::Refused(code, code.reason().into()),
        outcome::Outcome::Claimed | outcome::Outcome::Held(_) | outcome::Outcome::Applied => {
            operator::Reply::Done
        }
    }
}

fn history_entry(record: catalog::Record) -> operator::Entry {
    let version = match record.outcome {
        outcome::Outcome::Changed(version) => version,
        _ => version::Version::default(),
    };
    operator::Entry {
        version,
        id: record.id,
        operator: record.operator,
        summary: record.summary,
    }
}
