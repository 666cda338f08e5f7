//! Maintenance waves: which host goes down next, and when.
//!
//! A host passes through these states: it is emptied (no new work, lasting
//! tasks moved off within their budgets), ordered down (the order is on
//! record first), down, and finished when it is up again with another life of
//! its worker. The orders themselves are in [`upkeep`](super::upkeep).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::host::{Host, HostState};
use super::job::WorkerId;
use super::policy::WavePolicy;
use super::pool_count::works;
use super::sched::Scheduler;
use super::stable_map::{StableMap, StableSet};
use crate::ids::{HostId, ServiceId};

/// A host that is off is listed as under maintenance within this time
/// after its order was confirmed, if it is at all.
const OFF_SETTLES: Duration = Duration::from_millis(1500);

/// A host that no list has shown for this long was taken away for good: lists
/// are asked for every 0.6 s, and a host that changes its pool or is maintained
/// stays listed.
const GONE_AFTER: Duration = Duration::from_millis(4000);

/// A wave, as operators ask for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Hosts to maintain.
    pub hosts: Vec<HostId>,
    /// Time allowed for all of them.
    pub within: Duration,
    /// How many may be down at once.
    pub most_at_once: usize,
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
    pub emptying: BTreeMap<HostId, Duration>,
    /// When each order was last sent.
    pub sent: BTreeMap<HostId, Duration>,
    /// When each order was confirmed, as far as this scheduler heard it.
    pub confirmed: BTreeMap<HostId, Duration>,
    /// Hosts whose order may yet be carried out though it was not answered.
    pub unsure: BTreeSet<HostId>,
    /// Hosts that the list does not show, and since when.
    pub absent: BTreeMap<HostId, Duration>,
    /// Hosts that were taken away; they need no maintenance.
    pub gone: BTreeSet<HostId>,
    /// When we heard of it.
    pub heard: Duration,
}

/// Whether a host is back from maintenance: its worker has another life.
/// One that is off in its pool has no worker, before and after; the life on record
/// may be one that ended when it was turned off. A list that was asked for before the order was confirmed may be older than the
/// maintenance: with a life on record that is not the latest (the host has
/// just changed its pool), it would show the host as back at once.
fn is_back(
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
                life.started().is_some() && *confirmed + OFF_SETTLES < asked
            }
            Some(_) | None => true,
        },
        (None, HostState::Up | HostState::Down) if off || before.is_none() => {
            *confirmed + OFF_SETTLES < asked
        }
        _ => false,
    }
}

impl WaveState {
    /// Whether every host of it has been maintained, or was taken away.
    pub fn complete(&self) -> bool {
        self.wave.hosts.iter().all(|m| self.record.finished.contains(m) || self.gone.contains(m))
    }

    /// Takes in which hosts a list shows; returns whether some count as taken
    /// away now that did not before, or the other way round.
    fn note_absent(&mut self, hosts: &StableMap<HostId, Host>, asked: Duration) -> bool {
        let before = self.gone.len();
        let absent = self.wave.hosts.iter().filter(|m| !hosts.contains_key(*m));
        let absent = absent.map(|m| (m.clone(), self.absent.get(m).copied().unwrap_or(asked)));
        self.absent = absent.collect();
        let gone = self.absent.iter().filter(|(_, since)| **since + GONE_AFTER <= asked);
        self.gone = gone.map(|(m, _)| m.clone()).collect();
        self.gone.len() != before
    }

    /// How many hosts should be finished or under way by now.
    fn planned(&self, now: Duration, short: bool, policy: &WavePolicy) -> usize {
        let used = if short { policy.use_when_short } else { policy.use_of_time };
        let passed = now.saturating_sub(self.heard).as_secs_f64() + policy.ahead.as_secs_f64();
        let within = self.wave.within.as_secs_f64() * used;
        let share = if within > 0.0 { (passed / within).min(1.0) } else { 1.0 };
        (self.wave.hosts.len() as f64 * share).ceil() as usize
    }

    /// Whether nothing has been begun yet with a host of it.
    fn waits(&self, host: &HostId) -> bool {
        let begun = self.record.ordered.contains_key(host) || self.emptying.contains_key(host);
        !begun && !self.record.finished.contains(host)
    }

    /// Whether a host is emptied for it, or is or may be down.
    fn takes(&self, host: &HostId) -> bool {
        let ordered = self.record.ordered.contains_key(host) && !self.record.finished.contains(host);
        ordered || self.emptying.contains_key(host)
    }

    /// Hosts that are emptied for it, or are or may be down.
    fn taken(&self) -> impl Iterator<Item = &HostId> {
        let down = self.record.ordered.keys().filter(|m| !self.record.finished.contains(*m));
        self.emptying.keys().chain(down)
    }

    /// Hosts that are, or may be, down for it.
    pub(super) fn down_now(&self) -> usize {
        self.record.ordered.keys().filter(|m| !self.record.finished.contains(*m)).count()
    }
}

impl Scheduler {
    /// An operator asks for a wave.
    pub(super) fn wave_asked(&mut self, wave: Wave, rec: Option<WaveRecord>) {
        let number = wave.number;
        if self.waves.contains_key(&number) {
            return;
        }
        self.notes.push(format_args!(
            "event=wave_known wave={number} machines={} most_at_once={}",
            wave.hosts.len(),
            wave.most_at_once
        ));
        let record = rec.unwrap_or_default();
        let now = self.now;
        let open = record.ordered.keys().filter(|m| !record.down.contains(*m));
        let unsure = open.cloned().collect();
        let confirmed = record.down.iter().map(|m| (m.clone(), now)).collect();
        let state = WaveState {
            wave,
            record,
            emptying: BTreeMap::new(),
            sent: BTreeMap::new(),
            confirmed,
            unsure,
            absent: BTreeMap::new(),
            gone: BTreeSet::new(),
            heard: now,
        };
        self.waves.insert(number, state);
        self.dirty_waves.insert(number);
    }

