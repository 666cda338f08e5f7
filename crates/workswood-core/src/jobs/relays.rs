//! Which entry speaks with which workers for the lease holder.
//!
//! One process decides, but it would need a strong entry to look at each of a thousand
//! workers three times a second and to send them all their starts. So beyond what it
//! can attend itself, the holder shares its workers out among other entries, the
//! *relays*: each looks at its workers, extends their leases, sends orders and tells
//! what is new.
//!
//! * A worker belongs to a host, and so does its relay: a change of pool changes
//!   nothing. It is chosen among relays of its data centre by a hash of both names, so
//!   that the next holder chooses the same one.
//! * There are as many relays as the workers of a data centre ask for.
//! * Each time a worker gets a relay, its token rises. What an earlier relay still sends
//!   is refused once the new one has looked at it; its first report lists all.
//! * A relay that is not heard of any more loses its workers to others. Leases that it
//!   may have extended end by a time that is told with the loss.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::job::Phase;
use super::lease_claim::EntryCapacity;
use super::sched::Scheduler;
use super::types::{Action, News, StopReply};
use super::worker_id::WorkerId;
use crate::ids::{DataCentre, HostId, Term};

/// Bits of a worker's token that count its relays within a term.
const RELAY_BITS: u32 = 20;
/// Workers that change their relay in one tick for want of balance alone: each costs a
/// look that lists all.
const MOVES_A_TICK: usize = 64;

/// How workers are shared out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayPolicy {
    /// Most workers of one relay: an entry that hangs holds up no more than these.
    pub most_workers: usize,
    /// Share of the workers that an entry could look after as lease holder that it attends
    /// as a relay; it has callers of its own, and turns of demand ask for double.
    pub share: f64,
    /// Room that relays have beyond the workers they attend, as a share.
    pub spare: f64,
    /// A relay that was lost is not chosen again before this time.
    #[serde(with = "humantime_serde")]
    pub shun_for: Duration,
}

impl Default for RelayPolicy {
    fn default() -> RelayPolicy {
        RelayPolicy { most_workers: 100, share: 0.4, spare: 0.1, shun_for: Duration::from_secs(4) }
    }
}

/// An entry that may be a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayEntry {
    /// Its name.
    pub name: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Workers that it could look after as lease holder.
    pub strength: EntryCapacity,
}

/// An entry that is one.
#[derive(Debug)]
struct Relay {
    data_centre: DataCentre,
    most_workers: usize,
    /// Whether it takes orders; before that its workers wait.
    up: bool,
    /// When it was last heard of.
    heard: Duration,
    workers: BTreeSet<WorkerId>,
}

/// Entries that may be relays, those that are, and who waits for one.
#[derive(Debug, Default)]
pub struct Relays {
    entries: BTreeMap<HostId, RelayEntry>,
    active: BTreeMap<HostId, Relay>,
    /// Entries that are not chosen before a time.
    shunned: BTreeMap<HostId, Duration>,
    /// Workers without a relay.
    waiting: BTreeSet<WorkerId>,
    /// Orders that need no record.
    orders: Vec<Action>,
    /// How many relays workers have had in this term, by name, of those that start again under
    /// theirs: tokens rise from life to life.
    given: BTreeMap<String, u32>,
}

impl Relay {
    fn is_full(&self) -> bool {
        self.workers.len() >= self.most_workers
    }
}

impl Relays {
    /// When a relay was last heard of.
    pub(super) fn heard(&self, relay: &str) -> Duration {
        self.active.get(relay).map_or(Duration::ZERO, |r| r.heard)
    }

    /// Whether an entry may be chosen.
    fn may_serve(&self, entry: &RelayEntry, now: Duration) -> bool {
        self.shunned.get(&entry.name).is_none_or(|until| *until <= now)
    }

    /// Relays of a data centre; with `None` of all.
    fn of<'a>(&'a self, dc: Option<&'a str>) -> impl Iterator<Item = (&'a HostId, &'a Relay)> {
        self.active.iter().filter(move |(_, r)| dc.is_none_or(|dc| r.data_centre == dc))
    }
}

/// A number that is the same wherever it is worked out, and different for each pair.
fn rank(entry: &str, other: &str) -> u64 {
    xxh3_64(format!("{entry}/{other}").as_bytes())
}

impl Scheduler {
    /// The token with which a worker is attended now; `None` if it is not known.
    pub fn token_of(&self, id: &WorkerId) -> Option<Term> {
        self.workers.get(id).map(|w| self.worker_token(w.relays))
    }

