//! What a process that finds its group by seeds starts as.

use masticarch_model::member;
use masticarch_store::{directory, store};
use masticarch_wire::message as wire;

use crate::{journal, options};

/// Completes the options of a process that has seeds: its id, and whether it is
/// a first member or joins.
///
/// A data directory that was used before tells the id. An empty one belongs to a
/// first member at the first start of the group only. At any other time its disk
/// is new or lost, and a random id keeps it from voting as if it remembered.
///
/// # Errors
/// [`journal::Error`] when the data directory cannot be read.
pub fn complete(mut options: options::Options) -> Result<options::Options, journal::Error> {
    if options.seeds.is_empty() {
        return Ok(options);
    }
    let directory = directory::Directory::open(&options.data)?;
    if let Some(identity) = store::identity(&directory)? {
        options.id = wire::decode(&identity)?;
        return Ok(options);
    }
    let own = options.reachable();
    let founds = options.first_start && options.seeds.contains(&own);
    options.new = true;
    options.join = !founds;
    options.id = if founds {
        member::Id::from_address(own)
    } else {
        member::Id(fastrand::u64(1..))
    };
    options.members = options.seeds.iter().copied().map(founder).collect();
    Ok(options)
}

fn founder(address: std::net::SocketAddr) -> member::Member {
    member::Member {
        id: member::Id::from_address(address),
        address,
        voter: true,
    }
}
