//! Subcommand `proxy`.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use masticarch_kernel::{runtime, stop};
use masticarch_load::http::server;
use masticarch_load::proxy::control;
use masticarch_load::{error, proxy};
use monoio::net::TcpListener;

/// Runs a fault-injecting TCP proxy until the process is killed.
#[derive(Debug, Args)]
pub struct Proxy {
    /// Listening address.
    #[arg(long)]
    address: SocketAddr,
    /// Address to which connections are relayed.
    #[arg(long)]
    upstream: SocketAddr,
    /// Listening address for control: `PUT /fault` and `PUT /cut`.
    #[arg(long)]
    control: SocketAddr,
}

impl Proxy {
    /// Runs the proxy; returns only on an error.
    pub fn run(self) -> Result<ExitCode, error::Error> {
        runtime::run(async move {
            let handle = proxy::Handle::start(self.address, self.upstream)?;
            let listener = TcpListener::bind(self.control)?;
            let handler = control::Control::new(handle.service());
            // Dropping the sender would stop the server.
            let (_sender, signal) = stop::Stop::new();
            server::serve(listener, control::MAX_CONNECTIONS, handler, signal).await;
            Ok(ExitCode::SUCCESS)
        })?
    }
}