    /// The token of a worker's relay, the first of a term being 1.
    pub(super) fn worker_token(&self, relay: u32) -> Term {
        (self.token << RELAY_BITS) | u64::from(relay)
    }

    /// Entries that may be relays; the holder is not one of them.
    pub fn set_relay_entries(&mut self, entries: Vec<RelayEntry>) {
        let others = entries.into_iter().filter(|h| h.name != self.holder);
        self.relays.entries = others.map(|h| (h.name.clone(), h)).collect();
    }

    /// Workers that the holder attends by itself if there are no more.
    fn own_room(&self) -> usize {
        self.relay_room(self.strength)
    }

    fn relay_room(&self, strength: EntryCapacity) -> usize {
        let policy = &self.policy.relays;
        ((f64::from(strength) * policy.share) as usize).clamp(1, policy.most_workers)
    }

    /// Whether the workers are shared out.
    fn wants_relays(&self) -> bool {
        self.workers.len() > self.own_room() && !self.relays.entries.is_empty()
    }

    /// Has a worker attended anew: nothing is sent to it before it has answered.
    pub(super) fn attend(&mut self, id: &WorkerId) {
        let bound = self.now + self.lease_span();
        self.unattended(id, bound);
        self.relays.waiting.insert(id.clone());
    }

    /// Has a worker attended no longer; what it runs is not settled by that.
    pub(super) fn stop_attending(&mut self, id: &WorkerId) {
        let bound = self.now + self.lease_span();
        self.unattended(id, bound);
        self.relays.waiting.remove(id);
    }

    /// Takes a worker from its relay, which may have extended its lease until a time.
    fn unattended(&mut self, id: &WorkerId, lease_end: Duration) {
        let Some(mut w) = self.workers.get_mut(id) else { return };
        let relay = w.relay.take();
        if relay.is_some() {
            w.lease_end = w.lease_end.max(lease_end);
        }
        w.reachable = false;
        w.fenced = false;
        w.doubted = false;
        w.figures = false;
        drop(w);
        if let Some(relay) = relay {
            self.leave_relay(id, &relay);
        }
        self.forget_orders(id);
    }

    /// What was sent over an earlier relay may have had no effect.
    fn forget_orders(&mut self, id: &WorkerId) {
        let Some(w) = self.workers.get(id) else { return };
        let runs: Vec<_> = w.runs.keys().copied().collect();
        let now = self.now;
        for (task, attempt) in runs {
            let Some(run) = self.run_mut(id, &task, attempt) else { continue };
            match run.phase {
                // The new token keeps the start out, or the first report lists the run.
                Phase::Starting => run.set_phase(Phase::Inherited, now),
                // Sent again as soon as the worker is reached.
                Phase::Stopping | Phase::Stopped => run.set_phase(Phase::Stopping, Duration::ZERO),
                Phase::Inherited | Phase::Running => {}
            }
        }
    }

    fn leave_relay(&mut self, id: &WorkerId, relay: &HostId) {
        let Some(r) = self.relays.active.get_mut(relay) else { return };
        if r.workers.remove(id) && r.up {
            self.relays.orders.push(Action::Unwatch(id.clone()));
        }
    }

    /// Forgets a worker whose life is over.
    pub(super) fn unattend(&mut self, id: &WorkerId, relay: Option<HostId>) {
        self.relays.waiting.remove(id);
        if let Some(relay) = relay {
            self.leave_relay(id, &relay);
        }
    }

    /// Has the figures of a worker told as long as tasks fill it up.
    pub(super) fn want_figures(&mut self, id: &WorkerId) {
        let Some(mut w) = self.workers.get_mut(id) else { return };
        let wanted = !w.fills.is_empty();
        if w.figures != wanted && w.reachable {
            w.figures = wanted;
            self.relays.orders.push(Action::Figures(id.clone(), wanted));
        }
    }

    /// Gives all workers a relay that wait for one; returns the orders for it, which
    /// need no record.
    pub fn take_attendance(&mut self) -> Vec<Action> {
        for id in std::mem::take(&mut self.relays.waiting) {
            self.give_relay(&id);
        }
        std::mem::take(&mut self.relays.orders)
    }

