//! Admission queue of one target.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::queue::{bounds, dequeued, descriptor, entry, fair, push};

/// Requests that wait for a target, bounded in time and number. A higher priority
/// always goes first; within a priority, the team that has received the least
/// service per weight goes first.
#[derive(Debug)]
pub struct Queue<T> {
    entries: SlotMap<entry::EntryKey, entry::Entry<T>>,
    ranks: Vec<fair::Queue>,
    expiries: BTreeSet<(Instant, entry::EntryKey)>,
    /// Sum of the expected service times of the entries.
    work: Duration,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            ranks: Vec::new(),
            expiries: BTreeSet::new(),
            work: Duration::ZERO,
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request, if necessary in place of one that would go after it.
    pub fn push(
        &mut self,
        descriptor: &descriptor::Descriptor,
        item: T,
        bounds: &bounds::Bounds,
        now: Instant,
    ) -> push::Outcome<T> {
        let latest_start = descriptor.deadline.checked_sub(descriptor.service_time);
        let Some(latest_start) = latest_start.filter(|latest| *latest > now) else {
            return push::Outcome::TooLate(item);
        };
        let displaced = if bounds.is_full(self.entries.len(), self.work) {
            match self.displacement_candidate(descriptor) {
                Some(key) => self.remove(key),
                None => return push::Outcome::Full(item),
            }
        } else {
            None
        };
        self.insert(
            descriptor,
            item,
            latest_start.min(now + bounds.max_wait),
            now,
        );
        match displaced {
            Some(entry) => push::Outcome::Displaced(entry.item, entry.rank),
            None => push::Outcome::Queued,
        }
    }

    /// Removes and returns the request that goes first. The caller must have
    /// removed all requests that [`Self::expire`] returns for the same `now`.
    pub fn pop(&mut self, now: Instant) -> Option<dequeued::Dequeued<T>> {
        let key = self.ranks.iter().find_map(fair::Queue::first)?;
        let entry = self.remove(key)?;
        self.ranks[usize::from(entry.rank)].charge(entry.flow);
        Some(dequeued::Dequeued {
            item: entry.item,
            rank: entry.rank,
            waited: now.saturating_duration_since(entry.queued),
        })
    }

    /// Removes and returns a request that has waited for the longest allowed time,
    /// or can no longer end before its deadline; `None` when there is none.
    pub fn expire(&mut self, now: Instant) -> Option<dequeued::Dequeued<T>> {
        let (expires, key) = self.expiries.first().copied()?;
        if expires > now {
            return None;
        }
        let entry = self.remove(key)?;
        Some(dequeued::Dequeued {
            item: entry.item,
            rank: entry.rank,
            waited: now.saturating_duration_since(entry.queued),
        })
    }

    /// When the next request expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(expires, _)| *expires)
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<T> {
        let queue = std::mem::take(self);
        queue
            .entries
            .into_iter()
            .map(|(_, entry)| entry.item)
            .collect()
    }

    fn insert(
        &mut self,
        descriptor: &descriptor::Descriptor,
        item: T,
        expires: Instant,
        now: Instant,
    ) {
        let flow = self
            .rank(descriptor.rank)
            .flow(descriptor.team.as_ref(), descriptor.weight);
        let key = self.entries.insert(entry::Entry {
            item,
            rank: descriptor.rank,
            flow,
            queued: now,
            expires,
            service_time: descriptor.service_time,
        });
        self.work += descriptor.service_time;
        self.expiries.insert((expires, key));
        self.rank(descriptor.rank).push(flow, key);
    }

    fn remove(&mut self, key: entry::EntryKey) -> Option<entry::Entry<T>> {
        let entry = self.entries.remove(key)?;
        self.expiries.remove(&(entry.expires, key));
        self.work = self.work.saturating_sub(entry.service_time);
        let entries = &self.entries;
        self.ranks[usize::from(entry.rank)].remove(entry.flow, |key| entries.contains_key(key));
        Some(entry)
    }

    /// The waiting request to remove from a full queue in favour of a new one: the
    /// newest of a lower priority, or of a team with the same priority whose
    /// virtual finish time is later.
    fn displacement_candidate(
        &mut self,
        descriptor: &descriptor::Descriptor,
    ) -> Option<entry::EntryKey> {
        let (lowest, last) = self
            .ranks
            .iter()
            .enumerate()
            .rev()
            .find_map(|(index, rank)| Some((index, rank.last()?)))?;
        let own = usize::from(descriptor.rank);
        if lowest > own {
            return Some(last.0);
        }
        if lowest < own {
            return None;
        }
        let rank = self.rank(descriptor.rank);
        let flow = rank.flow(descriptor.team.as_ref(), descriptor.weight);
        (rank.finish_time_with_one_more(flow) < last.1).then_some(last.0)
    }

    fn rank(&mut self, rank: u8) -> &mut fair::Queue {
        let index = usize::from(rank);
        if self.ranks.len() <= index {
            self.ranks.resize_with(index + 1, fair::Queue::default);
        }
        &mut self.ranks[index]
    }
}
