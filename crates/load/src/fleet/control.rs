//! A control process of a fleet.

use std::net::SocketAddr;

use super::{admin, process, settings};
use crate::{error, proxy};

/// Network link from one member of the control group to another, through a fault
/// proxy.
pub struct Link {
    /// Id of the member that opens the connections.
    pub from: u64,
    /// Fault proxy of the link.
    pub proxy: proxy::Handle,
}

/// Handle of a control process.
pub struct Control {
    /// Operating system process.
    pub process: process::Process,
    /// Settings with which it was started.
    pub settings: settings::Control,
    /// Fault proxy in front of its member port, for nodes and for members that join
    /// later; absent in a fleet without proxies.
    pub proxy: Option<proxy::Handle>,
    /// Links from the other founding members to its member port; empty in a fleet
    /// without proxies.
    pub links: Vec<Link>,
}

impl Control {
    /// Address at which nodes reach its member port.
    #[must_use]
    pub fn member_address(&self) -> SocketAddr {
        self.settings.advertised.unwrap_or(self.settings.member)
    }

    /// Injects a fault into all connections that others open to its member port.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when a proxy has stopped.
    pub async fn fault(&self, fault: proxy::Fault) -> Result<(), error::Error> {
        let links = self.links.iter().map(|link| &link.proxy);
        for proxy in self.proxy.iter().chain(links) {
            proxy.apply(fault).await?;
        }
        Ok(())
    }

    /// Index of the last log entry that it has applied, read from its metrics.
    ///
    /// # Errors
    /// [`error::Error::Parse`] when the metrics don't contain it, and any error of the
    /// exchange.
    pub async fn version(&self) -> Result<u64, error::Error> {
        let text = admin::get(self.settings.admin, "/metrics").await?;
        let mut lines = text.lines();
        lines
            .find_map(|line| {
                line.strip_prefix("masticarch_control_version ")?
                    .parse()
                    .ok()
            })
            .ok_or_else(|| error::Error::Parse("the metrics lack the version".into()))
    }
}

/// Address at which the member `from` reaches the member with the given settings and
/// links.
#[must_use]
pub fn address_from(settings: &settings::Control, links: &[Link], from: u64) -> SocketAddr {
    let link = links.iter().find(|link| link.from == from);
    link.map(|link| link.proxy.listening())
        .or(settings.advertised)
        .unwrap_or(settings.member)
}
