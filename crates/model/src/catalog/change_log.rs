//! Results of the latest changes, kept to answer resends and for the history that
//! operators see.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{change, edit, name, outcome};

/// Most results that are kept, the changes of one day at the design target.
pub const MAX_RECORDS: usize = 10_000;

/// Most lines in the summary of one change.
pub const MAX_SUMMARY_LINES: usize = 100;

/// Most bytes of summaries and findings that are kept. A change may have 8 KiB of
/// summary, or 20 KiB of findings.
const MAX_DETAIL_BYTES: usize = 8 << 20;

/// A change and its first result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Id that the sender chose.
    pub id: u128,
    /// Name of the operator's credential.
    pub operator: name::Name,
    /// One line for each edit, up to `MAX_SUMMARY_LINES`.
    pub summary: Vec<Box<str>>,
    /// The result, which resends of the change get as well.
    pub outcome: outcome::Outcome,
}

impl Record {
    /// Bytes of the summary and of the findings.
    fn detail_bytes(&self) -> usize {
        let summary: usize = self.summary.iter().map(|line| line.len()).sum();
        summary + self.outcome.detail_bytes()
    }

    /// Drops the summary, and all findings but the first.
    fn drop_details(&mut self) {
        self.summary = Vec::new();
        if let outcome::Outcome::Faulty(findings) = &mut self.outcome {
            findings.truncate(1);
            findings.shrink_to_fit();
        }
    }
}

/// The latest changes with their results, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChangeLog {
    records: VecDeque<Record>,
    /// Number of records that have been dropped.
    dropped: u64,
    /// Position of a change, by its id, among all records ever kept. Its index in
    /// `records` is the position less `dropped`.
    positions: crate::map::Map<u128, u64>,
    /// Bytes of the summaries and findings in `records`.
    #[serde(skip)]
    detail_bytes: usize,
    /// Number of the oldest records whose details have been dropped.
    #[serde(skip)]
    shortened: usize,
}

impl ChangeLog {
    /// The result of a change with this id, if it is still kept.
    pub fn result(&self, id: u128) -> Option<&outcome::Outcome> {
        let position = self.positions.get(&id)?;
        let index = usize::try_from(position - self.dropped).ok()?;
        self.records.get(index).map(|record| &record.outcome)
    }

    /// Keeps the result of a change, and drops the oldest above [`MAX_RECORDS`].
    pub fn record(&mut self, change: &change::Change, outcome: outcome::Outcome) {
        let position = self.dropped + self.records.len() as u64;
        self.positions.insert(change.id, position);
        let record = Record {
            id: change.id,
            operator: change.operator.clone(),
            summary: change
                .edits
                .iter()
                .take(MAX_SUMMARY_LINES)
                .map(describe)
                .collect(),
            outcome,
        };
        self.detail_bytes += record.detail_bytes();
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.drop_oldest();
        }
        self.shorten();
    }

    /// Counts the details after the records have been decoded, which earlier code may have
    /// kept without a bound on their size.
    pub fn recount(&mut self) {
        self.shortened = 0;
        self.detail_bytes = self.records.iter().map(Record::detail_bytes).sum();
        self.shorten();
    }

    /// Drops details of the oldest records while there are too many. Their ids and
    /// results stay, so that resends get the same answer.
    fn shorten(&mut self) {
        while self.detail_bytes > MAX_DETAIL_BYTES
            && let Some(record) = self.records.get_mut(self.shortened)
        {
            self.detail_bytes -= record.detail_bytes();
            record.drop_details();
            self.detail_bytes += record.detail_bytes();
            self.shortened += 1;
        }
    }

    /// The accepted changes that are still kept, newest first.
    pub fn accepted(&self) -> impl Iterator<Item = &Record> {
        let accepted = |record: &&Record| matches!(record.outcome, outcome::Outcome::Changed(_));
        self.records.iter().rev().filter(accepted)
    }

    fn drop_oldest(&mut self) {
        if let Some(record) = self.records.pop_front() {
            self.dropped += 1;
            self.detail_bytes -= record.detail_bytes();
            self.shortened = self.shortened.saturating_sub(1);
            self.positions.remove(&record.id);
        }
    }
}

fn describe(edit: &edit::Edit) -> Box<str> {
    let text = match edit {
        edit::Edit::Put(object) => format!("put {} {}", object.kind(), object.name()),
        edit::Edit::Delete(kind, name) => format!("delete {kind} {name}"),
        edit::Edit::Replace(whole) => format!("replace with {} objects", whole.objects().count()),
    };
    text.into()
}
