//! Moves of hosts between pools.
//!
//! From the decision on, the host is cordoned. Once it is empty, the platform is ordered to move
//! it; an order without a reply is repeated. A host that does not become empty in time stays in its
//! pool.

use std::time::Duration;

use super::crash_attribution::IncarnationEnd;
use super::host::{Host, HostReply, HostState, ORDER_RETRY_INTERVAL};
use super::job::WorkerId;
use super::scheduler::Scheduler;
use super::types::Action;
use crate::ids::{HostId, ServiceId};

/// A list of hosts that was requested less than this long after a move may not show it.
const HOST_LIST_LAG: Duration = Duration::from_millis(1200);

/// Moves under way are limited to as many as can be ordered in this time: hosts need some time to
/// become empty.
const MOVE_LEAD_TIME: Duration = Duration::from_millis(1500);
/// Moves to the spare pool begin only while fewer than this share of the allowed moves, of whatever
/// kind, are under way, since they can wait.
const SPARE_MOVES_SHARE: f64 = 0.5;
/// After a pause, as many orders may be sent at once as the platform accepts in this time.
/// It counts them by the second, and a rise of demand needs its hosts at once.
const ORDER_BURST_TIME: Duration = Duration::from_millis(1000);

/// A move that is under way.
#[derive(Clone, Debug)]
pub struct PoolMove {
    /// The pool that gets the host.
    pub to: ServiceId,
    /// When the move was decided.
    pub begun_at: Duration,
    /// When the order was last sent, if it was.
    pub order_sent_at: Option<Duration>,
    /// Whether an order had no reply, so that it may still be carried out.
    pub unconfirmed: bool,
    /// The incarnation of the host's worker when the move was decided.
    pub worker: Option<WorkerId>,
}

/// The next step of a move.
enum NextStep {
    /// Send the order, for the first time or again.
    Order,
    /// Give up: the host did not become empty in time and stays in its pool.
    GiveUp,
}

impl Scheduler {
    /// Begins a move and cordons the host.
    pub(super) fn begin_move(&mut self, host: HostId, to: ServiceId, worker: Option<WorkerId>) {
        let from = self.hosts.get(&host).map(|host| host.pool.clone()).unwrap_or_default();
        let need = self.pools.need.get(&to).map_or(0.0, |n| n.now);
        self.notes
            .push(format_args!("event=machine_moving machine={host} from={from} to={to} need={need:.1}"));
        if let Some(mut w) = worker.as_ref().and_then(|id| self.workers.get_mut(id)) {
            w.cordoned = true;
        }
        let moving = PoolMove { to, begun_at: self.now, order_sent_at: None, unconfirmed: false, worker };
        self.pools.moves.insert(host, moving);
    }