    fn give_relay(&mut self, id: &WorkerId) {
        let Some(info) = self.workers.get(id).and_then(|w| w.info.clone()) else { return };
        let entry = self.choose_relay(&info.data_centre, &info.host);
        let before = self.relays.given.get(id.name()).copied().unwrap_or(0);
        let Some(mut w) = self.workers.get_mut(id) else { return };
        w.relay = Some(entry.clone());
        w.relays = 1 + w.relays.max(before);
        let relays = w.relays;
        drop(w);
        if id.started().is_some() {
            self.note_relays(id, relays);
        }
        let token = self.worker_token(relays);
        self.open_relay(&entry);
        let Some(r) = self.relays.active.get_mut(&entry) else { return };
        r.workers.insert(id.clone());
        if r.up {
            self.relays.orders.push(Action::Watch { relay: entry, info: (*info).clone(), token });
        }
    }

    /// Notes how many relays a worker has had; its later lives get tokens above those.
    pub(super) fn note_relays(&mut self, id: &WorkerId, relays: u32) {
        let given = self.relays.given.entry(id.name().to_string()).or_default();
        *given = relays.max(*given);
    }

    /// Makes an entry a relay unless it is one.
    fn open_relay(&mut self, entry: &HostId) {
        if self.relays.active.contains_key(entry) {
            return;
        }
        let own = *entry == self.holder;
        let known = self.relays.entries.get(entry);
        let relay = Relay {
            data_centre: known.map(|h| h.data_centre.clone()).unwrap_or_default(),
            most_workers: self.relay_room(known.map_or(self.strength, |h| h.strength)),
            up: own,
            heard: self.now,
            workers: BTreeSet::new(),
        };
        self.relays.active.insert(entry.clone(), relay);
        if !own {
            self.notes.push(format_args!("event=relay_opened relay={entry}"));
            self.relays.orders.push(Action::OpenRelay(entry.clone()));
        }
    }

    /// The entry that attends a host's worker: one of its data centre, if there is
    /// one, else any; the holder itself where there are few workers or no relays.
    fn choose_relay(&mut self, dc: &DataCentre, host: &HostId) -> HostId {
        if !self.wants_relays() {
            return self.holder.clone();
        }
        let here = self.workers.count_in(dc);
        self.open_enough(Some(dc), here);
        let found = self.best_relay(Some(dc), host);
        let found = found.or_else(|| {
            self.open_enough(None, self.workers.len());
            self.best_relay(None, host)
        });
        found.unwrap_or_else(|| self.least_loaded())
    }

    /// Opens relays until those of a data centre can attend so many workers.
    fn open_enough(&mut self, dc: Option<&DataCentre>, workers: usize) {
        let wanted = (workers as f64 * (1.0 + self.policy.relays.spare)).ceil() as usize;
        let dc_name = dc.map(String::as_str);
        let others = |name: &HostId| *name != self.holder;
        let mut room: usize =
            self.relays.of(dc_name).filter(|(n, _)| others(n)).map(|(_, r)| r.most_workers).sum();
        while room < wanted {
            let Some(next) = self.next_entry(dc_name) else { return };
            self.open_relay(&next);
            room += self.relays.active.get(&next).map_or(1, |r| r.most_workers);
        }
    }

    /// The next entry to become a relay: the strongest, then by a hash of its name.
    fn next_entry(&self, dc: Option<&str>) -> Option<HostId> {
        let idle = self.relays.entries.values().filter(|h| !self.relays.active.contains_key(&h.name));
        let here = idle.filter(|h| dc.is_none_or(|dc| h.data_centre == dc));
        let may = here.filter(|h| self.relays.may_serve(h, self.now));
        let best = may.max_by_key(|h| (self.relay_room(h.strength), rank(&h.name, "")));
        best.map(|h| h.name.clone())
    }

    fn best_relay(&self, dc: Option<&DataCentre>, host: &str) -> Option<HostId> {
        let open = self.relays.of(dc.map(String::as_str));
        let open = open.filter(|(name, r)| **name != self.holder && !r.is_full());
        open.max_by_key(|(name, _)| rank(name, host)).map(|(name, _)| name.clone())
    }

    /// The relay that attends the fewest workers; the holder if there is none.
    fn least_loaded(&self) -> HostId {
        let others = self.relays.active.iter().filter(|(name, _)| **name != self.holder);
        let least = others.min_by_key(|(_, r)| r.workers.len());
        least.map_or_else(|| self.holder.clone(), |(name, _)| name.clone())
    }

