//! Accepts connections and serves each in a task of its own.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{self, Either};
use masticarch_kernel::{name, stop, task};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use crate::in_flight;

/// Pause after a failed accept, for example when no descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Idle time before the first TCP keepalive probe. A caller that disappears without
/// closing the connection is noticed, and its request cancelled, after this time and
/// that of the probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);
/// Time between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Unanswered TCP keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
/// Most connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Opens a listening port.
///
/// # Errors
/// The error of the operating system.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).backlog(BACKLOG);
    TcpListener::bind_with_config(address, &options)
}

/// Sets the options of an accepted connection.
fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_tcp_keepalive(
        Some(KEEPALIVE_IDLE),
        Some(KEEPALIVE_INTERVAL),
        Some(KEEPALIVE_PROBES),
    )
}

/// Accepts connections until asked to stop, and then waits until those that are open have
/// ended. `serve` returns the future that serves one connection, given its number and
/// stream. It runs in a task of its own, and a panic ends only that task.
pub async fn run<F>(
    service: name::Name,
    listener: TcpListener,
    stop: stop::Stop,
    mut serve: impl FnMut(u32, TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let mut number = 0_u32;
    let open = in_flight::Counter::default();
    let mut spawn = |stream: TcpStream| {
        if configure(&stream).is_ok() {
            number = number.wrapping_add(1);
            let guard = open.enter();
            // An async block would hold the future of the connection twice.
            let serving = serve(number, stream).map(move |()| drop(guard));
            drop(task::spawn(service, serving));
        }
    };
    let mut stopped = std::pin::pin!(stop.wait());
    loop {
        let accept = std::pin::pin!(listener.accept());
        match future::select(stopped.as_mut(), accept).await {
            Either::Left(_) => break,
            Either::Right((Ok((stream, _)), _)) => spawn(stream),
            Either::Right((Err(_), _)) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Closing the port would reset the connections that have not been accepted yet.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        spawn(stream);
    }
    drop(listener);
    open.wait_idle().await;
}
