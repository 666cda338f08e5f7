//! Orders to hosts that a wave takes down, and their outcomes.
//!
//! An order is on record before it is sent. One without an answer is repeated;
//! the platform answers alike when it has been carried out already.

use std::time::Duration;

use super::crash::LifeEnd;
use super::host::{HostReply, HostState, ORDER_AGAIN};
use super::job::WorkerId;
use super::sched::Scheduler;
use super::types::Action;
use super::wave::WaveState;
use crate::ids::HostId;

impl Scheduler {
    /// Sends orders again that have had no outcome.
    pub(super) fn order_again(&mut self, n: u64) {
        let now = self.now;
        let Some(w) = self.waves.get(&n) else { return };
        let open = w.record.ordered.keys().filter(|m| !w.record.down.contains(*m));
        let due: Vec<HostId> =
            open.filter(|m| w.sent.get(*m).is_none_or(|at| *at + ORDER_AGAIN < now)).cloned().collect();
        let due: Vec<HostId> = due.into_iter().filter(|m| self.may_order(m)).collect();
        for m in due {
            self.send_upkeep(n, m);
        }
    }

    /// Orders hosts down that are empty, or were given enough time.
    pub(super) fn order_empty(&mut self, n: u64) {
        let Some(w) = self.waves.get(&n) else { return };
        let mut room = w.wave.most_at_once.max(1).saturating_sub(w.down_now());
        if w.emptying.is_empty() {
            return;
        }
        let worker = |m: &HostId| {
            let listed = || self.hosts.get(m).and_then(|m| m.worker.clone());
            self.worker_on(m).cloned().or_else(listed)
        };
        let emptying: Vec<(HostId, Duration, Option<WorkerId>)> =
            w.emptying.iter().map(|(m, at)| (m.clone(), *at, worker(m))).collect();
        for (m, at, worker) in emptying {
            let lasting = worker.as_ref().map_or(0, |id| self.evict_within_budget(id));
            let runs = worker.as_ref().and_then(|id| self.workers.get(id)).map_or(0, |w| w.runs.len());
            let waited = self.now >= at + self.policy.waves.empty_for;
            let ready = self.takes_orders(n, &m) && self.may_order(&m);
            if room == 0 || lasting > 0 || (runs > 0 && !waited) || !ready {
                continue;
            }
            room -= 1;
            self.notes.push(format_args!("event=machine_ordered_down wave={n} machine={m} runs={runs}"));
            self.order_down(n, m, worker);
        }
    }

    /// Orders a host down for the first time, with the life of its worker.
    fn order_down(&mut self, n: u64, host: HostId, worker: Option<WorkerId>) {
        let Some(w) = self.waves.get_mut(&n) else { return };
        w.emptying.remove(&host);
        w.record.ordered.insert(host.clone(), worker.map(|id| id.to_string()));
        self.dirty_waves.insert(n);
        self.send_upkeep(n, host);
    }

    /// Sends the order for the maintenance of a host.
    fn send_upkeep(&mut self, n: u64, host: HostId) {
        if let Some(w) = self.waves.get_mut(&n) {
            w.sent.insert(host.clone(), self.now);
        }
        self.mark_order(&host);
        self.actions.push(Action::Upkeep(host, n));
    }

    /// Whether a host is likely to take an order. One that is on its way to a
    /// pool, or being maintained, turns it down until it is up again; so does one
    /// that is not listed, and one that has just turned one down.
    fn takes_orders(&self, n: u64, host: &HostId) -> bool {
        let sent = self.waves.get(&n).and_then(|w| w.sent.get(host));
        if sent.is_some_and(|at| self.now < *at + ORDER_AGAIN) {
            return false;
        }
        let state = self.hosts.get(host).map(|m| m.state);
        matches!(state, Some(HostState::Up | HostState::Down))
    }

    /// The wave that has ordered a host down and waits for the outcome.
    pub(super) fn wave_of_order(&self, host: &HostId) -> Option<u64> {
        let waits = |w: &WaveState| w.record.ordered.contains_key(host) && !w.record.down.contains(host);
        self.waves.iter().find(|(_, w)| waits(w)).map(|(n, _)| *n)
    }

    /// The outcome of an order to a host, of a move or of a wave.
    pub(super) fn host_ordered(&mut self, host: &HostId, reply: HostReply) {
        if self.host_moved(host, reply) {
            return;
        }
        let Some(n) = self.wave_of_order(host) else { return };
        let listed = self.hosts.get(host);
        let (pool, state) = listed.map_or(("none", None), |m| (m.pool.as_str(), Some(m.state)));
        self.notes.push(format_args!(
            "event=machine_answer wave={n} machine={host} reply={reply:?} pool={pool} listed={state:?}"
        ));
        let Some(w) = self.waves.get_mut(&n) else { return };
        match reply {
            HostReply::Done => self.upkeep_done(n, host),
            HostReply::Impossible => {
                w.record.down.insert(host.clone());
                w.record.finished.insert(host.clone());
                self.dirty_waves.insert(n);
            }
            HostReply::NoAnswer => {
                w.unsure.insert(host.clone());
            }
            // Nothing was done. Unless an earlier try may yet be, the host
            // is emptied anew: it may come back with other work on it.
            HostReply::Busy | HostReply::Later | HostReply::Fenced => {
                if !w.unsure.contains(host) {
                    w.record.ordered.remove(host);
                    w.emptying.insert(host.clone(), self.now);
                    self.dirty_waves.insert(n);
                }
            }
        }
    }

    /// A host was ordered down, and the life of its worker ended with that.
    fn upkeep_done(&mut self, n: u64, host: &HostId) {
        let Some(w) = self.waves.get_mut(&n) else { return };
        w.record.down.insert(host.clone());
        w.confirmed.insert(host.clone(), self.now);
        let life = w.record.ordered.get(host).cloned().flatten();
        self.dirty_waves.insert(n);
        if let Some(life) = life {
            self.end_incarnation(&life.as_str().into(), LifeEnd::Upkeep);
        }
    }
}