    /// Sends the orders of empty hosts, at the rate that the platform accepts, moves to active
    /// pools first. Gives up moves whose hosts did not become empty in time.
    pub(super) fn order_moves(&mut self) {
        let all = self.pools.moves.iter();
        let due: Vec<(HostId, NextStep)> = all
            .filter_map(|(name, pool_move)| Some((name.clone(), self.next_step(name, pool_move)?)))
            .collect();
        let (orders, given_up): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|(_, due)| matches!(due, NextStep::Order));
        for (name, _) in given_up {
            self.pools.moves.remove(&name);
        }
        let spare = self.spare_pool();
        let goes_to_spare_pool = |(name, _): &(HostId, NextStep)| {
            self.pools.moves.get(name).map(|pool_move| &pool_move.to) == spare.as_ref()
        };
        let (last, first): (Vec<_>, Vec<_>) = orders.into_iter().partition(goes_to_spare_pool);
        let most = self.refill_order_budget();
        for (name, _) in first.into_iter().chain(last).take(most) {
            self.pools.order_budget -= 1.0;
            self.order_move(name);
        }
    }

    /// Refills the budget of move orders, and returns how many may be sent now.
    fn refill_order_budget(&mut self) -> usize {
        let rate = self.limits.host_orders_per_s;
        let passed = self.now.saturating_sub(self.pools.order_budget_updated_at).as_secs_f64();
        self.pools.order_budget_updated_at = self.now;
        let most = (rate * ORDER_BURST_TIME.as_secs_f64()).max(1.0);
        self.pools.order_budget = (self.pools.order_budget + rate * passed).min(most);
        self.pools.order_budget as usize
    }

    /// Number of moves under way, of whatever kind, below which a move may begin: to the spare
    /// pool, or to another pool.
    pub(super) fn max_moves(&self, to_spare_pool: bool) -> f64 {
        let ahead = self.limits.host_orders_per_s * MOVE_LEAD_TIME.as_secs_f64();
        let most = self.share_of_hosts(self.policy.pools.max_moves_share).min(ahead.max(1.0));
        if to_spare_pool { (most * SPARE_MOVES_SHARE).max(1.0) } else { most }
    }

    /// The next step of a move, if one is due.
    fn next_step(&self, host: &HostId, pool_move: &PoolMove) -> Option<NextStep> {
        let worker = pool_move.worker.as_ref().and_then(|id| self.workers.get(id));
        let empty = worker.is_none_or(|w| w.runs.is_empty()) && !self.may_hide_runs(host);
        match pool_move.order_sent_at {
            None if empty => Some(NextStep::Order),
            None => {
                (self.now > pool_move.begun_at + self.policy.pools.drain_timeout).then_some(NextStep::GiveUp)
            }
            Some(at) => (at + ORDER_RETRY_INTERVAL < self.now).then_some(NextStep::Order),
        }
    }

    /// Sends the order of a move.
    fn order_move(&mut self, name: HostId) {
        let Some(pool_move) = self.pools.moves.get_mut(&name) else { return };
        pool_move.order_sent_at = Some(self.now);
        let to = pool_move.to.clone();
        self.mark_order(&name);
        self.actions.push(Action::MoveHost(name, to));
    }

    /// Corrects the list of hosts, which was requested at `requested_at`, where it may be older than a move.
    pub(super) fn correct_host_list(&mut self, requested_at: Duration) {
        self.pools.recent_moves.retain(|_, (at, _)| *at + HOST_LIST_LAG > requested_at);
        for (name, (_, to)) in &self.pools.recent_moves {
            if let Some(host) = self.hosts.get_mut(name).filter(|host| host.pool != *to) {
                set_moving_to(host, to.clone());
            }
        }
    }

    /// Handles the reply to a move order; returns whether there was such a move.
    pub(super) fn move_answered(&mut self, host: &HostId, reply: HostReply) -> bool {
        let Some(pool_move) = self.pools.moves.get_mut(host) else { return false };
        let (to, worker, unconfirmed) =
            (pool_move.to.clone(), pool_move.worker.clone(), pool_move.unconfirmed);
        self.notes.push(format_args!("event=machine_moved machine={host} to={to} reply={reply:?}"));
        match reply {
            HostReply::Done => self.move_done(host, to, worker),
            HostReply::Impossible => {
                self.pools.moves.remove(host);
                self.pools.impossible_moves.insert((host.clone(), to));
            }
            HostReply::NoAnswer => pool_move.unconfirmed = true,
            // Nothing was done. If an earlier request may still be carried out, the order is
            // repeated.
            HostReply::Busy | HostReply::Later | HostReply::Fenced => {
                if !unconfirmed {
                    self.pools.moves.remove(host);
                }
            }
        }
        true
    }

    /// Completes a move, which ends the incarnation of the host's worker.
    fn move_done(&mut self, host: &HostId, to: ServiceId, worker: Option<WorkerId>) {
        self.pools.moves.remove(host);
        self.pools.recent_moves.insert(host.clone(), (self.now, to.clone()));
        if let Some(host) = self.hosts.get_mut(host) {
            set_moving_to(host, to);
        }
        if let Some(id) = worker {
            self.end_incarnation(&id, IncarnationEnd::HostMoved);
        }
    }
}

/// Marks a host as moving to a pool; the incarnation of its worker has ended.
fn set_moving_to(host: &mut Host, pool: ServiceId) {
    host.pool = pool;
    host.state = HostState::Moving;
    host.worker = None;
}
