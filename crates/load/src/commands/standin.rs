//! Subcommand `standin`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use masticarch_kernel::runtime;
use masticarch_load::{error, standin};

/// Runs a stand-in target until the process is killed.
#[derive(Debug, Args)]
pub struct Standin {
    /// YAML file with the settings; replaces all flags.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Service of which the stand-in is a target.
    #[arg(long, required_unless_present = "settings")]
    service: Option<String>,
    /// Listening address for requests.
    #[arg(long, required_unless_present = "settings")]
    address: Option<SocketAddr>,
    /// Listening address for control.
    #[arg(long, required_unless_present = "settings")]
    control: Option<SocketAddr>,
    /// Admin port of the stand-in's node.
    #[arg(long)]
    node_admin: Option<SocketAddr>,
    /// Caller port of the stand-in's node.
    #[arg(long)]
    node_caller: Option<SocketAddr>,
    /// Number of requests that run concurrently.
    #[arg(long, default_value_t = 70)]
    slots: usize,
    /// Maximum number of concurrent connections.
    #[arg(long, default_value_t = 530)]
    connections: usize,
    /// Service time of each request in milliseconds.
    #[arg(long, default_value_t = 10.0)]
    service_ms: f64,
}

impl Standin {
    /// Runs the stand-in; returns only on an error.
    pub fn run(self) -> Result<ExitCode, error::Error> {
        let settings = self.into_settings()?;
        runtime::run(async {
            let _handle = standin::Handle::start(settings)?;
            std::future::pending().await
        })?
    }

    fn into_settings(self) -> Result<standin::Settings, error::Error> {
        if let Some(path) = &self.settings {
            return super::read(path);
        }
        let missing = || error::Error::Parse("a required flag is missing".into());
        let settings = standin::Settings::builder()
            .service(self.service.ok_or_else(missing)?)
            .address(self.address.ok_or_else(missing)?)
            .control(self.control.ok_or_else(missing)?)
            .maybe_node_admin(self.node_admin)
            .maybe_node_caller(self.node_caller)
            .slots(self.slots)
            .connections(self.connections)
            .service_ms(standin::distribution::Distribution::Fixed(self.service_ms))
            .build();
        Ok(settings)
    }
}