    /// The platform's list of hosts was read.
    pub(super) fn hosts_listed(&mut self, list: Vec<Host>, asked: Duration) {
        // Answers may overtake one another; an older list tells nothing new.
        if asked < self.hosts_asked {
            return;
        }
        self.hosts_asked = asked;
        self.hosts = list.into_iter().map(|m| (m.name.clone(), m)).collect();
        self.measure_fleet();
        self.correct_list();
        self.note_declared();
        self.end_incarnations_by_host_list(asked);
        self.finish_hosts(asked);
    }

    /// Whether the list of hosts is needed.
    pub fn wants_hosts(&self) -> bool {
        self.waves.values().any(|w| !w.complete()) || self.config.services.values().any(|s| s.spare)
    }

    /// Marks hosts as finished that are up again with another life.
    fn finish_hosts(&mut self, asked: Duration) {
        let spare = self.spare_pool();
        for (number, w) in &mut self.waves {
            if !self.hosts.is_empty() && w.note_absent(&self.hosts, asked) {
                self.dirty_waves.insert(*number);
            }
            let waiting: Vec<HostId> =
                w.record.down.iter().filter(|m| !w.record.finished.contains(*m)).cloned().collect();
            for name in waiting {
                let before = w.record.ordered.get(&name).cloned().flatten();
                let back = match self.hosts.get(&name) {
                    Some(m) => {
                        let off = spare.as_ref() == Some(&m.pool);
                        is_back(m, off, &before, w.confirmed.get(&name), asked)
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
    pub(super) fn run_waves(&mut self) {
        let open: Vec<u64> = self.waves.iter().filter(|(_, w)| !w.complete()).map(|(n, _)| *n).collect();
        for n in open {
            self.run_wave(n);
        }
        self.set_cordons();
    }

    /// Whether a host gets no new work: it moves, or a wave takes it.
    pub(super) fn is_cordoned(&self, host: &HostId) -> bool {
        self.pools.moving.contains_key(host) || self.wave_takes(host)
    }

    /// Whether some wave empties a host or has it down.
    pub(super) fn wave_takes(&self, host: &HostId) -> bool {
        self.waves.values().any(|w| w.takes(host))
    }

    /// Hosts that get no new work: they move, or a wave takes them.
    pub(super) fn taken_hosts(&self) -> StableSet<&HostId> {
        let waves = self.waves.values().filter(|w| !w.complete()).flat_map(WaveState::taken);
        self.pools.moving.keys().chain(waves).collect()
    }

    /// Keeps new work away from hosts that are to go down.
    fn set_cordons(&mut self) {
        let taken: BTreeSet<HostId> = self.taken_hosts().into_iter().cloned().collect();
        let changed: Vec<(HostId, bool)> = taken
            .symmetric_difference(&self.cordoned)
            .map(|host| (host.clone(), taken.contains(host)))
            .collect();
        self.cordoned = taken;
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
            self.place_again.insert(info.service.clone());
        }
    }

    /// Goes on with one wave.
    fn run_wave(&mut self, n: u64) {
        if self.hosts.is_empty() {
            return;
        }
        self.order_again(n);
        self.start_emptying(n);
        self.order_empty(n);
    }

    /// Picks hosts to empty: idle ones that their pool can spare at any
    /// time, others only as the wave's time runs out.
    fn start_emptying(&mut self, n: u64) {
        let Some(w) = self.waves.get(&n) else { return };
        let begun = w.emptying.len() + w.down_now();
        let mut room = w.wave.most_at_once.max(1).saturating_sub(begun);
        if room == 0 {
            return;
        }
        let mut count = self.count_pools();
        let short = self.short_pools(&count);
        let planned = w.planned(self.now, !short.is_empty(), &self.policy.waves);
        let mut behind = planned.saturating_sub(w.record.finished.len() + begun);
        for (lasting, used, m) in self.next_to_empty(w, &short) {
            let spared = lasting == 0 && used == 0 && self.can_spare(&count, &m);
            if room == 0 {
                break;
            }
            if (behind == 0 && !spared) || self.wave_takes(&m) {
                continue;
            }
            room -= 1;
            behind = behind.saturating_sub(1);
            self.notes.push(format_args!("event=machine_emptying wave={n} machine={m} spared={spared}"));
            if let Some(m) = self.hosts.get(&m).filter(|m| works(m) && self.stands_open(m)) {
                count.leaves(&m.pool);
            }
            let now = self.now;
            if let Some(w) = self.waves.get_mut(&n) {
                w.emptying.insert(m, now);
            }
        }
    }

    /// Hosts of a wave that wait, those of pools that are short last, those
    /// with the least on them first; each with its lasting tasks and processor
    /// use.
    fn next_to_empty(&self, w: &WaveState, short: &[ServiceId]) -> Vec<(usize, u64, HostId)> {
        let free = |m: &&HostId| self.hosts.contains_key(*m) && !self.pools.moving.contains_key(*m);
        let waiting = w.wave.hosts.iter().filter(|m| w.waits(m)).filter(free);
        let mut waiting: Vec<(bool, (usize, u64, HostId))> =
            waiting.map(|m| (self.stands_in(m, short), self.load_on(m, self.worker_on(m)))).collect();
        waiting.sort();
        waiting.into_iter().map(|(_, load)| load).collect()
    }

    /// Whether a host stands in one of these pools.
    fn stands_in(&self, m: &HostId, pools: &[ServiceId]) -> bool {
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
