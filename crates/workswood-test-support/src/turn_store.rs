//! A store that takes appends in turn, each of which needs some time.
//!
//! It runs on the clock of the test. Beside appends it answers looks at workers,
//! each of which is at a busy worker or is lost.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::Instant;
use workswood_core::ids::{HostId, Offset, ServiceId, Term};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    AdviceReply, Host, HostReply, JobKey, Listing, ReportedRun, StepId, TaskId, WorkerAddress, WorkerInfo,
};
use workswood_platform::copies::first_settled;
use workswood_platform::jobs::{
    Guard, JobPlatform, KeyedRecord, LatestRecords, OperatorRecord, StartOrder, StoreError, Tail, Topic,
    WorkerClock, WorkerError,
};

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is done and answered.
    Done,
    /// It is refused.
    Refused,
    /// It is done, and its answer is lost.
    AnswerLost,
    /// Nothing is ever heard of it.
    Silent,
    /// It is refused, since a later term has begun.
    Overtaken,
}

/// An order that was sent to a worker: the attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentOrder {
    /// To start it.
    Start(TaskId, u32),
    /// To stop it.
    Stop(TaskId, u32),
}

/// The appends, which the store carries out also when nobody awaits them any more.
struct Appends {
    /// Time that an append takes once it is its turn.
    each: Mutex<Duration>,
    /// Held by the append whose turn it is, a lock for each stream.
    turns: Mutex<HashMap<Topic, Arc<tokio::sync::Mutex<()>>>>,
    /// Fates of the next appends; afterwards all are done.
    fates: Mutex<VecDeque<Fate>>,
    /// Keys of each append that was done.
    done: Mutex<Vec<Vec<String>>>,
}

/// The store.
pub struct TurnStore {
    appends: Arc<Appends>,
    /// Guard of each append that was begun.
    begun: Mutex<Vec<Guard>>,
    /// Looks so far.
    looks: Mutex<u64>,
    /// Looks that extended a lease.
    leases: Mutex<u64>,
    /// End of the last lease that was sent, on the clock of a worker that stands nearly still.
    last_lease_end: Mutex<WorkerClock>,
    /// Whether no look is answered.
    silent: Mutex<bool>,
    /// What each look acknowledged, 0 for nothing.
    acks: Mutex<Vec<u64>>,
    /// Whether answers to looks are to copies of them.
    copies: Mutex<bool>,
    /// Lease ends that looks carried since then, and that starts carried.
    unanswered_leases: Mutex<Vec<Option<WorkerClock>>>,
    /// Starts and stops in the order in which they were sent.
    sent: Mutex<Vec<SentOrder>>,
    /// For how long a start or stop is under way without an answer; `None` if it fails at once.
    order_wait: Mutex<Option<Duration>>,
    /// Whether stops are accepted at once.
    accepts_stops: Mutex<bool>,
    /// Orders to hosts.
    orders: Mutex<u64>,
    /// Records of the lease, if the store keeps them, and how often they were read.
    lease: Mutex<Option<Vec<KeyedRecord>>>,
    lease_reads: Mutex<u64>,
    /// Whether renewals of the lease are refused.
    refuses_renewals: Mutex<bool>,
    /// Whether the next read of the lease from an offset finds that the records are gone, and the one of its
    /// newest record after that is refused.
    lease_forgotten: Mutex<bool>,
    /// Whether reads of the newest record are never answered.
    hanging: Mutex<bool>,
    /// When a second copy of an append is sent whose first one has no answer, and how long either is awaited.
    copies_after: Mutex<Option<(Duration, Duration)>>,
    /// Appends of which a copy was refused after the other one was sent.
    late_refusals: Mutex<u64>,
    /// Records of another topic, if the store keeps one.
    kept: Mutex<Option<(Topic, Vec<KeyedRecord>)>>,
}

/// Every so many looks, one is lost.
const LOST_LOOK: u64 = 10;
/// Time after which a task of the busy worker ends.
const BUSY: Duration = Duration::from_millis(60);
/// Time between two checks whether there is a new record of the lease.
const LEASE_POLL: Duration = Duration::from_millis(5);
/// Longest wait for the answer to a look beyond what it asks for.
const LOOK_SLACK: Duration = Duration::from_millis(700);

