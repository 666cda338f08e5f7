//! Workers, a store and lease holders on injected time, without sockets.
//!
//! The real [`Scheduler`] decides; this module plays what is around it:
//! workers with leases, fences and lists of ends; a store that fences earlier
//! terms; messages that are lost, or carried out seconds later; holders that
//! are paused or replaced. After each step an oracle looks at what workers did.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::Term;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::Room;
use workswood_core::jobs::types::{Record, ShownJob};
use workswood_core::jobs::{
    Action, Advice, AdviceReply, Advised, Batch, EndKind, Event, JobKey, JobRecord, JobSpec, Limits, Outcome,
    QueueConfig, Report, ReportedEnd, ReportedRun, SchedConfig, Scheduler, ServiceConfig, Shown, StartReply,
    StepId, StepSpec, StopReply, TaskId, WorkerInfo, WorkerRecord,
};

use crate::world_adviser::{self, ADVICE, may_run};

/// Length of one step.
pub const STEP: Duration = Duration::from_millis(20);
/// Length of a worker's lease.
const LEASE: Duration = Duration::from_millis(5000);
/// How long a holder extends leases after its last renewal.
const GRACE: Duration = Duration::from_millis(4000);
/// Time between two looks at a worker.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Runs that fail, of 100.
const FAILS: u64 = 4;
/// Every so many jobs one fails more often than not, so that tasks run out of
/// tries.
const POOR_JOBS: u64 = 6;
const POOR_FAILS: u64 = 70;
/// Of so many answers to looks one is on its way for up to [`LATE_LOOK`], while
/// orders to the same worker are answered.
const LOOKS_A_LATE_ONE: u64 = 8;
/// Longest way of an answer to a look: most of what it is waited for.
const LATE_LOOK: Duration = Duration::from_millis(500);
/// How long an answer is waited for.
const PATIENCE: Duration = Duration::from_millis(600);
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(160);
/// Service and queue of the world.
pub const SERVICE: &str = "desk";
/// Name of the queue.
pub const QUEUE: &str = "desk-queue";
/// Most failed runs of a task.
pub const ATTEMPTS: u32 = 3;

/// What happens to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out and answered.
    Fine,
    /// It is lost.
    Lost,
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It is carried out after this time, and never answered.
    Late(Duration),
}

/// How a task goes on a worker.
#[derive(Clone, Copy, Debug)]
struct Running {
    attempt: u32,
    began: Duration,
    ends: Duration,
    kind: EndKind,
    stopping: Option<Duration>,
}

/// A worker.
struct SimWorker {
    id: WorkerId,
    up: bool,
    fence: Term,
    lease_end: Duration,
    running: BTreeMap<TaskId, Running>,
    ended: Vec<ReportedEnd>,
    numbers: u64,
    /// Highest attempt of a task that was stopped or has ended here.
    over: HashMap<TaskId, u32>,
    cut: bool,
}

/// An order on its way.
#[derive(Clone, Debug)]
enum Order {
    Look { term: Term, forget: u64, lease_end: Option<Duration> },
    Start { term: Term, task: TaskId, attempt: u32, lease_end: Duration, ticket: Option<Arc<str>> },
    Stop { term: Term, task: TaskId, attempt: u32 },
}

/// A lease holder.
struct Holder {
    sched: Scheduler,
    /// When it last renewed.
    renewed: Duration,
    paused_until: Duration,
    writing: Option<(Duration, Batch)>,
    next_tick: Duration,
    watched: BTreeMap<WorkerId, Watched>,
    /// Answers that wait: when to take them, and what they are.
    inbox: Vec<(Duration, Event)>,
    shown: HashMap<JobKey, ShownJob>,
}

#[derive(Default)]
struct Watched {
    forget: u64,
    next_look: Duration,
    silent: bool,
    sent_until: Duration,
}

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
    pub broken: Vec<String>,
    /// Takeovers.
    pub takeovers: u64,
}

