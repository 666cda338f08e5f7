//! The kinds of worlds.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use workswood_core::jobs::OutagePolicy;

use super::adviser::{self, ADVICE};
use super::crashes::Crashes;
use super::evacuations::Evacuations;
use super::fault_rng::{FaultRng, Stream};
use super::gangs::Gangs;
use super::lasting::LastingTasks;
use super::queue_changes::QueueChanges;
use super::relay::SimRelay;
use super::second_owner::{Attempts, StoredJobs};
use super::store_cuts::StoreCuts;
use super::worker::WorkerLimits;
use super::{LONG_RUN_TIMES_MS, RUN_TIMES_MS, STEP, Seen, World};
use crate::job_node::deployed_policy;

/// Most ends that a worker lists at once in a world with short lists.
const SHORT_END_LIST: usize = 2;
/// Most tasks that run on a worker at once in a world with many of them.
const MANY_RUNS: usize = 40;

impl World {
    /// Creates a world with `workers` four-core workers and one holder.
    pub fn new(workers: usize, rng: FaultRng) -> World {
        World::build(workers, 0, rng, false)
    }

    /// Creates a world whose adviser allows only some workers to run a step.
    pub fn advised(workers: usize, rng: FaultRng) -> World {
        World::build(workers, 0, rng, true)
    }

    /// As [`World::advised`], with drawn figures of the adviser: 0, small, large, one above the other.
    pub fn advised_by_any(workers: usize, rng: FaultRng) -> World {
        let advice = adviser::draw_figures(&mut rng.stream(Stream::Advice));
        let mut w = World::build(workers, 0, rng, true);
        w.advice = advice;
        w.take_over();
        w
    }

    /// Creates a world in which four entries relay for the holder, each to at most two workers.
    pub fn relayed(workers: usize, rng: FaultRng) -> World {
        World::build(workers, 4, rng, false)
    }

    /// Creates a world in which all jobs belong to one workspace with a low limit of running tasks.
    pub fn limited(workers: usize, rng: FaultRng) -> World {
        let mut w = World::build(workers, 0, rng, false);
        w.limited = true;
        w.take_over();
        w
    }

    /// Creates a world in which late tasks get second runs.
    pub fn with_second_runs(workers: usize, rng: FaultRng) -> World {
        let mut w = World::build(workers, 0, rng, false);
        w.second_runs = true;
        w.take_over();
        w
    }

    /// Creates a world with every other worker of a second service, and three queues.
    pub fn two_queues(workers: usize, rng: FaultRng) -> World {
        World::build(workers, 0, rng, false).with_two_queues()
    }

    /// Has every other worker be of a second service, with three queues in all.
    #[must_use]
    pub fn with_two_queues(mut self) -> World {
        self.two_services = true;
        self.take_over();
        self
    }

    /// Creates a world with every other worker in a second data centre.
    pub fn two_centres(workers: usize, rng: FaultRng) -> World {
        let mut w = World::build(workers, 0, rng, false);
        w.evacuations.two_centres = true;
        w.take_over();
        w
    }

    /// Has holders start tasks before their record while the store is away.
    #[must_use]
    pub fn with_unrecorded_starts(mut self) -> World {
        self.outage = OutagePolicy { unrecorded_starts: true, ..self.outage };
        self.take_over();
        self
    }

    /// Has holders record when the leases of workers that don't answer end, as deployed, from a change of
    /// holder on.
    #[must_use]
    pub fn with_lease_ends(mut self) -> World {
        self.handover.records_lease_ends = true;
        self.take_over();
        self
    }

    /// Has holders not record when the leases of workers that don't answer end, unlike what is deployed. Seeds
    /// that were found before such records play their histories then.
    #[must_use]
    pub fn without_lease_ends(mut self) -> World {
        self.handover.records_lease_ends = false;
        self.holders.iter_mut().for_each(|h| h.sched.policy.handover = self.handover.clone());
        self
    }

