//! Bootstrap from seeds: the id and the first members of a process that has no
//! configured ones.

use masticarch_model::member;
use masticarch_store::{directory, store};
use masticarch_wire::message as wire;

use crate::{journal, options};

/// Sets the id of a process that has seeds, and whether it is an initial member
/// or joins. Options without seeds are returned as they are.
///
/// A data directory that was used before holds the id. An empty one belongs to an
/// initial member only when the group starts for the first time. At any other time
/// the disk is new or was lost. The process then draws a random id, because a
/// member that has lost its votes must not vote again under its old id.
///
/// # Errors
/// [`journal::Error`] when the data directory cannot be read.
pub fn resolve(mut options: options::Options) -> Result<options::Options, journal::Error> {
    if options.seeds.is_empty() {
        return Ok(options);
    }
    let directory = directory::Directory::open(&options.data)?;
    if let Some(identity) = store::identity(&directory)? {
        options.id = wire::decode(&identity)?;
        return Ok(options);
    }
    let own = options.advertised_address();
    let is_initial = options.first_start && options.seeds.contains(&own);
    options.new = true;
    options.join = !is_initial;
    options.id = if is_initial {
        member::Id::from_address(own)
    } else {
        member::Id(fastrand::u64(1..))
    };
    options.members = options.seeds.iter().copied().map(initial_member).collect();
    Ok(options)
}

fn initial_member(address: std::net::SocketAddr) -> member::Member {
    member::Member {
        id: member::Id::from_address(address),
        address,
        voter: true,
    }
}
