//! State shared by the tasks of an entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc, watch};
use workswood_core::fold::State;
use workswood_core::idempotency::LocalClaims;
use workswood_core::ids::{Incarnation, InstanceId, Offset, ServiceId, UnixMs};
use workswood_core::membership::Members;
use workswood_core::route::RouteTable;
use workswood_endpoints::EndpointClient;
use workswood_liveness::HalfOpenDetector;
use workswood_peers::Link;
use workswood_platform::Platform;

use super::dispatch::SharedDispatcher;
use super::log_appender::{AppendRequest, PendingEnvelope};
use crate::util::clock::Clock;
use crate::util::metrics::Metrics;
use crate::util::settings::{Settings, Tokens};

/// What a peer reported in its last heartbeat.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// Number of requests that the peer has in flight to each instance on a host out of service.
    pub in_flight: BTreeMap<InstanceId, u32>,
}

/// State shared by the tasks of an entry.
pub struct Node {
    /// Identity of this process; it changes with each restart.
    pub id: Incarnation,
    /// Settings, with the ports that were bound.
    pub settings: Settings,
    /// Tokens that authenticate peers and operators.
    pub tokens: Tokens,
    /// Client of the platform.
    pub platform: Arc<dyn Platform>,
    /// Detector of half-open connections, shared by the clients of the platform, peers and endpoints.
    pub half_open: HalfOpenDetector,
    /// Client of all endpoints.
    pub endpoints: EndpointClient,
    /// State folded from the log.
    pub state: RwLock<State>,
    /// Routing table built from the state.
    pub table: ArcSwap<RouteTable>,
    /// Next offset of the log to fold; changes after each batch of records was folded.
    pub next_offset: watch::Sender<Offset>,
    /// Wakes the log reader when the log has grown.
    pub log_grown: Notify,
    /// Wakes the task that borrows slots from peers when requests wait.
    pub slots_wanted: Notify,
    /// Entries known from heartbeats.
    pub members: Mutex<Members>,
    /// Last reports of peers, by address.
    pub peer_reports: Mutex<BTreeMap<String, PeerReport>>,
    /// Connections to peers, by address.
    pub links: Mutex<BTreeMap<String, Link>>,
    /// Dispatchers by service.
    pub dispatchers: RwLock<BTreeMap<ServiceId, Arc<SharedDispatcher>>>,
    /// Own envelopes that were not folded yet, by sequence number.
    pub pending_envelopes: Mutex<BTreeMap<u64, PendingEnvelope>>,
    /// Queue of the log appender.
    pub append_queue: mpsc::Sender<AppendRequest>,
    /// Keys that this process is claiming, and keys that it must not claim for a while.
    pub claims: Mutex<LocalClaims>,
    /// The roster that this process proposed last as the planner.
    pub proposed_roster: Mutex<Vec<Incarnation>>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Whether the process has caught up with the log, or took the state of a peer while the log was down.
    pub ready: AtomicBool,
    /// Whether the log can be read.
    pub log_up: AtomicBool,
    /// Whether a shutdown has begun, so that the readiness check fails.
    pub shutting_down: AtomicBool,
    /// Whether all requests of callers have ended during a shutdown, so that peers may take its slots.
    pub callers_done: AtomicBool,
    /// Number of callers' requests in progress.
    pub in_progress: AtomicU64,
    clock: Clock,
    next_request_id: AtomicU64,
}

/// Number of random digits of an incarnation, which tell restarts of one process apart.
const RANDOM_DIGITS: usize = 12;

fn incarnation(name: &str) -> Incarnation {
    let random = uuid::Uuid::new_v4().simple().to_string();
    format!("{name}-{}", &random[..RANDOM_DIGITS])
}

impl Node {
    /// Creates the state of a process that has read nothing yet, and the queue of its log appender.
    /// `half_open` must be the detector that `platform` uses.
    pub fn new(
        settings: Settings,
        tokens: Tokens,
        platform: Arc<dyn Platform>,
        half_open: HalfOpenDetector,
    ) -> (Arc<Node>, mpsc::Receiver<AppendRequest>) {
        let (tx, rx) = mpsc::channel(8 * 1024);
        let node = Node {
            id: incarnation(&settings.name),
            settings,
            tokens,
            platform,
            endpoints: EndpointClient::new(half_open.clone()),
            half_open,
            state: RwLock::default(),
            table: ArcSwap::default(),
            next_offset: watch::channel(0).0,
            log_grown: Notify::new(),
            slots_wanted: Notify::new(),
            members: Mutex::default(),
            peer_reports: Mutex::default(),
            links: Mutex::default(),
            dispatchers: RwLock::default(),
            pending_envelopes: Mutex::default(),
            append_queue: tx,
            claims: Mutex::default(),
            proposed_roster: Mutex::default(),
            metrics: Metrics::default(),
            ready: AtomicBool::new(false),
            log_up: AtomicBool::new(false),
            shutting_down: AtomicBool::new(false),
            callers_done: AtomicBool::new(false),
            in_progress: AtomicU64::new(0),
            clock: Clock::since_boot(),
            next_request_id: AtomicU64::new(1),
        };
        (Arc::new(node), rx)
    }

    /// Time since the start of the process, including time for which its host was suspended.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Wall-clock time.
    pub fn wall(&self) -> UnixMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since_epoch.as_millis() as UnixMs
    }

    /// Returns a new number for an attempt to get a slot, unique in this process.
    pub fn next_request_id(&self) -> u64 {
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Address of the listener for peers, by which they know this process.
    pub fn peer_address(&self) -> String {
        self.settings.peers.to_string()
    }

    /// Reads a flag of this node.
    pub fn is_set(&self, flag: &AtomicBool) -> bool {
        flag.load(Ordering::Acquire)
    }

    /// Other processes on the roster, which may hold slots or claims.
    pub fn roster_peers(&self) -> Vec<Incarnation> {
        let state = self.state.read();
        state.roster.iter().map(|m| m.id.clone()).filter(|id| *id != self.id).collect()
    }

    /// Link to the process with an id, if one is open.
    pub fn link_to(&self, id: &str) -> Option<Link> {
        let address = self
            .members
            .lock()
            .present()
            .find(|m| m.heartbeat.id == id)
            .map(|m| m.heartbeat.address.clone())?;
        self.links.lock().get(&address).cloned()
    }

    /// Closes all links and drops pending appends, which would outlive the aborted tasks.
    pub fn close(&self) {
        self.links.lock().clear();
        self.pending_envelopes.lock().clear();
    }
}
