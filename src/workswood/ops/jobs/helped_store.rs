//! The platform as a lease holder uses it that the store may refuse to serve.
//!
//! The store may turn one process away while it serves all others. If that process holds the scheduler lease,
//! peers then call the store for it: they append what is guarded by its term, delete from the inbox and read what it
//! follows. Such an append may be made several times and by several processes, since the store tells repeats and
//! late copies by term and number. Calls of other processes, and all other calls, are made from here only.

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::watch;
use workswood_core::ids::{HostId, Offset, ServiceId, Term};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::lease_handover::HandoverPolicy;
use workswood_core::jobs::{
    AdviceReply, Host, HostReply, Listing, StepId, TaskId, WorkerAddress, WorkerInfo,
};
use workswood_liveness::AdaptiveTimeout;
use workswood_peers::Msg;
use workswood_platform::copies::{combined, first_settled, is_settled};
use workswood_platform::jobs::{
    Guard, JobPlatform, KeyedRecord, LatestRecords, OperatorRecord, StartOrder, StoreError, Tail, Topic,
    WorkerClock, WorkerError,
};

use super::node::Node;
use super::store_calls::{self, MAX_READ_WAIT, StoreAnswer, not_done};

/// An append is late after this multiple of the mean latency.
const LATE_APPEND_MULTIPLE: f64 = 4.0;
/// Longest latency of an append that counts in the mean, so that one outage does not make silence seem normal.
const MAX_LEARNT_LATENCY: Duration = Duration::from_millis(500);
/// Time within which a peer answers, in addition to the wait of a read.
/// A few times the round trip and an append on a busy host.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of peers that are asked to make a call.
const MAX_ASKED_PEERS: usize = 2;
/// How long peers are left alone after none of those asked could make a call.
const PEERS_REST: Duration = Duration::from_millis(200);

/// A platform whose store is also reached through peers.
pub struct HelpedStore {
    direct: Arc<dyn JobPlatform>,
    /// The process, once it is set up.
    node: OnceLock<Weak<Node>>,
    /// Whether the store refuses to serve this process: a call failed, and none has succeeded since.
    refused: watch::Sender<bool>,
    /// Since when, in milliseconds since the process started.
    refused_since_ms: AtomicU64,
    /// Latency of appends, from which follows when one is late.
    append_latency: AdaptiveTimeout,
    /// Address of the peer that last made a call.
    helper: Mutex<Option<String>>,
    /// Held by the call that looks for a peer that can help.
    search: tokio::sync::Mutex<()>,
    /// Rank of the peer that is asked next if there is no helper.
    next_rank: AtomicUsize,
    /// Until when peers are left alone, in milliseconds since the process started.
    peers_rest_until_ms: AtomicU64,
}

impl HelpedStore {
    /// Returns a platform that reaches the store only from here until [`HelpedStore::attach`].
    pub fn new(direct: Arc<dyn JobPlatform>, policy: &HandoverPolicy) -> HelpedStore {
        HelpedStore {
            direct,
            node: OnceLock::new(),
            refused: watch::Sender::new(false),
            refused_since_ms: AtomicU64::new(0),
            append_latency: AdaptiveTimeout::new(LATE_APPEND_MULTIPLE, policy.late_after),
            helper: Mutex::default(),
            search: tokio::sync::Mutex::default(),
            next_rank: AtomicUsize::new(0),
            peers_rest_until_ms: AtomicU64::new(0),
        }
    }

    /// Lets the peers of a process help it.
    pub fn attach(&self, node: &Arc<Node>) {
        let _ = self.node.set(Arc::downgrade(node));
    }

    /// The process, if peers may call the store for it now: it runs the scheduler.
    fn helped_node(&self) -> Option<Arc<Node>> {
        let node = self.node.get()?.upgrade()?;
        let helped = node.settings.policy.handover.through_peers && node.scheduler.load().is_some();
        helped.then_some(node)
    }

