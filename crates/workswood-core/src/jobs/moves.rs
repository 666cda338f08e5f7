//! How a host that changes its pool gets there.
//!
//! From when a move is decided nothing new is placed on the host. Once it is
//! empty, the platform is ordered to move it; an order without an answer is
//! repeated. A host that does not become empty in time stays where it is.

use std::time::Duration;

use super::crash::LifeEnd;
use super::host::{Host, HostReply, HostState, ORDER_AGAIN};
use super::job::WorkerId;
use super::sched::Scheduler;
use super::types::Action;
use crate::ids::{HostId, ServiceId};

/// A list of hosts may have been asked for this long ago.
const LIST_LAG: Duration = Duration::from_millis(1200);

/// Moves are begun as far ahead of their orders as this: from then on nothing new begins on their hosts,
/// and some become empty only after a while.
const BEGUN_AHEAD: Duration = Duration::from_millis(1500);
/// Of these, those to the pool of hosts that are off take this share at most: they can wait.
const TRIMS_SHARE: f64 = 0.5;
/// After a pause, as many orders are sent at once as the platform takes in this time: it counts them by the
/// second, and a turn of demand wants its hosts now.
const MOST_AT_ONCE: Duration = Duration::from_millis(1000);

/// A move that is under way.
#[derive(Clone, Debug)]
pub struct Moving {
    /// The pool that gets the host.
    pub to: ServiceId,
    /// When it was decided.
    pub since: Duration,
    /// When the order was last sent, if it was.
    pub sent: Option<Duration>,
    /// Whether an order had no answer, so that it may yet be carried out.
    pub unsure: bool,
    /// The life of its worker when it was decided.
    pub worker: Option<WorkerId>,
}

/// What is due about a move.
enum Due {
    /// Its order is sent, for the first time or again.
    Order,
    /// The host did not become empty: it stays in its pool.
    GiveUp,
}

impl Scheduler {
    /// Begins a move: from now on nothing new is placed on the host.
    pub(super) fn begin_move(&mut self, host: HostId, to: ServiceId, worker: Option<WorkerId>) {
        let from = self.hosts.get(&host).map(|m| m.pool.clone()).unwrap_or_default();
        let need = self.pools.need.get(&to).map_or(0.0, |n| n.now);
        self.notes
            .push(format_args!("event=machine_moving machine={host} from={from} to={to} need={need:.1}"));
        if let Some(mut w) = worker.as_ref().and_then(|id| self.workers.get_mut(id)) {
            w.cordoned = true;
        }
        let moving = Moving { to, since: self.now, sent: None, unsure: false, worker };
        self.pools.moving.insert(host, moving);
    }

    /// Sends the orders of hosts that are empty, those to pools at work first and no more than the
    /// platform takes, and gives up on those that did not become so.
    pub(super) fn order_moves(&mut self) {
        let all = self.pools.moving.iter();
        let due: Vec<(HostId, Due)> =
            all.filter_map(|(name, v)| Some((name.clone(), self.due(v)?))).collect();
        let (orders, over): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|(_, due)| matches!(due, Due::Order));
        for (name, _) in over {
            self.pools.moving.remove(&name);
        }
        let spare = self.spare_pool();
        let trims = |(name, _): &(HostId, Due)| self.pools.moving.get(name).map(|v| &v.to) == spare.as_ref();
        let (last, first): (Vec<_>, Vec<_>) = orders.into_iter().partition(trims);
        let most = self.orders_due();
        for (name, _) in first.into_iter().chain(last).take(most) {
            self.pools.orders_left -= 1.0;
            self.order_move(name);
        }
    }

    /// Orders of moves that may be sent now.
    fn orders_due(&mut self) -> usize {
        let rate = self.limits.host_orders_per_s;
        let passed = self.now.saturating_sub(self.pools.orders_counted).as_secs_f64();
        self.pools.orders_counted = self.now;
        let most = (rate * MOST_AT_ONCE.as_secs_f64()).max(1.0);
        self.pools.orders_left = (self.pools.orders_left + rate * passed).min(most);
        self.pools.orders_left as usize
    }

    /// Moves that may be under way, to the pool of hosts that are off or to others.
    pub(super) fn most_moves(&self, to_spare: bool) -> f64 {
        let ahead = self.limits.host_orders_per_s * BEGUN_AHEAD.as_secs_f64();
        let most = self.hosts_share(self.policy.pools.most_moves).min(ahead.max(1.0));
        if to_spare { (most * TRIMS_SHARE).max(1.0) } else { most }
    }

    /// What is due about a move, if anything is.
    fn due(&self, v: &Moving) -> Option<Due> {
        let worker = v.worker.as_ref().and_then(|id| self.workers.get(id));
        let empty = worker.is_none_or(|w| w.runs.is_empty());
        match v.sent {
            None if empty => Some(Due::Order),
            None => (self.now > v.since + self.policy.pools.empty_for).then_some(Due::GiveUp),
            Some(at) => (at + ORDER_AGAIN < self.now).then_some(Due::Order),
        }
    }

    /// Sends the order of a move.
    fn order_move(&mut self, name: HostId) {
        let Some(v) = self.pools.moving.get_mut(&name) else { return };
        v.sent = Some(self.now);
        let to = v.to.clone();
        self.mark_order(&name);
        self.actions.push(Action::Move(name, to));
    }

    /// Corrects a list of hosts that is older than a move.
    pub(super) fn correct_list(&mut self) {
        let now = self.now;
        self.pools.moved.retain(|_, (at, _)| *at + LIST_LAG > now);
        for (name, (_, to)) in &self.pools.moved {
            if let Some(m) = self.hosts.get_mut(name).filter(|m| m.pool != *to) {
                enter_pool(m, to.clone());
            }
        }
    }

    /// The outcome of an order to move; returns whether there was such a move.
    pub(super) fn host_moved(&mut self, host: &HostId, reply: HostReply) -> bool {
        let Some(v) = self.pools.moving.get_mut(host) else { return false };
        let (to, worker, unsure) = (v.to.clone(), v.worker.clone(), v.unsure);
        self.notes.push(format_args!("event=machine_moved machine={host} to={to} reply={reply:?}"));
        match reply {
            HostReply::Done => self.move_done(host, to, worker),
            HostReply::Impossible => {
                self.pools.moving.remove(host);
                self.pools.impossible.insert((host.clone(), to));
            }
            HostReply::NoAnswer => v.unsure = true,
            // Nothing was done; if an earlier try may yet be, it is repeated.
            HostReply::Busy | HostReply::Later | HostReply::Fenced => {
                if !unsure {
                    self.pools.moving.remove(host);
                }
            }
        }
        true
    }

    /// A host was moved, and the life of its worker ended with that.
    fn move_done(&mut self, host: &HostId, to: ServiceId, worker: Option<WorkerId>) {
        self.pools.moving.remove(host);
        self.pools.moved.insert(host.clone(), (self.now, to.clone()));
        if let Some(m) = self.hosts.get_mut(host) {
            enter_pool(m, to);
        }
        if let Some(id) = worker {
            self.end_incarnation(&id, LifeEnd::Moved);
        }
    }
}

/// Notes that a host is on its way to a pool; its worker's life is over.
fn enter_pool(m: &mut Host, pool: ServiceId) {
    m.pool = pool;
    m.state = HostState::Moving;
    m.worker = None;
}
