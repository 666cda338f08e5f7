//! Assignment of workers to relays.
//!
//! The lease holder decides alone, but polling every worker and sending all starts can exceed what
//! one entry can carry. So beyond its own capacity the holder assigns its workers to other entries,
//! the *relays*. A relay polls its workers, extends their leases, sends them orders and reports
//! what is new.
//!
//! * The relay of a worker is chosen by its host, so a change of pool does not change the relay. It
//!   is chosen among the relays of the host's data centre by rendezvous hashing, so that the next
//!   holder makes the same choice.
//! * Each data centre has as many relays as its workers need.
//! * The token of a worker rises with each relay it is assigned to. Orders that an earlier relay
//!   still sends are refused once the new one has polled the worker, and the first report of the
//!   new relay lists all runs.
//! * If a relay is lost, its workers are assigned to others. The loss is reported with the time at
//!   which the last lease that it may have extended ends.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::job::Phase;
use super::lease_claim::EntryCapacity;
use super::scheduler::Scheduler;
use super::types::{Action, StopReply, WorkerUpdate};
use super::worker::Worker;
use super::worker_id::WorkerId;
use crate::ids::{DataCentre, HostId, Token};

/// Low bits of a worker's token that count its relays within a term.
const RELAY_COUNTER_BITS: u32 = 20;
/// Most workers that are moved in one tick only to relieve the holder; each move costs a poll that
/// lists all runs.
const MAX_OFFLOADED_PER_TICK: usize = 64;

/// Settings for the assignment of workers to relays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayPolicy {
    /// Most workers of one relay; bounds how many workers one stalled entry can hold up.
    #[serde(rename = "most_workers")]
    pub max_workers: usize,
    /// Fraction of its capacity for workers that an entry uses to poll them, as a relay or as the
    /// lease holder. The rest is for its own callers and peaks of demand.
    #[serde(rename = "share")]
    pub capacity_share: f64,
    /// Capacity that the relays of a data centre have beyond its workers, as a share of these.
    #[serde(rename = "spare")]
    pub spare_share: f64,
    /// Time for which a lost relay is not chosen again.
    #[serde(rename = "shun_for", with = "humantime_serde")]
    pub backoff: Duration,
}

impl Default for RelayPolicy {
    fn default() -> RelayPolicy {
        RelayPolicy {
            max_workers: 100,
            capacity_share: 0.4,
            spare_share: 0.1,
            backoff: Duration::from_secs(4),
        }
    }
}

/// An entry that may be a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayCandidate {
    /// Name of the entry.
    pub name: HostId,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Number of workers that the entry could poll as lease holder.
    pub holder_capacity: EntryCapacity,
}

/// An entry that is a relay.
#[derive(Debug)]
struct Relay {
    data_centre: DataCentre,
    max_workers: usize,
    /// Whether the relay accepts orders; until then its workers wait.
    ready: bool,
    /// When the relay was last heard from.
    last_heard: Duration,
    workers: BTreeSet<WorkerId>,
}

/// Candidates for relays, active relays, and workers that wait for one.
#[derive(Debug, Default)]
pub struct Relays {
    candidates: BTreeMap<HostId, RelayCandidate>,
    active: BTreeMap<HostId, Relay>,
    /// Entries that are not chosen before the given time.
    backoff_until: BTreeMap<HostId, Duration>,
    /// Workers without a relay.
    unassigned: BTreeSet<WorkerId>,
    /// Orders that need not be recorded before they are sent.
    orders: Vec<Action>,
    /// Highest number of relays in this term, by name, for workers that keep their name when they
    /// restart. Keeps tokens rising from one incarnation to the next.
    relay_counts: BTreeMap<String, u32>,
    /// Number of relays of other workers that were forgotten: one that was only cut off may be listed again.
    forgotten_counts: HashMap<WorkerId, u32>,
    /// The order in which they were forgotten.
    forgotten: VecDeque<WorkerId>,
}

/// Most forgotten workers whose number of relays is kept.
const MAX_FORGOTTEN_COUNTS: usize = 4096;

impl Relay {
    fn is_full(&self) -> bool {
        self.workers.len() >= self.max_workers
    }
}

impl Relays {
    /// Keeps the number of relays of a worker that is forgotten.
    fn keep_forgotten_count(&mut self, id: &WorkerId, relays: u32) {
        if self.forgotten_counts.insert(id.clone(), relays).is_none() {
            self.forgotten.push_back(id.clone());
        }
        if self.forgotten.len() > MAX_FORGOTTEN_COUNTS
            && let Some(earliest) = self.forgotten.pop_front()
        {
            self.forgotten_counts.remove(&earliest);
        }
    }