    /// Notes what became of a call from here.
    fn note_direct<T>(&self, res: &Result<T, StoreError>) {
        if is_settled(res) && self.refused.send_replace(false) {
            let now_ms = self.node.get().and_then(Weak::upgrade).map_or(0, |n| n.now_ms());
            let refused_ms = now_ms.saturating_sub(self.refused_since_ms.load(Ordering::Relaxed));
            log::info!("event=store_serves_holder_again after_ms={refused_ms}");
        }
    }

    /// Notes that the store refuses to serve this process.
    fn note_refused(&self, node: &Node, topic: Topic, why: &str) {
        if !self.refused.send_replace(true) {
            self.refused_since_ms.store(node.now_ms(), Ordering::Relaxed);
            log::warn!("event=store_refuses_holder topic={topic:?} why=\"{why}\"");
        }
    }

    async fn append_from_here(
        &self,
        topic: Topic,
        records: Vec<KeyedRecord>,
        guard: Guard,
    ) -> Result<Offset, StoreError> {
        let res = self.direct.append(topic, records, guard).await;
        self.note_direct(&res);
        res
    }

    async fn tail_from_here(&self, topic: Topic, from: Offset, wait: Duration) -> StoreAnswer {
        let res = self.direct.tail(topic, from, wait).await;
        self.note_direct(&res);
        res
    }

    async fn latest_from_here(&self, topic: Topic) -> Result<LatestRecords, StoreError> {
        let res = self.direct.latest(topic).await;
        self.note_direct(&res);
        res
    }

    /// Appends records, from here or through a peer by `request`.
    async fn append_helped(
        &self,
        node: &Node,
        request: Msg,
        topic: Topic,
        records: Vec<KeyedRecord>,
        guard: Guard,
    ) -> Result<Offset, StoreError> {
        let direct = async {
            let offset = self.append_from_here(topic, records, guard).await;
            offset.map(|next| Tail { records: Vec::new(), next })
        };
        let answer = if *self.refused.borrow() {
            self.call_while_refused(node, (request.clone(), PEER_TIMEOUT), request, direct).await
        } else {
            self.append_in_time(node, topic, request, direct).await
        };
        answer.map(|tail| tail.next)
    }

    /// Makes an append from here, and through a peer if it is refused or late.
    async fn append_in_time(
        &self,
        node: &Node,
        topic: Topic,
        request: Msg,
        direct: impl Future<Output = StoreAnswer>,
    ) -> StoreAnswer {
        let started = node.now();
        // A late answer counts too: otherwise each append to a slow store would be late.
        let direct = async {
            let res = direct.await;
            if is_settled(&res) {
                self.append_latency.record((node.now() - started).min(MAX_LEARNT_LATENCY));
            }
            res
        };
        let mut direct = pin!(direct);
        let in_time = tokio::time::timeout(self.append_latency.late_after(), &mut direct).await;
        match in_time {
            Ok(res) if is_settled(&res) => res,
            Ok(Err(e)) => {
                self.note_refused(node, topic, &e.to_string());
                combined(Err(e), self.call_through_peers(node, &request, PEER_TIMEOUT).await)
            }
            // A settled answer is returned above.
            Ok(res) => res,
            Err(_) => self.append_late(node, topic, direct, &request).await,
        }
    }

    /// Makes an append that is late through a peer as well. The store refuses this process only if the peer is
    /// answered first; otherwise it is slow for all.
    async fn append_late(
        &self,
        node: &Node,
        topic: Topic,
        mut direct: impl Future<Output = StoreAnswer> + Unpin,
        request: &Msg,
    ) -> StoreAnswer {
        let mut peer = pin!(self.call_through_peers(node, request, PEER_TIMEOUT));
        tokio::select! {
            res = &mut direct => if is_settled(&res) { res } else { combined(res, peer.await) },
            res = &mut peer => {
                if !is_settled(&res) {
                    return combined(res, direct.await);
                }
                self.note_refused(node, topic, "late");
                res
            }
        }
    }

