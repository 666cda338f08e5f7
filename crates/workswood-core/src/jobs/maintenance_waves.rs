//! Maintenance waves: which host goes down next, and when.
//!
//! Each host is drained (it gets no new work, and its long-running tasks are evicted within their
//! budgets), ordered down (the order is on record first), down, and finished once it is up again
//! with another incarnation of its worker. Orders are sent by
//! [`maintenance_orders`](super::maintenance_orders).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::drain_stalls::DrainProgress;
use super::host::{Host, HostState};
use super::job::WorkerId;
use super::pool_count::is_up_or_moving;
use super::scheduler::Scheduler;
use super::stable_map::{StableMap, StableSet};
use super::wave_plan::{Clocks, RequestTime, planned_hosts};
use crate::ids::{HostId, UnixMs};

/// Time after the confirmation of a maintenance within which the list shows it, if it shows it at
/// all.
const MAINTENANCE_LIST_DELAY: Duration = Duration::from_millis(1500);

/// A host that no list has shown for this long was removed for good; a host that moves or is
/// maintained stays listed. Until then, a host that is down for a wave counts as down.
/// Lists are requested every 0.6 s.
const REMOVED_HOST_TIMEOUT: Duration = Duration::from_millis(4000);

/// A maintenance wave as an operator requests it.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Hosts to maintain.
    pub hosts: Vec<HostId>,
    /// Time allowed for all of them.
    pub time_allowed: Duration,
    /// How many of them may be down at the same time.
    pub max_down: usize,
}

/// Stored progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Hosts that were ordered down, with the incarnation of the worker at that time.
    #[serde(default)]
    pub ordered: BTreeMap<HostId, Option<String>>,
    /// Hosts whose order has a final reply: it was carried out, or never can be.
    #[serde(default, rename = "down")]
    pub settled: BTreeSet<HostId>,
    /// Hosts that need nothing more: up again, removed, or not part of the wave.
    #[serde(default)]
    pub finished: BTreeSet<HostId>,
    /// Hosts that are being drained. Records of earlier versions hold none.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub draining: BTreeSet<HostId>,
    /// Time of day at which the first lease holder knew of the wave. Records of earlier versions do
    /// not have it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requested_at_ms: Option<UnixMs>,
}

/// The state of a wave.
#[derive(Clone, Debug)]
pub struct WaveState {
    /// The wave as requested.
    pub request: Wave,
    /// Its hosts.
    members: BTreeSet<HostId>,
    /// The stored progress.
    pub record: WaveRecord,
    /// Since when this scheduler has drained each host of `record.draining`.
    pub draining_since: BTreeMap<HostId, Duration>,
    /// The progress of the hosts that are drained.
    pub(super) drain_progress: DrainProgress,
    /// When each order was last sent.
    pub order_sent_at: BTreeMap<HostId, Duration>,
    /// When each order was confirmed, as far as this scheduler received the reply.
    pub confirmed_at: BTreeMap<HostId, Duration>,
    /// Hosts whose order may still be carried out although it was not answered.
    pub unconfirmed: BTreeSet<HostId>,
    /// Hosts that the list does not show, and since when.
    pub absent_since: BTreeMap<HostId, Duration>,
    /// Hosts that were removed; they need no maintenance.
    pub removed: BTreeSet<HostId>,
    /// When the wave was requested.
    requested_at: RequestTime,
}

/// Whether a host is back from maintenance: its worker has another incarnation.
///
/// A host that is turned off has no worker, before and after; the incarnation on record may be one
/// that ended when it was turned off. A list that was requested before the order was confirmed may
/// be older than the maintenance. If the incarnation on record is not the latest, as after a move
/// between pools, such a list would show the host as back at once.
fn has_returned(
    host: &Host,
    turned_off: bool,
    worker_before: &Option<String>,
    confirmed_at: Option<&Duration>,
    requested_at: Duration,
) -> bool {
    let Some(confirmed_at) = confirmed_at.filter(|at| **at < requested_at) else { return false };
    match (&host.worker, host.state) {
        // A worker that reports its start time keeps its name when it restarts, so the listed name
        // does not show whether it is back; after the delay it must be. One that reports none takes
        // a new name at each start, so with the same name it is not back.
        (Some(id), HostState::Up) => match worker_before.as_deref().map(WorkerId::from) {
            Some(incarnation) if incarnation.name() == id.name() => {
                incarnation.started_at().is_some() && *confirmed_at + MAINTENANCE_LIST_DELAY < requested_at
            }
            Some(_) | None => true,
        },
        (None, HostState::Up | HostState::Down) if turned_off || worker_before.is_none() => {
            *confirmed_at + MAINTENANCE_LIST_DELAY < requested_at
        }
        _ => false,
    }
}

