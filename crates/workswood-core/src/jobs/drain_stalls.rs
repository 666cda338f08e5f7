//! Hosts of a wave that are drained without progress.
//!
//! A task that finds no other place uses up the budget of its step, and the next one on the host can't
//! be evicted. Without a time limit such a host would hold its slot for as long as the wave lasts, and
//! with `max_down` 1 nothing else would be maintained. So it goes back behind the other hosts and may
//! run its tasks again. Each time it gets twice as long, which bounds how often tasks are evicted in
//! vain. All of this is in memory: with a new lease holder the time begins anew.

use std::collections::BTreeMap;
use std::time::Duration;

use super::maintenance_waves::WaveState;
use super::scheduler::Scheduler;
use crate::ids::HostId;

/// How long a host may be drained without fewer long-running tasks on it, the first time.
const DRAIN_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How many times this time is doubled at most.
const MAX_DOUBLINGS: u32 = 4;

/// Progress of the hosts that a wave drains, and the hosts that it put back.
#[derive(Clone, Debug, Default)]
pub struct DrainProgress {
    /// The least number of long-running tasks seen on each drained host, and since when.
    least: BTreeMap<HostId, (usize, Duration)>,
    /// Hosts that were put back: when last, and how often.
    put_back: BTreeMap<HostId, (Duration, u32)>,
}

impl DrainProgress {
    /// When a host was last put back.
    pub(super) fn put_back_at(&self, host: &HostId) -> Option<Duration> {
        self.put_back.get(host).map(|(at, _)| *at)
    }

    /// Forgets the progress of a host that is no longer drained.
    pub(super) fn forget(&mut self, host: &HostId) {
        self.least.remove(host);
    }

    /// Notes the long-running tasks on a drained host; returns whether it is stalled.
    fn is_stalled(&mut self, host: &HostId, long_running: usize, now: Duration) -> bool {
        let (least, since) = self.least.entry(host.clone()).or_insert((long_running, now));
        if long_running < *least {
            (*least, *since) = (long_running, now);
        }
        let times = self.put_back.get(host).map_or(0, |(_, times)| *times).min(MAX_DOUBLINGS);
        long_running > 0 && *since + DRAIN_STALL_TIMEOUT * (1 << times) <= now
    }

    fn note_put_back(&mut self, host: &HostId, now: Duration) {
        let (at, times) = self.put_back.entry(host.clone()).or_default();
        (*at, *times) = (now, times.saturating_add(1));
    }
}

impl WaveState {
    /// Ends the draining of a host, whose maintenance is pending again.
    fn put_back(&mut self, host: &HostId, now: Duration) {
        self.end_draining(host);
        self.drain_progress.note_put_back(host, now);
    }
}

impl Scheduler {
    /// Puts drained hosts without progress back behind the hosts that wait, if any waits.
    pub(super) fn put_back_stalled_hosts(&mut self, number: u64) {
        let now = self.now;
        let Some(wave) = self.waves.get(&number) else { return };
        let draining: Vec<(HostId, usize)> =
            wave.record.draining.iter().map(|host| (host.clone(), self.long_running_on(host))).collect();
        let mut waiting = self.drainable_hosts(wave).filter(|host| !self.in_maintenance(host));
        let others_wait = waiting.next().is_some();
        drop(waiting);
        let Some(wave) = self.waves.get_mut(&number) else { return };
        for (host, long_running) in draining {
            if !wave.drain_progress.is_stalled(&host, long_running, now) || !others_wait {
                continue;
            }
            self.notes.push(format_args!(
                "event=machine_put_back wave={number} machine={host} lasting={long_running}"
            ));
            wave.put_back(&host, now);
            self.dirty_waves.insert(number);
        }
    }
}
