//! Runs the scheduler while this process holds the lease.
//!
//! One task owns the [`Scheduler`]. Events reach it through a channel; what it
//! decides is written to the store as one batch at a time, and carried out
//! when the store has acknowledged the batch.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;
use workswood_core::jobs::{Action, Batch, Event, JobKey, JobStatusUpdate, Scheduler};
use workswood_platform::jobs::{Guard, KeyedRecord, StoreError, Topic};

use super::advice::{self, AdviceCall};
use super::feeds::{InboxProgress, publish_waves, read_hosts, read_inbox, read_workers};
use super::host_orders::{self, HostOrder};
use super::load::{Loaded, load};
use super::node::{Leading, Node};
use super::record::{inbox_drop, state_record};
use super::renew;
use super::sessions::Sessions;
use super::trim;
use crate::util::logs;

/// Time between two ticks of the scheduler.
const TICK: Duration = Duration::from_millis(150);
/// Least time between the beginnings of two batches. What happens within it is
/// written together: each batch is a call to the store, which is paid for, and
/// steps last a hundred times as long.
const BATCH_GAP: Duration = Duration::from_millis(20);
/// Pause after a failed load or append.
const PAUSE: Duration = Duration::from_millis(60);
/// Events taken in before a batch is closed.
const MOST_EVENTS: usize = 512;
/// Time between two readings of the list of hosts while a wave runs.
const HOSTS_EVERY: Duration = Duration::from_millis(600);

/// Starts the scheduler for a term.
pub fn start(node: &Arc<Node>, term: u64) {
    let (tx, rx) = mpsc::unbounded_channel();
    let (end, ended) = watch::channel(false);
    let leading = Arc::new(Leading::new(term, node.now(), renew::GRACE, tx, end));
    node.leading.store(Some(leading.clone()));
    node.metrics.terms.inc();
    node.peers.read_soon();
    log::info!("event=scheduler_started term={term}");
    tokio::spawn(supervise(node.clone(), tokio::spawn(run(node.clone(), leading, rx, ended))));
}

/// Gives the place of the scheduler free if it failed, so that the lease is
/// claimed anew.
async fn supervise(node: Arc<Node>, scheduler: JoinHandle<()>) {
    if let Err(e) = scheduler.await {
        log::error!("event=scheduler_failed error=\"{e}\"");
        node.leading.store(None);
    }
}

/// Runs the scheduler of a term until it ends by itself or is told to.
async fn run(
    node: Arc<Node>,
    l: Arc<Leading>,
    rx: mpsc::UnboundedReceiver<Event>,
    mut ended: watch::Receiver<bool>,
) {
    let mut tasks = JoinSet::new();
    tasks.spawn(renew::run(node.clone(), l.clone()));
    tokio::select! {
        () = schedule(node.clone(), l.clone(), rx, &mut tasks) => {}
        _ = ended.wait_for(|e| *e) => {}
    }
    tasks.shutdown().await;
    node.leading.store(None);
    log::info!("event=scheduler_ended term={}", l.term);
}

