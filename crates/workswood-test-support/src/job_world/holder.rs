//! Simulated lease holders: each runs a scheduler, writes to the store and sends orders to relays.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use workswood::ops::jobs::append_calls::StateEncoder;
use workswood_core::ids::{DataCentre, HostId, Term};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::owed_batch::{EarlyWork, OwedBatch};
use workswood_core::jobs::types::{JobStatusUpdate, Record, lease_with_drift};
use workswood_core::jobs::{
    Action, Advice, AdviceReply, AdviceResult, Batch, Event, JobNumber, JobStatus, Outcome, Scheduler,
    StepId, StoreAccess, WorkerUpdate,
};

use super::adviser::{self, may_run};
use super::evacuations::is_evacuated;
use super::fault_rng::Fate;
use super::relay::{Session, ToHolder, ToRelay, full_leases_until};
use super::second_owner::key_of;
use super::{EXTENSION_GRACE, FULL_LEASE_GRACE, LEASE, STEP, World, limits};

/// Interval between ticks of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(160);
/// After a longer pause the store has the full time again to acknowledge a write.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Silence after which a holder closes the session with a relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1000);

/// The holder's state of a session with a relay.
struct RelaySession {
    number: u64,
    up: bool,
    /// When the last heartbeat of the relay arrived.
    last_heartbeat: Duration,
    /// Until when the relay may extend leases.
    extends_until: Duration,
}

/// A lease holder.
pub(super) struct Holder {
    pub sched: Scheduler,
    /// How it writes its state, where the store holds that in its stored form.
    pub encoder: StateEncoder,
    /// When the holder last renewed its own lease; zero before it first did.
    pub renewed: Duration,
    pub paused_until: Duration,
    /// A batch that is being written to the store, and when the write finishes.
    writing: Option<(Duration, Batch)>,
    /// Since when that batch is being written.
    writing_since: Duration,
    /// When the holder last ran.
    last_awake: Duration,
    /// Batches that wait for that one while the store is away.
    owed: OwedBatch,
    /// Until when the store takes nothing from this holder.
    pub store_away_until: Duration,
    next_tick: Duration,
    sessions: BTreeMap<HostId, RelaySession>,
    /// Until when relays of other processes may extend leases.
    relays_extend_until: Duration,
    /// Relay and fencing token of each watched worker.
    watched: BTreeMap<WorkerId, (HostId, Term)>,
    /// Events that have not arrived yet, with the time of their arrival.
    inbox: Vec<(Duration, Event)>,
    /// The last published state of each job, by the key under which the world knows it.
    pub shown: HashMap<JobNumber, JobStatusUpdate>,
    /// The published states reflect everything that was in the inbox at this time; zero before it was first read.
    pub shown_inbox_read_at: Duration,
}

impl Holder {
    pub(super) fn new(sched: Scheduler, encoder: StateEncoder, now: Duration) -> Holder {
        Holder {
            sched,
            encoder,
            renewed: Duration::ZERO,
            paused_until: Duration::ZERO,
            writing: None,
            writing_since: now,
            last_awake: now,
            owed: OwedBatch::default(),
            store_away_until: Duration::ZERO,
            next_tick: now,
            sessions: BTreeMap::new(),
            relays_extend_until: Duration::ZERO,
            watched: BTreeMap::new(),
            inbox: Vec::new(),
            shown: HashMap::new(),
            shown_inbox_read_at: Duration::ZERO,
        }
    }

    /// Takes the batch that is being written.
    pub(super) fn take_write(&mut self) -> Option<Batch> {
        self.writing.take().map(|(_, batch)| batch)
    }

    /// Enqueues the set of evacuated data centres; it does not overtake an earlier one.
    pub(super) fn enqueue_evacuations(&mut self, at: Duration, evacuated: BTreeSet<DataCentre>) {
        let earlier = self.inbox.iter().filter(|(_, ev)| is_evacuated(ev)).map(|(at, _)| *at).max();
        self.enqueue_event(at.max(earlier.unwrap_or_default()), Event::Evacuated(evacuated));
    }

    /// Enqueues an event that arrives at a time.
    pub(super) fn enqueue_event(&mut self, at: Duration, ev: Event) {
        self.inbox.push((at, ev));
    }
}

