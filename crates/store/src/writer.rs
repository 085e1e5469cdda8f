//! The thread that writes to the store.

use std::io;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

use crate::{completion, disk, request, store};

/// Name of the thread.
const THREAD_NAME: &str = "journal";

/// Sends requests to the writer thread. The thread ends once this value is
/// dropped and all requests are written, or a write fails.
#[derive(Debug)]
pub struct Writer {
    requests: Sender<request::Request>,
}

impl Writer {
    /// Starts the thread. Completions arrive in the order of the requests; one
    /// may cover several requests, which then shared a sync. The number of
    /// requests in flight is not bounded here: the sender waits for completions.
    ///
    /// # Errors
    /// The error of the operating system when no thread can be started.
    pub fn start<D>(
        store: store::Store<D>,
    ) -> io::Result<(Self, UnboundedReceiver<completion::Completion>)>
    where
        D: disk::Disk + Send + 'static,
        D::File: Send,
    {
        let (requests, queue) = mpsc::channel();
        let (completions, reports) = unbounded();
        let thread = thread::Builder::new().name(THREAD_NAME.to_owned());
        thread.spawn(move || run(store, &queue, &completions))?;
        Ok((Self { requests }, reports))
    }

    /// Sends a request without waiting. Returns false when the thread has ended
    /// after an error.
    #[must_use]
    pub fn send(&self, request: request::Request) -> bool {
        self.requests.send(request).is_ok()
    }
}

/// Writes until the sender is gone or a write fails.
fn run<D: disk::Disk>(
    mut store: store::Store<D>,
    queue: &Receiver<request::Request>,
    completions: &UnboundedSender<completion::Completion>,
) {
    let mut unmerged = None;
    while let Some(mut request) = unmerged.take().or_else(|| queue.recv().ok()) {
        unmerged = merge_queued(&mut request, queue);
        let sequence = request.sequence;
        if let Err(failure) = store.write(request) {
            tracing::error!(error = %failure, "write failed; no further requests are acknowledged");
            let _ = completions.unbounded_send(completion::Completion::Failed(failure));
            return;
        }
        let _ = completions.unbounded_send(completion::Completion::Persisted(sequence));
    }
}

/// Merges the requests that are already queued, so that they share a sync.
/// Returns the first one that cannot be merged.
fn merge_queued(
    request: &mut request::Request,
    queue: &Receiver<request::Request>,
) -> Option<request::Request> {
    while let Ok(later) = queue.try_recv() {
        if let Err(unmerged) = request.merge(later) {
            return Some(unmerged);
        }
    }
    None
}