    /// Reads records of a topic, from here or through a peer. A read that waits when the store begins to refuse
    /// this process is begun anew through a peer. A read that fails tells nothing about other calls.
    async fn tail_helped(&self, node: &Node, topic: Topic, from: Offset, wait: Duration) -> StoreAnswer {
        let wait_with_helper = wait.min(MAX_READ_WAIT);
        let read = |wait| store_calls::read_request(topic, from, wait);
        let (Some(request), Some(search)) = (read(wait_with_helper), read(Duration::ZERO)) else {
            return self.tail_from_here(topic, from, wait).await;
        };
        let mut refused = self.refused.subscribe();
        if !*refused.borrow_and_update() {
            let mut direct = pin!(self.tail_from_here(topic, from, wait));
            tokio::select! {
                res = &mut direct => if is_settled(&res) { return res },
                _ = refused.wait_for(|r| *r) => {}
            }
        }
        let direct = self.tail_from_here(topic, from, Duration::ZERO);
        let timeout = wait_with_helper + PEER_TIMEOUT;
        self.call_while_refused(node, (request, timeout), search, direct).await
    }

    /// Reads the latest records of a topic, from here or through a peer.
    async fn latest_helped(&self, node: &Node, topic: Topic) -> Result<LatestRecords, StoreError> {
        let direct = async {
            let LatestRecords { records, next } = self.latest_from_here(topic).await?;
            Ok(Tail { records, next })
        };
        let answer = match store_calls::latest_request(topic).filter(|_| *self.refused.borrow()) {
            Some(request) => {
                self.call_while_refused(node, (request.clone(), PEER_TIMEOUT), request, direct).await
            }
            None => direct.await,
        };
        answer.map(|Tail { records, next }| LatestRecords { records, next })
    }

    /// Makes a call while the store refuses this process: through the peer that helped last within a timeout, or
    /// else from here and by `search` through another peer at once. `search` must not wait at the store, since
    /// other calls wait for its outcome.
    async fn call_while_refused(
        &self,
        node: &Node,
        (request, timeout): (Msg, Duration),
        search: Msg,
        direct: impl Future<Output = StoreAnswer>,
    ) -> StoreAnswer {
        let helper = self.helper.lock().clone();
        if let Some(address) = helper {
            let answer = self.call_peer(node, &address, request, timeout).await;
            if is_settled(&answer) {
                return answer;
            }
        }
        first_settled(direct, self.call_through_peers(node, &search, PEER_TIMEOUT)).await
    }

    /// Has one of the best peers make a call. One call at a time looks for a peer that can help; those that wait
    /// for it then use the same one. If none can, peers are left alone for a while.
    async fn call_through_peers(&self, node: &Node, request: &Msg, timeout: Duration) -> StoreAnswer {
        let search = self.search.lock().await;
        let found = self.helper.lock().clone();
        if let Some(address) = found {
            drop(search);
            return self.call_peer(node, &address, request.clone(), timeout).await;
        }
        let mut answer = Err(not_done("no peer can help"));
        let addresses = node.peers.helper_addresses(&node.settings.name);
        if addresses.is_empty() || node.now_ms() < self.peers_rest_until_ms.load(Ordering::Relaxed) {
            return answer;
        }
        for _ in 0..MAX_ASKED_PEERS.min(addresses.len()) {
            let rank = self.next_rank.fetch_add(1, Ordering::Relaxed);
            let address = &addresses[rank % addresses.len()];
            answer = combined(answer, self.call_peer(node, address, request.clone(), timeout).await);
            if is_settled(&answer) {
                self.next_rank.store(rank, Ordering::Relaxed);
                return answer;
            }
        }
        let rest_until = node.now() + PEERS_REST;
        self.peers_rest_until_ms.store(rest_until.as_millis() as u64, Ordering::Relaxed);
        answer
    }

