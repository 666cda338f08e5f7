//! Runs the scheduler while this process holds the lease.
//!
//! One task owns the [`Scheduler`]. Events reach it through a channel; what it
//! decides is written to the store as one batch at a time, and carried out
//! when the store has acknowledged the batch.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::RwLock;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Action, Batch, Event, JobKey, Scheduler, ShownJob};
use workswood_platform::jobs::{Guard, KeyedRecord, StoreError, Topic};

use super::follow::{Heard, topic};
use super::load::{Loaded, inbox_event, load};
use super::node::{Leading, Node};
use super::orders::Orders;
use super::record::{inbox_drops, state_record};
use super::renew;
use super::watch::WorkerLink;

/// Time between two ticks of the scheduler.
const TICK: Duration = Duration::from_millis(150);
/// Pause after a failed load or append.
const PAUSE: Duration = Duration::from_millis(60);
/// Events taken in before a batch is closed.
const MOST_EVENTS: usize = 512;
/// How long one read of the inbox waits.
const INBOX_WAIT: Duration = Duration::from_millis(1000);
/// Time between two readings of the list of machines while a wave runs.
const MACHINES_EVERY: Duration = Duration::from_millis(600);

/// Starts the scheduler for a term.
pub fn start(node: &Arc<Node>, term: u64) {
    let (tx, rx) = mpsc::unbounded_channel();
    let (end, ended) = watch::channel(false);
    let until = (node.now() + renew::GRACE).as_millis() as u64;
    let leading = Arc::new(Leading {
        term,
        since: node.now(),
        tx,
        shown: RwLock::default(),
        inbox_read: AtomicU64::new(0),
        extend_until: AtomicU64::new(until),
        end,
    });
    node.leading.store(Some(leading.clone()));
    log::info!("event=scheduler_started term={term}");
    tokio::spawn(run(node.clone(), leading, rx, ended));
}

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