impl World {
    /// Runs a holder for one step.
    pub(super) fn run_holder(&mut self, n: usize) {
        let now = self.now;
        // One that was deposed isn't the newest either while its successor has gone.
        let newest = self.holders[n].sched.token == self.term;
        let h = &mut self.holders[n];
        if newest && h.store_away_until <= now {
            h.renewed = now;
            self.full_leases_until = self.full_leases_until.max(now + FULL_LEASE_GRACE);
        }
        if std::mem::replace(&mut h.last_awake, now) + MAX_PAUSE <= now {
            h.writing_since = now;
        }
        h.sched.now = now;
        h.sched.wall = now.as_millis() as u64;
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut h.inbox).into_iter().partition(|(at, _)| *at <= now);
        h.inbox = waiting;
        due.into_iter().for_each(|(_, ev)| h.sched.handle(ev));
        self.receive_from_relays(n);
        let h = &mut self.holders[n];
        if h.next_tick <= now {
            h.next_tick = now + TICK_INTERVAL;
            h.sched.handle(Event::Tick);
        }
        self.assign_relays(n);
        self.finish_write(n, newest);
        if self.holders[n].sched.deposed {
            self.print_notes(n);
            return;
        }
        let access = self.store_access(n);
        self.holders[n].sched.set_store_access(access);
        if self.holders[n].writing.is_none() {
            let batch = self.holders[n].sched.take_batch();
            self.print_notes(n);
            self.holders[n].owed.add(batch);
            let batch = std::mem::take(&mut self.holders[n].owed).into_batch();
            if batch.records.is_empty() {
                self.publish(n, batch);
            } else {
                let at = now + Duration::from_millis(20 * (1 + self.rng.below(3)));
                self.holders[n].writing = Some((at, batch));
                self.holders[n].writing_since = now;
            }
        } else if access != StoreAccess::Answering {
            let batch = self.holders[n].sched.take_batch();
            self.print_notes(n);
            self.holders[n].owed.add(batch);
            self.do_early_work(n);
        }
    }

    /// Whether the store counts as away for a holder.
    fn store_access(&self, n: usize) -> StoreAccess {
        let h = &self.holders[n];
        let policy = &h.sched.policy.outage;
        let stalled = h.writing.is_some() && h.writing_since + policy.write_stall <= self.now;
        match (stalled && policy.is_enabled(), h.renewed + EXTENSION_GRACE > self.now) {
            (false, _) => StoreAccess::Answering,
            (true, true) => StoreAccess::Away,
            (true, false) => StoreAccess::AwayAndNoStarts,
        }
    }

    /// Carries out what needs no record first.
    fn do_early_work(&mut self, n: usize) {
        let away_for = self.now - self.holders[n].writing_since;
        let h = &mut self.holders[n];
        let in_flight = h.writing.as_mut().map(|(_, batch)| batch);
        let EarlyWork { actions, statuses } = h.owed.take_early_work(in_flight, &h.sched, away_for);
        self.show(n, statuses);
        let starts = actions.iter().filter(|a| matches!(a, Action::Start { .. })).count();
        self.seen.unrecorded_starts += starts as u64;
        actions.into_iter().for_each(|action| self.send(n, action));
    }

    /// Prints the scheduler's notes if `WORKSWOOD_TEST_LOG` is set.
    fn print_notes(&mut self, n: usize) {
        let sched = &mut self.holders[n].sched;
        if std::env::var_os("WORKSWOOD_TEST_LOG").is_some() {
            let (now, term) = (self.now.as_millis(), sched.token);
            sched.notes.iter().for_each(|line| eprintln!("at_ms={now} term={term} {line}"));
        }
        sched.notes.clear();
    }

    /// Sends the orders that assign workers to relays.
    fn assign_relays(&mut self, n: usize) {
        for action in self.holders[n].sched.assign_relays() {
            self.send(n, action);
        }
    }

    /// Handles messages from relays, and closes sessions that are broken or silent.
    fn receive_from_relays(&mut self, n: usize) {
        let now = self.now;
        let sessions: Vec<(HostId, u64)> =
            self.holders[n].sessions.iter().map(|(entry, t)| (entry.clone(), t.number)).collect();
        for (entry, number) in sessions {
            for msg in self.receive_from_relay(number) {
                self.handle_relay_message(n, &entry, msg);
            }
            let Some(t) = self.holders[n].sessions.get(&entry).filter(|t| t.number == number) else {
                continue;
            };
            let broken =
                self.sessions.get(&number).is_none_or(|s| !s.kept_by_relay && !self.is_partitioned(&entry));
            // The holder's own relay shares its pauses and never times out.
            let silent = entry != self.holders[n].sched.holder && t.last_heartbeat + RELAY_TIMEOUT < now;
            if broken || silent {
                self.close_session(n, &entry, broken && t.up);
            }
        }
    }

    fn receive_from_relay(&mut self, number: u64) -> Vec<ToHolder> {
        let now = self.now;
        let partitioned = self.sessions.get(&number).is_some_and(|s| self.is_partitioned(&s.relay));
        let Some(s) = self.sessions.get_mut(&number) else { return Vec::new() };
        let mut messages = Vec::new();
        while !partitioned && s.to_holder.front().is_some_and(|(t, _)| *t <= now) {
            messages.extend(s.to_holder.pop_front().map(|(_, msg)| msg));
        }
        messages
    }

    fn handle_relay_message(&mut self, n: usize, entry: &HostId, msg: ToHolder) {
        let now = self.now;
        let h = &mut self.holders[n];
        let Some(t) = h.sessions.get_mut(entry) else { return };
        match msg {
            ToHolder::Ready => {
                t.up = true;
                t.last_heartbeat = now;
                h.sched.handle(Event::RelayUp(entry.clone()));
            }
            ToHolder::Heartbeat(sent) => {
                t.last_heartbeat = now;
                t.extends_until = h.renewed + EXTENSION_GRACE;
                if *entry != h.sched.holder {
                    h.relays_extend_until = t.extends_until;
                }
                let (number, left) = (t.number, t.extends_until.saturating_sub(now));
                h.sched.handle(Event::RelayHeard(entry.clone()));
                self.send_to_relay(number, ToRelay::Grant { sent, left });
            }
            ToHolder::LifeOver(id, silent) => {
                h.sched.handle(Event::OtherIncarnationAnswered(id, now.saturating_sub(silent)));
            }
            ToHolder::Restarted(id, started, silent) => {
                h.sched.handle(Event::WorkerRestarted(id, started, now.saturating_sub(silent)));
            }
            ToHolder::Leaving => h.sched.handle(Event::RelayLeaving(entry.clone())),
            ToHolder::Update(id, token, update) => {
                let update = match update {
                    WorkerUpdate::Unanswered { lease_end, heard } => WorkerUpdate::Unanswered {
                        lease_end: now + lease_end,
                        heard: now.saturating_sub(heard),
                    },
                    other => other,
                };
                h.sched.handle(Event::WorkerUpdate(id, token, update));
            }
        }
    }

    fn close_session(&mut self, n: usize, entry: &HostId, may_return: bool) {
        let h = &mut self.holders[n];
        let Some(t) = h.sessions.remove(entry) else { return };
        if let Some(s) = self.sessions.get_mut(&t.number) {
            s.kept_by_holder = false;
        }
        let end = full_leases_until(t.extends_until) + lease_with_drift(LEASE, limits().clock_drift);
        h.sched.handle(Event::RelayDown { entry: entry.clone(), lease_end: end, may_return });
    }

    /// Latency between the two sides of a session. A holder's own relay is in its process.
    pub(super) fn latency_of(&self, number: u64) -> Duration {
        let relay = self.sessions.get(&number).map(|s| &s.relay);
        let own = self.relays.iter().any(|r| Some(&r.name) == relay && r.own.is_some());
        if own { STEP } else { self.link_latency }
    }

    fn send_to_relay(&mut self, number: u64, msg: ToRelay) {
        let at = self.now + self.latency_of(number);
        if let Some(s) = self.sessions.get_mut(&number) {
            s.to_relay.push_back((at, msg));
        }
    }

    fn finish_write(&mut self, n: usize, newest: bool) {
        let h = &mut self.holders[n];
        let due = h.writing.as_ref().is_some_and(|(at, _)| *at <= self.now);
        if !due || self.now < h.store_away_until {
            return;
        }
        let Some((_, batch)) = h.writing.take() else { return };
        // The store rejects writes of earlier terms.
        if !newest {
            h.sched.deposed = true;
            return;
        }
        self.store_and_publish(n, batch);
    }

    /// Has the newest holder end by plan, with its relay, and release the lease, which a successor claims.
    /// What it is writing is stored before if the store answers.
    pub fn hand_over(&mut self) {
        if let Some(last) = self.holders.len().checked_sub(1) {
            self.finish_last_write(last);
            let h = &self.holders[last];
            // A relay that the holder reaches confirms that it has ended.
            let unreached = self.relays.iter().any(|r| r.partitioned || r.paused_until > self.now);
            let by_relays = if unreached { full_leases_until(h.relays_extend_until) } else { Duration::ZERO };
            let extended_until = by_relays.max(h.sched.predecessors_extend_until());
            self.full_leases_until = extended_until.max(self.now);
        }
        self.kill_holder();
        self.take_over();
    }

    /// Stores and publishes what a holder is writing, and then when the leases of silent workers end, if it runs and
    /// the store answers.
    fn finish_last_write(&mut self, n: usize) {
        let h = &mut self.holders[n];
        if h.store_away_until > self.now || h.paused_until > self.now || h.sched.deposed {
            return;
        }
        if let Some((_, batch)) = h.writing.take() {
            self.store_and_publish(n, batch);
        }
        let h = &mut self.holders[n];
        h.sched.record_last_bounds();
        let batch = h.sched.take_batch();
        h.owed.add(batch);
        let batch = std::mem::take(&mut h.owed).into_batch();
        self.print_notes(n);
        self.store_and_publish(n, batch);
    }

    fn store_and_publish(&mut self, n: usize, batch: Batch) {
        self.store_records(n, &batch);
        self.holders[n].sched.records_stored(&batch.records);
        self.publish(n, batch);
    }

    /// Makes the store silent for the newest holder; it may have stored the batch that was being
    /// written.
    pub fn lose_store(&mut self, duration: Duration) {
        let until = self.now + duration;
        let stored = self.rng.below(2) == 0;
        let Some(last) = self.holders.len().checked_sub(1) else { return };
        let h = &mut self.holders[last];
        h.store_away_until = until;
        if let Some((at, batch)) = h.writing.take() {
            if stored {
                self.store_records(last, &batch);
            }
            if let Some(h) = self.holders.last_mut() {
                h.writing = Some((at, batch));
            }
        }
    }

    /// Makes the store available to all holders.
    pub(super) fn regain_store(&mut self) {
        self.holders.iter_mut().for_each(|h| h.store_away_until = Duration::ZERO);
    }

    fn store_records(&mut self, n: usize, batch: &Batch) {
        if self.bounded_store.is_some() {
            self.store_appends(n, batch, None);
            return;
        }
        for rec in &batch.records {
            match rec {
                Record::Job(key, rec) => {
                    self.stored_jobs.insert(*key, rec);
                }
                Record::Worker(id, rec) => {
                    self.stored_workers.insert(id.clone(), rec.clone());
                }
                Record::DropWorker(id) => {
                    self.stored_workers.remove(id);
                }
                Record::EndedIncarnation(id, Some(ended)) => {
                    self.stored_ended.insert(id.clone(), ended.clone());
                }
                Record::EndedIncarnation(id, None) => {
                    self.stored_ended.remove(id);
                }
                // The simulation has no host orders and no waves.
                Record::DropJob(..) | Record::Wave(..) | Record::HostOrderMark(..) => {}
            }
        }
    }

    /// Publishes a stored batch: job states, acknowledgements and actions.
    fn publish(&mut self, n: usize, batch: Batch) {
        self.trimmed.extend(batch.finished_jobs.into_iter().map(key_of));
        self.show(n, batch.status_updates);
        self.holders[n].shown_inbox_read_at = batch.inbox_read_at;
        for (id, number) in batch.acked_ends {
            self.order(n, &id.clone(), ToRelay::Forget(id, number));
        }
        for action in batch.actions {
            self.send(n, action);
        }
    }

    /// Shows states of jobs to callers.
    fn show(&mut self, n: usize, statuses: Vec<JobStatusUpdate>) {
        for s in statuses {
            let key = key_of(s.key);
            match s.state {
                Some(JobStatus::Ended(Outcome::Completed)) => {
                    self.shown_completed.entry(key).or_insert(self.now);
                    self.check_completed(key);
                }
                Some(JobStatus::Ended(Outcome::Failed)) => self.check_failed(key),
                _ => {}
            }
            self.holders[n].shown.insert(key, s);
        }
    }

    /// Carries out an action, mostly by an order to a relay.
    fn send(&mut self, n: usize, action: Action) {
        self.check_checkpoint(&action);
        match action {
            Action::OpenRelay(entry) => self.open(n, entry),
            Action::CloseRelay(entry) => {
                if let Some(t) = self.holders[n].sessions.remove(&entry)
                    && let Some(s) = self.sessions.get_mut(&t.number)
                {
                    s.kept_by_holder = false;
                }
            }
            Action::StartPolling { relay, info, token, extensions } => {
                let id = info.id;
                self.holders[n].watched.insert(id.clone(), (relay, token));
                self.order(n, &id.clone(), ToRelay::Watch { id, token, extensions });
            }
            Action::ExtendLeases(id, unanswered) => {
                self.order(n, &id.clone(), ToRelay::ExtendLeases(id, unanswered));
            }
            Action::StopPolling(id) => {
                self.order(n, &id, ToRelay::Unwatch(id.clone()));
                self.holders[n].watched.remove(&id);
            }
            Action::Start { worker, token, task, attempt, ticket, .. } => {
                if !self.holders[n].sched.hand_on_start(&worker, &task, attempt) {
                    return;
                }
                self.note_attempt(n, &worker, task, attempt);
                let task = task.unowned();
                if self.holders[n].watched.get(&worker).is_some_and(|(_, t)| *t == token) {
                    let id = worker.clone();
                    self.order(n, &worker, ToRelay::Start { id, task, attempt, ticket });
                }
            }
            Action::Advise { channel, step, workers, timeout } => {
                self.advise(n, channel, step, workers, timeout)
            }
            Action::Stop(worker, task, attempt) => {
                self.order(n, &worker.clone(), ToRelay::Stop(worker, task.unowned(), attempt));
            }
            Action::WithdrawStart(worker, task, attempt) => {
                self.order(n, &worker.clone(), ToRelay::WithdrawStart(worker, task.unowned(), attempt));
            }
            Action::SetPace { .. }
            | Action::MaintainHost(..)
            | Action::MoveHost(..)
            | Action::ReportFigures(..) => {}
        }
    }

    /// Sends an order to the relay that watches a worker.
    fn order(&mut self, n: usize, id: &WorkerId, msg: ToRelay) {
        let h = &self.holders[n];
        let Some((relay, _)) = h.watched.get(id) else { return };
        let Some(number) = h.sessions.get(relay).map(|t| t.number) else { return };
        self.send_to_relay(number, msg);
    }

    /// Opens a session with a relay.
    pub(super) fn open(&mut self, n: usize, entry: HostId) {
        let (now, term) = (self.now, self.holders[n].sched.token);
        self.last_session += 1;
        let number = self.last_session;
        let own = entry == self.holders[n].sched.holder;
        let at = self.relays.iter().position(|r| r.name == entry);
        let connected = at.is_some_and(|at| {
            let r = &mut self.relays[at];
            let reachable = !r.partitioned && !r.leaving && r.paused_until <= now;
            reachable && r.serve(number, term, now)
        });
        let mut session = Session {
            term,
            relay: entry.clone(),
            to_relay: Default::default(),
            to_holder: Default::default(),
            kept_by_holder: true,
            kept_by_relay: connected,
        };
        if connected && !own {
            session.to_holder.push_back((now + STEP, ToHolder::Ready));
        }
        self.sessions.insert(number, session);
        let session = RelaySession { number, up: own, last_heartbeat: now, extends_until: Duration::ZERO };
        self.holders[n].sessions.insert(entry, session);
    }

    /// Simulates a call to the adviser, which may fail or time out.
    fn advise(&mut self, n: usize, channel: usize, step: StepId, workers: Vec<WorkerId>, timeout: Duration) {
        let cfg = self.advice;
        let duration = (cfg.base_call_time + cfg.time_per_worker * workers.len() as u32).max(STEP);
        let index_of = |id: &&WorkerId| self.workers.iter().position(|w| w.id == **id);
        let suitable = workers.iter().filter(|id| index_of(id).is_some_and(|at| may_run(&step, at)));
        let issued_at = self.now + duration;
        let tickets: Vec<(WorkerId, Arc<str>)> = suitable
            .map(|id| (id.clone(), adviser::ticket(&step, id, issued_at + cfg.ticket_lifetime)))
            .collect();
        let answer = AdviceReply::Answered(Advice { tickets, valid_for: Some(cfg.ticket_lifetime) });
        let fate = self.rng.fate();
        if fate != Fate::Fine {
            self.note_fault();
        }
        let (reply, wait) = match (fate, self.rng.below(8)) {
            (Fate::Fine, _) => (answer, duration),
            (_, 0 | 1) => (AdviceReply::Busy, STEP),
            (_, 2 | 3) => (AdviceReply::NotSent, STEP),
            // The answer arrives just before the timeout, with a ticket issued earlier.
            (_, 4 | 5) => (answer, timeout),
            _ => (AdviceReply::NoAnswer, timeout),
        };
        let advised = Event::AdviceReceived(AdviceResult { channel, step, workers, reply });
        self.holders[n].enqueue_event(self.now + wait, advised);
    }
}