    /// Highest number of relays that a worker, or an earlier incarnation of it, has had in this term.
    fn earlier_count(&self, id: &WorkerId) -> u32 {
        let of_name = self.relay_counts.get(id.name()).copied();
        of_name.max(self.forgotten_counts.get(id).copied()).unwrap_or(0)
    }

    /// Adds an order that need not be recorded before it is sent.
    pub(super) fn push_order(&mut self, order: Action) {
        self.orders.push(order);
    }

    /// When a relay was last heard from; zero if it is not active.
    pub(super) fn last_heard(&self, relay: &str) -> Duration {
        self.active.get(relay).map_or(Duration::ZERO, |r| r.last_heard)
    }

    /// Whether a candidate may be chosen as a relay, with regard to its backoff.
    fn is_eligible(&self, candidate: &RelayCandidate, now: Duration) -> bool {
        self.backoff_until.get(&candidate.name).is_none_or(|until| *until <= now)
    }

    /// Active relays of a data centre, or of all data centres with `None`.
    fn in_data_centre<'a>(&'a self, dc: Option<&'a str>) -> impl Iterator<Item = (&'a HostId, &'a Relay)> {
        self.active.iter().filter(move |(_, r)| dc.is_none_or(|dc| r.data_centre == dc))
    }
}

/// Rank for rendezvous hashing: the same in every process, and different for each pair.
fn rendezvous_rank(entry: &str, other: &str) -> u64 {
    xxh3_64(format!("{entry}/{other}").as_bytes())
}

impl Scheduler {
    /// The token with which a worker is polled now; `None` if the worker is not known.
    pub fn token_of(&self, id: &WorkerId) -> Option<Token> {
        self.workers.get(id).map(|w| self.worker_token(w.relay_count))
    }

    /// The token of a worker's nth relay in this term, starting at 1.
    pub(super) fn worker_token(&self, relay_number: u32) -> Token {
        (self.token << RELAY_COUNTER_BITS) | u64::from(relay_number)
    }

    /// Sets the entries that may be relays; the holder is left out.
    pub fn set_relay_candidates(&mut self, candidates: Vec<RelayCandidate>) {
        let others = candidates.into_iter().filter(|e| e.name != self.holder);
        self.relays.candidates = others.map(|e| (e.name.clone(), e)).collect();
    }

    /// Number of workers that the holder polls without relays.
    fn own_capacity(&self) -> usize {
        self.relay_capacity(self.strength)
    }

    /// Number of workers that an entry polls, as a relay or as the lease holder.
    fn relay_capacity(&self, holder_capacity: EntryCapacity) -> usize {
        let policy = &self.policy.relays;
        ((f64::from(holder_capacity) * policy.capacity_share) as usize).clamp(1, policy.max_workers)
    }

    /// Whether workers are assigned to relays.
    fn needs_relays(&self) -> bool {
        self.workers.len() > self.own_capacity() && !self.relays.candidates.is_empty()
    }

    /// Queues a worker for a new relay. No orders are sent to it until it has answered that relay.
    pub(super) fn request_relay(&mut self, id: &WorkerId) {
        let lease_end = self.last_lease_end_of_relay(id);
        self.detach_relay(id, lease_end);
        self.relays.unassigned.insert(id.clone());
    }

    /// Takes a worker from its relay without assigning another; its runs are not settled by that.
    pub(super) fn withdraw_relay(&mut self, id: &WorkerId) {
        let lease_end = self.last_lease_end_of_relay(id);
        self.detach_relay(id, lease_end);
        self.relays.unassigned.remove(id);
    }

    /// When the last lease ends that the present relay of a worker may extend. The order to stop may not
    /// reach a relay in another entry, which then goes on until its grant ends.
    fn last_lease_end_of_relay(&self, id: &WorkerId) -> Duration {
        self.now + self.relay_grace(id) + self.lease_with_drift()
    }

    /// How long the present relay of a worker may go on extending its lease if no order reaches it.
    pub(super) fn relay_grace(&self, id: &WorkerId) -> Duration {
        let relay = self.workers.get(id).and_then(|w| w.relay.as_ref());
        match relay {
            Some(relay) if *relay != self.holder => self.limits.extension_grace,
            _ => Duration::ZERO,
        }
    }

