//! Writes the scheduler's batches to the store, one append at a time.
//!
//! While a write is under way no further batch is taken, unless the store is away: when it has not
//! acknowledged a write for [`OutagePolicy::write_stall`]. Batches that are taken then are merged and
//! written as one when the write under way has succeeded.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use workswood_core::jobs::owed_batch::{EarlyWork, OwedBatch};
use workswood_core::jobs::{Batch, JobKey, OutagePolicy, Scheduler, StoreAccess};

use super::append_calls::StateEncoder;
use super::node::{Node, SchedulerHandle};
use super::record::deleted_job;
use super::state_appends::{self, AppendsWritten};

/// After a longer pause of the scheduler's task, which runs at each tick, its host was suspended.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// A batch that is stored.
pub(super) struct WrittenBatch {
    /// The batch.
    pub batch: Batch,
    /// Jobs whose records the store has refused for good; what the batch says of them is not stored.
    pub refused_jobs: BTreeSet<JobKey>,
}

/// The batch that is being written.
struct BatchInFlight {
    batch: Batch,
    since: Duration,
}

/// Writes batches in order. Dropping it, as when the scheduler stops, cancels the write.
pub(super) struct BatchWriter {
    node: Arc<Node>,
    handle: Arc<SchedulerHandle>,
    /// Number of the next append of this term.
    next_append: u64,
    in_flight: Option<BatchInFlight>,
    /// What became of the batch in flight; `None` if another term has begun.
    write: JoinSet<Option<AppendsWritten>>,
    /// Batches that wait for the one in flight.
    owed: OwedBatch,
    /// How records are written, given what the store may hold.
    encoder: StateEncoder,
    /// When the scheduler's task last ran.
    last_awake: Duration,
}

impl BatchWriter {
    /// Returns a writer for a term of the lease.
    pub(super) fn new(node: Arc<Node>, handle: Arc<SchedulerHandle>, encoder: StateEncoder) -> BatchWriter {
        BatchWriter {
            node,
            handle,
            next_append: 1,
            in_flight: None,
            write: JoinSet::new(),
            owed: OwedBatch::default(),
            encoder,
            last_awake: Duration::ZERO,
        }
    }

    fn policy(&self) -> &OutagePolicy {
        &self.node.settings.policy.outage
    }

    /// Notes that the scheduler's task runs. After a pause, as when the host was suspended, the store has
    /// the full time again to acknowledge a write: another process may hold the lease by now.
    pub(super) fn note_awake(&mut self) {
        let now = self.node.now();
        let paused = now.saturating_sub(std::mem::replace(&mut self.last_awake, now));
        if let Some(in_flight) = self.in_flight.as_mut().filter(|_| paused >= MAX_PAUSE) {
            in_flight.since = now;
        }
    }

    /// Whether a write is under way.
    pub(super) fn is_writing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether a further batch may be taken.
    pub(super) fn takes_batches(&self) -> bool {
        self.in_flight.is_none() || self.away_for().is_some()
    }

    /// When the store counts as away unless it acknowledges the write under way; `None` if none is, or
    /// if that changes nothing.
    pub(super) fn away_at(&self) -> Option<Duration> {
        let since = self.in_flight.as_ref()?.since;
        self.policy().is_enabled().then(|| since + self.policy().write_stall)
    }

    /// For how long the store has been away.
    pub(super) fn away_for(&self) -> Option<Duration> {
        let away_at = self.away_at()?;
        let now = self.node.now();
        (now >= away_at).then(|| now - away_at + self.policy().write_stall)
    }

    /// Whether the store takes records, as the scheduler is to know it.
    pub(super) fn store_access(&self) -> StoreAccess {
        let may_start = || self.policy().unrecorded_starts && self.handle.grant.end() > self.node.now();
        match self.away_for() {
            None => StoreAccess::Answering,
            Some(_) if may_start() => StoreAccess::Away,
            Some(_) => StoreAccess::AwayAndNoStarts,
        }
    }

    /// Takes a batch: writes it, together with what is owed, or owes it while a write is under way.
    /// Returns it if there is nothing to write.
    pub(super) fn take(&mut self, batch: Batch) -> Option<Batch> {
        self.owed.add(batch);
        if self.is_writing() {
            return None;
        }
        let batch = std::mem::take(&mut self.owed).into_batch();
        if batch.records.is_empty() {
            return Some(batch);
        }
        let number = self.next_append;
        let dropped = batch.records.iter().filter_map(deleted_job).collect();
        let appends = self.encoder.appends_of(&batch.records, self.node.settings.store_sizes());
        let (node, handle) = (self.node.clone(), self.handle.clone());
        self.write.spawn(state_appends::write(node, handle, number, dropped, appends));
        self.in_flight = Some(BatchInFlight { batch, since: self.node.now() });
        None
    }

    /// Number of records that wait for the store, with those in flight.
    pub(super) fn record_count(&self) -> usize {
        self.owed.record_count() + self.in_flight.as_ref().map_or(0, |b| b.batch.records.len())
    }

    /// Takes out what may be done although the store is away.
    pub(super) fn take_early_work(&mut self, sched: &Scheduler) -> EarlyWork {
        let Some(away_for) = self.away_for() else { return EarlyWork::default() };
        let in_flight = self.in_flight.as_mut().map(|in_flight| &mut in_flight.batch);
        self.owed.take_early_work(in_flight, sched, away_for)
    }

    /// Waits until the batch in flight is stored and returns it; `None` if another term has begun or the
    /// write failed. Never returns while no batch is being written.
    pub(super) async fn next_written(&mut self) -> Option<WrittenBatch> {
        let Some(written) = self.write.join_next().await else { return std::future::pending().await };
        let in_flight = self.in_flight.take()?;
        let written =
            written.inspect_err(|e| log::error!("event=batch_not_written error=\"{e}\"")).ok()??;
        self.next_append = written.next_number;
        Some(WrittenBatch { batch: in_flight.batch, refused_jobs: written.refused_jobs })
    }
}
