//! Maintenance orders to the hosts of a wave, and their replies.
//!
//! An order is on record before it is sent. One without a reply is repeated; the platform gives the
//! same reply if it was carried out already.

use std::time::Duration;

use super::crash_attribution::IncarnationEnd;
use super::host::{HostReply, HostState, ORDER_RETRY_INTERVAL};
use super::job::WorkerId;
use super::maintenance_waves::WaveState;
use super::scheduler::Scheduler;
use super::types::Action;
use crate::ids::HostId;

impl Scheduler {
    /// Sends orders without a reply again.
    pub(super) fn resend_maintenance_orders(&mut self, number: u64) {
        let now = self.now;
        let Some(wave) = self.waves.get(&number) else { return };
        let open = wave.record.ordered.keys().filter(|host| !wave.record.settled.contains(*host));
        let due: Vec<HostId> = open
            .filter(|host| wave.order_sent_at.get(*host).is_none_or(|at| *at + ORDER_RETRY_INTERVAL < now))
            .cloned()
            .collect();
        let due: Vec<HostId> = due.into_iter().filter(|host| self.may_order(host)).collect();
        for host in due {
            self.send_maintenance_order(number, host);
        }
    }

    /// Orders hosts into maintenance that are empty or whose drain time has ended.
    pub(super) fn order_drained_hosts(&mut self, number: u64) {
        let Some(wave) = self.waves.get(&number) else { return };
        let mut slots = wave.request.max_down.max(1).saturating_sub(wave.down_count());
        if wave.draining_since.is_empty() {
            return;
        }
        let worker = |host: &HostId| self.worker_of(host).cloned();
        let mut draining: Vec<(usize, Duration, HostId, Option<WorkerId>)> = wave
            .draining_since
            .iter()
            .map(|(host, at)| (self.long_running_on(host), *at, host.clone(), worker(host)))
            .collect();
        // Those that need the fewest evictions are evicted from first, so that they are free soonest.
        draining.sort();
        for (_, at, host, worker) in draining {
            let long_running = worker.as_ref().map_or(0, |id| self.evict_within_budget(id));
            let runs = worker.as_ref().and_then(|id| self.workers.get(id)).map_or(0, |w| w.runs.len());
            let waited = self.now >= at + self.policy.waves.drain_timeout;
            let ready = self.accepts_orders(number, &host) && self.may_order(&host);
            let empty = runs == 0 && !self.may_hide_runs(&host);
            if slots == 0 || long_running > 0 || (!empty && !waited) || !ready {
                continue;
            }
            slots -= 1;
            self.notes
                .push(format_args!("event=machine_ordered_down wave={number} machine={host} runs={runs}"));
            self.order_maintenance(number, host, worker);
        }
    }

    /// Sends the first maintenance order to a host and records the incarnation of its worker.
    fn order_maintenance(&mut self, number: u64, host: HostId, worker: Option<WorkerId>) {
        let Some(wave) = self.waves.get_mut(&number) else { return };
        wave.end_draining(&host);
        wave.record.ordered.insert(host.clone(), worker.map(|id| id.to_string()));
        self.dirty_waves.insert(number);
        self.send_maintenance_order(number, host);
    }

    /// Sends a maintenance order.
    fn send_maintenance_order(&mut self, number: u64, host: HostId) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.order_sent_at.insert(host.clone(), self.now);
        }
        self.mark_order(&host);
        self.actions.push(Action::MaintainHost(host, number));
    }

    /// Whether a host is likely to accept an order. The platform rejects orders for hosts that move
    /// between pools, are under maintenance or are not listed; an order that was just rejected is
    /// not repeated at once.
    fn accepts_orders(&self, number: u64, host: &HostId) -> bool {
        let sent = self.waves.get(&number).and_then(|wave| wave.order_sent_at.get(host));
        if sent.is_some_and(|at| self.now < *at + ORDER_RETRY_INTERVAL) {
            return false;
        }
        let state = self.hosts.get(host).map(|host| host.state);
        matches!(state, Some(HostState::Up | HostState::Down))
    }

    /// The wave with an order for this host that has no final reply.
    pub(super) fn wave_with_open_order(&self, host: &HostId) -> Option<u64> {
        let waits =
            |wave: &WaveState| wave.record.ordered.contains_key(host) && !wave.record.settled.contains(host);
        self.waves.iter().find(|(_, wave)| waits(wave)).map(|(number, _)| *number)
    }

    /// Handles the reply to an order to a host, for a move or for maintenance.
    pub(super) fn host_order_answered(&mut self, host: &HostId, reply: HostReply) {
        if self.move_answered(host, reply) {
            return;
        }
        let Some(number) = self.wave_with_open_order(host) else { return };
        let listed = self.hosts.get(host);
        let (pool, state) = listed.map_or(("none", None), |host| (host.pool.as_str(), Some(host.state)));
        self.notes.push(format_args!(
            "event=machine_answer wave={number} machine={host} reply={reply:?} pool={pool} listed={state:?}"
        ));
        let Some(wave) = self.waves.get_mut(&number) else { return };
        match reply {
            HostReply::Done => self.record_maintenance(number, host),
            HostReply::Impossible => {
                wave.record.settled.insert(host.clone());
                wave.record.finished.insert(host.clone());
                self.dirty_waves.insert(number);
            }
            HostReply::NoAnswer => {
                wave.unconfirmed.insert(host.clone());
            }
            // Nothing was done. Unless an earlier request may yet be carried out, the host is
            // drained again: it may come back with other work on it.
            HostReply::Busy | HostReply::Later | HostReply::Fenced => {
                if !wave.unconfirmed.contains(host) {
                    wave.record.ordered.remove(host);
                    wave.begin_draining(host.clone(), self.now);
                    self.dirty_waves.insert(number);
                }
            }
        }
    }

    /// Records that a host is in maintenance, and ends the incarnation of its worker.
    fn record_maintenance(&mut self, number: u64, host: &HostId) {
        let Some(wave) = self.waves.get_mut(&number) else { return };
        wave.record.settled.insert(host.clone());
        wave.confirmed_at.insert(host.clone(), self.now);
        let incarnation = wave.record.ordered.get(host).cloned().flatten();
        self.dirty_waves.insert(number);
        if let Some(incarnation) = incarnation {
            self.end_incarnation(&incarnation.as_str().into(), IncarnationEnd::Maintenance);
        }
    }
}
