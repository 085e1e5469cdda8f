//! Status of the fleet, as operators see it.

use masticarch_kernel::error;
use masticarch_model::{incarnation, map, name, view};
use masticarch_policy::share::lease;
use masticarch_wire::message::{status, sync};

use crate::{liveness, quota, registry, services};

/// Collects the status of members, nodes and teams from the services.
///
/// # Errors
/// [`error::Error::Closed`] when a service has stopped.
pub async fn collect(services: &services::Services) -> Result<status::Status, error::Error> {
    let log = services.log.status().await?;
    let view = services
        .registry
        .ask(registry::message::Message::View)
        .await?;
    let last_contacts = services
        .liveness
        .ask(liveness::message::Message::LastContacts)
        .await?;
    let usage = services.quota.ask(quota::message::Message::Usage).await?;
    let last_contacts = last_contacts
        .into_iter()
        .map(|contact| (contact.incarnation, contact))
        .collect();
    let priorities = view.priorities();
    Ok(status::Status {
        version: view.version,
        configuration_version: view.configuration_version,
        term: log.term,
        members: log.members,
        nodes: view
            .nodes
            .into_iter()
            .map(|entry| node(entry, &last_contacts, &priorities))
            .collect(),
        teams: usage.into_iter().map(team).collect(),
    })
}

fn node(
    entry: view::Entry,
    last_contacts: &map::Map<incarnation::Incarnation, liveness::message::LastContact>,
    priorities: &[name::Name],
) -> status::Node {
    let contact = last_contacts.get(&entry.node.incarnation);
    // A node with which this leader has had no contact gets the largest value.
    let silent_ms = contact.map_or(u64::MAX, |contact| {
        u64::try_from(contact.silent.as_millis()).unwrap_or(u64::MAX)
    });
    status::Node {
        name: entry.node.name,
        incarnation: entry.node.incarnation,
        place: entry.node.place,
        held: contact.map(|contact| contact.held).unwrap_or_default(),
        silent_ms,
        targets: entry.targets,
        loads: contact
            .into_iter()
            .flat_map(|contact| &contact.loads)
            .map(|reported| load(reported, priorities))
            .collect(),
    }
}

fn load(reported: &sync::Load, priorities: &[name::Name]) -> status::Load {
    let admitted = usize::from(reported.admitted).saturating_add(1);
    status::Load {
        service: reported.service.clone(),
        limit: reported.limit,
        in_flight: reported.in_flight,
        shed: priorities.iter().skip(admitted).cloned().collect(),
    }
}

fn team(usage: lease::Usage) -> status::Team {
    status::Team {
        name: usage.team,
        rate: usage.whole.rate,
        leased: usage.leased.rate,
        demand: usage.demand,
    }
}
