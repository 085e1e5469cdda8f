//! `masticarch member`.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_client::{client, error as client_error};
use masticarch_model::{code, member};
use masticarch_wire::message::operator;

use crate::{arguments, error};

/// Pause before another attempt to promote a learner that has not caught up.
const PROMOTE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to promote a learner after the first, before the command fails.
const MAX_PROMOTE_RETRIES: u32 = 60;

/// Changes the members of the control group.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    arguments: &arguments::Member,
) -> Result<(), error::Error> {
    match *arguments {
        arguments::Member::Add { id, address } => add(client, member::Id(id), address).await?,
        arguments::Member::Promote { id } => promote(client, member::Id(id)).await?,
        arguments::Member::Remove { id } => remove(client, member::Id(id)).await?,
        arguments::Member::Replace { id, with, address } => {
            add(client, member::Id(with), address).await?;
            promote(client, member::Id(with)).await?;
            remove(client, member::Id(id)).await?;
        }
    }
    Ok(())
}

async fn add(
    client: &mut client::Client,
    id: member::Id,
    address: SocketAddr,
) -> Result<(), error::Error> {
    let member = member::Member {
        id,
        address,
        voter: false,
    };
    client
        .execute(&operator::Request::AddMember(member))
        .await?;
    println!("member {} added as a learner", id.0);
    Ok(())
}

/// Promotes a learner; retries while it has not caught up with the log.
async fn promote(client: &mut client::Client, id: member::Id) -> Result<(), error::Error> {
    let request = operator::Request::PromoteMember(id);
    let mut retries = 0;
    loop {
        match client.execute(&request).await {
            Err(client_error::Error::Refused(code::Code::MemberChangeRefused, _))
                if retries < MAX_PROMOTE_RETRIES =>
            {
                retries += 1;
                monoio::time::sleep(PROMOTE_RETRY_PAUSE).await;
            }
            Err(other) => return Err(other.into()),
            Ok(()) => break,
        }
    }
    println!("member {} promoted to voter", id.0);
    Ok(())
}

async fn remove(client: &mut client::Client, id: member::Id) -> Result<(), error::Error> {
    client.execute(&operator::Request::RemoveMember(id)).await?;
    println!("member {} removed", id.0);
    Ok(())
}
