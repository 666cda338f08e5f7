//! Injects the faults of a run, and starts a scheduler after a failover.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Admission, Event, HostState, Scheduler, WorkerUpdate};

use super::event_queue::ModelEvent;
use super::model_host::data_centre;
use super::parameters::{CRASH_DOWNTIME, TAKEOVER_TIME, WORKER_LEASE, config, limits};
use super::simulation::Simulation;
use super::spec::FaultKind;

impl Simulation<'_> {
    /// Starts a new scheduler from the stored records.
    pub(super) fn start_scheduler(&mut self) {
        self.term += 1;
        self.writing = false;
        self.admission = Admission::default();
        let wall = self.now.as_millis() as u64;
        let mut s = Scheduler::new(self.term, limits(), self.now, wall);
        s.policy = self.policy.clone();
        s.holder = format!("entry-{}", self.term);
        s.handle(Event::ConfigChanged(Arc::new(config(self.spec))));
        s.handle(Event::Evacuated(self.evacuated.keys().cloned().collect()));
        self.restore(&mut s);
        self.scheduler = Some(s);
        for n in 0..self.hosts.len() {
            if self.hosts[n].serves() {
                self.register_worker(n);
            }
        }
    }

    fn restore(&self, s: &mut Scheduler) {
        for (id, rec) in &self.stored.workers {
            s.restore_worker(id.clone(), rec.clone());
        }
        for (id, ended) in &self.stored.ended_incarnations {
            s.restore_ended(id.clone(), ended);
        }
        for (host, holder) in &self.stored.ordered {
            s.restore_order_mark(host.clone(), holder);
        }
        for j in self.jobs.iter().filter(|j| self.accepted.contains(&j.key)) {
            let key = j.spec.key(j.key);
            s.restore_job(key, Some(Arc::clone(&j.spec)), self.stored.jobs.get(&key).cloned());
        }
        s.restore_demand();
        if let Some(wave) = self.wave.clone() {
            let rec = self.stored.waves.get(&wave.number).cloned();
            s.handle(Event::WaveRequested(wave, rec));
        }
    }

    pub(super) fn fault_begins(&mut self, n: usize) {
        match self.spec.faults[n].kind {
            FaultKind::HolderDies => {
                self.scheduler = None;
                // A batch in flight is lost. Polling ends too, as the next scheduler starts its own.
                let lost = |event: &ModelEvent| {
                    matches!(event, ModelEvent::BatchStored(_) | ModelEvent::PollWorker(..))
                };
                self.event_queue.retain(|event| !lost(event));
                self.schedule_after(TAKEOVER_TIME, ModelEvent::SchedulerTakesOver);
            }
            FaultKind::StoreSlow(x) => self.append_slowdown = x,
            FaultKind::ReportsLate(share) => self.late_report_share = share,
            // The workload already contains the crashing jobs.
            FaultKind::TasksCrash(_) => {}
            FaultKind::MachinesDark(count) => self.silence_busiest_hosts(count, self.spec.faults[n].duration),
            FaultKind::Evacuated(number) => {
                self.evacuated.insert(data_centre(number), self.now);
                self.send_evacuations();
            }
        }
    }

    pub(super) fn fault_ends(&mut self, n: usize) {
        match self.spec.faults[n].kind {
            FaultKind::StoreSlow(_) => self.append_slowdown = 1.0,
            FaultKind::ReportsLate(_) => self.late_report_share = 0.0,
            FaultKind::Evacuated(number) => {
                self.evacuated.remove(&data_centre(number));
                self.send_evacuations();
            }
            FaultKind::HolderDies | FaultKind::MachinesDark(_) | FaultKind::TasksCrash(_) => {}
        }
    }

    fn send_evacuations(&mut self) {
        let evacuated = self.evacuated.keys().cloned().collect();
        self.send_event(Event::Evacuated(evacuated));
    }

    /// The hosts with most runs stop answering, and come back with new incarnations of their workers.
    fn silence_busiest_hosts(&mut self, count: usize, duration: Duration) {
        let mut busiest: Vec<usize> = (0..self.hosts.len()).filter(|n| self.hosts[*n].serves()).collect();
        busiest.sort_by_key(|n| Reverse(self.hosts[*n].running_tasks()));
        busiest.into_iter().take(count).for_each(|n| self.end_worker(n, duration));
    }

    /// Crashes a worker, unless it is gone already.
    pub(super) fn crash(&mut self, n: usize, worker: &WorkerId) {
        if self.host_of(worker) == Some(n) {
            self.worker_crashes += 1;
            self.end_worker(n, CRASH_DOWNTIME);
        }
    }

    /// Ends a worker's incarnation. Its host is up again with a new one after `downtime`.
    fn end_worker(&mut self, n: usize, downtime: Duration) {
        let worker = self.hosts[n].worker().clone();
        self.hosts[n].end_incarnation(HostState::Down);
        let (lease_end, heard) = (self.now + WORKER_LEASE, self.now);
        self.send_worker_update(worker, WorkerUpdate::Unanswered { lease_end, heard });
        self.schedule_after(downtime, ModelEvent::HostUp(n));
    }
}