    /// Takes in what the relay of a worker tells. What an earlier one still tells is told
    /// anew by the present one; taken in, it would let work be sent before that has looked
    /// at the worker.
    pub(super) fn relayed(&mut self, id: &WorkerId, token: Term, news: News) {
        let present = self.workers.get(id).filter(|w| w.relay.is_some());
        if present.is_none_or(|w| self.worker_token(w.relays) != token) {
            return;
        }
        if let Some(heard) = self.heard_with(&news)
            && let Some(mut w) = self.workers.get_mut(id)
        {
            w.heard = w.heard.max(heard);
        }
        match news {
            News::Reported(report) => self.handle_report(id, &report),
            News::Doubted => self.mark_answer_late(id),
            News::Unanswered { lease_end, .. } => self.mark_unreachable(id, lease_end),
            News::Fenced => self.depose(id),
            News::Started(task, attempt, reply) => self.handle_start_reply(id, task, attempt, reply),
            News::Stopped(task, attempt, reply) => self.handle_stop_reply(id, task, attempt, reply),
        }
    }

    /// A worker knows a higher token than the one it is attended with: another process leads.
    pub(super) fn depose(&mut self, id: &WorkerId) {
        let token = self.token_of(id).unwrap_or_default();
        self.notes.push(format_args!("event=higher_token_seen worker={id} token={token}"));
        self.deposed = true;
    }

    /// When a worker answered at the latest, as news of it tell.
    fn heard_with(&self, news: &News) -> Option<Duration> {
        match news {
            News::Reported(_) | News::Fenced => Some(self.now),
            News::Unanswered { heard, .. } => Some(*heard),
            News::Started(_, _, reply) => reply.is_answer().then_some(self.now),
            News::Stopped(_, _, reply) => (*reply == StopReply::Taken).then_some(self.now),
            News::Doubted => None,
        }
    }

    /// A relay takes orders from now on.
    pub(super) fn relay_up(&mut self, entry: &HostId) {
        let Some(r) = self.relays.active.get_mut(entry) else { return };
        r.up = true;
        r.heard = self.now;
        let workers: Vec<WorkerId> = r.workers.iter().cloned().collect();
        self.notes.push(format_args!("event=relay_up relay={entry} workers={}", workers.len()));
        for id in workers {
            let Some(w) = self.workers.get(&id) else { continue };
            let Some(info) = &w.info else { continue };
            let (info, token) = ((**info).clone(), self.worker_token(w.relays));
            self.relays.orders.push(Action::Watch { relay: entry.clone(), info, token });
        }
    }

    /// A relay was heard of.
    pub(super) fn relay_heard(&mut self, entry: &HostId) {
        if let Some(r) = self.relays.active.get_mut(entry) {
            r.heard = self.now;
        }
    }

    /// A relay is lost, or could not be reached. Leases that it extended end by a time.
    pub(super) fn relay_down(&mut self, entry: &HostId, lease_end: Duration, may_return: bool) {
        let Some(r) = self.relays.active.remove(entry) else { return };
        self.notes.push(format_args!(
            "event=relay_lost relay={entry} workers={} was_up={} may_return={may_return}",
            r.workers.len(),
            r.up
        ));
        if !(may_return && r.up) {
            let until = self.now + self.policy.relays.shun_for;
            self.relays.shunned.insert(entry.clone(), until);
        }
        for id in r.workers {
            let bound = if r.up { lease_end } else { Duration::ZERO };
            self.unattended(&id, bound);
            self.relays.waiting.insert(id);
        }
    }

    /// A relay is about to stop: its workers go to others while it still answers.
    pub(super) fn relay_leaving(&mut self, entry: &HostId) {
        let Some(r) = self.relays.active.get(entry) else { return };
        let workers: Vec<WorkerId> = r.workers.iter().cloned().collect();
        self.notes.push(format_args!("event=relay_leaving relay={entry} workers={}", workers.len()));
        let until = self.now + self.policy.relays.shun_for;
        self.relays.shunned.insert(entry.clone(), until);
        workers.iter().for_each(|id| self.attend(id));
        self.relays.active.remove(entry);
        self.relays.orders.push(Action::CloseRelay(entry.clone()));
    }

    /// Shares workers out that the holder still attends although there are relays.
    pub(super) fn balance_relays(&mut self) {
        self.relays.shunned.retain(|_, until| *until > self.now);
        if !self.wants_relays() {
            return;
        }
        let Some(own) = self.relays.active.get(&self.holder) else { return };
        let some: Vec<WorkerId> = own.workers.iter().take(MOVES_A_TICK).cloned().collect();
        some.iter().for_each(|id| self.attend(id));
    }
}
