//! Workers, relays, a store and lease holders on injected time, without sockets.
//!
//! The real [`Scheduler`] decides; this module plays what is around it:
//! workers with leases, fences and lists of ends; relays that speak with them, and are
//! paused, cut off, replaced or late; a store that fences earlier terms; messages that
//! are lost, or carried out seconds later; holders that are paused or replaced. After
//! each step an oracle looks at what workers did.

mod adviser;
mod crashes;
mod evacuations;
mod fault_rng;
mod holder;
mod oracle;
mod relay;
mod restarts;
mod worker;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::{HostId, Term};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    EndKind, Event, JobKey, JobRecord, JobSpec, JobStatus, Limits, Owner, QueueConfig, RelayEntry,
    SchedConfig, Scheduler, ServiceConfig, StepSpec, TaskId, WorkerInfo, WorkerRecord, Workspace, Workspaces,
};

pub use self::fault_rng::{Fate, FaultRng};

use self::adviser::ADVICE;
use self::crashes::Crashes;
use self::evacuations::Evacuations;
use self::holder::Holder;
use self::relay::{Session, SimRelay};
use self::worker::{Answer, Order, SimWorker};

/// Length of one step.
pub const STEP: Duration = Duration::from_millis(20);
/// Length of a worker's lease.
const LEASE: Duration = Duration::from_millis(5000);
/// Longest lease that a worker takes.
const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// How long a holder extends leases after its last renewal.
const GRACE: Duration = Duration::from_millis(4000);
/// Longest time that a message is on its way between holder and relay where links are slow:
/// somewhat less than the time after which one is given up.
const SLOW_WAY: Duration = Duration::from_millis(900);
/// Service and queue of the world.
pub const SERVICE: &str = "desk";
/// Name of the queue.
pub const QUEUE: &str = "desk-queue";
/// The workspace of all jobs, where there is one,
const WORKSPACE: &str = "north";
/// and tasks of one core that it may have at work.
const LIMIT: usize = 3;
/// Most failed runs of a task.
pub const ATTEMPTS: u32 = 3;
/// Workers that a relay of the world attends.
const RELAY_ROOM: usize = 2;

/// What the oracle saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Starts that a worker took.
    pub starts: u64,
    /// Ends listed as done.
    pub done: u64,
    /// Starts that were refused for want of a ticket.
    pub without_ticket: u64,
    /// Rules that were broken.
    pub violations: Vec<String>,
    /// Takeovers.
    pub takeovers: u64,
    /// Sessions with relays that were opened.
    pub sessions: u64,
}

/// An order that a worker has received and carries out later, unless its life ends before.
#[derive(Clone)]
struct Late {
    due: Duration,
    /// The life that it was meant for,
    meant: WorkerId,
    /// and the one that received it.
    at: WorkerId,
    order: Order,
}

/// The world.
pub struct World {
    /// Time.
    pub now: Duration,
    workers: Vec<SimWorker>,
    relays: Vec<SimRelay>,
    /// Sessions between holders and relays.
    sessions: BTreeMap<u64, Session>,
    session: u64,
    /// How long a message is on its way between holder and relay.
    way: Duration,
    holders: Vec<Holder>,
    late: Vec<Late>,
    jobs: BTreeMap<JobKey, Arc<JobSpec>>,
    /// Jobs that the inbox holds no longer.
    trimmed: BTreeSet<JobKey>,
    cancelled: BTreeSet<JobKey>,
    stored_jobs: HashMap<JobKey, JobRecord>,
    stored_workers: HashMap<WorkerId, WorkerRecord>,
    /// Tasks that some worker has done.
    done: BTreeSet<TaskId>,
    /// Runs of tasks that have failed.
    fails: HashMap<TaskId, u32>,
    term: Term,
    lives: u64,
    /// Tasks whose `done` end was acknowledged.
    noted: BTreeSet<TaskId>,
    failed: HashMap<TaskId, u32>,
    crashes: Crashes,
    evacuations: Evacuations,
    /// Whether the queue has advice.
    advised: bool,
    /// Whether all jobs are of one workspace, which has a limit.
    limited: bool,
    /// Whether workers tell when they started, and start again under their names.
    restarts: bool,
    /// What the oracle saw.
    pub seen: Seen,
    /// Draws the fate of a message, and how a run goes.
    pub rng: FaultRng,
}