    /// Detaches a worker from its relay, which may have extended the worker's lease until
    /// `lease_end`.
    fn detach_relay(&mut self, id: &WorkerId, lease_end: Duration) {
        let Some(mut w) = self.workers.get_mut(id) else { return };
        let relay = w.relay.take();
        let answered = w.reachable;
        if relay.is_some() && w.extensions.end(answered) {
            w.lease_end = w.lease_end.max(lease_end);
        }
        w.reachable = false;
        w.runs_known = false;
        w.poll_overdue = false;
        w.reports_load = false;
        drop(w);
        if let Some(relay) = relay {
            self.remove_from_relay(id, &relay);
        }
        self.reset_run_phases(id);
    }

    /// Resets the phases of runs whose orders an earlier relay may have sent without effect.
    fn reset_run_phases(&mut self, id: &WorkerId) {
        let now = self.now;
        for (task, attempt) in self.runs_on(id) {
            let Some(run) = self.run_mut(id, &task, attempt) else { continue };
            match run.phase {
                // The new token blocks the start, or the first report lists the run.
                Phase::Starting | Phase::Unanswered => run.set_phase(Phase::Inherited, now),
                // Sent again as soon as the worker is reachable.
                Phase::Stopping | Phase::Stopped => run.set_phase(Phase::Stopping, Duration::ZERO),
                Phase::Inherited | Phase::Running => {}
            }
        }
    }

    fn remove_from_relay(&mut self, id: &WorkerId, relay: &HostId) {
        let Some(r) = self.relays.active.get_mut(relay) else { return };
        if r.workers.remove(id) && r.ready {
            self.relays.orders.push(Action::StopPolling(id.clone()));
        }
    }

    /// Forgets the relay assignment of a worker that is removed.
    pub(super) fn forget_relay_assignment(&mut self, id: &WorkerId, w: &Worker) {
        self.relays.unassigned.remove(id);
        if id.started_at().is_none() && w.relay_count > 0 {
            self.relays.keep_forgotten_count(id, w.relay_count);
        }
        if let Some(relay) = &w.relay {
            self.remove_from_relay(id, relay);
        }
    }

    /// Has the load of a worker's runs reported while it has best-effort tasks.
    pub(super) fn update_load_reporting(&mut self, id: &WorkerId) {
        let Some(mut w) = self.workers.get_mut(id) else { return };
        let wanted = !w.best_effort.is_empty();
        if w.reports_load != wanted && w.reachable {
            w.reports_load = wanted;
            self.relays.orders.push(Action::ReportFigures(id.clone(), wanted));
        }
    }

    /// Assigns relays to all workers without one; returns the orders for them, which need no
    /// record.
    pub fn assign_relays(&mut self) -> Vec<Action> {
        for id in std::mem::take(&mut self.relays.unassigned) {
            self.assign_relay(&id);
        }
        std::mem::take(&mut self.relays.orders)
    }

    fn assign_relay(&mut self, id: &WorkerId) {
        let Some(info) = self.workers.get(id).and_then(|w| w.info.clone()) else { return };
        let entry = self.choose_relay(&info.data_centre, &info.host);
        let earlier_count = self.relays.earlier_count(id);
        let Some(mut w) = self.workers.get_mut(id) else { return };
        w.relay = Some(entry.clone());
        w.relay_count = 1 + w.relay_count.max(earlier_count);
        let relays = w.relay_count;
        drop(w);
        if id.started_at().is_some() {
            self.record_relay_count(id, relays);
        }
        let token = self.worker_token(relays);
        let extensions = self.begin_extensions(id);
        self.open_relay(&entry);
        let Some(r) = self.relays.active.get_mut(&entry) else { return };
        r.workers.insert(id.clone());
        if r.ready {
            self.relays.orders.push(Action::StartPolling {
                relay: entry,
                info: (*info).clone(),
                token,
                extensions,
            });
        }
    }

    /// Records how many relays a worker has had; its later incarnations get higher tokens.
    pub(super) fn record_relay_count(&mut self, id: &WorkerId, relays: u32) {
        let highest = self.relays.relay_counts.entry(id.name().to_string()).or_default();
        *highest = relays.max(*highest);
    }

    /// Makes an entry a relay if it is not one.
    fn open_relay(&mut self, entry: &HostId) {
        if self.relays.active.contains_key(entry) {
            return;
        }
        let is_holder = *entry == self.holder;
        let known = self.relays.candidates.get(entry);
        let relay = Relay {
            data_centre: known.map(|e| e.data_centre.clone()).unwrap_or_default(),
            max_workers: self.relay_capacity(known.map_or(self.strength, |e| e.holder_capacity)),
            ready: is_holder,
            last_heard: self.now,
            workers: BTreeSet::new(),
        };
        self.relays.active.insert(entry.clone(), relay);
        if !is_holder {
            self.notes.push(format_args!("event=relay_opened relay={entry}"));
            self.relays.orders.push(Action::OpenRelay(entry.clone()));
        }
    }

