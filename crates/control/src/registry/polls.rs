//! Long polls that wait for a newer version.

use masticarch_kernel::reply;
use masticarch_model::{catalog, version};

use super::answer;

/// One waiting poll.
#[derive(Debug)]
struct Poll {
    held: version::Version,
    reply: reply::Reply<answer::Answer>,
}

/// The waiting polls.
#[derive(Debug, Default)]
pub struct Polls {
    waiting: Vec<Poll>,
}

impl Polls {
    /// Answers at once if something newer than `held` is published, or else adds the
    /// poll to the waiting ones.
    pub fn add(
        &mut self,
        catalog: &catalog::Catalog,
        held: version::Version,
        reply: reply::Reply<answer::Answer>,
    ) {
        if held < catalog.published() {
            let _ = reply.send(answer::Answer::new(catalog, held));
        } else {
            self.waiting.push(Poll { held, reply });
        }
    }

    /// Answers all waiting polls, after something was published.
    pub fn wake(&mut self, catalog: &catalog::Catalog) {
        for poll in self.waiting.drain(..) {
            if !poll.reply.is_canceled() {
                let _ = poll.reply.send(answer::Answer::new(catalog, poll.held));
            }
        }
    }

    /// Drops polls whose caller no longer waits, as when the hold time is over.
    pub fn prune(&mut self) {
        self.waiting.retain(|poll| !poll.reply.is_canceled());
    }
}
