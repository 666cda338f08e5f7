//! Simulated relays: they call workers for the holder that opened a session with them.
//!
//! The messages of a session arrive in order after the latency of the links; they are held back
//! while the relay is partitioned. Each side closes a session on which it receives nothing.
//! A holder's own relay shares its pauses and its right to extend leases.

mod answers;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::{HostId, Term, UnixMs};
use workswood_core::jobs::incarnation_check::LastAnsweredPoll;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::restart_deadline::shortest_lease;
use workswood_core::jobs::run_tracker::RunKey;
use workswood_core::jobs::types::lease_with_drift;
use workswood_core::jobs::{RunTracker, StartReply, StopReply, TaskId, WorkerUpdate};

pub(super) use self::answers::PendingAnswer;
use super::order_queue::{OrderQueue, QueuedOrder};
use super::waiting_polls::{PollAfterStop, WaitingPoll};
use super::worker::{Answer, Order};
use super::{EXTENSION_GRACE, FULL_LEASE_GRACE, LEASE, STEP, World, limits};

/// Interval between probes of a worker.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// One in this many answers to probes is delayed by up to [`MAX_PROBE_DELAY`], while orders to
/// the same worker are answered.
const PROBE_DELAY_INTERVAL: u64 = 8;
/// Longest delay of an answer to a probe; less than [`ANSWER_TIMEOUT`].
const MAX_PROBE_DELAY: Duration = Duration::from_millis(500);
/// How long a relay waits for an answer of a worker.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// A probe acknowledges ends only within this time after the last answered probe was sent.
const ACK_WINDOW: Duration = Duration::from_millis(600);
/// Interval between heartbeats to the holder.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which a relay closes the session with a holder.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(3);

/// A message from a holder to a relay.
pub(super) enum ToRelay {
    /// Answers the heartbeat that was sent at `sent`: leases may be extended for `left` from then.
    Grant {
        sent: Duration,
        left: Duration,
    },
    Watch {
        id: WorkerId,
        token: Term,
        /// When the lease is extended only on order.
        extensions: ExtensionOrders,
    },
    /// Have the lease extended, if this many probes had no answer.
    ExtendLeases(WorkerId, u32),
    Unwatch(WorkerId),
    /// Acknowledges a worker's ends up to a sequence number.
    Forget(WorkerId, u64),
    Start {
        id: WorkerId,
        task: TaskId,
        attempt: u32,
        ticket: Option<Arc<str>>,
    },
    Stop(WorkerId, TaskId, u32),
    WithdrawStart(WorkerId, TaskId, u32),
}

/// A message from a relay to a holder.
pub(super) enum ToHolder {
    Ready,
    /// A heartbeat, with the time at which it was sent.
    Heartbeat(Duration),
    /// The relay will shut down.
    Leaving,
    /// The life of a worker has ended; its last answer is this long ago.
    LifeOver(WorkerId, Duration),
    /// The worker has restarted under the same name at this Unix time; the last answer of its
    /// earlier life is this long ago.
    Restarted(WorkerId, UnixMs, Duration),
    /// An update of a worker that is watched with this token. Times are relative to the sending, except that of a
    /// confirmed lease.
    Update(WorkerId, Term, WorkerUpdate),
}

/// A session between a holder and a relay.
pub(super) struct Session {
    /// Term of the holder.
    pub term: Term,
    pub relay: HostId,
    pub to_relay: VecDeque<(Duration, ToRelay)>,
    pub to_holder: VecDeque<(Duration, ToHolder)>,
    /// Whether the holder has not closed the session.
    pub kept_by_holder: bool,
    /// Whether the relay has not closed the session.
    pub kept_by_relay: bool,
}

/// A relay's state of a worker that it watches.
struct Watched {
    token: Term,
    /// Ends up to this sequence number are to be acknowledged.
    acked: u64,
    /// Highest acknowledged end that the worker is known to have removed.
    forgotten: u64,
    /// When the last probe was sent, if it was answered.
    answered: Option<Duration>,
    /// When the next probe is due; never while one waits at the worker.
    next_probe: Duration,
    /// Whether a probe was answered; before that, the worker's clock is not known, and no lease is sent.
    has_answered: bool,
    /// Whether the last probe was not answered; the worker's lease is then not extended.
    silent: bool,
    /// When the lease is extended only on order.
    extensions: ExtensionOrders,
    /// Number of probes without an answer, and the number for which the last order was given.
    unanswered: u32,
    extended_at: Option<u32>,
    /// Whether the holder was told that the worker did not answer, and no report has followed.
    reported_silent: bool,
    leased_until: Duration,
    /// The earliest time at which the lease may end that the worker has confirmed; zero if it has confirmed none.
    confirmed_until: Duration,
    last_answer: Duration,
    last_answered_poll: LastAnsweredPoll,
    runs: RunTracker,
    /// Orders that wait, in a world whose relays queue them.
    orders: OrderQueue,
}