impl Appends {
    async fn take(self: Arc<Self>, topic: Topic, records: Vec<KeyedRecord>) -> Result<Offset, StoreError> {
        let fate = self.fates.lock().pop_front().unwrap_or(Fate::Done);
        if fate == Fate::Silent {
            std::future::pending::<()>().await;
        }
        let turn = self.turns.lock().entry(topic).or_default().clone();
        let _turn = turn.lock().await;
        let each = *self.each.lock();
        tokio::time::sleep(each).await;
        if fate == Fate::Refused {
            return Err(StoreError::NotDone { text: "not now".to_string() });
        }
        if fate == Fate::Overtaken {
            return Err(StoreError::GuardFailed);
        }
        self.done.lock().push(records.into_iter().map(|r| r.key).collect());
        match fate {
            Fate::AnswerLost => Err(StoreError::Unknown { text: "lost".to_string() }),
            _ => Ok(0),
        }
    }
}

impl TurnStore {
    /// A store whose appends take so long each.
    pub fn new(each: Duration, fates: &[Fate]) -> TurnStore {
        TurnStore {
            appends: Arc::new(Appends {
                each: Mutex::new(each),
                turns: Mutex::default(),
                fates: Mutex::new(fates.iter().copied().collect()),
                done: Mutex::default(),
            }),
            begun: Mutex::default(),
            looks: Mutex::default(),
            leases: Mutex::default(),
            last_lease_end: Mutex::default(),
            silent: Mutex::default(),
            acks: Mutex::default(),
            copies: Mutex::default(),
            unanswered_leases: Mutex::default(),
            sent: Mutex::default(),
            order_wait: Mutex::default(),
            accepts_stops: Mutex::default(),
            orders: Mutex::default(),
            lease: Mutex::default(),
            lease_reads: Mutex::default(),
            refuses_renewals: Mutex::default(),
            lease_forgotten: Mutex::default(),
            hanging: Mutex::default(),
            copies_after: Mutex::default(),
            late_refusals: Mutex::default(),
            kept: Mutex::default(),
        }
    }

    /// From now on the store keeps records of the lease, this one first.
    pub fn keep_lease(&self, rec: KeyedRecord) {
        *self.lease.lock() = Some(vec![rec]);
    }

    /// Sets whether renewals of the lease are refused.
    pub fn refuse_renewals(&self, refused: bool) {
        *self.refuses_renewals.lock() = refused;
    }

    /// From now on reads of the newest record are never answered.
    pub fn hang_on_reads(&self) {
        *self.hanging.lock() = true;
    }

    /// From now on the store has these records of a topic.
    pub fn keep(&self, topic: Topic, records: Vec<KeyedRecord>) {
        *self.kept.lock() = Some((topic, records));
    }

    /// The next read of the lease from an offset finds that the records are gone, and the one of its newest
    /// record after that is refused.
    pub fn forget_lease(&self) {
        *self.lease_forgotten.lock() = true;
    }

    /// Records of a topic other than the lease from an offset on.
    fn kept_from(&self, topic: Topic, from: Offset) -> Option<Tail> {
        let kept = self.kept.lock();
        let (_, records) = kept.as_ref().filter(|(t, _)| *t == topic)?;
        Some(Tail {
            records: records.iter().skip(from as usize).cloned().collect(),
            next: records.len() as u64,
        })
    }

    /// The holder writes once more.
    pub fn write_lease(&self, rec: KeyedRecord) {
        if let Some(records) = self.lease.lock().as_mut() {
            records.push(rec);
        }
    }

    /// Records of the lease.
    pub fn lease(&self) -> Vec<KeyedRecord> {
        self.lease.lock().clone().unwrap_or_default()
    }

    /// How often the lease was read.
    pub fn lease_reads(&self) -> u64 {
        *self.lease_reads.lock()
    }

    /// Records of the lease from an offset on; waits for one for some time.
    async fn lease_from(&self, from: Offset, wait: Duration) -> Result<Tail, StoreError> {
        *self.lease_reads.lock() += 1;
        let until = Instant::now() + wait;
        loop {
            if *self.lease_forgotten.lock() {
                return Err(StoreError::RecordsGone);
            }
            let records: Vec<KeyedRecord> = self.lease().into_iter().skip(from as usize).collect();
            if !records.is_empty() || Instant::now() >= until {
                return Ok(Tail { next: from + records.len() as u64, records });
            }
            tokio::time::sleep(LEASE_POLL).await;
        }
    }

    /// From now on an append is sent again if it has no answer after the first of these times, and is given up after
    /// the second one.
    pub fn sends_copies(&self, after: Duration, timeout: Duration) {
        *self.copies_after.lock() = Some((after, timeout));
    }

    /// Appends so far of which a copy was refused after the other one was sent.
    pub fn late_refusals(&self) -> u64 {
        *self.late_refusals.lock()
    }

    /// Adds fates of further appends.
    pub fn add_fates(&self, fates: impl IntoIterator<Item = Fate>) {
        self.appends.fates.lock().extend(fates);
    }

