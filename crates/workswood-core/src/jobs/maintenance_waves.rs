//! Maintenance waves: which host goes down next, and when.
//!
//! A host passes through these states: it is emptied (no new work, lasting
//! tasks moved off within their budgets), ordered down (the order is on
//! record first), down, and finished when it is up again with another life of
//! its worker. The orders themselves are in [`maintenance_orders`](super::maintenance_orders).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::host::{Host, HostState};
use super::job::WorkerId;
use super::map::{Map, Set};
use super::policy::WavePolicy;
use super::pool_count::is_working;
use super::scheduler::Scheduler;
use crate::ids::{HostId, ServiceId};

/// A host that is off is listed as under maintenance within this time
/// after its order was confirmed, if it is at all.
const OFF_HOST_LIST_DELAY: Duration = Duration::from_millis(1500);

/// A host that no list has shown for this long was taken away for good: lists
/// are asked for every 0.6 s, and a host that changes its pool or is maintained
/// stays listed.
const REMOVED_HOST_TIMEOUT: Duration = Duration::from_millis(4000);

/// A wave, as operators ask for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Hosts to maintain.
    pub hosts: Vec<HostId>,
    /// Time allowed for all of them.
    pub time_allowed: Duration,
    /// How many may be down at once.
    pub max_down: usize,
}

/// The stored progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Hosts ordered down, with the life of the worker at that time.
    #[serde(default)]
    pub ordered: BTreeMap<HostId, Option<String>>,
    /// Hosts whose order was confirmed.
    #[serde(default)]
    pub down: BTreeSet<HostId>,
    /// Hosts that are up again.
    #[serde(default)]
    pub finished: BTreeSet<HostId>,
}

/// What the scheduler knows of a wave.
#[derive(Clone, Debug)]
pub struct WaveState {
    /// What was asked for.
    pub wave: Wave,
    /// What is on record.
    pub record: WaveRecord,
    /// Hosts that are being emptied, and since when.
    pub draining: BTreeMap<HostId, Duration>,
    /// When each order was last sent.
    pub order_sent_at: BTreeMap<HostId, Duration>,
    /// When each order was confirmed, as far as this scheduler heard it.
    pub confirmed_at: BTreeMap<HostId, Duration>,
    /// Hosts whose order may yet be carried out though it was not answered.
    pub unconfirmed: BTreeSet<HostId>,
    /// Hosts that the list does not show, and since when.
    pub absent_since: BTreeMap<HostId, Duration>,
    /// Hosts that were taken away; they need no maintenance.
    pub removed: BTreeSet<HostId>,
    /// When we heard of it.
    pub known_since: Duration,
}

/// Whether a host is back from maintenance: its worker has another life.
/// One that is off in its pool has no worker, before and after; the life on record
/// may be one that ended when it was turned off. A list that was asked for before the order was confirmed may be older than the
/// maintenance: with a life on record that is not the latest (the host has
/// just changed its pool), it would show the host as back at once.
fn has_returned(
    m: &Host,
    off: bool,
    before: &Option<String>,
    confirmed: Option<&Duration>,
    asked: Duration,
) -> bool {
    let Some(confirmed) = confirmed.filter(|at| **at < asked) else { return false };
    match (&m.worker, m.state) {
        // The list names workers; one that started again may go by its name of before.
        (Some(id), HostState::Up) => match before.as_deref().map(WorkerId::from) {
            Some(life) if life.name() == id.name() => {
                life.started().is_some() && *confirmed + OFF_HOST_LIST_DELAY < asked
            }
            Some(_) | None => true,
        },
        (None, HostState::Up | HostState::Down) if off || before.is_none() => {
            *confirmed + OFF_HOST_LIST_DELAY < asked
        }
        _ => false,
    }
}

impl WaveState {
    /// Whether every host of it has been maintained, or was taken away.
    pub fn is_complete(&self) -> bool {
        self.wave.hosts.iter().all(|m| self.record.finished.contains(m) || self.removed.contains(m))
    }

    /// Takes in which hosts a list shows; returns whether some count as taken
    /// away now that did not before, or the other way round.
    fn update_absent(&mut self, hosts: &Map<HostId, Host>, asked: Duration) -> bool {
        let before = self.removed.len();
        let absent = self.wave.hosts.iter().filter(|m| !hosts.contains_key(*m));
        let absent = absent.map(|m| (m.clone(), self.absent_since.get(m).copied().unwrap_or(asked)));
        self.absent_since = absent.collect();
        let gone = self.absent_since.iter().filter(|(_, since)| **since + REMOVED_HOST_TIMEOUT <= asked);
        self.removed = gone.map(|(m, _)| m.clone()).collect();
        self.removed.len() != before
    }