impl Watched {
    /// Whether the lease may be extended, as far as the worker and orders of the holder matter.
    fn may_extend(&self) -> bool {
        self.has_answered && !self.silent && self.is_ordered()
    }

    /// Whether no order to extend the lease is needed, or it has come.
    fn is_ordered(&self) -> bool {
        self.extensions == ExtensionOrders::NotNeeded || self.extended_at == Some(self.unanswered)
    }
}

/// The earliest time at which a lease may end that was sent at this time, on a clock that runs fast.
fn earliest_lapse(lease_end: Duration, sent: Duration) -> Duration {
    sent + shortest_lease(lease_end.saturating_sub(sent), limits().clock_drift)
}

/// Until when a relay gives full leases that may extend leases until this time; later ones end no later.
pub(super) fn full_leases_until(extends_until: Duration) -> Duration {
    extends_until.saturating_sub(EXTENSION_GRACE - FULL_LEASE_GRACE)
}

/// The relay's state of a session with a holder.
pub(super) struct HolderSession {
    number: u64,
    term: Term,
    watched: BTreeMap<WorkerId, Watched>,
    pending: Vec<(Duration, WorkerId, Term, PendingAnswer)>,
    polls_after_stops: Vec<PollAfterStop>,
    /// Until when leases may be extended.
    extends_until: Duration,
    /// When the last message of the holder arrived.
    last_message: Duration,
    next_heartbeat: Duration,
}

impl HolderSession {
    /// Has an answer of a worker received at a time. The next probe is due soon after the answer to one that waited.
    pub(super) fn receive_later(&mut self, at: Duration, id: WorkerId, token: Term, answer: PendingAnswer) {
        let waited = !matches!(answer, PendingAnswer::ListedAfterStop { .. });
        if let Some(w) = self.watched.get_mut(&id).filter(|w| waited && w.token == token) {
            w.next_probe = at + STEP;
        }
        self.pending.push((at, id, token, answer));
    }

    /// Takes out the polls after stops that are due.
    pub(super) fn take_polls_after_stops(&mut self, now: Duration) -> Vec<PollAfterStop> {
        let (due, later) =
            std::mem::take(&mut self.polls_after_stops).into_iter().partition(|poll| poll.due <= now);
        self.polls_after_stops = later;
        due
    }

    /// Whether a run may exist on a worker that is watched with this token.
    pub(super) fn may_exist(&self, id: &WorkerId, token: Term, run: RunKey) -> bool {
        self.watched.get(id).is_some_and(|w| w.token == token && w.runs.is_tracked(run))
    }
}

/// A simulated relay.
pub(super) struct SimRelay {
    pub name: HostId,
    /// Term of the holder whose own relay this is; `None` for other entries.
    pub own: Option<Term>,
    pub paused_until: Duration,
    /// Whether no message passes between the relay and the holders.
    pub partitioned: bool,
    pub leaving: bool,
    session: Option<HolderSession>,
}

impl SimRelay {
    pub(super) fn new(name: HostId, own: Option<Term>) -> SimRelay {
        SimRelay {
            name,
            own,
            paused_until: Duration::ZERO,
            partitioned: false,
            leaving: false,
            session: None,
        }
    }

    /// Begins a session and ends the current one; returns false if the current one is newer.
    pub(super) fn serve(&mut self, number: u64, term: Term, now: Duration) -> bool {
        if self.session.as_ref().is_some_and(|s| (s.term, s.number) > (term, number)) {
            return false;
        }
        self.session = Some(HolderSession {
            number,
            term,
            watched: BTreeMap::new(),
            pending: Vec::new(),
            polls_after_stops: Vec::new(),
            extends_until: Duration::ZERO,
            last_message: now,
            next_heartbeat: now,
        });
        true
    }

    /// Its session of this number.
    pub(super) fn session_of(&mut self, number: u64) -> Option<&mut HolderSession> {
        self.session.as_mut().filter(|s| s.number == number)
    }

    /// Replaces the relay's process by a new one without sessions.
    pub(super) fn restart(&mut self) {
        self.session = None;
        self.leaving = false;
    }
}