/// The world.
pub struct World {
    /// Time.
    pub now: Duration,
    workers: Vec<SimWorker>,
    holders: Vec<Holder>,
    late: Vec<(Duration, WorkerId, Order)>,
    jobs: BTreeMap<JobKey, Arc<JobSpec>>,
    cancelled: BTreeSet<JobKey>,
    stored_jobs: HashMap<JobKey, JobRecord>,
    stored_workers: HashMap<WorkerId, WorkerRecord>,
    term: Term,
    lives: u64,
    /// Tasks whose `done` end was acknowledged.
    noted: BTreeSet<TaskId>,
    failed: HashMap<TaskId, u32>,
    /// Whether the queue has advice.
    advised: bool,
    /// What the oracle saw.
    pub seen: Seen,
    /// Draws the fate of a message, and how a run goes.
    pub luck: Luck,
}

/// A small generator of numbers, seeded by the test.
#[derive(Clone, Debug)]
pub struct Luck {
    state: u64,
    /// Messages that are not fine, of 1,000.
    pub trouble: u64,
}

impl Luck {
    /// A generator.
    pub fn new(seed: u64, trouble: u64) -> Luck {
        Luck { state: seed | 1, trouble }
    }

    /// A number below `n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state % n.max(1)
    }

    fn fate(&mut self) -> Fate {
        if self.below(1000) >= self.trouble {
            return Fate::Fine;
        }
        match self.below(3) {
            0 => Fate::Lost,
            1 => Fate::AnswerLost,
            _ => Fate::Late(Duration::from_millis(2000 + self.below(10_000))),
        }
    }
}

fn limits() -> Limits {
    Limits {
        lease: LEASE,
        grace: GRACE,
        drift: 0.02,
        machine_handover: Duration::from_secs(3),
        keep_ended: Duration::from_secs(3600),
        early: Duration::ZERO,
    }
}

/// What is in force in the world.
pub fn config() -> SchedConfig {
    let queue = QueueConfig {
        name: QUEUE.to_string(),
        host: "desk.example".to_string(),
        path_prefix: "/desk/".to_string(),
        service: SERVICE.to_string(),
        priority: 0,
        max_attempts: ATTEMPTS,
        stretch: 1.6,
        target: Duration::from_millis(600),
        advice: None,
    };
    let service = ServiceConfig { name: SERVICE.to_string(), guards_room: true, spare: false };
    SchedConfig {
        version: 1,
        queues: [(QUEUE.to_string(), queue)].into(),
        services: [(SERVICE.to_string(), service)].into(),
        max_body_bytes: 1 << 18,
    }
}

/// A job of the world's queue.
pub fn job(steps: Vec<StepSpec>, accepted: u64) -> JobSpec {
    JobSpec {
        queue: QUEUE.to_string(),
        service: SERVICE.to_string(),
        priority: 0,
        max_attempts: ATTEMPTS,
        text: "text".to_string(),
        steps,
        repeat: None,
        accepted,
    }
}

/// A step of `count` tasks of one core.
pub fn step(count: u32, after: Vec<u16>) -> StepSpec {
    StepSpec {
        count,
        after,
        room: Room { cpu_millis: 1000, mem_mb: 100, gpus: 0 },
        estimate: Duration::from_millis(500),
        ..StepSpec::default()
    }
}

impl World {
    /// A world with some workers of four cores each, and one holder.
    pub fn new(workers: usize, luck: Luck) -> World {
        World::build(workers, luck, false)
    }

    /// Likewise; only some workers may run a step, and the adviser tells which.
    pub fn advised(workers: usize, luck: Luck) -> World {
        World::build(workers, luck, true)
    }

