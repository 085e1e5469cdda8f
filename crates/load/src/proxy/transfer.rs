//! Copies the bytes of one direction of a connection, subject to the fault.

use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};

use masticarch_kernel::mailbox;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf};
use monoio::net::TcpStream;

use super::fault;

/// Size of the buffer of each read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of delayed chunks per direction, which bounds the memory of a
/// connection. No bytes are read above it.
const MAX_CHUNKS: usize = 256;

const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;

/// A command to a running transfer.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Replaces the fault.
    Apply(fault::Fault),
    /// Stops reading and shuts this direction down once the delayed chunks are written.
    End,
}

/// Bytes that were read and the time at which they are due to be written.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Copies bytes from `reader` to `writer` for one direction of a connection.
pub struct Transfer {
    direction: fault::Direction,
    fault: fault::Fault,
    reader: OwnedReadHalf<TcpStream>,
    writer: OwnedWriteHalf<TcpStream>,
    commands: mailbox::Mailbox<Command>,
    chunks: VecDeque<Chunk>,
    /// Time at which the simulated link, whose bandwidth is limited, has sent all
    /// bytes read so far.
    link_free: Instant,
    ended: bool,
}

impl Transfer {
    /// Creates the transfer of one direction.
    #[must_use]
    pub fn new(
        direction: fault::Direction,
        fault: fault::Fault,
        reader: OwnedReadHalf<TcpStream>,
        writer: OwnedWriteHalf<TcpStream>,
        commands: mailbox::Mailbox<Command>,
    ) -> Self {
        Self {
            direction,
            fault,
            reader,
            writer,
            commands,
            chunks: VecDeque::new(),
            link_free: Instant::now(),
            ended: false,
        }
    }

    /// Copies bytes until the reader ends or [`Command::End`] arrives, then shuts the
    /// writer down. Returns early when the senders of commands are dropped.
    ///
    /// # Errors
    /// The error of the operating system when either socket fails.
    pub async fn run(mut self) -> io::Result<()> {
        while !(self.ended && self.chunks.is_empty()) {
            let held = self.fault.holds(self.direction);
            let can_read = !held && !self.ended && self.chunks.len() < MAX_CHUNKS;
            let due = self.chunks.front().map(|chunk| chunk.due);
            let wait = due.map_or(Duration::ZERO, |due| {
                due.saturating_duration_since(Instant::now())
            });
            // The select drops a pending read. With the epoll driver, no bytes are
            // lost by that.
            monoio::select! {
                command = self.commands.receive() => match command {
                    Some(Command::Apply(fault)) => self.fault = fault,
                    Some(Command::End) => self.ended = true,
                    None => return Ok(()),
                },
                read = self.reader.read(Vec::with_capacity(READ_BUFFER_BYTES)), if can_read => {
                    let (count, bytes) = read;
                    self.enqueue(count?, bytes);
                }
                () = monoio::time::sleep(wait), if due.is_some() && !held => {
                    self.write_next().await?;
                }
            }
        }
        self.writer.shutdown().await
    }

    fn enqueue(&mut self, count: usize, bytes: Vec<u8>) {
        if count == 0 {
            self.ended = true;
            return;
        }
        let now = Instant::now();
        let transmission = self.fault.bandwidth.map_or(Duration::ZERO, |bandwidth| {
            Duration::from_nanos(count as u64 * NANOSECONDS_PER_SECOND / bandwidth.max(1))
        });
        self.link_free = self.link_free.max(now) + transmission;
        let due = self.link_free + Duration::from_millis(self.fault.delay_ms);
        self.chunks.push_back(Chunk { due, bytes });
    }

    async fn write_next(&mut self) -> io::Result<()> {
        if let Some(chunk) = self.chunks.pop_front() {
            self.writer.write_all(chunk.bytes).await.0?;
        }
        Ok(())
    }
}