impl WaveState {
    /// Whether every host of it has been maintained or was removed.
    pub fn is_complete(&self) -> bool {
        self.request
            .hosts
            .iter()
            .all(|host| self.record.finished.contains(host) || self.removed.contains(host))
    }

    /// Updates the hosts that are missing from the list. Returns whether the number of removed
    /// hosts changed.
    fn update_absent(&mut self, hosts: &StableMap<HostId, Host>, requested_at: Duration) -> bool {
        let before = self.removed.len();
        let absent = self.request.hosts.iter().filter(|host| !hosts.contains_key(*host));
        let absent_since =
            absent.map(|host| (host.clone(), self.absent_since.get(host).copied().unwrap_or(requested_at)));
        self.absent_since = absent_since.collect();
        let removed =
            self.absent_since.iter().filter(|(_, since)| **since + REMOVED_HOST_TIMEOUT <= requested_at);
        self.removed = removed.map(|(host, _)| host.clone()).collect();
        // A removed host takes no slot.
        for host in self.removed.clone() {
            self.end_draining(&host);
        }
        self.removed.len() != before
    }

    /// Begins to drain a host.
    pub(super) fn begin_draining(&mut self, host: HostId, now: Duration) {
        self.record.draining.insert(host.clone());
        self.draining_since.insert(host, now);
    }

    /// Ends the draining of a host.
    pub(super) fn end_draining(&mut self, host: &HostId) {
        self.record.draining.remove(host);
        self.draining_since.remove(host);
        self.drain_progress.forget(host);
    }

    /// Whether the maintenance of a host has not begun.
    pub(super) fn is_pending(&self, host: &HostId) -> bool {
        let begun = self.record.ordered.contains_key(host) || self.record.draining.contains(host);
        !begun && !self.record.finished.contains(host)
    }

    /// Whether a host is being drained for the wave, or is or may be down.
    fn occupies(&self, host: &HostId) -> bool {
        let ordered = self.record.ordered.contains_key(host) && !self.record.finished.contains(host);
        ordered || self.record.draining.contains(host)
    }

    /// Hosts that are being drained for the wave, or are or may be down.
    fn occupied(&self) -> impl Iterator<Item = &HostId> {
        let down = self.record.ordered.keys().filter(|host| !self.record.finished.contains(*host));
        self.record.draining.iter().chain(down)
    }

    /// Number of hosts that are, or may be, down for the wave.
    pub(super) fn down_count(&self) -> usize {
        self.record.ordered.keys().filter(|host| !self.record.finished.contains(*host)).count()
    }
}

impl Scheduler {
    /// Takes over the progress of a wave that a predecessor recorded. It is kept until the wave is
    /// known, which may be later: the operators' topic may not have been read yet.
    pub fn restore_wave_record(&mut self, number: u64, record: WaveRecord) {
        if !self.waves.contains_key(&number) {
            self.early_wave_records.insert(number, record);
        }
    }