/// Loads the predecessors' state; `None` if another term has begun.
async fn load_until_done(node: &Arc<Node>, term: u64, since: Duration) -> Option<Loaded> {
    loop {
        match load(node, term, since).await {
            Ok(loaded) => return Some(loaded),
            Err(StoreError::GuardFailed) => return None,
            Err(e) => {
                log::warn!("event=state_not_loaded term={term} error=\"{e}\"");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Loads the state, starts what feeds the scheduler, and runs it.
async fn schedule(
    node: Arc<Node>,
    l: Arc<Leading>,
    mut rx: mpsc::UnboundedReceiver<Event>,
    tasks: &mut JoinSet<()>,
) {
    let Some(loaded) = load_until_done(&node, l.term, l.since).await else { return };
    *l.kept.lock() = loaded.kept;
    let progress = Arc::new(InboxProgress::new(loaded.inbox_next.len()));
    for (part, next) in loaded.inbox_next {
        tasks.spawn(read_inbox(node.clone(), l.clone(), progress.clone(), part, next));
    }
    tasks.spawn(read_workers(node.clone(), l.clone()));
    let (status_tx, status_rx) = watch::channel(BTreeMap::new());
    tasks.spawn(publish_waves(node.clone(), status_rx));
    let (over_tx, over_rx) = mpsc::unbounded_channel();
    tasks.spawn(trim::run(node.clone(), l.clone(), over_rx));
    let mut owner = Owner {
        node: node.clone(),
        l: l.clone(),
        sched: loaded.sched,
        sessions: Sessions::new(node.clone(), l.clone(), tasks),
        number: 1,
        status: status_tx,
        over: over_tx,
        hosts_read: Duration::ZERO,
        entries_seen: 0,
    };
    owner.know_entries();
    owner.run(&mut rx, tasks).await;
}

/// The batch that is being written, if there is one; its outcome is `None`
/// once another term has begun. Writing ends with the scheduler.
type Writing = JoinSet<Option<Batch>>;

/// The task that owns the scheduler.
struct Owner {
    node: Arc<Node>,
    l: Arc<Leading>,
    sched: Scheduler,
    /// Who attends the workers.
    sessions: Sessions,
    /// Number of the next append of this term.
    number: u64,
    /// Waves to publish, with whether they are complete.
    status: watch::Sender<BTreeMap<u64, bool>>,
    /// Jobs that the inbox need not hold any more.
    over: mpsc::UnboundedSender<Vec<JobKey>>,
    /// When the list of hosts was last asked for.
    hosts_read: Duration,
    /// The list of entries that the scheduler knows.
    entries_seen: u64,
}

impl Owner {
    /// Runs until the scheduler is deposed, overtaken or ended.
    async fn run(&mut self, rx: &mut mpsc::UnboundedReceiver<Event>, tasks: &mut JoinSet<()>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut writing = Writing::new();
        let mut waiting = Vec::with_capacity(MOST_EVENTS);
        let mut batch_due = Instant::now();
        let mut undecided = true;
        loop {
            tokio::select! {
                n = rx.recv_many(&mut waiting, MOST_EVENTS) => {
                    if n == 0 {
                        return;
                    }
                    self.clock();
                    waiting.drain(..).for_each(|ev| self.sched.handle(ev));
                    undecided = true;
                }
                _ = tick.tick() => {
                    self.tick(tasks);
                    undecided = true;
                }
                () = tokio::time::sleep_until(batch_due), if undecided && writing.is_empty() => {}
                done = written(&mut writing) => {
                    let Some(batch) = done else { return };
                    self.carry_out(batch, tasks);
                }
            }
            self.attend(tasks);
            if self.sched.deposed {
                self.log_notes();
                log::warn!("event=deposed_by_worker term={}", self.l.term);
                return;
            }
            if undecided && writing.is_empty() && Instant::now() >= batch_due {
                self.next_batch(&mut writing, tasks);
                batch_due = Instant::now() + BATCH_GAP;
                undecided = false;
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    /// Tells the scheduler that time passed, and has hosts listed if it
    /// needs them.
    fn tick(&mut self, tasks: &mut JoinSet<()>) {
        self.clock();
        let own = self.node.settings.peers.to_string();
        self.sched.set_advice_entries(1 + self.node.peers.others(&own).len());
        self.know_entries();
        self.sched.handle(Event::Tick);
        let (m, tally) = (&self.node.metrics, &self.sched.counters);
        m.lives_lost.set(tally.incarnations_lost as i64);
        m.runs_lost.set(tally.runs_lost as i64);
        m.given_up.set(tally.tasks_given_up as i64);
        let (fullest, at_work) = self.sched.workspace_limit_usage();
        m.fullest_workspace.set((fullest * 100.0) as i64);
        m.workspaces_at_work.set(at_work as i64);
        if self.sched.needs_host_list() && self.node.now() > self.hosts_read + HOSTS_EVERY {
            self.hosts_read = self.node.now();
            tasks.spawn(read_hosts(self.node.clone(), self.l.clone()));
        }
    }

    /// Tells the scheduler which entries may be relays.
    fn know_entries(&mut self) {
        if let Some(entries) = self.node.peers.news_of_entries(&mut self.entries_seen) {
            self.sched.set_relay_entries(entries);
        }
    }

    /// Takes the next batch from the scheduler and begins to write it; one
    /// without records is carried out at once.
    fn next_batch(&mut self, writing: &mut Writing, tasks: &mut JoinSet<()>) {
        let batch = self.sched.take_batch();
        self.log_notes();
        if batch.records.is_empty() {
            self.carry_out(batch, tasks);
            return;
        }
        let number = self.number;
        self.number += 1;
        writing.spawn(write(self.node.clone(), self.l.clone(), number, batch));
    }

    /// Sets the scheduler's clocks.
    fn clock(&mut self) {
        self.sched.now = self.node.now();
        self.sched.wall = self.node.wall();
    }

    fn log_notes(&mut self) {
        logs::info_lines(self.sched.notes.iter());
        self.sched.notes.clear();
    }

    /// Does what a stored batch asks for.
    fn carry_out(&mut self, batch: Batch, tasks: &mut JoinSet<()>) {
        if !batch.status_updates.is_empty() {
            self.show(batch.status_updates);
        }
        self.l.inbox_read.store(batch.inbox_read_at.as_millis() as u64, Ordering::Release);
        for (id, number) in batch.acked_ends {
            self.sessions.forget(&id, number);
        }
        if !batch.finished_jobs.is_empty() {
            // Who takes them out ends with the scheduler.
            let _ = self.over.send(batch.finished_jobs);
        }
        if !batch.waves.is_empty() {
            self.status.send_modify(|s| s.extend(batch.waves));
        }
        for action in batch.actions {
            self.act(action, tasks);
        }
        self.sessions.flush();
    }

    /// Has workers attended; that needs no record.
    fn attend(&mut self, tasks: &mut JoinSet<()>) {
        for action in self.sched.assign_relays() {
            self.sessions.send(action, tasks);
        }
        self.sessions.flush();
    }

    /// Carries an action out.
    fn act(&mut self, action: Action, tasks: &mut JoinSet<()>) {
        let (node, l) = (self.node.clone(), self.l.clone());
        match action {
            Action::MaintainHost(host, wave) => {
                tasks.spawn(host_orders::give(node, l, host, HostOrder::Upkeep(wave)));
            }
            Action::MoveHost(host, pool) => {
                tasks.spawn(host_orders::give(node, l, host, HostOrder::Move(pool)));
            }
            Action::Advise { channel: lane, step, workers, timeout: patience } => {
                tasks.spawn(advice::ask(node, l, AdviceCall { lane, step, workers, patience }));
            }
            other => self.sessions.send(other, tasks),
        }
    }

    /// Shows callers the jobs of a stored batch.
    fn show(&self, shown: Vec<JobStatusUpdate>) {
        let mut all = self.l.shown.write();
        shown.into_iter().for_each(|s| all.show(s));
    }
}

/// Waits until a batch is written; for ever if none is.
async fn written(writing: &mut Writing) -> Option<Batch> {
    match writing.join_next().await {
        Some(done) => done.ok().flatten(),
        None => std::future::pending().await,
    }
}

/// Writes a batch until it is stored; `None` if another term has begun.
async fn write(node: Arc<Node>, l: Arc<Leading>, number: u64, batch: Batch) -> Option<Batch> {
    let term = l.term;
    trim::drop_from_inbox(&node, &l, batch.records.iter().filter_map(inbox_drop).collect()).await;
    let records: Vec<KeyedRecord> = batch.records.iter().map(state_record).collect();
    let _timer = node.metrics.batch_seconds.start_timer();
    loop {
        match node.platform.append(Topic::State, records.clone(), Guard::Term(term, number)).await {
            Ok(_) => {
                node.store_is_up();
                return Some(batch);
            }
            Err(StoreError::GuardFailed) => {
                log::warn!("event=state_overtaken term={term} number={number}");
                return None;
            }
            Err(e) => {
                log::warn!("event=state_not_written term={term} number={number} error=\"{e}\"");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
