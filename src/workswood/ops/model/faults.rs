//! What goes wrong in a run, and how a scheduler takes over.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Event, HostState, Scheduler, WorkerUpdate};

use super::event_queue::Happening;
use super::model_host::data_centre;
use super::parameters::{CRASH_AWAY, LEASE, TAKEOVER, config, limits};
use super::simulation::World;
use super::spec::FaultKind;

impl World<'_> {
    /// A scheduler takes over with what is on record.
    pub(super) fn take_over(&mut self) {
        self.term += 1;
        self.writing = false;
        let wall = self.now.as_millis() as u64;
        let mut s = Scheduler::new(self.term, limits(), self.now, wall);
        s.policy = self.policy.clone();
        s.holder = format!("entry-{}", self.term);
        s.handle(Event::ConfigChanged(Arc::new(config(self.spec))));
        s.handle(Event::Evacuated(self.evacuated.keys().cloned().collect()));
        self.restore(&mut s);
        self.sched = Some(s);
        for n in 0..self.hosts.len() {
            if self.hosts[n].serves() {
                self.list_worker(n);
            }
        }
    }

    fn restore(&self, s: &mut Scheduler) {
        for (id, rec) in &self.stored.workers {
            s.restore_worker(id.clone(), rec.clone());
        }
        for (host, holder) in &self.stored.ordered {
            s.restore_order_mark(host.clone(), holder);
        }
        for j in self.jobs.iter().filter(|j| j.submitted_at <= self.now) {
            s.restore_job(j.key, Some(Arc::clone(&j.spec)), self.stored.jobs.get(&j.key).cloned());
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
                self.sched = None;
                // What it was writing is stored or not; here it is not.
                let lost = |what: &Happening| matches!(what, Happening::Stored(_) | Happening::Look(..));
                self.agenda.retain(|what| !lost(what));
                self.after(TAKEOVER, Happening::TakesOver);
            }
            FaultKind::StoreSlow(x) => self.store_factor = x,
            FaultKind::ReportsLate(share) => self.late_reports = share,
            // Jobs were made so before.
            FaultKind::TasksCrash(_) => {}
            FaultKind::MachinesDark(count) => self.darken(count, self.spec.faults[n].duration),
            FaultKind::Evacuated(number) => {
                self.evacuated.insert(data_centre(number), self.now);
                self.tell_evacuated();
            }
        }
    }

    pub(super) fn fault_ends(&mut self, n: usize) {
        match self.spec.faults[n].kind {
            FaultKind::StoreSlow(_) => self.store_factor = 1.0,
            FaultKind::ReportsLate(_) => self.late_reports = 0.0,
            FaultKind::Evacuated(number) => {
                self.evacuated.remove(&data_centre(number));
                self.tell_evacuated();
            }
            FaultKind::HolderDies | FaultKind::MachinesDark(_) | FaultKind::TasksCrash(_) => {}
        }
    }

    fn tell_evacuated(&mut self) {
        let evacuated = self.evacuated.keys().cloned().collect();
        self.tell(Event::Evacuated(evacuated));
    }

    /// The hosts on which most runs fall silent, and come back as another life.
    fn darken(&mut self, count: usize, lasts: Duration) {
        let mut busiest: Vec<usize> = (0..self.hosts.len()).filter(|n| self.hosts[*n].serves()).collect();
        busiest.sort_by_key(|n| Reverse(self.hosts[*n].runs()));
        busiest.into_iter().take(count).for_each(|n| self.end_worker(n, lasts));
    }

    /// A worker crashes, unless it is gone already.
    pub(super) fn crash(&mut self, n: usize, worker: &WorkerId) {
        if self.host_of(worker) == Some(n) {
            self.crashes += 1;
            self.end_worker(n, CRASH_AWAY);
        }
    }

    /// A worker's life ends, and the host comes back with another one.
    fn end_worker(&mut self, n: usize, away: Duration) {
        let worker = self.hosts[n].worker().clone();
        self.hosts[n].end_life(HostState::Down);
        let (lease_end, heard) = (self.now + LEASE, self.now);
        self.tell_of(worker, WorkerUpdate::Unanswered { lease_end, heard });
        self.after(away, Happening::Arrives(n));
    }
}
