//! Lease holders: what they decide, store and have done.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::{DataCentre, HostId, Term};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::types::{JobStatusUpdate, Record, lease_with_drift};
use workswood_core::jobs::{
    Action, Advice, AdviceReply, AdviceResult, Batch, Event, JobKey, JobStatus, Outcome, Scheduler, StepId,
    WorkerUpdate,
};

use super::adviser::{self, ADVICE, may_run};
use super::evacuations::is_evacuated;
use super::fault_rng::Fate;
use super::relay::{Session, ToHolder, ToRelay};
use super::{GRACE, LEASE, STEP, World, limits};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(160);
/// A holder gives a relay up that it has not heard of for so long.
const RELAY_SILENT: Duration = Duration::from_millis(1000);

/// A session as its holder knows it.
struct Talk {
    number: u64,
    up: bool,
    heard: Duration,
    /// Until when the relay may extend leases.
    granted: Duration,
}

/// A lease holder.
pub(super) struct Holder {
    pub sched: Scheduler,
    /// When it last renewed.
    pub renewed: Duration,
    pub paused_until: Duration,
    writing: Option<(Duration, Batch)>,
    next_tick: Duration,
    talks: BTreeMap<HostId, Talk>,
    /// Who attends each worker, and with which token.
    attended: BTreeMap<WorkerId, (HostId, Term)>,
    /// Events that wait: when to take them, and what they are.
    inbox: Vec<(Duration, Event)>,
    pub shown: HashMap<JobKey, JobStatusUpdate>,
}

impl Holder {
    pub(super) fn new(sched: Scheduler, now: Duration) -> Holder {
        Holder {
            sched,
            renewed: now,
            paused_until: Duration::ZERO,
            writing: None,
            next_tick: now,
            talks: BTreeMap::new(),
            attended: BTreeMap::new(),
            inbox: Vec::new(),
            shown: HashMap::new(),
        }
    }

    /// Tells it what is evacuated, not before what it was told earlier.
    pub(super) fn hears_evacuated(&mut self, at: Duration, evacuated: BTreeSet<DataCentre>) {
        let earlier = self.inbox.iter().filter(|(_, ev)| is_evacuated(ev)).map(|(at, _)| *at).max();
        self.hears(at.max(earlier.unwrap_or_default()), Event::Evacuated(evacuated));
    }

    /// Tells it of something that it hears of at a time.
    pub(super) fn hears(&mut self, at: Duration, ev: Event) {
        self.inbox.push((at, ev));
    }
}