pub(super) fn limits() -> Limits {
    Limits {
        lease: LEASE,
        max_lease: LONGEST_LEASE,
        extension_grace: GRACE,
        clock_drift: 0.02,
        host_order_delay: Duration::from_secs(3),
        host_orders_per_s: 64.0,
        ended_job_retention: Duration::from_secs(3600),
        round_lead_time: Duration::ZERO,
    }
}

/// What is in force in the world.
pub fn config() -> SchedConfig {
    let queue = QueueConfig {
        name: QUEUE.to_string(),
        host_name: "desk.example".to_string(),
        path_prefix: "/desk/".to_string(),
        service: SERVICE.to_string(),
        requires_key: false,
        priority: 0,
        max_attempts: ATTEMPTS,
        deadline_factor: 1.6,
        deadline_offset: Duration::from_millis(600),
        advice: None,
    };
    let service = ServiceConfig { name: SERVICE.to_string(), enforces_capacity: true, spare: false };
    SchedConfig {
        version: 1,
        queues: [(QUEUE.to_string(), queue)].into(),
        services: [(SERVICE.to_string(), service)].into(),
        workspaces: Workspaces::default(),
        max_body_bytes: 1 << 18,
    }
}

/// A job of the world's queue.
pub fn job(steps: Vec<StepSpec>, accepted: u64) -> JobSpec {
    JobSpec {
        queue: QUEUE.to_string(),
        service: SERVICE.to_string(),
        workspace: None,
        priority: 0,
        max_attempts: ATTEMPTS,
        task_input: "text".into(),
        steps,
        repeat: None,
        accepted_at: accepted,
    }
}

/// A step of `count` tasks of one core.
pub fn step(count: u32, after: Vec<u16>) -> StepSpec {
    StepSpec {
        count,
        depends_on: after,
        resources: Resources { cpu_millis: 1000, mem_mb: 100, gpus: 0 },
        estimate: Duration::from_millis(500),
        ..StepSpec::default()
    }
}

impl World {
    /// A world with some workers of four cores each, and one holder.
    pub fn new(workers: usize, rng: FaultRng) -> World {
        World::build(workers, 0, rng, false)
    }

    /// Likewise; only some workers may run a step, and the adviser tells which.
    pub fn advised(workers: usize, rng: FaultRng) -> World {
        World::build(workers, 0, rng, true)
    }

    /// Likewise without an adviser; four entries attend the workers for the holder, each two
    /// of them at most.
    pub fn relayed(workers: usize, rng: FaultRng) -> World {
        World::build(workers, 4, rng, false)
    }

    /// Likewise without an adviser; all jobs are of one workspace, which may have a few tasks
    /// at work.
    pub fn limited(workers: usize, rng: FaultRng) -> World {
        let mut w = World::build(workers, 0, rng, false);
        w.limited = true;
        w.take_over();
        w
    }

    /// Likewise without an adviser or a limit; every other worker stands in a second data centre.
    pub fn two_centres(workers: usize, rng: FaultRng) -> World {
        let mut w = World::build(workers, 0, rng, false);
        w.evacuations.two_centres = true;
        w.take_over();
        w
    }

