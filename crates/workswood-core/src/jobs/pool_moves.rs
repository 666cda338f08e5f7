//! How a host that changes its pool gets there.
//!
//! From when a move is decided nothing new is placed on the host. Once it is
//! empty, the platform is ordered to move it; an order without an answer is
//! repeated. A host that does not become empty in time stays where it is.

use std::time::Duration;

use super::crash::LifeEnd;
use super::host::{Host, HostReply, HostState, ORDER_RETRY_INTERVAL};
use super::job::WorkerId;
use super::scheduler::Scheduler;
use super::types::Action;
use crate::ids::{HostId, ServiceId};

/// A list of hosts may have been asked for this long ago.
const HOST_LIST_LAG: Duration = Duration::from_millis(1200);

/// Moves are begun as far ahead of their orders as this: from then on nothing new begins on their hosts,
/// and some become empty only after a while.
const MOVE_LEAD_TIME: Duration = Duration::from_millis(1500);
/// Of these, those to the pool of hosts that are off take this share at most: they can wait.
const SPARE_MOVES_SHARE: f64 = 0.5;
/// After a pause, as many orders are sent at once as the platform takes in this time: it counts them by the
/// second, and a turn of demand wants its hosts now.
const ORDER_BURST_TIME: Duration = Duration::from_millis(1000);

/// A move that is under way.
#[derive(Clone, Debug)]
pub struct PoolMove {
    /// The pool that gets the host.
    pub to: ServiceId,
    /// When it was decided.
    pub begun_at: Duration,
    /// When the order was last sent, if it was.
    pub order_sent_at: Option<Duration>,
    /// Whether an order had no answer, so that it may yet be carried out.
    pub unconfirmed: bool,
    /// The life of its worker when it was decided.
    pub worker: Option<WorkerId>,
}

/// What is due about a move.
enum NextStep {
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
        let moving = PoolMove { to, begun_at: self.now, order_sent_at: None, unconfirmed: false, worker };
        self.pools.moves.insert(host, moving);
    }

    /// Sends the orders of hosts that are empty, those to pools at work first and no more than the
    /// platform takes, and gives up on those that did not become so.
    pub(super) fn order_moves(&mut self) {
        let all = self.pools.moves.iter();
        let due: Vec<(HostId, NextStep)> =
            all.filter_map(|(name, v)| Some((name.clone(), self.next_step(v)?))).collect();
        let (orders, over): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|(_, due)| matches!(due, NextStep::Order));
        for (name, _) in over {
            self.pools.moves.remove(&name);
        }
        let spare = self.spare_pool();
        let trims =
            |(name, _): &(HostId, NextStep)| self.pools.moves.get(name).map(|v| &v.to) == spare.as_ref();
        let (last, first): (Vec<_>, Vec<_>) = orders.into_iter().partition(trims);
        let most = self.available_orders();
        for (name, _) in first.into_iter().chain(last).take(most) {
            self.pools.order_budget -= 1.0;
            self.order_move(name);
        }
    }

    /// Orders of moves that may be sent now.
    fn available_orders(&mut self) -> usize {
        let rate = self.limits.host_orders_per_s;
        let passed = self.now.saturating_sub(self.pools.order_budget_updated_at).as_secs_f64();
        self.pools.order_budget_updated_at = self.now;
        let most = (rate * ORDER_BURST_TIME.as_secs_f64()).max(1.0);
        self.pools.order_budget = (self.pools.order_budget + rate * passed).min(most);
        self.pools.order_budget as usize
    }

    /// Moves that may be under way, to the pool of hosts that are off or to others.
    pub(super) fn max_moves(&self, to_spare: bool) -> f64 {
        let ahead = self.limits.host_orders_per_s * MOVE_LEAD_TIME.as_secs_f64();
        let most = self.share_of_hosts(self.policy.pools.max_moves_share).min(ahead.max(1.0));
        if to_spare { (most * SPARE_MOVES_SHARE).max(1.0) } else { most }
    }

    /// What is due about a move, if anything is.
    fn next_step(&self, v: &PoolMove) -> Option<NextStep> {
        let worker = v.worker.as_ref().and_then(|id| self.workers.get(id));
        let empty = worker.is_none_or(|w| w.runs.is_empty());
        match v.order_sent_at {
            None if empty => Some(NextStep::Order),
            None => (self.now > v.begun_at + self.policy.pools.empty_for).then_some(NextStep::GiveUp),
            Some(at) => (at + ORDER_RETRY_INTERVAL < self.now).then_some(NextStep::Order),
        }
    }

    /// Sends the order of a move.
    fn order_move(&mut self, name: HostId) {
        let Some(v) = self.pools.moves.get_mut(&name) else { return };
        v.order_sent_at = Some(self.now);
        let to = v.to.clone();
        self.mark_order(&name);
        self.actions.push(Action::MoveHost(name, to));
    }

    /// Corrects a list of hosts that is older than a move.
    pub(super) fn correct_host_list(&mut self) {
        let now = self.now;
        self.pools.recent_moves.retain(|_, (at, _)| *at + HOST_LIST_LAG > now);
        for (name, (_, to)) in &self.pools.recent_moves {
            if let Some(m) = self.hosts.get_mut(name).filter(|m| m.pool != *to) {
                set_moving_to(m, to.clone());
            }
        }
    }

    /// The outcome of an order to move; returns whether there was such a move.
    pub(super) fn move_answered(&mut self, host: &HostId, reply: HostReply) -> bool {
        let Some(v) = self.pools.moves.get_mut(host) else { return false };
        let (to, worker, unsure) = (v.to.clone(), v.worker.clone(), v.unconfirmed);
        self.notes.push(format_args!("event=machine_moved machine={host} to={to} reply={reply:?}"));
        match reply {
            HostReply::Done => self.move_done(host, to, worker),
            HostReply::Impossible => {
                self.pools.moves.remove(host);
                self.pools.impossible_moves.insert((host.clone(), to));
            }
            HostReply::NoAnswer => v.unconfirmed = true,
            // Nothing was done; if an earlier try may yet be, it is repeated.
            HostReply::Busy | HostReply::Later | HostReply::Fenced => {
                if !unsure {
                    self.pools.moves.remove(host);
                }
            }
        }
        true
    }

    /// A host was moved, and the life of its worker ended with that.
    fn move_done(&mut self, host: &HostId, to: ServiceId, worker: Option<WorkerId>) {
        self.pools.moves.remove(host);
        self.pools.recent_moves.insert(host.clone(), (self.now, to.clone()));
        if let Some(m) = self.hosts.get_mut(host) {
            set_moving_to(m, to);
        }
        if let Some(id) = worker {
            self.life_over(&id, LifeEnd::Moved);
        }
    }
}

/// Notes that a host is on its way to a pool; its worker's life is over.
fn set_moving_to(m: &mut Host, pool: ServiceId) {
    m.pool = pool;
    m.state = HostState::Moving;
    m.worker = None;
}