    /// How many hosts should be finished or under way by now.
    fn planned_by(&self, now: Duration, short: bool, policy: &WavePolicy) -> usize {
        let used = if short { policy.planned_time_share_when_short } else { policy.planned_time_share };
        let passed = now.saturating_sub(self.known_since).as_secs_f64() + policy.ahead.as_secs_f64();
        let within = self.wave.time_allowed.as_secs_f64() * used;
        let share = if within > 0.0 { (passed / within).min(1.0) } else { 1.0 };
        (self.wave.hosts.len() as f64 * share).ceil() as usize
    }

    /// Whether nothing has been begun yet with a host of it.
    fn is_pending(&self, host: &HostId) -> bool {
        let begun = self.record.ordered.contains_key(host) || self.draining.contains_key(host);
        !begun && !self.record.finished.contains(host)
    }

    /// Whether a host is emptied for it, or is or may be down.
    fn occupies(&self, host: &HostId) -> bool {
        let ordered = self.record.ordered.contains_key(host) && !self.record.finished.contains(host);
        ordered || self.draining.contains_key(host)
    }

    /// Hosts that are emptied for it, or are or may be down.
    fn occupied(&self) -> impl Iterator<Item = &HostId> {
        let down = self.record.ordered.keys().filter(|m| !self.record.finished.contains(*m));
        self.draining.keys().chain(down)
    }

    /// Hosts that are, or may be, down for it.
    pub(super) fn down_count(&self) -> usize {
        self.record.ordered.keys().filter(|m| !self.record.finished.contains(*m)).count()
    }
}

impl Scheduler {
    /// An operator asks for a wave.
    pub(super) fn wave_requested(&mut self, wave: Wave, rec: Option<WaveRecord>) {
        let number = wave.number;
        if self.waves.contains_key(&number) {
            return;
        }
        self.notes.push(format_args!(
            "event=wave_known wave={number} machines={} most_at_once={}",
            wave.hosts.len(),
            wave.max_down
        ));
        let record = rec.unwrap_or_default();
        let now = self.now;
        let open = record.ordered.keys().filter(|m| !record.down.contains(*m));
        let unsure = open.cloned().collect();
        let confirmed = record.down.iter().map(|m| (m.clone(), now)).collect();
        let state = WaveState {
            wave,
            record,
            draining: BTreeMap::new(),
            order_sent_at: BTreeMap::new(),
            confirmed_at: confirmed,
            unconfirmed: unsure,
            absent_since: BTreeMap::new(),
            removed: BTreeSet::new(),
            known_since: now,
        };
        self.waves.insert(number, state);
        self.dirty_waves.insert(number);
    }

    /// The platform's list of hosts was read.
    pub(super) fn hosts_listed(&mut self, list: Vec<Host>, asked: Duration) {
        // Answers may overtake one another; an older list tells nothing new.
        if asked < self.hosts_requested_at {
            return;
        }
        self.hosts_requested_at = asked;
        self.hosts = list.into_iter().map(|m| (m.name.clone(), m)).collect();
        self.measure_fleet();
        self.correct_host_list();
        self.record_declared_sizes();
        self.end_listed_over(asked);
        self.mark_finished_hosts(asked);
    }

    /// Whether the list of hosts is needed.
    pub fn needs_host_list(&self) -> bool {
        self.waves.values().any(|w| !w.is_complete()) || self.config.services.values().any(|s| s.spare)
    }

    /// Marks hosts as finished that are up again with another life.
    fn mark_finished_hosts(&mut self, asked: Duration) {
        let spare = self.spare_pool();
        for (number, w) in &mut self.waves {
            if !self.hosts.is_empty() && w.update_absent(&self.hosts, asked) {
                self.dirty_waves.insert(*number);
            }
            let waiting: Vec<HostId> =
                w.record.down.iter().filter(|m| !w.record.finished.contains(*m)).cloned().collect();
            for name in waiting {
                let before = w.record.ordered.get(&name).cloned().flatten();
                let back = match self.hosts.get(&name) {
                    Some(m) => {
                        let off = spare.as_ref() == Some(&m.pool);
                        has_returned(m, off, &before, w.confirmed_at.get(&name), asked)
                    }
                    // A host that was taken away needs no maintenance.
                    None => !self.hosts.is_empty(),
                };
                if back {
                    w.record.finished.insert(name);
                    self.dirty_waves.insert(*number);
                }
            }
        }
    }

