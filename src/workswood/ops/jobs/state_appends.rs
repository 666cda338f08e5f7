//! Makes the appends of a batch, one after the other.
//!
//! An append that the store refuses for now, or that has no answer, is made again. One that it refuses for good never
//! succeeds, and would keep everything after it from being stored. It is divided until what the store refuses stands
//! alone; that is left out, and reported where it is about a job.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use workswood_adapter::size_in_append;
use workswood_core::code::Code;
use workswood_core::jobs::JobKey;
use workswood_platform::jobs::{Guard, StoreError, Topic};

use super::append_calls::{Append, Subject, Unit};
use super::hedged_call::hedged_call;
use super::inbox_cleanup;
use super::node::{Node, SchedulerHandle};

/// An append without an answer is repeated after this time if the store answers other calls.
const HEDGE_AFTER: Duration = Duration::from_millis(250);
/// Delay after a failed append.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The appends of a batch that are made.
pub(super) struct AppendsWritten {
    /// Number of the next append of the term.
    pub next_number: u64,
    /// Jobs whose records the store has refused for good.
    pub refused_jobs: BTreeSet<JobKey>,
}

/// What became of one append.
enum Outcome {
    Stored,
    /// The store never takes it.
    Refused(String),
    /// Another term has begun.
    Overtaken,
}

/// Writes the appends of a batch, the first of which has this number, and retries until they are stored; returns `None`
/// if another term has begun. Before, it deletes the jobs whose states the batch deletes from the inbox.
pub(super) async fn write(
    node: Arc<Node>,
    handle: Arc<SchedulerHandle>,
    first_number: u64,
    dropped: Vec<JobKey>,
    appends: Vec<Append>,
) -> Option<AppendsWritten> {
    let kept = inbox_cleanup::delete_from_inbox(&node, &handle, dropped).await;
    let _timer = node.metrics.batch_seconds.start_timer();
    let mut writer = Writer { node, handle, number: first_number, left_out: kept, refused: BTreeSet::new() };
    for append in appends {
        if !writer.write(append).await {
            return None;
        }
    }
    Some(AppendsWritten { next_number: writer.number, refused_jobs: writer.refused })
}

struct Writer {
    node: Arc<Node>,
    handle: Arc<SchedulerHandle>,
    /// Number of the next append.
    number: u64,
    /// Jobs whose records are not to be written.
    left_out: BTreeSet<JobKey>,
    /// Those of them that the store has refused.
    refused: BTreeSet<JobKey>,
}

impl Writer {
    /// Makes an append; returns false if another term has begun.
    async fn write(&mut self, append: Append) -> bool {
        let mut waiting = vec![append.units];
        while let Some(mut units) = waiting.pop() {
            units.retain(|unit| !matches!(&unit.subject, Subject::Job(job) if self.left_out.contains(job)));
            if units.is_empty() {
                continue;
            }
            match self.try_append(&units).await {
                Outcome::Stored => self.number += 1,
                Outcome::Overtaken => return false,
                Outcome::Refused(why) if units.len() == 1 => self.leave_out(&units[0], &why),
                Outcome::Refused(_) => {
                    let second_half = units.split_off(units.len() / 2);
                    waiting.extend([second_half, units]);
                }
            }
        }
        true
    }

    /// Appends units together, and retries until the store takes or refuses them.
    async fn try_append(&self, units: &[Unit]) -> Outcome {
        let (term, number) = (self.handle.term, self.number);
        let records = Append::records_of(units);
        loop {
            let append =
                || self.node.platform.append(Topic::State, records.clone(), Guard::Term(term, number));
            // The store takes a number only once.
            match hedged_call(&self.node, HEDGE_AFTER, append).await {
                Ok(_) => {
                    self.node.note_store_answer();
                    return Outcome::Stored;
                }
                Err(StoreError::GuardFailed) => {
                    log::warn!("event=state_overtaken term={term} number={number}");
                    return Outcome::Overtaken;
                }
                Err(StoreError::Rejected { text }) => {
                    let bytes: usize = records.iter().map(size_in_append).sum();
                    log::warn!(
                        "event=state_refused term={term} number={number} bytes={bytes} records={} error=\"{text}\"",
                        records.len()
                    );
                    return Outcome::Refused(text);
                }
                Err(e) => {
                    log::warn!("event=state_not_written term={term} number={number} error=\"{e}\"");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Leaves out a unit that the store never takes, and everything else about its job.
    fn leave_out(&mut self, unit: &Unit, why: &str) {
        let kind = match &unit.subject {
            Subject::Job(job) => {
                self.left_out.insert(*job);
                self.refused.insert(*job);
                "job"
            }
            Subject::Checkpoint => "checkpoint",
            Subject::Other(_) => "other",
        };
        self.node.metrics.refused_records.with_label_values(&[kind]).inc();
        let key = unit.records.first().map_or("", |rec| rec.key.as_str());
        log::error!(
            "event=record_refused code={} kind={kind} key={key} bytes={} error=\"{why}\"",
            Code::RecordTooLarge.number(),
            unit.size()
        );
    }
}