async fn load_until_done(node: &Arc<Node>, term: u64, since: Duration) -> Option<Loaded> {
    loop {
        match load(node, term, since).await {
            Ok(loaded) => return Some(loaded),
            Err(StoreError::Overtaken) => return None,
            Err(e) => {
                log::warn!("event=state_not_loaded term={term} error=\"{e}\"");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn schedule(
    node: Arc<Node>,
    l: Arc<Leading>,
    mut rx: mpsc::UnboundedReceiver<Event>,
    tasks: &mut JoinSet<()>,
) {
    let Some(loaded) = load_until_done(&node, l.term, l.since).await else { return };
    log::info!("event=state_loaded term={} jobs={}", l.term, loaded.sched.jobs.len());
    tasks.spawn(read_inbox(node.clone(), l.clone(), loaded.inbox_next));
    tasks.spawn(read_workers(node.clone(), l.clone()));
    let (status_tx, status_rx) = watch::channel(BTreeMap::new());
    tasks.spawn(publish_waves(node.clone(), status_rx));
    let mut owner = Owner {
        node: node.clone(),
        l: l.clone(),
        sched: loaded.sched,
        links: HashMap::new(),
        number: 1,
        status: status_tx,
    };
    owner.run(&mut rx, tasks).await;
}

/// The task that owns the scheduler.
struct Owner {
    node: Arc<Node>,
    l: Arc<Leading>,
    sched: Scheduler,
    links: HashMap<WorkerId, Arc<WorkerLink>>,
    /// Number of the next append of this term.
    number: u64,
    status: watch::Sender<BTreeMap<u64, bool>>,
}

impl Owner {
    async fn run(&mut self, rx: &mut mpsc::UnboundedReceiver<Event>, tasks: &mut JoinSet<()>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut machines_read = Duration::ZERO;
        let mut writing: Option<JoinHandle<Option<Batch>>> = None;
        let mut waiting = Vec::with_capacity(MOST_EVENTS);
        loop {
            let written = async {
                match writing.as_mut() {
                    Some(w) => w.await.ok().flatten(),
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                n = rx.recv_many(&mut waiting, MOST_EVENTS) => {
                    if n == 0 {
                        return;
                    }
                    self.clock();
                    waiting.drain(..).for_each(|ev| self.sched.handle(ev));
                }
                _ = tick.tick() => {
                    self.clock();
                    self.sched.handle(Event::Tick);
                    if self.sched.wants_machines() && self.node.now() > machines_read + MACHINES_EVERY {
                        machines_read = self.node.now();
                        tasks.spawn(read_machines(self.node.clone(), self.l.clone()));
                    }
                }
                done = written => {
                    writing = None;
                    let Some(batch) = done else { return };
                    self.carry_out(batch, tasks);
                }
            }
            if self.sched.deposed {
                log::warn!("event=deposed_by_worker term={}", self.l.term);
                return;
            }
            if writing.is_none() {
                let batch = self.sched.take_batch();
                self.log_notes();
                if batch.records.is_empty() {
                    self.carry_out(batch, tasks);
                } else {
                    let number = self.number;
                    self.number += 1;
                    writing = Some(tokio::spawn(write(self.node.clone(), self.l.term, number, batch)));
                }
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    fn clock(&mut self) {
        self.sched.now = self.node.now();
        self.sched.wall = self.node.wall();
    }

    fn log_notes(&mut self) {
        for note in self.sched.notes.drain(..) {
            log::info!("{note}");
        }
    }

    /// Does what a stored batch asks for.
    fn carry_out(&mut self, batch: Batch, tasks: &mut JoinSet<()>) {
        if !batch.shown.is_empty() {
            self.show(batch.shown);
        }
        self.l.inbox_read.store(batch.inbox_read.as_millis() as u64, Ordering::Release);
        for (id, number) in batch.forget {
            if let Some(link) = self.links.get(&id) {
                link.forget.send_replace(number);
            }
        }
        if !batch.waves.is_empty() {
            self.status.send_modify(|s| s.extend(batch.waves));
        }
        let drops: Vec<KeyedRecord> = batch.records.iter().flat_map(inbox_drops).collect();
        if !drops.is_empty() {
            tasks.spawn(drop_from_inbox(self.node.clone(), drops));
        }
        let mut orders = Orders { node: &self.node, l: &self.l, lease: self.sched.limits.lease, tasks };
        for action in batch.actions {
            match action {
                Action::Watch(info) => {
                    let link = orders.watch(info, self.sched.lease_span());
                    if let Some(old) = self.links.insert(link.info.id.clone(), link) {
                        old.close();
                    }
                }
                Action::Unwatch(id) => {
                    if let Some(link) = self.links.remove(&id) {
                        link.close();
                    }
                }
                other => orders.send(other, &self.links),
            }
        }
    }

    fn show(&self, shown: Vec<ShownJob>) {
        let mut map = self.l.shown.write();
        for s in shown {
            let key: JobKey = s.key;
            if s.state.is_some() {
                map.insert(key, s);
            } else {
                map.remove(&key);
            }
        }
    }
}

/// Writes a batch until it is stored; `None` if another term has begun.
async fn write(node: Arc<Node>, term: u64, number: u64, batch: Batch) -> Option<Batch> {
    let records: Vec<KeyedRecord> = batch.records.iter().map(state_record).collect();
    loop {
        match node.platform.append(Topic::State, records.clone(), Guard::Term(term, number)).await {
            Ok(_) => {
                node.store_is_up();
                return Some(batch);
            }
            Err(StoreError::Overtaken) => {
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

/// Hands jobs and cancels from the inbox to the scheduler.
async fn read_inbox(node: Arc<Node>, l: Arc<Leading>, mut next: u64) {
    loop {
        match node.platform.tail(Topic::Inbox, next, INBOX_WAIT).await {
            Ok(tail) => {
                node.store_is_up();
                next = tail.next;
                for ev in tail.records.iter().filter_map(inbox_event) {
                    let _ = l.tx.send(ev);
                }
                let _ = l.tx.send(Event::InboxRead(node.now()));
            }
            Err(StoreError::Gone) => match node.platform.newest(Topic::Inbox).await {
                Ok(n) => {
                    next = n.next;
                    for ev in n.records.iter().filter_map(inbox_event) {
                        let _ = l.tx.send(ev);
                    }
                }
                Err(e) => log::warn!("event=inbox_not_read error=\"{e}\""),
            },
            Err(e) => {
                log::warn!("event=inbox_not_read error=\"{e}\"");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Hands the list of workers, and its changes, to the scheduler.
async fn read_workers(node: Arc<Node>, l: Arc<Leading>) {
    let mut known: HashMap<String, ()> = HashMap::new();
    let n = node.clone();
    topic(node, Topic::Workers, move |heard| {
        let records = match heard {
            Heard::Reset(records) => {
                let gone: Vec<String> =
                    known.keys().filter(|k| !records.iter().any(|r| r.key == **k)).cloned().collect();
                for id in gone {
                    known.remove(&id);
                    let _ = l.tx.send(Event::WorkerUnlisted(id.as_str().into()));
                }
                records
            }
            Heard::Changes(records) => records,
        };
        for rec in records {
            if rec.value.is_none() {
                known.remove(&rec.key);
                let _ = l.tx.send(Event::WorkerUnlisted(rec.key.as_str().into()));
                continue;
            }
            match n.platform.worker_info(&rec) {
                Ok(info) => {
                    known.insert(rec.key, ());
                    let _ = l.tx.send(Event::WorkerListed(info));
                }
                Err(e) => log::error!("event=worker_not_read code=203 worker={} error=\"{e}\"", rec.key),
            }
        }
    })
    .await;
}

async fn read_machines(node: Arc<Node>, l: Arc<Leading>) {
    let asked = node.now();
    match node.platform.machines().await {
        Ok(list) => {
            let _ = l.tx.send(Event::Machines(list, asked));
        }
        Err(e) => log::warn!("event=machines_not_read error=\"{e}\""),
    }
}

/// Tells operators how waves stand, until each is told.
async fn publish_waves(node: Arc<Node>, mut wanted: watch::Receiver<BTreeMap<u64, bool>>) {
    let mut told: BTreeMap<u64, bool> = BTreeMap::new();
    loop {
        let now = wanted.borrow_and_update().clone();
        for (n, complete) in now {
            if told.get(&n) == Some(&complete) {
                continue;
            }
            let rec = node.platform.wave_status(n, complete);
            match node.platform.append(Topic::Status, vec![rec], Guard::None).await {
                Ok(_) => {
                    log::info!("event=wave_published wave={n} complete={complete}");
                    told.insert(n, complete);
                }
                Err(e) => log::warn!("event=wave_not_published wave={n} error=\"{e}\""),
            }
        }
        let behind = wanted.borrow().iter().any(|(n, c)| told.get(n) != Some(c));
        if behind {
            tokio::time::sleep(PAUSE).await;
        } else if wanted.changed().await.is_err() {
            return;
        }
    }
}

async fn drop_from_inbox(node: Arc<Node>, drops: Vec<KeyedRecord>) {
    // A drop that is lost leaves a record behind that the next holder drops.
    if let Err(e) = node.platform.append(Topic::Inbox, drops, Guard::None).await {
        log::warn!("event=inbox_not_trimmed error=\"{e}\"");
    }
}