    /// Goes on with all waves.
    pub(super) fn advance_waves(&mut self) {
        let open: Vec<u64> = self.waves.iter().filter(|(_, w)| !w.is_complete()).map(|(n, _)| *n).collect();
        for n in open {
            self.advance_wave(n);
        }
        self.update_cordons();
    }

    /// Whether a host gets no new work: it moves, or a wave takes it.
    pub(super) fn is_cordoned(&self, host: &HostId) -> bool {
        self.pools.moves.contains_key(host) || self.in_maintenance(host)
    }

    /// Whether some wave empties a host or has it down.
    pub(super) fn in_maintenance(&self, host: &HostId) -> bool {
        self.waves.values().any(|w| w.occupies(host))
    }

    /// Hosts that get no new work: they move, or a wave takes them.
    pub(super) fn hosts_to_cordon(&self) -> Set<&HostId> {
        let waves = self.waves.values().filter(|w| !w.is_complete()).flat_map(WaveState::occupied);
        self.pools.moves.keys().chain(waves).collect()
    }

    /// Keeps new work away from hosts that are to go down.
    fn update_cordons(&mut self) {
        let taken: BTreeSet<HostId> = self.hosts_to_cordon().into_iter().cloned().collect();
        let changed: Vec<(HostId, bool)> = taken
            .symmetric_difference(&self.cordoned_hosts)
            .map(|host| (host.clone(), taken.contains(host)))
            .collect();
        self.cordoned_hosts = taken;
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

    /// Goes on with one wave.
    fn advance_wave(&mut self, n: u64) {
        if self.hosts.is_empty() {
            return;
        }
        self.resend_maintenance_orders(n);
        self.start_draining(n);
        self.order_drained_hosts(n);
    }

    /// Picks hosts to empty: idle ones that their pool can spare at any
    /// time, others only as the wave's time runs out.
    fn start_draining(&mut self, n: u64) {
        let Some(w) = self.waves.get(&n) else { return };
        let begun = w.draining.len() + w.down_count();
        let mut room = w.wave.max_down.max(1).saturating_sub(begun);
        if room == 0 {
            return;
        }
        let mut count = self.count_pools();
        let short = self.short_pools(&count);
        let planned = w.planned_by(self.now, !short.is_empty(), &self.policy.waves);
        let mut behind = planned.saturating_sub(w.record.finished.len() + begun);
        for (lasting, used, m) in self.drain_candidates(w, &short) {
            let spared = lasting == 0 && used == 0 && self.can_spare(&count, &m);
            if room == 0 {
                break;
            }
            if (behind == 0 && !spared) || self.in_maintenance(&m) {
                continue;
            }
            room -= 1;
            behind = behind.saturating_sub(1);
            self.notes.push(format_args!("event=machine_emptying wave={n} machine={m} spared={spared}"));
            if let Some(m) = self.hosts.get(&m).filter(|m| is_working(m) && self.stands_open(m)) {
                count.remove_host(&m.pool);
            }
            let now = self.now;
            if let Some(w) = self.waves.get_mut(&n) {
                w.draining.insert(m, now);
            }
        }
    }

    /// Hosts of a wave that wait, those of pools that are short last, those
    /// with the least on them first; each with its lasting tasks and processor
    /// use.
    fn drain_candidates(&self, w: &WaveState, short: &[ServiceId]) -> Vec<(usize, u64, HostId)> {
        let free = |m: &&HostId| self.hosts.contains_key(*m) && !self.pools.moves.contains_key(*m);
        let waiting = w.wave.hosts.iter().filter(|m| w.is_pending(m)).filter(free);
        let mut waiting: Vec<(bool, (usize, u64, HostId))> =
            waiting.map(|m| (self.is_in_pools(m, short), self.load_on(m, self.worker_on(m)))).collect();
        waiting.sort();
        waiting.into_iter().map(|(_, load)| load).collect()
    }

    /// Whether a host stands in one of these pools.
    fn is_in_pools(&self, m: &HostId, pools: &[ServiceId]) -> bool {
        self.hosts.get(m).is_some_and(|m| pools.contains(&m.pool))
    }

    /// Lasting tasks and processor use on a host, by its worker's statement or
    /// the list of hosts.
    fn load_on(&self, m: &HostId, says: Option<&WorkerId>) -> (usize, u64, HostId) {
        let id = says.or_else(|| self.hosts.get(m).and_then(|m| m.worker.as_ref()));
        let lasting = id.map_or(0, |id| self.lasting_runs(id).len());
        let used = id.and_then(|id| self.workers.get(id)).map_or(0, |w| w.used.cpu_millis);
        (lasting, used, m.clone())
    }
}