    /// Has a peer make a call, and notes whether it helps.
    async fn call_peer(&self, node: &Node, address: &str, request: Msg, timeout: Duration) -> StoreAnswer {
        let answer = store_calls::read_reply(node.peers.call(&node.id, address, request, timeout).await);
        let mut helper = self.helper.lock();
        match &answer {
            Err(e) if !is_settled(&answer) => {
                log::warn!("event=helper_failed peer={address} error=\"{e}\"");
                if helper.as_deref() == Some(address) {
                    *helper = None;
                }
            }
            Ok(_) | Err(_) => {
                node.metrics.store_calls_through_peers.inc();
                if helper.as_deref() != Some(address) {
                    log::info!("event=helper_found peer={address}");
                    *helper = Some(address.to_string());
                }
            }
        }
        answer
    }
}

impl JobPlatform for HelpedStore {
    fn append(
        &self,
        topic: Topic,
        records: Vec<KeyedRecord>,
        guard: Guard,
    ) -> BoxFuture<'_, Result<Offset, StoreError>> {
        async move {
            let request = store_calls::append_request(topic, &records, guard);
            match (request, self.helped_node()) {
                (Some(request), Some(node)) => {
                    self.append_helped(&node, request, topic, records, guard).await
                }
                _ => self.append_from_here(topic, records, guard).await,
            }
        }
        .boxed()
    }

    fn latest(&self, topic: Topic) -> BoxFuture<'_, Result<LatestRecords, StoreError>> {
        async move {
            match self.helped_node().filter(|_| topic != Topic::Lease) {
                Some(node) => self.latest_helped(&node, topic).await,
                None => self.latest_from_here(topic).await,
            }
        }
        .boxed()
    }

    /// The holder reads the lease itself, and so notices that the store serves it again.
    fn tail(&self, topic: Topic, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Tail, StoreError>> {
        async move {
            match self.helped_node().filter(|_| topic != Topic::Lease) {
                Some(node) => self.tail_helped(&node, topic, from, wait).await,
                None => self.tail_from_here(topic, from, wait).await,
            }
        }
        .boxed()
    }

    fn parse_operator_record(&self, rec: &KeyedRecord) -> Result<Option<OperatorRecord>, String> {
        self.direct.parse_operator_record(rec)
    }

    fn parse_worker_info(&self, rec: &KeyedRecord) -> Result<WorkerInfo, String> {
        self.direct.parse_worker_info(rec)
    }

    fn wave_status_record(&self, number: u64, complete: bool) -> KeyedRecord {
        self.direct.wave_status_record(number, complete)
    }

    fn poll_worker<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        acked_end: u64,
        lease_end: Option<WorkerClock>,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Listing, WorkerError>> {
        self.direct.poll_worker(worker, token, acked_end, lease_end, wait)
    }

    fn start_task<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        order: StartOrder,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        self.direct.start_task(worker, token, order)
    }

    fn stop_task<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        task: TaskId,
        attempt: u32,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        self.direct.stop_task(worker, token, task, attempt)
    }

    fn throttle_task<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: Term,
        task: TaskId,
        attempt: u32,
        percent: u32,
    ) -> BoxFuture<'a, Result<(), WorkerError>> {
        self.direct.throttle_task(worker, token, task, attempt, percent)
    }

    fn advise<'a>(
        &'a self,
        step: StepId,
        workers: &'a [WorkerId],
        timeout: Duration,
    ) -> BoxFuture<'a, AdviceReply> {
        self.direct.advise(step, workers, timeout)
    }

    fn list_hosts(&self) -> BoxFuture<'_, Result<Vec<Host>, StoreError>> {
        self.direct.list_hosts()
    }

    fn maintain_host(&self, holder: &str, token: Term, host: HostId, wave: u64) -> BoxFuture<'_, HostReply> {
        self.direct.maintain_host(holder, token, host, wave)
    }

    fn move_host(
        &self,
        holder: &str,
        token: Term,
        host: HostId,
        pool: ServiceId,
    ) -> BoxFuture<'_, HostReply> {
        self.direct.move_host(holder, token, host, pool)
    }
}
