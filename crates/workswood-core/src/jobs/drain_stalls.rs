//! Hosts of a wave that are drained without progress.
//!
//! A task that finds no other place uses up the budget of its step, and the next one on the host can't
//! be evicted. Without a time limit such a host would hold its slot for as long as the wave lasts, and
//! with `max_down` 1 nothing else would be maintained. Also, the only room for the evicted task may be
//! on that host. So it goes back behind the other hosts and may run its tasks again. Each time it gets
//! twice as long, unless a task is missed, and it is drained again only if that makes progress; both
//! bound how often tasks are evicted in vain. All of this is in memory: with a new lease holder the
//! time begins anew.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::Task;
use super::maintenance_waves::WaveState;
use super::placement::LONG_RUNNING_PATIENCE;
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

    /// Notes the long-running tasks on a drained host; returns whether it is stalled. `missed` tells
    /// whether a task waits for room on it.
    fn is_stalled(&mut self, host: &HostId, long_running: usize, missed: bool, now: Duration) -> bool {
        let (least, since) = self.least.entry(host.clone()).or_insert((long_running, now));
        if long_running < *least {
            (*least, *since) = (long_running, now);
        }
        let put_back = self.put_back.get(host).filter(|_| !missed);
        let times = put_back.map_or(0, |(_, times)| *times).min(MAX_DOUBLINGS);
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
    /// Puts drained hosts without progress back behind the hosts that wait, if any waits or a
    /// long-running task is missed that has room there.
    pub(super) fn put_back_stalled_hosts(&mut self, number: u64) {
        let now = self.now;
        let Some(wave) = self.waves.get(&number) else { return };
        let draining = wave.record.draining.iter();
        let draining: Vec<(HostId, usize, bool)> = draining
            .map(|host| (host.clone(), self.long_running_on(host), self.has_room_for_missed_task(host)))
            .collect();
        let mut waiting = self.drainable_hosts(wave).filter(|host| !self.in_maintenance(host));
        let others_wait = waiting.next().is_some();
        drop(waiting);
        let Some(wave) = self.waves.get_mut(&number) else { return };
        for (host, long_running, missed) in draining {
            let is_stalled = wave.drain_progress.is_stalled(&host, long_running, missed, now);
            if !is_stalled || !(others_wait || missed) {
                continue;
            }
            self.notes.push(format_args!(
                "event=machine_put_back wave={number} machine={host} lasting={long_running}"
            ));
            wave.put_back(&host, now);
            self.dirty_waves.insert(number);
        }
    }

    /// Whether a long-running task that is missed could run on a drained host.
    fn has_room_for_missed_task(&self, host: &HostId) -> bool {
        let worker = self.worker_of(host).and_then(|id| self.workers.get(id));
        let Some((w, info)) = worker.and_then(|w| Some((w, w.info.as_ref()?))) else { return false };
        self.absent_tasks.absent_for(LONG_RUNNING_PATIENCE, self.now).any(|id| {
            let job = self.jobs.get(&id.job).filter(|job| job.spec.service == info.service);
            let Some((job, step)) = job.and_then(|job| Some((job, job.step(id)?))) else { return false };
            let is_idle = job.task(id).is_some_and(Task::is_idle);
            let fits = w.free_resources().contains(&step.reserved_resources());
            is_idle && fits && self.meets_constraints(w, step, id)
        })
    }
}