    /// Chooses the entry that polls a host's worker: a relay of its data centre if there is one,
    /// else any relay, or the holder itself if there are few workers or no relays.
    fn choose_relay(&mut self, dc: &DataCentre, host: &HostId) -> HostId {
        if !self.needs_relays() {
            return self.holder.clone();
        }
        let workers_here = self.workers.count_in_data_centre(dc);
        self.open_relays_for(Some(dc), workers_here);
        let found = self.best_relay_with_room(Some(dc), host);
        let found = found.or_else(|| {
            self.open_relays_for(None, self.workers.len());
            self.best_relay_with_room(None, host)
        });
        found.unwrap_or_else(|| self.least_loaded_relay())
    }

    /// Opens relays until those of a data centre have capacity for this many workers.
    fn open_relays_for(&mut self, dc: Option<&DataCentre>, workers: usize) {
        let needed = (workers as f64 * (1.0 + self.policy.relays.spare_share)).ceil() as usize;
        let dc_name = dc.map(String::as_str);
        let others = |name: &HostId| *name != self.holder;
        let mut capacity: usize =
            self.relays.in_data_centre(dc_name).filter(|(n, _)| others(n)).map(|(_, r)| r.max_workers).sum();
        while capacity < needed {
            let Some(next) = self.next_relay_candidate(dc_name) else { return };
            self.open_relay(&next);
            capacity += self.relays.active.get(&next).map_or(1, |r| r.max_workers);
        }
    }

    /// The next entry to become a relay: the strongest, with ties broken by a hash of its name.
    fn next_relay_candidate(&self, dc: Option<&str>) -> Option<HostId> {
        let idle = self.relays.candidates.values().filter(|e| !self.relays.active.contains_key(&e.name));
        let here = idle.filter(|e| dc.is_none_or(|dc| e.data_centre == dc));
        let eligible = here.filter(|e| self.relays.is_eligible(e, self.now));
        let best =
            eligible.max_by_key(|e| (self.relay_capacity(e.holder_capacity), rendezvous_rank(&e.name, "")));
        best.map(|e| e.name.clone())
    }

    /// The relay with room for another worker that ranks first for the host.
    fn best_relay_with_room(&self, dc: Option<&DataCentre>, host: &str) -> Option<HostId> {
        let relays = self.relays.in_data_centre(dc.map(String::as_str));
        let with_room = relays.filter(|(name, r)| **name != self.holder && !r.is_full());
        with_room.max_by_key(|(name, _)| rendezvous_rank(name, host)).map(|(name, _)| name.clone())
    }

    /// The relay with the fewest workers, or the holder if there is none.
    fn least_loaded_relay(&self) -> HostId {
        let others = self.relays.active.iter().filter(|(name, _)| **name != self.holder);
        let least = others.min_by_key(|(_, r)| r.workers.len());
        least.map_or_else(|| self.holder.clone(), |(name, _)| name.clone())
    }

    /// Handles an update on a worker from its relay. Updates from an earlier relay are dropped, since
    /// the present one reports their content again; accepting them would let orders be sent before
    /// the present relay has polled the worker.
    pub(super) fn handle_worker_update(&mut self, id: &WorkerId, token: Token, update: WorkerUpdate) {
        let present = self.workers.get(id).filter(|w| w.relay.is_some());
        if present.is_none_or(|w| self.worker_token(w.relay_count) != token) {
            return;
        }
        self.note_answer_in(id, &update);
        match update {
            WorkerUpdate::Reported(report) => {
                self.handle_report(id, &report);
                self.allow_extensions(id);
            }
            WorkerUpdate::ProbeLate => self.mark_answer_late(id),
            WorkerUpdate::Unanswered { lease_end, .. } => self.mark_unreachable(id, lease_end),
            WorkerUpdate::AwaitsOrder => self.note_awaited_order(id),
            WorkerUpdate::LeaseConfirmed(until) => self.note_confirmed_lease(id, until),
            WorkerUpdate::Deposed => self.note_higher_token(id),
            WorkerUpdate::Started(task, attempt, reply) => self.handle_start_reply(id, task, attempt, reply),
            WorkerUpdate::Stopped(task, attempt, reply) => self.handle_stop_reply(id, task, attempt, reply),
        }
    }