impl World {
    /// Lets a holder work for a step.
    pub(super) fn run_holder(&mut self, n: usize) {
        let now = self.now;
        let newest = n + 1 == self.holders.len();
        let h = &mut self.holders[n];
        if newest {
            h.renewed = now;
        }
        h.sched.now = now;
        h.sched.wall = now.as_millis() as u64;
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut h.inbox).into_iter().partition(|(at, _)| *at <= now);
        h.inbox = waiting;
        due.into_iter().for_each(|(_, ev)| h.sched.handle(ev));
        self.hear_relays(n);
        let h = &mut self.holders[n];
        if h.next_tick <= now {
            h.next_tick = now + TICK;
            h.sched.handle(Event::Tick);
        }
        self.attend(n);
        self.finish_write(n, newest);
        if self.holders[n].sched.deposed {
            self.show_notes(n);
            return;
        }
        if self.holders[n].writing.is_none() {
            let batch = self.holders[n].sched.take_batch();
            self.show_notes(n);
            if batch.records.is_empty() {
                self.act(n, batch);
            } else {
                let at = now + Duration::from_millis(20 * (1 + self.rng.below(3)));
                self.holders[n].writing = Some((at, batch));
            }
        }
    }

    /// Prints what a holder has decided, if that is asked for.
    fn show_notes(&mut self, n: usize) {
        let sched = &mut self.holders[n].sched;
        if std::env::var_os("WORKSWOOD_TEST_LOG").is_some() {
            let (now, term) = (self.now.as_millis(), sched.token);
            sched.notes.iter().for_each(|line| eprintln!("at_ms={now} term={term} {line}"));
        }
        sched.notes.clear();
    }

    /// Has workers attended.
    fn attend(&mut self, n: usize) {
        for action in self.holders[n].sched.assign_relays() {
            self.send(n, action);
        }
    }

    /// Takes what its relays told, and gives those up that are silent.
    fn hear_relays(&mut self, n: usize) {
        let now = self.now;
        let talks: Vec<(HostId, u64)> =
            self.holders[n].talks.iter().map(|(entry, t)| (entry.clone(), t.number)).collect();
        for (entry, number) in talks {
            for msg in self.take_for_holder(number) {
                self.hear(n, &entry, msg);
            }
            let Some(t) = self.holders[n].talks.get(&entry).filter(|t| t.number == number) else { continue };
            let broken = self.sessions.get(&number).is_none_or(|s| !s.kept_by_relay && !self.is_cut(&entry));
            // A holder does not give itself up.
            let silent = entry != self.holders[n].sched.holder && t.heard + RELAY_SILENT < now;
            if broken || silent {
                self.give_up(n, &entry, broken && t.up);
            }
        }
    }

    fn take_for_holder(&mut self, number: u64) -> Vec<ToHolder> {
        let now = self.now;
        let cut = self.sessions.get(&number).is_some_and(|s| self.is_cut(&s.relay));
        let Some(s) = self.sessions.get_mut(&number) else { return Vec::new() };
        let mut taken = Vec::new();
        while !cut && s.to_holder.front().is_some_and(|(t, _)| *t <= now) {
            taken.extend(s.to_holder.pop_front().map(|(_, msg)| msg));
        }
        taken
    }

    fn hear(&mut self, n: usize, entry: &HostId, msg: ToHolder) {
        let now = self.now;
        let h = &mut self.holders[n];
        let Some(t) = h.talks.get_mut(entry) else { return };
        match msg {
            ToHolder::Ready => {
                t.up = true;
                t.heard = now;
                h.sched.handle(Event::RelayUp(entry.clone()));
            }
            ToHolder::Beat(sent) => {
                t.heard = now;
                t.granted = h.renewed + GRACE;
                let (number, left) = (t.number, t.granted.saturating_sub(now));
                h.sched.handle(Event::RelayHeard(entry.clone()));
                self.tell_relay(number, ToRelay::Grant { sent, left });
            }
            ToHolder::LifeOver(id, silent) => {
                h.sched.handle(Event::LifeOver(id, now.saturating_sub(silent)));
            }
            ToHolder::Restarted(id, started, silent) => {
                h.sched.handle(Event::WorkerRestarted(id, started, now.saturating_sub(silent)));
            }
            ToHolder::Leaving => h.sched.handle(Event::RelayLeaving(entry.clone())),
            ToHolder::News(id, token, news) => {
                let news = match news {
                    WorkerUpdate::Unanswered { lease_end, heard } => WorkerUpdate::Unanswered {
                        lease_end: now + lease_end,
                        heard: now.saturating_sub(heard),
                    },
                    other => other,
                };
                h.sched.handle(Event::WorkerUpdate(id, token, news));
            }
        }
    }

    fn give_up(&mut self, n: usize, entry: &HostId, may_return: bool) {
        let h = &mut self.holders[n];
        let Some(t) = h.talks.remove(entry) else { return };
        if let Some(s) = self.sessions.get_mut(&t.number) {
            s.kept_by_holder = false;
        }
        let end = t.granted + lease_with_drift(LEASE, limits().clock_drift);
        h.sched.handle(Event::RelayDown(entry.clone(), end, may_return));
    }

    fn tell_relay(&mut self, number: u64, msg: ToRelay) {
        let at = self.now + self.way;
        if let Some(s) = self.sessions.get_mut(&number) {
            s.to_relay.push_back((at, msg));
        }
    }

    fn finish_write(&mut self, n: usize, newest: bool) {
        let due = self.holders[n].writing.as_ref().is_some_and(|(at, _)| *at <= self.now);
        if !due {
            return;
        }
        let Some((_, batch)) = self.holders[n].writing.take() else { return };
        // The store refuses earlier terms.
        if !newest {
            self.holders[n].sched.deposed = true;
            return;
        }
        for rec in &batch.records {
            match rec {
                Record::Job(key, rec) => {
                    self.stored_jobs.insert(*key, rec.clone());
                }
                Record::Worker(id, rec) => {
                    self.stored_workers.insert(id.clone(), rec.clone());
                }
                Record::DropWorker(id) => {
                    self.stored_workers.remove(id);
                }
                // The model has no hosts and no waves.
                Record::DropJob(_) | Record::Wave(..) | Record::HostOrderMark(..) => {}
            }
        }
        self.act(n, batch);
    }

    fn act(&mut self, n: usize, batch: Batch) {
        self.trimmed.extend(batch.finished_jobs);
        for s in batch.status_updates {
            match s.state {
                Some(JobStatus::Ended(Outcome::Completed)) => self.check_completed(s.key),
                Some(JobStatus::Ended(Outcome::Failed)) => self.check_failed(s.key),
                _ => {}
            }
            self.holders[n].shown.insert(s.key, s);
        }
        for (id, number) in batch.acked_ends {
            self.order(n, &id.clone(), ToRelay::Forget(id, number));
        }
        for action in batch.actions {
            self.send(n, action);
        }
    }

    /// Sends an action to the relay that it concerns.
    fn send(&mut self, n: usize, action: Action) {
        match action {
            Action::OpenRelay(entry) => self.open(n, entry),
            Action::CloseRelay(entry) => {
                if let Some(t) = self.holders[n].talks.remove(&entry)
                    && let Some(s) = self.sessions.get_mut(&t.number)
                {
                    s.kept_by_holder = false;
                }
            }
            Action::Watch { relay, info, token } => {
                let id = info.id;
                self.holders[n].attended.insert(id.clone(), (relay, token));
                self.order(n, &id.clone(), ToRelay::Attend { id, token });
            }
            Action::Unwatch(id) => {
                self.order(n, &id, ToRelay::Leave(id.clone()));
                self.holders[n].attended.remove(&id);
            }
            Action::Start { worker, token, task, attempt, ticket, .. } => {
                if self.holders[n].attended.get(&worker).is_some_and(|(_, t)| *t == token) {
                    let id = worker.clone();
                    self.order(n, &worker, ToRelay::Start { id, task, attempt, ticket });
                }
            }
            Action::Advise { channel: lane, step, workers, timeout: patience } => {
                self.advise(n, lane, step, workers, patience)
            }
            Action::Stop(worker, task, attempt) => {
                self.order(n, &worker.clone(), ToRelay::Stop(worker, task, attempt));
            }
            Action::SetPace(..)
            | Action::MaintainHost(..)
            | Action::MoveHost(..)
            | Action::ReportFigures(..) => {}
        }
    }

    /// Sends an order to the relay of a worker.
    fn order(&mut self, n: usize, id: &WorkerId, msg: ToRelay) {
        let h = &self.holders[n];
        let Some((relay, _)) = h.attended.get(id) else { return };
        let Some(number) = h.talks.get(relay).map(|t| t.number) else { return };
        self.tell_relay(number, msg);
    }

    /// Opens a session with a relay.
    pub(super) fn open(&mut self, n: usize, entry: HostId) {
        let (now, term) = (self.now, self.holders[n].sched.token);
        self.session += 1;
        let number = self.session;
        let own = entry == self.holders[n].sched.holder;
        let at = self.relays.iter().position(|r| r.name == entry);
        let reached = at.is_some_and(|at| {
            let r = &mut self.relays[at];
            let there = !r.cut && !r.leaving && r.paused_until <= now;
            there && r.serve(number, term, now)
        });
        let mut session = Session {
            term,
            relay: entry.clone(),
            to_relay: Default::default(),
            to_holder: Default::default(),
            kept_by_holder: true,
            kept_by_relay: reached,
        };
        if reached && !own {
            session.to_holder.push_back((now + STEP, ToHolder::Ready));
        }
        self.sessions.insert(number, session);
        let talk = Talk { number, up: own, heard: now, granted: Duration::ZERO };
        self.holders[n].talks.insert(entry, talk);
    }

    /// Carries a call to the adviser out, unless it is lost.
    fn advise(&mut self, n: usize, lane: usize, step: StepId, asked: Vec<WorkerId>, patience: Duration) {
        let takes = ADVICE.base_call_time + ADVICE.time_per_worker * asked.len() as u32;
        let place = |id: &&WorkerId| self.workers.iter().position(|w| w.id == **id);
        let good = asked.iter().filter(|id| place(id).is_some_and(|at| may_run(&step, at)));
        let made = self.now + takes;
        let good: Vec<(WorkerId, Arc<str>)> =
            good.map(|id| (id.clone(), adviser::ticket(&step, id, made))).collect();
        let answer = AdviceReply::Answered(Advice { tickets: good, valid_for: Some(ADVICE.ticket_lifetime) });
        let (reply, wait) = match (self.rng.fate(), self.rng.below(8)) {
            (Fate::Fine, _) => (answer, takes),
            (_, 0 | 1) => (AdviceReply::Busy, STEP),
            (_, 2 | 3) => (AdviceReply::NotSent, STEP),
            // Late, as long as it is waited for; the ticket is as old.
            (_, 4 | 5) => (answer, patience),
            _ => (AdviceReply::NoAnswer, patience),
        };
        let advised = Event::AdviceReceived(AdviceResult { channel: lane, step, workers: asked, reply });
        self.holders[n].hears(self.now + wait, advised);
    }
}
