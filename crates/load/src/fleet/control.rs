//! One control process of a fleet.

use std::net::SocketAddr;

use super::{admin, process, settings};
use crate::{error, proxy};

/// A fault proxy on the way from one member to another.
pub struct Link {
    /// Id of the member whose connections pass it.
    pub from: u64,
    /// The proxy.
    pub proxy: proxy::Handle,
}

/// A control process.
pub struct Control {
    /// The process.
    pub process: process::Process,
    /// Its settings.
    pub settings: settings::Control,
    /// The fault proxy before its member port, for nodes and later members.
    pub proxy: Option<proxy::Handle>,
    /// The fault proxies before its member port, one for each other founder.
    pub links: Vec<Link>,
}

impl Control {
    /// Address under which nodes reach its member port.
    #[must_use]
    pub fn member_address(&self) -> SocketAddr {
        self.settings.advertised.unwrap_or(self.settings.member)
    }

    /// Puts a fault on all connections that are opened to its member port.
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

    /// Log index that it has applied, as its metrics tell it.
    ///
    /// # Errors
    /// [`error::Error::Parse`] when the metrics lack it, and any error of the
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

/// Address under which a member reaches another.
#[must_use]
pub fn address_from(settings: &settings::Control, links: &[Link], from: u64) -> SocketAddr {
    let link = links.iter().find(|link| link.from == from);
    link.map(|link| link.proxy.listening())
        .or(settings.advertised)
        .unwrap_or(settings.member)
}