    /// Adds a wave that an operator requested. Without a record, the restored one counts.
    pub(super) fn wave_requested(&mut self, wave: Wave, rec: Option<WaveRecord>) {
        let number = wave.number;
        if self.waves.contains_key(&number) {
            return;
        }
        let restored = self.early_wave_records.remove(&number);
        let mut record = rec.or(restored).unwrap_or_default();
        let now = self.now;
        let recorded = *record.requested_at_ms.get_or_insert(self.wall);
        self.notes.push(format_args!(
            "event=wave_known wave={number} machines={} most_at_once={} finished={} emptying={} age_ms={}",
            wave.hosts.len(),
            wave.max_down,
            record.finished.len(),
            record.draining.len(),
            self.wall.saturating_sub(recorded)
        ));
        let open = record.ordered.keys().filter(|host| !record.settled.contains(*host));
        let unconfirmed = open.cloned().collect();
        let draining_since = record.draining.iter().map(|host| (host.clone(), now)).collect();
        let confirmed_at = record.settled.iter().map(|host| (host.clone(), now)).collect();
        let state = WaveState {
            members: wave.hosts.iter().cloned().collect(),
            request: wave,
            record,
            draining_since,
            drain_progress: DrainProgress::default(),
            order_sent_at: BTreeMap::new(),
            confirmed_at,
            unconfirmed,
            absent_since: BTreeMap::new(),
            removed: BTreeSet::new(),
            requested_at: RequestTime { known_since: now, recorded },
        };
        self.waves.insert(number, state);
        self.dirty_waves.insert(number);
        self.update_cordons();
    }

    /// Takes over a list of hosts that was requested at `requested_at`.
    pub(super) fn hosts_listed(&mut self, list: Vec<Host>, requested_at: Duration) {
        // Answers may overtake one another, so older lists are ignored.
        if requested_at < self.hosts_requested_at {
            return;
        }
        self.hosts_requested_at = requested_at;
        let listed = list.into_iter().map(|host| (host.name.clone(), host)).collect();
        let before = std::mem::replace(&mut self.hosts, listed);
        self.restore_steps_for_hosts(&before);
        self.update_fleet_cpu();
        self.correct_host_list(requested_at);
        self.record_declared_sizes();
        self.end_incarnations_by_host_list(requested_at);
        self.note_hosts_of_silent_workers(requested_at);
        self.mark_finished_hosts(requested_at);
    }

    /// Whether the scheduler needs lists of hosts at present.
    pub fn needs_host_list(&self) -> bool {
        self.waves.values().any(|wave| !wave.is_complete()) || self.config.services.values().any(|s| s.spare)
    }

    /// Marks hosts as finished that are up again with another incarnation of their worker, or were
    /// removed.
    fn mark_finished_hosts(&mut self, requested_at: Duration) {
        let spare = self.spare_pool();
        for (number, wave) in &mut self.waves {
            if !self.hosts.is_empty() && wave.update_absent(&self.hosts, requested_at) {
                self.dirty_waves.insert(*number);
            }
            let waiting: Vec<HostId> = wave
                .record
                .settled
                .iter()
                .filter(|host| !wave.record.finished.contains(*host))
                .cloned()
                .collect();
            for name in waiting {
                let worker_before = wave.record.ordered.get(&name).cloned().flatten();
                let back = match self.hosts.get(&name) {
                    Some(host) => {
                        let turned_off = spare.as_ref() == Some(&host.pool);
                        has_returned(
                            host,
                            turned_off,
                            &worker_before,
                            wave.confirmed_at.get(&name),
                            requested_at,
                        )
                    }
                    // A removed host needs no maintenance.
                    None => wave.removed.contains(&name),
                };
                if back {
                    wave.record.finished.insert(name);
                    self.dirty_waves.insert(*number);
                }
            }
        }
    }

    /// Advances all waves.
    pub(super) fn advance_waves(&mut self) {
        let open: Vec<u64> =
            self.waves.iter().filter(|(_, wave)| !wave.is_complete()).map(|(number, _)| *number).collect();
        for number in open {
            self.advance_wave(number);
        }
        self.update_cordons();
    }

    /// Whether a host gets no new work since it moves or is in maintenance.
    pub(super) fn is_cordoned(&self, host: &HostId) -> bool {
        self.pools.moves.contains_key(host) || self.in_maintenance(host)
    }

    /// Whether some wave drains a host or has it down.
    pub(super) fn in_maintenance(&self, host: &HostId) -> bool {
        self.waves.values().any(|wave| wave.occupies(host))
    }