    /// From now on each append takes so long.
    pub fn takes(&self, each: Duration) {
        *self.appends.each.lock() = each;
    }

    /// How long the last lease was that was sent, within the time that a poll takes.
    pub fn last_lease(&self) -> Duration {
        *self.last_lease_end.lock()
    }

    /// From now on no look is answered.
    pub fn falls_silent(&self) {
        *self.silent.lock() = true;
    }

    /// What the looks acknowledged so far, 0 for nothing.
    pub fn acks(&self) -> Vec<u64> {
        self.acks.lock().clone()
    }

    /// From now on each look is lost, and a copy of it is answered.
    pub fn answers_copies(&self) {
        *self.copies.lock() = true;
    }

    /// Lease ends of the looks that were not answered since, and of starts, in the order in which they were sent.
    pub fn unanswered_leases(&self) -> Vec<Option<WorkerClock>> {
        self.unanswered_leases.lock().clone()
    }

    /// Looks that extended a lease so far.
    pub fn leases(&self) -> u64 {
        *self.leases.lock()
    }

    /// Starts of tasks so far.
    pub fn starts(&self) -> u64 {
        self.sent.lock().iter().filter(|order| matches!(order, SentOrder::Start(..))).count() as u64
    }

    /// From now on each start and stop is given up without an answer after this time.
    pub fn holds_orders(&self, wait: Duration) {
        *self.order_wait.lock() = Some(wait);
    }

    /// From now on stops are accepted at once.
    pub fn accepts_stops(&self) {
        *self.accepts_stops.lock() = true;
    }

    /// The starts and stops so far.
    pub fn sent(&self) -> Vec<SentOrder> {
        self.sent.lock().clone()
    }

    async fn order(&self, order: SentOrder) -> Result<(), WorkerError> {
        self.sent.lock().push(order);
        if *self.accepts_stops.lock() && matches!(order, SentOrder::Stop(..)) {
            return Ok(());
        }
        let wait = *self.order_wait.lock();
        let Some(wait) = wait else { return Err(WorkerError::NotSent) };
        tokio::time::sleep(wait).await;
        Err(WorkerError::NoAnswer)
    }

    /// Orders to hosts so far.
    pub fn orders(&self) -> u64 {
        *self.orders.lock()
    }

    /// Guard of each append that was begun, also of those that were not done.
    pub fn begun(&self) -> Vec<Guard> {
        self.begun.lock().clone()
    }

    /// Keys of each append that was done.
    pub fn done(&self) -> Vec<Vec<String>> {
        self.appends.done.lock().clone()
    }

    /// Makes an append, a second time as well if it is late.
    async fn take_copies(&self, topic: Topic, records: Vec<KeyedRecord>) -> Result<Offset, StoreError> {
        let copies = *self.copies_after.lock();
        let Some((after, timeout)) = copies else { return self.appends.clone().take(topic, records).await };
        let deadline = Instant::now() + timeout;
        let mut first = Box::pin(self.take_until(deadline, topic, records.clone()));
        match tokio::time::timeout(after, &mut first).await {
            Ok(res) => res,
            Err(_) => {
                let first = async {
                    let res = first.await;
                    *self.late_refusals.lock() += u64::from(matches!(res, Err(StoreError::NotDone { .. })));
                    res
                };
                first_settled(first, self.take_until(deadline, topic, records)).await
            }
        }
    }

    /// Makes an append, whose answer is awaited until a deadline; it may be done later.
    async fn take_until(
        &self,
        deadline: Instant,
        topic: Topic,
        records: Vec<KeyedRecord>,
    ) -> Result<Offset, StoreError> {
        let append = tokio::spawn(self.appends.clone().take(topic, records));
        let answer = tokio::time::timeout_at(deadline, append).await;
        let late = || Err(StoreError::Unknown { text: "timed out".to_string() });
        answer.map_or_else(|_| late(), |done| done.expect("an append does not panic"))
    }
}

/// An answer to a call that this store does not take.
fn away<T: Send + 'static>() -> BoxFuture<'static, Result<T, StoreError>> {
    async { Err(StoreError::NotDone { text: "only appends are taken".to_string() }) }.boxed()
}

/// An answer of a worker that there is not.
fn nobody<T: Send + 'static>() -> BoxFuture<'static, Result<T, WorkerError>> {
    async { Err(WorkerError::NotSent) }.boxed()
}