    fn build(workers: usize, luck: Luck, advised: bool) -> World {
        let mut w = World {
            now: Duration::from_secs(1),
            workers: Vec::new(),
            holders: Vec::new(),
            late: Vec::new(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            stored_jobs: HashMap::new(),
            stored_workers: HashMap::new(),
            term: 0,
            lives: 0,
            noted: BTreeSet::new(),
            failed: HashMap::new(),
            advised,
            seen: Seen::default(),
            luck,
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
        SimWorker {
            id: format!("w-{}", self.lives).as_str().into(),
            up: true,
            fence: 0,
            lease_end: Duration::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            numbers: 0,
            over: HashMap::new(),
            cut: false,
        }
    }

    fn info(n: usize, id: &WorkerId) -> WorkerInfo {
        WorkerInfo {
            id: id.clone(),
            service: SERVICE.to_string(),
            address: format!("10.0.0.{n}:80"),
            data_centre: "north".to_string(),
            machine: format!("m-{n}"),
            capacity: Room { cpu_millis: 4000, mem_mb: 8000, gpus: 0 },
            labels: Vec::new(),
            draining: false,
        }
    }

    /// Another holder claims the lease; earlier ones do not know yet.
    pub fn take_over(&mut self) {
        self.term += 1;
        self.seen.takeovers += 1;
        let mut sched = Scheduler::new(self.term, limits(), self.now, self.now.as_millis() as u64);
        let mut cfg = config();
        if self.advised {
            cfg.queues.values_mut().for_each(|q| q.advice = Some(ADVICE));
        }
        sched.handle(Event::Config(Arc::new(cfg)));
        for (id, rec) in &self.stored_workers {
            sched.restore_worker(id.clone(), rec.clone());
        }
        for (key, spec) in &self.jobs {
            sched.restore(*key, spec.clone(), self.stored_jobs.get(key).cloned());
        }
        for key in &self.cancelled {
            sched.handle(Event::Cancelled(*key));
        }
        for (n, w) in self.workers.iter().enumerate() {
            sched.handle(Event::WorkerListed(World::info(n, &w.id)));
        }
        self.holders.push(Holder {
            sched,
            renewed: self.now,
            paused_until: Duration::ZERO,
            writing: None,
            next_tick: self.now,
            watched: BTreeMap::new(),
            inbox: Vec::new(),
            shown: HashMap::new(),
        });
    }

    /// Pauses the present holder.
    pub fn pause(&mut self, long: Duration) {
        let until = self.now + long;
        if let Some(h) = self.holders.last_mut() {
            h.paused_until = until;
        }
    }

    /// Hands a job in.
    pub fn submit(&mut self, key: JobKey, spec: JobSpec) {
        let spec = Arc::new(spec);
        self.jobs.insert(key, spec.clone());
        for h in &mut self.holders {
            h.inbox.push((self.now, Event::Submitted(key, spec.clone())));
        }
    }

    /// Cancels a job.
    pub fn cancel(&mut self, key: JobKey) {
        self.cancelled.insert(key);
        for h in &mut self.holders {
            h.inbox.push((self.now, Event::Cancelled(key)));
        }
    }

    /// Ends a worker's life; another one comes at the same place.
    pub fn replace(&mut self, n: usize) {
        let n = n % self.workers.len();
        let fresh = self.new_life();
        let old = std::mem::replace(&mut self.workers[n], fresh);
        let info = World::info(n, &self.workers[n].id);
        for h in &mut self.holders {
            h.inbox.push((self.now, Event::WorkerUnlisted(old.id.clone())));
            h.inbox.push((self.now, Event::WorkerListed(info.clone())));
        }
    }

    /// Cuts a worker off, or heals the cut.
    pub fn cut(&mut self, n: usize, cut: bool) {
        let n = n % self.workers.len();
        self.workers[n].cut = cut;
    }

    /// Heals everything.
    pub fn heal(&mut self) {
        self.luck.trouble = 0;
        self.workers.iter_mut().for_each(|w| w.cut = false);
    }

    /// State that the present holder shows of a job.
    pub fn shown(&self, key: JobKey) -> Option<Shown> {
        self.holders.last().and_then(|h| h.shown.get(&key)).and_then(|s| s.state)
    }

    /// Whether a job is over for its caller.
    pub fn over(&self, key: JobKey) -> bool {
        matches!(self.shown(key), Some(Shown::Ended(_)))
    }

    /// Starts of one task that workers took so far.
    pub fn running(&self, id: &TaskId) -> usize {
        self.workers.iter().filter(|w| w.up && w.running.contains_key(id)).count()
    }

    /// Plays for some time.
    pub fn play(&mut self, long: Duration) {
        let end = self.now + long;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let due: Vec<(Duration, WorkerId, Order)> =
            self.late.iter().filter(|(at, _, _)| *at <= self.now).cloned().collect();
        self.late.retain(|(at, _, _)| *at > self.now);
        for (_, id, order) in due {
            self.carry_out(&id, &order);
        }
        self.run_workers();
        for n in 0..self.holders.len() {
            if self.holders[n].paused_until <= self.now {
                self.run_holder(n);
            }
        }
        self.holders.retain(|h| !h.sched.deposed);
    }

    fn run_workers(&mut self) {
        let now = self.now;
        for w in &mut self.workers {
            let lapsed = w.lease_end < now;
            let over: Vec<TaskId> = w
                .running
                .iter()
                .filter(|(_, r)| lapsed || r.ends <= now || r.stopping.is_some_and(|at| at <= now))
                .map(|(t, _)| *t)
                .collect();
            for task in over {
                let Some(r) = w.running.remove(&task) else { continue };
                let kind = if lapsed {
                    EndKind::Lapsed
                } else if r.ends <= now {
                    r.kind
                } else {
                    EndKind::Stopped
                };
                w.numbers += 1;
                w.over.insert(task, r.attempt);
                let checkpoint = String::new();
                w.ended.push(ReportedEnd { number: w.numbers, task, attempt: r.attempt, kind, checkpoint });
            }
        }
    }

    /// Carries an order out at a worker; `None` if there is no such life.
    fn carry_out(&mut self, id: &WorkerId, order: &Order) -> Option<Result<Report, StartReply>> {
        let now = self.now;
        let at = self.workers.iter().position(|w| w.id == *id && w.up && !w.cut)?;
        match order {
            Order::Look { term, forget, lease_end } => {
                let w = &mut self.workers[at];
                if *term < w.fence {
                    return Some(Err(StartReply::Deposed));
                }
                w.fence = *term;
                if let Some(end) = lease_end {
                    w.lease_end = w.lease_end.max(*end);
                }
                let noted = w.ended.iter().filter(|e| e.number <= *forget && e.kind == EndKind::Done);
                self.noted.extend(noted.map(|e| e.task));
                for e in w.ended.iter().filter(|e| e.number <= *forget && e.kind == EndKind::Failed) {
                    *self.failed.entry(e.task).or_default() += 1;
                }
                w.ended.retain(|e| e.number > *forget);
                let running = w.running.iter().map(|(task, r)| {
                    let passed = (now - r.began).as_millis() as u64 * 100;
                    let whole = (r.ends - r.began).as_millis().max(1) as u64;
                    let percent = (passed / whole).min(100) as u32;
                    ReportedRun {
                        task: *task,
                        attempt: r.attempt,
                        checkpoint: String::new(),
                        percent,
                        figure: 0,
                    }
                });
                let running = running.collect();
                Some(Ok(Report { asked: now, running, ended: w.ended.clone() }))
            }
            Order::Start { term, task, attempt, lease_end, ticket } => {
                let w = &mut self.workers[at];
                if *term < w.fence {
                    return Some(Err(StartReply::Deposed));
                }
                w.fence = *term;
                w.lease_end = w.lease_end.max(*lease_end);
                if *lease_end < now || w.over.get(task).is_some_and(|a| a >= attempt) {
                    return Some(Err(StartReply::Refused));
                }
                if w.running.contains_key(task) {
                    return Some(Err(StartReply::Taken));
                }
                if self.advised && !world_adviser::holds(ticket.as_deref(), &task.step_id(), id, now) {
                    self.seen.without_ticket += 1;
                    return Some(Err(StartReply::Ticket));
                }
                if w.running.len() >= 4 {
                    return Some(Err(StartReply::Refused));
                }
                self.begin(at, *task, *attempt);
                Some(Err(StartReply::Taken))
            }
            Order::Stop { term, task, attempt } => {
                let w = &mut self.workers[at];
                if *term < w.fence {
                    return Some(Err(StartReply::Deposed));
                }
                w.fence = *term;
                match w.running.get_mut(task) {
                    Some(r) if r.attempt <= *attempt => r.stopping = Some(now + Duration::from_millis(300)),
                    _ => {
                        let over = w.over.entry(*task).or_default();
                        *over = (*over).max(*attempt);
                    }
                }
                Some(Err(StartReply::Taken))
            }
        }
    }

    /// A worker begins a task; the oracle looks at it.
    fn begin(&mut self, at: usize, task: TaskId, attempt: u32) {
        self.seen.starts += 1;
        let now = self.now;
        let spec = self.jobs.get(&task.job).cloned();
        let mut wrong = Vec::new();
        match &spec {
            None => wrong.push("UNASKED: nobody handed the job in"),
            Some(spec) => {
                let step = &spec.steps[usize::from(task.step)];
                if !step.speculative && !step.lasting {
                    if self.workers.iter().any(|w| w.up && w.running.contains_key(&task)) {
                        wrong.push("TWICE: two runs at once");
                    }
                    if self.noted.contains(&task) {
                        wrong.push("TWICE: started after its end was noted");
                    }
                }
                let before = step.after.iter().flat_map(|s| {
                    let count = spec.steps[usize::from(*s)].count;
                    (0..count).map(|index| TaskId { step: *s, index, ..task })
                });
                if before.into_iter().any(|t| !self.is_done(&t)) {
                    wrong.push("ORDER: an earlier step is open");
                }
                if !step.lasting && self.failed.get(&task).copied().unwrap_or(0) >= ATTEMPTS {
                    wrong.push("BUDGET: failed too often");
                }
            }
        }
        for text in wrong {
            self.seen.broken.push(format!("{text}: {task} attempt {attempt} at {now:?}"));
        }
        let lasting = spec.is_some_and(|s| s.steps[usize::from(task.step)].lasting);
        let took = if lasting {
            Duration::from_secs(3600)
        } else {
            Duration::from_millis(200 + self.luck.below(900))
        };
        let fails = if task.job.is_multiple_of(POOR_JOBS) { POOR_FAILS } else { FAILS };
        let kind = if self.luck.below(100) < fails { EndKind::Failed } else { EndKind::Done };
        let w = &mut self.workers[at];
        w.running.insert(task, Running { attempt, began: now, ends: now + took, kind, stopping: None });
    }

    fn is_done(&self, task: &TaskId) -> bool {
        let ended = |w: &SimWorker| w.ended.iter().any(|e| e.task == *task && e.kind == EndKind::Done);
        self.noted.contains(task) || self.workers.iter().any(ended) || self.done_before(task)
    }

    /// Done on a life that is over, as the store has it.
    fn done_before(&self, task: &TaskId) -> bool {
        let rec = self.stored_jobs.get(&task.job);
        let t =
            rec.and_then(|r| r.rounds.get(task.round as usize)).and_then(|r| r.get(usize::from(task.step)));
        t.and_then(|tasks| tasks.get(task.index as usize)).is_some_and(|t| t.done)
    }

    fn run_holder(&mut self, n: usize) {
        let now = self.now;
        let newest = n + 1 == self.holders.len();
        let h = &mut self.holders[n];
        if newest {
            h.renewed = now;
        }
        h.sched.now = now;
        h.sched.wall = now.as_millis() as u64;
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut h.inbox).into_iter().partition(|(at, _)| *at <= now);
        h.inbox = waiting;
        due.into_iter().for_each(|(_, ev)| h.sched.handle(ev));
        if h.next_tick <= now {
            h.next_tick = now + TICK;
            h.sched.handle(Event::Tick);
        }
        self.finish_write(n, newest);
        if self.holders[n].sched.deposed {
            return;
        }
        if self.holders[n].writing.is_none() {
            let batch = self.holders[n].sched.take_batch();
            self.holders[n].sched.notes.clear();
            if batch.records.is_empty() {
                self.act(n, batch);
            } else {
                let at = now + Duration::from_millis(20 * (1 + self.luck.below(3)));
                self.holders[n].writing = Some((at, batch));
            }
        }
        self.look(n);
    }

    fn finish_write(&mut self, n: usize, newest: bool) {
        let due = self.holders[n].writing.as_ref().is_some_and(|(at, _)| *at <= self.now);
        if !due {
            return;
        }
        let Some((_, batch)) = self.holders[n].writing.take() else { return };
        // The store refuses earlier terms.
        if !newest {
            self.holders[n].sched.deposed = true;
            return;
        }
        for rec in &batch.records {
            match rec {
                Record::Job(key, rec) => {
                    self.stored_jobs.insert(*key, rec.clone());
                }
                Record::Worker(id, rec) => {
                    self.stored_workers.insert(id.clone(), rec.clone());
                }
                Record::DropWorker(id) => {
                    self.stored_workers.remove(id);
                }
                // The model has no machines and no waves.
                Record::DropJob(_) | Record::Wave(..) | Record::Ordered(..) => {}
            }
        }
        self.act(n, batch);
    }

    fn act(&mut self, n: usize, batch: Batch) {
        for s in batch.shown {
            if s.state == Some(Shown::Ended(Outcome::Completed)) {
                self.check_completed(s.key);
            }
            self.holders[n].shown.insert(s.key, s);
        }
        for (id, number) in batch.forget {
            if let Some(w) = self.holders[n].watched.get_mut(&id) {
                w.forget = number;
                w.next_look = self.now;
            }
        }
        for action in batch.actions {
            match action {
                Action::Watch(info) => {
                    self.holders[n]
                        .watched
                        .insert(info.id, Watched { sent_until: self.now, ..Watched::default() });
                }
                Action::Unwatch(id) => {
                    self.holders[n].watched.remove(&id);
                }
                Action::Start { worker, task, attempt, ticket, .. } => {
                    self.send_start(n, worker, task, attempt, &ticket);
                }
                Action::Advise { lane, step, workers, patience } => {
                    self.advise(n, lane, step, workers, patience);
                }
                Action::Stop(worker, task, attempt) => self.send_stop(n, worker, task, attempt),
                Action::Pace(..) | Action::Upkeep(..) | Action::Move(..) => {}
            }
        }
    }

    fn check_completed(&mut self, key: JobKey) {
        let Some(spec) = self.jobs.get(&key).cloned() else {
            self.seen.broken.push(format!("MIXED: unknown job {key} completed"));
            return;
        };
        for (step, s) in spec.steps.iter().enumerate() {
            for index in 0..s.count {
                let id = TaskId { job: key, round: 0, step: step as u16, index };
                if !self.is_done(&id) {
                    self.seen.broken.push(format!("MIXED: {id} is open in a completed job"));
                }
            }
        }
    }

    /// Sends an order; returns the answer, if one comes.
    fn deliver(&mut self, id: &WorkerId, order: Order) -> Option<Result<Report, StartReply>> {
        match self.luck.fate() {
            Fate::Fine => self.carry_out(id, &order),
            Fate::Lost => None,
            Fate::AnswerLost => {
                self.carry_out(id, &order);
                None
            }
            Fate::Late(after) => {
                self.late.push((self.now + after, id.clone(), order));
                None
            }
        }
    }

    /// When a lease that is sent now ends, if it may be extended.
    fn lease_from(&self, n: usize) -> Option<Duration> {
        (self.now < self.holders[n].renewed + GRACE).then(|| self.now + LEASE)
    }

    /// Carries a call to the adviser out, unless it is lost.
    fn advise(&mut self, n: usize, lane: usize, step: StepId, asked: Vec<WorkerId>, patience: Duration) {
        let takes = ADVICE.decide + ADVICE.each * asked.len() as u32;
        let place = |id: &&WorkerId| self.workers.iter().position(|w| w.id == **id);
        let good = asked.iter().filter(|id| place(id).is_some_and(|at| may_run(&step, at)));
        let made = self.now + takes;
        let good = good.map(|id| (id.clone(), world_adviser::ticket(&step, id, made))).collect();
        let answer = AdviceReply::Answered(Advice { good, valid: Some(ADVICE.valid) });
        let (reply, wait) = match (self.luck.fate(), self.luck.below(8)) {
            (Fate::Fine, _) => (answer, takes),
            (_, 0 | 1) => (AdviceReply::Busy, STEP),
            (_, 2 | 3) => (AdviceReply::NotSent, STEP),
            // Late, as long as it is waited for; the ticket is as old.
            (_, 4 | 5) => (answer, patience),
            _ => (AdviceReply::NoAnswer, patience),
        };
        let advised = Event::Advised(Advised { lane, step, asked, reply });
        self.holders[n].inbox.push((self.now + wait, advised));
    }

    fn send_start(&mut self, n: usize, id: WorkerId, task: TaskId, attempt: u32, ticket: &Option<Arc<str>>) {
        let term = self.holders[n].sched.token;
        let span = self.holders[n].sched.lease_span();
        let mut reply = StartReply::NotSent;
        for _ in 0..1 + self.luck.below(3) {
            let Some(lease_end) = self.lease_from(n) else { break };
            let answer =
                self.deliver(&id, Order::Start { term, task, attempt, lease_end, ticket: ticket.clone() });
            reply = match (answer, reply) {
                (Some(Err(StartReply::Refused | StartReply::Ticket)), StartReply::NoAnswer) => {
                    StartReply::Unsure
                }
                (Some(Err(r)), _) => r,
                (Some(Ok(_)), _) => StartReply::Taken,
                (None, _) => StartReply::NoAnswer,
            };
            if reply != StartReply::NoAnswer {
                break;
            }
        }
        let end = self.now + span;
        let wait = if reply == StartReply::NoAnswer { PATIENCE * 3 } else { STEP };
        self.holders[n].inbox.push((self.now + wait, Event::Started(id, task, attempt, reply, end)));
    }

    fn send_stop(&mut self, n: usize, id: WorkerId, task: TaskId, attempt: u32) {
        let term = self.holders[n].sched.token;
        let reply = match self.deliver(&id, Order::Stop { term, task, attempt }) {
            Some(Err(StartReply::Deposed)) => StopReply::Deposed,
            Some(_) => StopReply::Taken,
            None => StopReply::NoAnswer,
        };
        self.holders[n].inbox.push((self.now + STEP, Event::Stopped(id, task, attempt, reply)));
    }

    fn look(&mut self, n: usize) {
        let due: Vec<WorkerId> = self.holders[n]
            .watched
            .iter()
            .filter(|(_, w)| w.next_look <= self.now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.look_at(n, id);
        }
    }

    /// How long the answer to a look is on its way; it tells what was so when the
    /// worker gave it.
    fn look_takes(&mut self) -> Duration {
        if self.luck.below(LOOKS_A_LATE_ONE) > 0 {
            return STEP;
        }
        Duration::from_millis(self.luck.below(LATE_LOOK.as_millis() as u64)).max(STEP)
    }

    fn look_at(&mut self, n: usize, id: WorkerId) {
        let term = self.holders[n].sched.token;
        let span = self.holders[n].sched.lease_span();
        let lease = self.lease_from(n);
        let now = self.now;
        let Some(w) = self.holders[n].watched.get_mut(&id) else { return };
        let lease_end = if w.silent { None } else { lease };
        if lease_end.is_some() {
            w.sent_until = now + span;
        }
        let (forget, until) = (w.forget, w.sent_until);
        let gone = !self.workers.iter().any(|s| s.id == id);
        let answer = self.deliver(&id, Order::Look { term, forget, lease_end });
        let (ev, wait, silent) = match answer {
            Some(Ok(report)) => (Event::Reported(id.clone(), report, until), self.look_takes(), false),
            Some(Err(_)) => {
                self.holders[n].sched.deposed = true;
                return;
            }
            None if gone && self.luck.below(4) == 0 => (Event::LifeOver(id.clone()), STEP, true),
            None => (Event::Unanswered(id.clone(), until), PATIENCE, true),
        };
        let h = &mut self.holders[n];
        h.inbox.push((now + wait, ev));
        if let Some(w) = h.watched.get_mut(&id) {
            w.silent = silent;
            w.next_look = now + wait + LOOK_EVERY;
        }
    }
}