    fn build(workers: usize, relays: usize, rng: FaultRng, advised: bool) -> World {
        let mut w = World {
            now: Duration::from_secs(1),
            workers: Vec::new(),
            relays: (0..relays).map(|n| SimRelay::new(format!("relay-{n}"), None)).collect(),
            sessions: BTreeMap::new(),
            session: 0,
            way: STEP,
            holders: Vec::new(),
            late: Vec::new(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            trimmed: BTreeSet::new(),
            stored_jobs: HashMap::new(),
            stored_workers: HashMap::new(),
            done: BTreeSet::new(),
            fails: HashMap::new(),
            term: 0,
            lives: 0,
            noted: BTreeSet::new(),
            failed: HashMap::new(),
            crashes: Crashes::default(),
            evacuations: Evacuations::default(),
            advised,
            limited: false,
            restarts: false,
            seen: Seen::default(),
            rng,
        };
        for _ in 0..workers {
            let sim = w.new_life();
            w.workers.push(sim);
        }
        w.take_over();
        w
    }

    fn new_life(&mut self) -> SimWorker {
        self.lives += 1;
        SimWorker::new(WorkerId::from(format!("w-{}", self.lives)))
    }

    /// The life that comes after one of the worker at a place: of its name, or of another.
    fn next_life(&mut self, n: usize) -> SimWorker {
        if !self.restarts {
            return self.new_life();
        }
        let started = self.now.as_millis() as u64;
        SimWorker::new(WorkerId::new(self.workers[n].id.name(), Some(started)))
    }

    fn info(&self, n: usize, id: &WorkerId) -> WorkerInfo {
        WorkerInfo {
            id: id.clone(),
            service: SERVICE.to_string(),
            address: format!("10.0.0.{n}:80"),
            data_centre: self.data_centre(n),
            host: format!("m-{n}"),
            capacity: Resources { cpu_millis: 4000, mem_mb: 8000, gpus: 0 },
            labels: Vec::new(),
            draining: false,
        }
    }

    /// Another holder claims the lease; earlier ones do not know yet.
    pub fn take_over(&mut self) {
        self.term += 1;
        self.seen.takeovers += 1;
        let own = format!("holder-{}", self.term);
        let mut sched = Scheduler::new(self.term, limits(), self.now, self.now.as_millis() as u64);
        sched.holder.clone_from(&own);
        self.set_relays(&mut sched);
        let mut cfg = config();
        if self.advised {
            cfg.queues.values_mut().for_each(|q| q.advice = Some(ADVICE));
        }
        if self.limited {
            let room = Resources { cpu_millis: 1000 * LIMIT as u64, ..Resources::default() };
            let workspace = Workspace { name: WORKSPACE.to_string(), jobs_per_s: 1.0, limit: room };
            cfg.workspaces.add(workspace, []);
        }
        sched.handle(Event::ConfigChanged(Arc::new(cfg)));
        sched.handle(Event::Evacuated(self.evacuated()));
        for (id, rec) in &self.stored_workers {
            sched.restore_worker(id.clone(), rec.clone());
        }
        for (key, spec) in &self.jobs {
            let spec = Some(spec.clone()).filter(|_| !self.trimmed.contains(key));
            sched.restore_job(*key, spec, self.stored_jobs.get(key).cloned());
        }
        for key in &self.cancelled {
            sched.handle(Event::Cancelled(*key, self.owner()));
        }
        for (n, w) in self.workers.iter().enumerate() {
            sched.handle(Event::WorkerListed(self.info(n, &w.id)));
        }
        self.relays.push(SimRelay::new(own.clone(), Some(self.term)));
        self.holders.push(Holder::new(sched, self.now));
        self.open(self.holders.len() - 1, own);
    }

    /// Tells a scheduler of the entries that may be relays.
    fn set_relays(&self, sched: &mut Scheduler) {
        let others = self.relays.iter().filter(|r| r.own.is_none());
        let entry = |r: &SimRelay| RelayEntry {
            name: r.name.clone(),
            data_centre: "north".to_string(),
            strength: 100,
        };
        sched.policy.relays.max_workers = if self.relays.is_empty() { usize::MAX } else { RELAY_ROOM };
        sched.set_relay_entries(others.map(entry).collect());
    }

    /// Pauses the present holder.
    pub fn pause(&mut self, long: Duration) {
        let until = self.now + long;
        if let Some(h) = self.holders.last_mut() {
            h.paused_until = until;
        }
    }

    /// Pauses a relay.
    pub fn pause_relay(&mut self, n: usize, long: Duration) {
        let until = self.now + long;
        if let Some(r) = self.relays.get_mut(n) {
            r.paused_until = until;
        }
    }

    /// Cuts a relay off from holders, or heals the cut.
    pub fn cut_relay(&mut self, n: usize, cut: bool) {
        if let Some(r) = self.relays.get_mut(n) {
            r.cut = cut;
        }
    }

    /// A relay says that it will stop, or comes back from that; or it just ends, and
    /// another process begins at its place.
    pub fn stop_relay(&mut self, n: usize, planned: bool) {
        let Some(r) = self.relays.get_mut(n) else { return };
        if planned && !r.leaving {
            r.leaving = true;
        } else {
            r.restart();
            for s in self.sessions.values_mut().filter(|s| s.relay == r.name) {
                s.kept_by_relay = false;
            }
        }
    }

    /// Whether messages between holder and relays are slow.
    pub fn slow_links(&mut self, slow: bool) {
        self.way = if slow { SLOW_WAY } else { STEP };
    }

    fn is_cut(&self, relay: &HostId) -> bool {
        self.relays.iter().any(|r| r.name == *relay && r.cut)
    }

    /// Hands a job in.
    pub fn submit(&mut self, key: JobKey, mut spec: JobSpec) {
        spec.workspace = self.limited.then(|| WORKSPACE.to_string());
        let spec = Arc::new(spec);
        self.jobs.insert(key, spec.clone());
        self.trimmed.remove(&key);
        let now = self.now;
        self.holders.iter_mut().for_each(|h| h.hears(now, Event::Submitted(key, spec.clone())));
    }

    /// Hands any job in again, as a caller does that had no answer.
    pub fn submit_again(&mut self) {
        let Some(most) = self.jobs.len().checked_sub(1) else { return };
        let at = self.rng.below(most as u64 + 1) as usize;
        if let Some((key, spec)) = self.jobs.iter().nth(at) {
            self.submit(*key, JobSpec::clone(spec));
        }
    }

    /// Whose all jobs are.
    fn owner(&self) -> Owner {
        Owner::of_workspace(self.limited.then_some(WORKSPACE))
    }

    /// Cancels a job.
    pub fn cancel(&mut self, key: JobKey) {
        self.cancelled.insert(key);
        let (now, owner) = (self.now, self.owner());
        self.holders.iter_mut().for_each(|h| h.hears(now, Event::Cancelled(key, owner)));
    }

    /// Ends a worker's life; another one comes at the same place.
    pub fn replace(&mut self, n: usize) {
        let n = n % self.workers.len();
        self.note_lost(n);
        if self.restarts && self.workers[n].up {
            self.stop_worker(n);
            return;
        }
        let fresh = self.next_life(n);
        let old = std::mem::replace(&mut self.workers[n], fresh);
        let info = self.info(n, &self.workers[n].id);
        let now = self.now;
        let told = self.told_after();
        for h in &mut self.holders {
            // An entry that changes tells of the later life only.
            if !self.restarts {
                h.hears(now, Event::WorkerUnlisted(old.id.clone()));
            }
            h.hears(now + told, Event::WorkerListed(info.clone()));
        }
    }

    /// Cuts a worker off, or heals the cut.
    pub fn cut(&mut self, n: usize, cut: bool) {
        let n = n % self.workers.len();
        self.workers[n].cut = cut;
    }

    /// Heals everything.
    pub fn heal(&mut self) {
        self.rng.faults_per_mille = 0;
        self.way = STEP;
        self.workers.iter_mut().for_each(|w| w.cut = false);
        self.take_back();
        for r in &mut self.relays {
            (r.cut, r.leaving) = (false, false);
        }
    }

    /// State that the present holder shows of a job.
    pub fn shown(&self, key: JobKey) -> Option<JobStatus> {
        self.holders.last().and_then(|h| h.shown.get(&key)).and_then(|s| s.state)
    }

    /// Whether a job is over for its caller.
    pub fn is_over(&self, key: JobKey) -> bool {
        matches!(self.shown(key), Some(JobStatus::Ended(_)))
    }

    /// Starts of one task that workers took so far.
    pub fn running(&self, id: &TaskId) -> usize {
        self.workers.iter().filter(|w| w.up && w.running.contains_key(id)).count()
    }

    /// Plays for some time.
    pub fn run_for(&mut self, long: Duration) {
        let end = self.now + long;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let due: Vec<Late> = self.late.iter().filter(|l| l.due <= self.now).cloned().collect();
        self.late.retain(|l| l.due > self.now);
        for l in due {
            if self.workers.iter().any(|w| w.id == l.at) {
                self.carry_out(&l.meant, &l.order, true);
            }
        }
        self.crash_due();
        let now = self.now;
        let ended: Vec<(TaskId, EndKind)> = self.workers.iter_mut().flat_map(|w| w.run(now)).collect();
        self.note_ends(&ended);
        for at in 0..self.relays.len() {
            if !self.is_paused(at) {
                self.run_relay(at);
            }
        }
        for n in 0..self.holders.len() {
            if self.holders[n].paused_until <= self.now {
                self.run_holder(n);
            }
        }
        self.end_deposed();
        self.seen.sessions = self.session;
    }

    /// Whether a relay stands still, by itself or with the holder that it is.
    fn is_paused(&self, at: usize) -> bool {
        let r = &self.relays[at];
        let holder = self.holders.iter().find(|h| r.own == Some(h.sched.token));
        r.paused_until > self.now || holder.is_some_and(|h| h.paused_until > self.now)
    }

    /// Holders that know of a successor end, and so does what they opened.
    fn end_deposed(&mut self) {
        let over: Vec<Term> =
            self.holders.iter().filter(|h| h.sched.deposed).map(|h| h.sched.token).collect();
        self.holders.retain(|h| !h.sched.deposed);
        self.relays.retain(|r| r.own.is_none_or(|term| !over.contains(&term)));
        self.sessions.values_mut().filter(|s| over.contains(&s.term)).for_each(|s| s.kept_by_holder = false);
        self.sessions.retain(|_, s| s.kept_by_holder || s.kept_by_relay);
    }

    /// Sends an order; returns the answer, if one comes.
    fn deliver(&mut self, id: &WorkerId, order: Order) -> Option<Answer> {
        match self.rng.fate() {
            Fate::Fine => self.carry_out(id, &order, false),
            Fate::Lost => None,
            Fate::AnswerLost => {
                self.carry_out(id, &order, false);
                None
            }
            Fate::Late(after) => {
                let at = self.workers.iter().find(|w| w.id.name() == id.name()).map(|w| w.id.clone());
                let (due, meant) = (self.now + after, id.clone());
                self.late.extend(at.map(|at| Late { due, meant, at, order }));
                None
            }
        }
    }

    /// Carries an order out at a worker, maybe long after it was sent; `None` if there is no
    /// such life.
    fn carry_out(&mut self, id: &WorkerId, order: &Order, late: bool) -> Option<Answer> {
        // Calls name the worker only: what was meant for one life reaches the next one.
        let at = self.workers.iter().position(|w| w.id.name() == id.name() && w.up && !w.cut)?;
        let order = &self.on_its_clock(at, id, order);
        if let Order::Look { token, forget, .. } = order
            && *token >= self.workers[at].fence
        {
            self.note_forgotten(at, *forget);
        }
        let answer = self.workers[at].take(order, self.advised, self.now);
        match &answer {
            Answer::Begin(task, attempt) => {
                if !late {
                    self.check_evacuated(at, task);
                }
                self.begin(at, *task, *attempt);
            }
            Answer::Reply(workswood_core::jobs::StartReply::Ticket) => self.seen.without_ticket += 1,
            Answer::Reply(_) | Answer::Listing(_) => {}
        }
        Some(answer)
    }
}