impl World {
    /// Runs a relay for one step.
    pub(super) fn run_relay(&mut self, at: usize) {
        let now = self.now;
        let Some(mut session) = self.relays[at].session.take() else { return };
        let number = session.number;
        let kept =
            self.sessions.get(&number).is_some_and(|s| s.kept_by_holder || self.relays[at].partitioned);
        let silent = self.relays[at].own.is_none() && session.last_message + HOLDER_TIMEOUT < now;
        if !kept || silent {
            if let Some(s) = self.sessions.get_mut(&number) {
                s.kept_by_relay = false;
            }
            return;
        }
        for msg in self.receive_from_holder(at, number) {
            session.last_message = now;
            self.handle_holder_message(&mut session, msg);
        }
        self.send_waiting_orders(&mut session);
        self.send_heartbeat(at, &mut session);
        let (due, pending): (Vec<_>, Vec<_>) =
            std::mem::take(&mut session.pending).into_iter().partition(|(t, ..)| *t <= now);
        session.pending = pending;
        for (_, id, token, answer) in due {
            self.handle_answer(&mut session, id, token, answer);
        }
        let due: Vec<WorkerId> =
            session.watched.iter().filter(|(_, w)| w.next_probe <= now).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.probe(&mut session, id);
        }
        self.send_polls_after_stops(&mut session);
        self.relays[at].session = Some(session);
    }

    fn receive_from_holder(&mut self, at: usize, number: u64) -> Vec<ToRelay> {
        let (now, partitioned) = (self.now, self.relays[at].partitioned);
        let Some(s) = self.sessions.get_mut(&number) else { return Vec::new() };
        let mut messages = Vec::new();
        while !partitioned && s.to_relay.front().is_some_and(|(t, _)| *t <= now) {
            messages.extend(s.to_relay.pop_front().map(|(_, msg)| msg));
        }
        messages
    }

    fn send_to_holder(&mut self, number: u64, msg: ToHolder) {
        let at = self.now + self.latency_of(number);
        if let Some(s) = self.sessions.get_mut(&number) {
            s.to_holder.push_back((at, msg));
        }
    }

    /// Sends a message to a holder that goes with the next one. It draws no latency.
    fn send_ahead_of_next(&mut self, number: u64, msg: ToHolder) {
        let at = self.now;
        if let Some(s) = self.sessions.get_mut(&number) {
            s.to_holder.push_back((at, msg));
        }
    }

    fn send_heartbeat(&mut self, at: usize, session: &mut HolderSession) {
        let now = self.now;
        if let Some(term) = self.relays[at].own {
            let renewed = self.holders.iter().find(|h| h.sched.token == term).map(|h| h.renewed);
            session.extends_until = renewed.unwrap_or_default() + EXTENSION_GRACE;
        }
        if session.next_heartbeat > now {
            return;
        }
        session.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.send_to_holder(session.number, ToHolder::Heartbeat(now));
        if self.relays[at].leaving {
            self.send_to_holder(session.number, ToHolder::Leaving);
        }
    }

    fn handle_holder_message(&mut self, session: &mut HolderSession, msg: ToRelay) {
        let now = self.now;
        match msg {
            ToRelay::Grant { sent, left } => session.extends_until = session.extends_until.max(sent + left),
            ToRelay::ExtendLeases(id, unanswered) => {
                if let Some(w) = session.watched.get_mut(&id) {
                    w.extended_at = Some(unanswered);
                }
            }
            ToRelay::Watch { id, token, extensions } => {
                let worker = Watched {
                    token,
                    acked: 0,
                    forgotten: 0,
                    answered: None,
                    next_probe: now,
                    has_answered: false,
                    silent: false,
                    extensions,
                    unanswered: 0,
                    extended_at: (extensions == ExtensionOrders::AfterSilence).then_some(0),
                    reported_silent: false,
                    leased_until: Duration::ZERO,
                    confirmed_until: Duration::ZERO,
                    last_answer: Duration::ZERO,
                    last_answered_poll: LastAnsweredPoll::default(),
                    runs: RunTracker::default(),
                    orders: OrderQueue::default(),
                };
                if !worker.is_ordered() {
                    let update = ToHolder::Update(id.clone(), token, WorkerUpdate::AwaitsOrder);
                    self.send_to_holder(session.number, update);
                }
                session.watched.insert(id, worker);
            }
            ToRelay::Unwatch(id) => {
                session.watched.remove(&id);
            }
            ToRelay::Forget(id, number) => {
                if let Some(w) = session.watched.get_mut(&id) {
                    w.acked = number;
                    if w.next_probe != Duration::MAX {
                        w.next_probe = now;
                    }
                }
            }
            ToRelay::Start { id, task, attempt, ticket } if self.order_queues => {
                if let Some(w) = session.watched.get_mut(&id) {
                    w.orders.push_start(task, attempt, ticket);
                }
            }
            ToRelay::Start { id, task, attempt, ticket } => {
                self.send_start(session, &id, task, attempt, &ticket);
            }
            ToRelay::Stop(id, task, attempt) if self.order_queues => {
                let withdrawn = self.withdraw_start(session, &id, task, attempt);
                if let Some(w) = session.watched.get_mut(&id).filter(|_| !withdrawn) {
                    w.orders.push_stop(task, attempt);
                }
            }
            ToRelay::Stop(id, task, attempt) => _ = self.send_stop(session, &id, task, attempt),
            ToRelay::WithdrawStart(id, task, attempt) => {
                self.withdraw_start(session, &id, task, attempt);
            }
        }
    }

    /// Drops a start that waits; returns whether there was one.
    fn withdraw_start(&self, session: &mut HolderSession, id: &WorkerId, task: TaskId, attempt: u32) -> bool {
        let Some(w) = session.watched.get_mut(id) else { return false };
        let withdrawn = w.orders.withdraw(task, attempt);
        if withdrawn {
            let answer = PendingAnswer::Started { task, attempt, reply: StartReply::NotSent };
            session.pending.push((self.now, id.clone(), w.token, answer));
        }
        withdrawn
    }

    /// Sends the orders that wait and may be sent now.
    fn send_waiting_orders(&mut self, session: &mut HolderSession) {
        let ids: Vec<WorkerId> = session.watched.keys().cloned().collect();
        for id in ids {
            while let Some(order) = session.watched.get_mut(&id).and_then(|w| w.orders.next(self.now)) {
                let wait = match order {
                    QueuedOrder::Start { task, attempt, ticket } => {
                        self.send_start(session, &id, task, attempt, &ticket)
                    }
                    QueuedOrder::Stop { task, attempt } => self.send_stop(session, &id, task, attempt),
                };
                if let Some(w) = session.watched.get_mut(&id) {
                    w.orders.note_sent(self.now + wait);
                }
            }
        }
    }

    /// Returns the end of a lease that is sent now; `None` if leases may not be extended.
    fn lease_from(&self, session: &HolderSession) -> Option<Duration> {
        let from = self.now.min(full_leases_until(session.extends_until));
        (self.now < session.extends_until).then(|| from + LEASE)
    }

    /// Sends a start; returns how long it is under way.
    fn send_start(
        &mut self,
        session: &mut HolderSession,
        id: &WorkerId,
        task: TaskId,
        attempt: u32,
        ticket: &Option<Arc<str>>,
    ) -> Duration {
        let Some(token) = session.watched.get(id).map(|w| w.token) else { return Duration::ZERO };
        let mut reply = StartReply::NotSent;
        for _ in 0..1 + self.rng.below(3) {
            if !self.confirm_incarnation(session, id) {
                break;
            }
            let lease = self.lease_from(session);
            let Some(w) = session.watched.get_mut(id) else { return Duration::ZERO };
            let Some(lease_end) = lease.filter(|_| w.may_extend()) else { break };
            w.leased_until = lease_end - LEASE + lease_with_drift(LEASE, limits().clock_drift);
            let earliest = earliest_lapse(lease_end, self.now);
            let order = Order::Start { token, task, attempt, lease_end, ticket: ticket.clone() };
            let answer = self.deliver(id, order).map(|a| match a {
                Answer::Reply(reply) => reply,
                Answer::Accepted(..) | Answer::Listing(_) => StartReply::Taken,
            });
            reply = match (answer, reply) {
                (Some(StartReply::Refused | StartReply::Ticket), StartReply::NoAnswer) => StartReply::Unsure,
                (Some(r), _) => r,
                (None, _) => StartReply::NoAnswer,
            };
            if let Some(w) = session.watched.get_mut(id).filter(|_| reply == StartReply::Taken) {
                w.confirmed_until = w.confirmed_until.max(earliest);
            }
            if reply != StartReply::NoAnswer {
                break;
            }
        }
        let wait = match reply {
            StartReply::NoAnswer => ANSWER_TIMEOUT * 3,
            _ => self.draw_order_delay(),
        };
        let answer = PendingAnswer::Started { task, attempt, reply };
        session.pending.push((self.now + wait, id.clone(), token, answer));
        wait
    }

    /// Whether a start can reach the incarnation only that is meant; polls it if that is not known.
    fn confirm_incarnation(&mut self, session: &mut HolderSession, id: &WorkerId) -> bool {
        let now = self.now;
        let Some(w) = session.watched.get(id) else { return false };
        if !self.restarts || w.last_answered_poll.start_until(now).is_some() {
            return true;
        }
        let probe = Order::Probe { token: w.token, forget: 0, lease_end: None };
        let answered = matches!(self.deliver(id, probe), Some(Answer::Listing(_)));
        let restarted = self.workers.iter().any(|s| s.id.supersedes(id));
        if let Some(w) = session.watched.get_mut(id).filter(|_| answered && !restarted) {
            w.last_answered_poll.record(now);
        }
        answered && !restarted
    }

    /// Sends a stop; returns how long it is under way.
    fn send_stop(
        &mut self,
        session: &mut HolderSession,
        id: &WorkerId,
        task: TaskId,
        attempt: u32,
    ) -> Duration {
        let Some(token) = session.watched.get(id).map(|w| w.token) else { return Duration::ZERO };
        let (reply, wait) = match self.deliver(id, Order::Stop { token, task, attempt }) {
            Some(Answer::Reply(StartReply::Deposed)) => (StopReply::Deposed, self.draw_order_delay()),
            Some(_) => (StopReply::Taken, self.draw_order_delay()),
            None => (StopReply::NoAnswer, self.lost_stop_wait()),
        };
        let answer = PendingAnswer::Stopped { task, attempt, reply };
        session.pending.push((self.now + wait, id.clone(), token, answer));
        wait
    }

    /// How long a stop without an answer is under way.
    fn lost_stop_wait(&self) -> Duration {
        if self.order_queues { ANSWER_TIMEOUT } else { STEP }
    }

    /// Draws the latency of an answer to a probe; the answer has the worker's state when it was sent.
    fn probe_latency(&mut self) -> Duration {
        if self.rng.below(PROBE_DELAY_INTERVAL) > 0 {
            return STEP;
        }
        Duration::from_millis(self.rng.below(MAX_PROBE_DELAY.as_millis() as u64)).max(STEP)
    }

    fn probe(&mut self, session: &mut HolderSession, id: WorkerId) {
        let now = self.now;
        let lease = self.lease_from(session);
        let Some(w) = session.watched.get_mut(&id) else { return };
        let lease_end = lease.filter(|_| w.may_extend());
        if let Some(end) = lease_end {
            w.leased_until = end - LEASE + lease_with_drift(LEASE, limits().clock_drift);
        }
        let may_ack = w.answered.take().is_some_and(|at| now < at + ACK_WINDOW);
        let forget = if may_ack && w.acked > w.forgotten { w.acked } else { 0 };
        let token = w.token;
        let gone = !self.workers.iter().any(|s| s.id.name() == id.name());
        let later = self.workers.iter().map(|s| &s.id).find(|life| life.supersedes(&id)).cloned();
        let (answer, wait) = match self.deliver(&id, Order::Probe { token, forget, lease_end }) {
            Some(Answer::Listing(listing)) => match later {
                Some(later) => (PendingAnswer::Restarted(later), self.probe_latency()),
                None => {
                    let latency = self.probe_latency();
                    let wait = lease_end.map_or(Duration::ZERO, |_| self.draw_poll_wait(&id));
                    if !wait.is_zero() {
                        if let Some(w) = session.watched.get_mut(&id) {
                            w.next_probe = Duration::MAX;
                        }
                        let (until, session) = (now + wait, session.number);
                        let last_end = self.last_end_of(&id);
                        let poll =
                            WaitingPoll { session, id, token, sent: now, forget, lease_end, until, last_end };
                        self.waiting_polls.push(poll);
                        return;
                    }
                    (PendingAnswer::Listed { listing, sent: now, forget, lease_end }, latency)
                }
            },
            Some(Answer::Reply(_) | Answer::Accepted(..)) => (PendingAnswer::Fenced, STEP),
            None if gone && self.rng.below(4) == 0 => (PendingAnswer::ProbeLost { gone: true }, STEP),
            None => (PendingAnswer::ProbeLost { gone: false }, ANSWER_TIMEOUT),
        };
        if let Some(w) = session.watched.get_mut(&id) {
            w.next_probe = now + wait + PROBE_INTERVAL;
        }
        session.pending.push((now + wait, id, token, answer));
    }
}