    /// Hosts that get no new work since they move or are in maintenance.
    pub(super) fn hosts_to_cordon(&self) -> StableSet<&HostId> {
        let waves = self.waves.values().filter(|wave| !wave.is_complete()).flat_map(WaveState::occupied);
        self.pools.moves.keys().chain(waves).collect()
    }

    /// Whether the maintenance of a host for some wave has not begun. A host that was removed needs
    /// none until a list shows it again; so no host of a complete wave is due.
    pub(super) fn is_due_for_maintenance(&self, host: &HostId) -> bool {
        let is_due = |wave: &WaveState| {
            wave.members.contains(host) && wave.is_pending(host) && !wave.removed.contains(host)
        };
        self.waves.values().any(is_due)
    }

    /// Updates the cordons of workers after a change of the hosts to cordon.
    fn update_cordons(&mut self) {
        let to_cordon: BTreeSet<HostId> = self.hosts_to_cordon().into_iter().cloned().collect();
        let changed: Vec<(HostId, bool)> = to_cordon
            .symmetric_difference(&self.cordoned_hosts)
            .map(|host| (host.clone(), to_cordon.contains(host)))
            .collect();
        self.cordoned_hosts = to_cordon;
        for (host, cordoned) in changed {
            for id in self.workers.on_host(&host).to_vec() {
                self.set_cordon(&id, cordoned);
            }
        }
    }

    fn set_cordon(&mut self, id: &WorkerId, cordoned: bool) {
        let Some(mut w) = self.workers.get_mut(id) else { return };
        w.cordoned = cordoned;
        if let Some(info) = &w.info {
            self.services_to_place.insert(info.service.clone());
        }
    }

    /// Advances one wave.
    fn advance_wave(&mut self, number: u64) {
        if self.hosts.is_empty() {
            return;
        }
        self.resend_maintenance_orders(number);
        self.put_back_stalled_hosts(number);
        self.start_draining(number);
        self.order_drained_hosts(number);
    }

    /// Picks hosts to drain: idle ones that their pool can spare at any time, others only as far as
    /// the wave is behind its plan and budgets allow to evict from them.
    fn start_draining(&mut self, number: u64) {
        let Some(wave) = self.waves.get(&number) else { return };
        let begun = wave.record.draining.len() + wave.down_count();
        let mut slots = wave.request.max_down.max(1).saturating_sub(begun);
        if slots == 0 {
            return;
        }
        let mut count = self.count_pools();
        let short = self.short_pools(&count);
        let elapsed = wave.requested_at.elapsed(Clocks { now: self.now, wall: self.wall });
        let Wave { hosts, time_allowed, .. } = &wave.request;
        let planned =
            planned_hosts(hosts.len(), *time_allowed, elapsed, !short.is_empty(), &self.policy.waves);
        let mut behind = planned.saturating_sub(wave.record.finished.len() + begun);
        let mut room = self.eviction_room();
        let candidates = self.drain_candidates(wave, &short);
        let mut long_running_slots = self.slots_for_long_running(wave, &candidates);
        for candidate in candidates {
            let is_surplus = candidate.is_idle() && self.can_spare(&count, &candidate.host);
            if slots == 0 {
                break;
            }
            if (behind == 0 && !is_surplus)
                || (candidate.has_long_running() && long_running_slots == 0)
                || self.in_maintenance(&candidate.host)
                || (candidate.was_put_back() && !room.promises_progress(self, &candidate.host))
                || !room.take(self, &candidate.host)
            {
                continue;
            }
            long_running_slots = long_running_slots.saturating_sub(usize::from(candidate.has_long_running()));
            let host = candidate.host;
            slots -= 1;
            behind = behind.saturating_sub(1);
            self.notes.push(format_args!(
                "event=machine_emptying wave={number} machine={host} spared={is_surplus}"
            ));
            if let Some(host) =
                self.hosts.get(&host).filter(|host| is_up_or_moving(host) && !self.is_evacuated(host))
            {
                count.remove_host(&host.pool);
            }
            let now = self.now;
            if let Some(wave) = self.waves.get_mut(&number) {
                wave.begin_draining(host, now);
                self.dirty_waves.insert(number);
            }
        }
    }
}
