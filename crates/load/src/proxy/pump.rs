//! Moves the bytes of one direction of a connection.

use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};

use masticarch_kernel::mailbox;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf};
use monoio::net::TcpStream;

use super::fault;

const READ_BYTES: usize = 16 * 1024;
/// Chunks in flight; they bound the memory of a delayed connection.
const CHUNKS: usize = 256;

const NANOSECONDS: u64 = 1_000_000_000;

/// What a pump is told.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    /// Another fault is in force.
    Apply(fault::Fault),
    /// Ends this direction.
    End,
}

/// Bytes and the moment from which they may be passed on.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// One direction of a connection.
pub struct Pump {
    direction: fault::Direction,
    fault: fault::Fault,
    reader: OwnedReadHalf<TcpStream>,
    writer: OwnedWriteHalf<TcpStream>,
    orders: mailbox::Mailbox<Order>,
    chunks: VecDeque<Chunk>,
    /// Moment at which the limited link is free again.
    link_free: Instant,
    ended: bool,
}

impl Pump {
    /// Makes the pump of one direction.
    #[must_use]
    pub fn new(
        direction: fault::Direction,
        fault: fault::Fault,
        reader: OwnedReadHalf<TcpStream>,
        writer: OwnedWriteHalf<TcpStream>,
        orders: mailbox::Mailbox<Order>,
    ) -> Self {
        Self {
            direction,
            fault,
            reader,
            writer,
            orders,
            chunks: VecDeque::new(),
            link_free: Instant::now(),
            ended: false,
        }
    }

    /// Moves bytes until the direction ends.
    ///
    /// # Errors
    /// The error of the operating system when either socket fails.
    pub async fn run(mut self) -> io::Result<()> {
        while !(self.ended && self.chunks.is_empty()) {
            let held = self.fault.holds(self.direction);
            let reads = !held && !self.ended && self.chunks.len() < CHUNKS;
            let due = self.chunks.front().map(|chunk| chunk.due);
            let wait = due.map_or(Duration::ZERO, |due| {
                due.saturating_duration_since(Instant::now())
            });
            // Dropping a pending read loses no bytes on the epoll driver.
            monoio::select! {
                order = self.orders.receive() => match order {
                    Some(Order::Apply(fault)) => self.fault = fault,
                    Some(Order::End) => self.ended = true,
                    None => return Ok(()),
                },
                read = self.reader.read(Vec::with_capacity(READ_BYTES)), if reads => {
                    let (count, bytes) = read;
                    self.take(count?, bytes);
                }
                () = monoio::time::sleep(wait), if due.is_some() && !held => {
                    self.pass().await?;
                }
            }
        }
        self.writer.shutdown().await
    }

    fn take(&mut self, count: usize, bytes: Vec<u8>) {
        if count == 0 {
            self.ended = true;
            return;
        }
        let now = Instant::now();
        let occupied = self.fault.bandwidth.map_or(Duration::ZERO, |bandwidth| {
            Duration::from_nanos(count as u64 * NANOSECONDS / bandwidth.max(1))
        });
        self.link_free = self.link_free.max(now) + occupied;
        let due = self.link_free + Duration::from_millis(self.fault.delay_ms);
        self.chunks.push_back(Chunk { due, bytes });
    }

    async fn pass(&mut self) -> io::Result<()> {
        if let Some(chunk) = self.chunks.pop_front() {
            self.writer.write_all(chunk.bytes).await.0?;
        }
        Ok(())
    }
}