    /// Handles the answer of a worker that knows a higher token: another process has taken over.
    pub(super) fn note_higher_token(&mut self, id: &WorkerId) {
        let token = self.token_of(id).unwrap_or_default();
        self.notes.push(format_args!("event=higher_token_seen worker={id} token={token}"));
        self.deposed = true;
    }

    /// The latest time at which the worker answered, according to the update.
    pub(super) fn answer_time(&self, update: &WorkerUpdate) -> Option<Duration> {
        match update {
            WorkerUpdate::Reported(_) | WorkerUpdate::Deposed => Some(self.now),
            WorkerUpdate::Unanswered { heard, .. } => Some(*heard),
            WorkerUpdate::Started(_, _, reply) => reply.is_answer().then_some(self.now),
            WorkerUpdate::Stopped(_, _, reply) => (*reply == StopReply::Taken).then_some(self.now),
            WorkerUpdate::ProbeLate | WorkerUpdate::AwaitsOrder | WorkerUpdate::LeaseConfirmed(_) => None,
        }
    }

    /// Notes that a relay accepts orders from now on, and orders it to poll its workers.
    pub(super) fn relay_up(&mut self, entry: &HostId) {
        let Some(r) = self.relays.active.get_mut(entry) else { return };
        r.ready = true;
        r.last_heard = self.now;
        let workers: Vec<WorkerId> = r.workers.iter().cloned().collect();
        self.notes.push(format_args!("event=relay_up relay={entry} workers={}", workers.len()));
        for id in workers {
            let Some(w) = self.workers.get(&id) else { continue };
            let Some(info) = &w.info else { continue };
            let (info, token) = ((**info).clone(), self.worker_token(w.relay_count));
            let extensions = w.extensions.orders;
            self.relays.orders.push(Action::StartPolling { relay: entry.clone(), info, token, extensions });
        }
    }

    /// Notes that a relay was heard from.
    pub(super) fn relay_heard(&mut self, entry: &HostId) {
        if let Some(r) = self.relays.active.get_mut(entry) {
            r.last_heard = self.now;
        }
    }

    /// Handles the loss of a relay, or the failure to reach it. Leases that it extended end by
    /// `lease_end`. `may_return` means that the relay itself may still be running; if it was ready,
    /// it may then be chosen again at once.
    pub(super) fn relay_down(&mut self, entry: &HostId, lease_end: Duration, may_return: bool) {
        let Some(r) = self.relays.active.remove(entry) else { return };
        self.notes.push(format_args!(
            "event=relay_lost relay={entry} workers={} was_up={} may_return={may_return}",
            r.workers.len(),
            r.ready
        ));
        if !(may_return && r.ready) {
            let until = self.now + self.policy.relays.backoff;
            self.relays.backoff_until.insert(entry.clone(), until);
        }
        for id in r.workers {
            let lease_end = if r.ready { lease_end } else { Duration::ZERO };
            self.detach_relay(&id, lease_end);
            self.relays.unassigned.insert(id);
        }
    }

    /// Reassigns the workers of a relay that is about to stop, while it still answers.
    pub(super) fn relay_leaving(&mut self, entry: &HostId) {
        let Some(r) = self.relays.active.get(entry) else { return };
        let workers: Vec<WorkerId> = r.workers.iter().cloned().collect();
        self.notes.push(format_args!("event=relay_leaving relay={entry} workers={}", workers.len()));
        let until = self.now + self.policy.relays.backoff;
        self.relays.backoff_until.insert(entry.clone(), until);
        workers.iter().for_each(|id| self.request_relay(id));
        self.relays.active.remove(entry);
        self.relays.orders.push(Action::CloseRelay(entry.clone()));
    }

    /// Whether an entry other than the holder is a relay or may be chosen as one.
    fn has_other_relay(&self) -> bool {
        let active = self.relays.active.keys().any(|name| *name != self.holder);
        active || self.next_relay_candidate(None).is_some()
    }

    /// Moves workers that the holder polls itself to relays, if relays are needed.
    pub(super) fn offload_holder(&mut self) {
        self.relays.backoff_until.retain(|_, until| *until > self.now);
        if !self.needs_relays() || !self.has_other_relay() {
            return;
        }
        let Some(own) = self.relays.active.get(&self.holder) else { return };
        let moved: Vec<WorkerId> = own.workers.iter().take(MAX_OFFLOADED_PER_TICK).cloned().collect();
        moved.iter().for_each(|id| self.request_relay(id));
    }
}