    /// Has few orders at a time under way to a worker, and the others wait in its relay. Workers run
    /// many tasks, such as those of [`small_step`](super::small_step).
    #[must_use]
    pub fn with_order_queues(mut self) -> World {
        self.order_queues = true;
        self.with_many_runs()
    }

    /// Has no run of a long-running task fail.
    #[must_use]
    pub fn with_endless_runs(mut self) -> World {
        self.endless_runs = true;
        self
    }

    /// Has tasks that end run for longer than the lease of their start.
    #[must_use]
    pub fn with_long_runs(mut self) -> World {
        self.run_times_ms = LONG_RUN_TIMES_MS;
        self
    }

    /// Has workers run many tasks, such as those of [`small_step`](super::small_step).
    #[must_use]
    pub fn with_many_runs(mut self) -> World {
        self.set_worker_limits(WorkerLimits { runs: MANY_RUNS, ..self.worker_limits });
        self
    }

    /// Checks the time from the cancellation of a job, or from the statement of a worker that it
    /// drains, to the last start. Holders and relays must be in touch at all times.
    #[must_use]
    pub fn with_time_bounds(mut self) -> World {
        self.time_bounds = true;
        self
    }

    /// Has no poll wait at a worker, no poll follow a stop, and orders answered at once.
    #[must_use]
    pub fn without_waiting_polls(mut self) -> World {
        self.polls_wait = false;
        self
    }

    /// Has workers list few ends at once, and the others once these are acknowledged.
    #[must_use]
    pub fn with_short_end_lists(mut self) -> World {
        self.set_worker_limits(WorkerLimits { listed_ends: SHORT_END_LIST, ..self.worker_limits });
        self
    }

    pub(super) fn set_worker_limits(&mut self, limits: WorkerLimits) {
        self.worker_limits = limits;
        self.workers.iter_mut().for_each(|w| w.limits = limits);
    }

    fn build(workers: usize, relays: usize, rng: FaultRng, advised: bool) -> World {
        let mut w = World {
            now: Duration::from_secs(1),
            workers: Vec::new(),
            relays: (0..relays).map(|n| SimRelay::new(format!("relay-{n}"), None)).collect(),
            sessions: BTreeMap::new(),
            last_session: 0,
            link_latency: STEP,
            holders: Vec::new(),
            delayed_orders: Vec::new(),
            jobs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            trimmed: BTreeSet::new(),
            stored_jobs: StoredJobs::default(),
            attempts: Attempts::default(),
            stored_workers: BTreeMap::new(),
            stored_ended: BTreeMap::new(),
            bounded_store: None,
            done: BTreeSet::new(),
            shown_completed: HashMap::new(),
            failed_runs: HashMap::new(),
            term: 0,
            full_leases_until: Duration::ZERO,
            lives: 0,
            acked_done: BTreeSet::new(),
            acked_failures: HashMap::new(),
            crashes: Crashes::default(),
            lasting: LastingTasks::default(),
            store_cuts: StoreCuts::default(),
            changes: None,
            misdelivery: None,
            entries: None,
            endless_runs: false,
            run_times_ms: RUN_TIMES_MS,
            evacuations: Evacuations::default(),
            gangs: Gangs::default(),
            advised,
            advice: ADVICE,
            two_services: false,
            queue_changes: QueueChanges::default(),
            limited: false,
            restarts: false,
            second_runs: false,
            handover: deployed_policy().handover,
            worker_limits: WorkerLimits::default(),
            order_queues: false,
            order_faults_per_mille: 0,
            time_bounds: false,
            outage: OutagePolicy::default(),
            polls_wait: true,
            waiting_polls: Vec::new(),
            seen: Seen::default(),
            poll_rng: rng.stream(Stream::Polls),
            rng,
        };
        for _ in 0..workers {
            let worker = w.new_life();
            w.workers.push(worker);
        }
        w.take_over();
        w
    }
}