impl JobPlatform for TurnStore {
    fn append(
        &self,
        topic: Topic,
        records: Vec<KeyedRecord>,
        guard: Guard,
    ) -> BoxFuture<'_, Result<Offset, StoreError>> {
        if topic == Topic::Lease
            && let Some(lease) = self.lease.lock().as_mut()
        {
            let end = lease.len() as Offset;
            if matches!(guard, Guard::EndsAt(at) if at != end) {
                return async { Err(StoreError::GuardFailed) }.boxed();
            }
            if matches!(guard, Guard::Term(..)) && *self.refuses_renewals.lock() {
                return away();
            }
            lease.extend(records);
            return async move { Ok(end) }.boxed();
        }
        self.begun.lock().push(guard);
        self.take_copies(topic, records).boxed()
    }

    fn latest(&self, topic: Topic) -> BoxFuture<'_, Result<LatestRecords, StoreError>> {
        if *self.hanging.lock() {
            return std::future::pending().boxed();
        }
        let lease = self.lease.lock().clone().filter(|_| topic == Topic::Lease);
        let Some(records) = lease else { return away() };
        *self.lease_reads.lock() += 1;
        if std::mem::take(&mut *self.lease_forgotten.lock()) {
            return away();
        }
        let next = records.len() as Offset;
        async move { Ok(LatestRecords { records: records.into_iter().next_back().into_iter().collect(), next }) }
            .boxed()
    }

    fn tail(&self, topic: Topic, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Tail, StoreError>> {
        if let Some(tail) = self.kept_from(topic, from) {
            let wait = if tail.records.is_empty() { wait } else { Duration::ZERO };
            return async move {
                tokio::time::sleep(wait).await;
                Ok(tail)
            }
            .boxed();
        }
        if topic != Topic::Lease || self.lease.lock().is_none() {
            return away();
        }
        self.lease_from(from, wait).boxed()
    }

    fn parse_operator_record(&self, _: &KeyedRecord) -> Result<Option<OperatorRecord>, String> {
        Ok(None)
    }

    fn parse_worker_info(&self, _: &KeyedRecord) -> Result<WorkerInfo, String> {
        Err("no workers here".to_string())
    }

    fn wave_status_record(&self, number: u64, _: bool) -> KeyedRecord {
        KeyedRecord { key: number.to_string(), value: None }
    }

    fn poll_worker<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: Term,
        last_seen: u64,
        lease_end: Option<WorkerClock>,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Listing, WorkerError>> {
        self.acks.lock().push(last_seen);
        if let Some(end) = lease_end {
            *self.leases.lock() += 1;
            *self.last_lease_end.lock() = end;
        }
        let n = {
            let mut looks = self.looks.lock();
            *looks += 1;
            *looks
        };
        let (silent, answers_copy) = (*self.silent.lock(), *self.copies.lock());
        if silent {
            self.unanswered_leases.lock().push(lease_end);
        }
        async move {
            if silent || n.is_multiple_of(LOST_LOOK) {
                tokio::time::sleep(wait + LOOK_SLACK).await;
                return Err(WorkerError::NoAnswer);
            }
            tokio::time::sleep(wait.min(BUSY)).await;
            Ok(Listing { answers_copy, ..busy(n) })
        }
        .boxed()
    }

    fn start_task<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: Term,
        order: StartOrder,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        self.unanswered_leases.lock().push(Some(order.lease_end));
        self.order(SentOrder::Start(order.task, order.attempt)).boxed()
    }

    fn stop_task<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: Term,
        task: TaskId,
        attempt: u32,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        self.order(SentOrder::Stop(task, attempt)).boxed()
    }

    fn throttle_task<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: Term,
        _: TaskId,
        _: u32,
        _: u32,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        nobody()
    }

    fn advise<'a>(&'a self, _: StepId, _: &'a [WorkerId], _: Duration) -> BoxFuture<'a, AdviceReply> {
        async { AdviceReply::NotSent }.boxed()
    }

    fn list_hosts(&self) -> BoxFuture<'_, Result<Vec<Host>, StoreError>> {
        away()
    }

    fn maintain_host(&self, _: &str, _: Term, _: HostId, _: u64) -> BoxFuture<'_, HostReply> {
        *self.orders.lock() += 1;
        async { HostReply::Later }.boxed()
    }

    fn move_host(&self, _: &str, _: Term, _: HostId, _: ServiceId) -> BoxFuture<'_, HostReply> {
        *self.orders.lock() += 1;
        async { HostReply::Later }.boxed()
    }
}

/// What a busy worker lists: another run each time.
fn busy(n: u64) -> Listing {
    let run = ReportedRun {
        task: TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 },
        attempt: n as u32,
        checkpoint: String::new(),
        percent: 0,
        load: 0,
        stalled_for: Duration::ZERO,
    };
    Listing { made_at: Duration::from_millis(n), running: vec![run], ..Listing::default() }
}
