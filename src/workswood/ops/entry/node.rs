//! What the tasks of an entry process share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc, watch};
use workswood_core::fold::State;
use workswood_core::ids::{Incarnation, InstanceId, Offset, ServiceId, UnixMs};
use workswood_core::keyed::Claims;
use workswood_core::member::Members;
use workswood_core::route::RouteTable;
use workswood_endpoints::EndpointClient;
use workswood_liveness::HalfOpenDetector;
use workswood_peers::Link;
use workswood_platform::Platform;

use super::appender::{Job, Pending};
use super::lanes::Lane;
use crate::util::clock::Clock;
use crate::util::metrics::Metrics;
use crate::util::settings::{Settings, Tokens};

/// What a peer told of itself in its last beat.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Requests that it has open on instances of draining hosts.
    pub open: BTreeMap<InstanceId, u32>,
}

/// What the tasks of an entry process share.
pub struct Node {
    /// This life of the process.
    pub id: Incarnation,
    /// Its settings, with the ports that were bound.
    pub settings: Settings,
    /// Its tokens.
    pub tokens: Tokens,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// What has been found out of connections to the platform, peers and endpoints.
    pub half_open: HalfOpenDetector,
    /// Client of all endpoints.
    pub endpoints: EndpointClient,
    /// The folded state.
    pub state: RwLock<State>,
    /// The routing table of the state.
    pub table: ArcSwap<RouteTable>,
    /// Next offset to fold, as a signal.
    pub folded: watch::Sender<Offset>,
    /// Wakes the follower: the log has grown.
    pub grown: Notify,
    /// Wakes the borrower: requests wait.
    pub waits: Notify,
    /// Other processes.
    pub members: Mutex<Members>,
    /// What peers told, by address.
    pub peer_views: Mutex<BTreeMap<String, PeerView>>,
    /// Connections to peers, by address.
    pub links: Mutex<BTreeMap<String, Link>>,
    /// Dispatchers by service.
    pub lanes: RwLock<BTreeMap<ServiceId, Arc<Lane>>>,
    /// Envelopes on their way.
    pub pending: Mutex<BTreeMap<u64, Pending>>,
    /// Records to append.
    pub appends: mpsc::Sender<Job>,
    /// Keys that this process is about to claim.
    pub claims: Mutex<Claims>,
    /// The roster that this process has proposed as planner.
    pub proposed: Mutex<Vec<Incarnation>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether it has caught up.
    pub ready: AtomicBool,
    /// Whether the log answers.
    pub log_up: AtomicBool,
    /// Whether the balancer should send callers elsewhere.
    pub leaving: AtomicBool,
    /// Whether all callers' work is done; peers may take its slots.
    pub stopping: AtomicBool,
    /// Callers' requests in progress.
    pub in_progress: AtomicU64,
    clock: Clock,
    tickets: AtomicU64,
}

/// Random digits of an incarnation: enough that no two lives of one name
/// share them, and few bytes in each beat.
const DIGITS: usize = 12;

fn incarnation(name: &str) -> Incarnation {
    let random = uuid::Uuid::new_v4().simple().to_string();
    format!("{name}-{}", &random[..DIGITS])
}

impl Node {
    /// A process that has read nothing yet, and the queue of its appender. `half_open` is
    /// what its client of the platform shares.
    pub fn new(
        settings: Settings,
        tokens: Tokens,
        platform: Arc<dyn Platform>,
        half_open: HalfOpenDetector,
    ) -> (Arc<Node>, mpsc::Receiver<Job>) {
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
            folded: watch::channel(0).0,
            grown: Notify::new(),
            waits: Notify::new(),
            members: Mutex::default(),
            peer_views: Mutex::default(),
            links: Mutex::default(),
            lanes: RwLock::default(),
            pending: Mutex::default(),
            appends: tx,
            claims: Mutex::default(),
            proposed: Mutex::default(),
            metrics: Metrics::default(),
            ready: AtomicBool::new(false),
            log_up: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            in_progress: AtomicU64::new(0),
            clock: Clock::of_host(),
            tickets: AtomicU64::new(1),
        };
        (Arc::new(node), rx)
    }

    /// Time since the start of the process, suspensions of its host included.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The clock of the process.
    pub fn wall(&self) -> UnixMs {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as UnixMs
    }

    /// A number for a request.
    pub fn ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Address that peers know it by.
    pub fn address(&self) -> String {
        self.settings.peers.to_string()
    }

    /// Reads a flag.
    pub fn is(&self, flag: &AtomicBool) -> bool {
        flag.load(Ordering::Acquire)
    }

    /// Processes that may hold slots or claims, besides this one.
    pub fn roster_peers(&self) -> Vec<Incarnation> {
        let state = self.state.read();
        state.roster.iter().map(|m| m.id.clone()).filter(|id| *id != self.id).collect()
    }

    /// The link to a process, if there is one.
    pub fn link_to(&self, id: &str) -> Option<Link> {
        let address =
            self.members.lock().present().find(|m| m.beat.id == id).map(|m| m.beat.address.clone())?;
        self.links.lock().get(&address).cloned()
    }

    /// Drops everything that could act after the tasks are gone.
    pub fn kill(&self) {
        self.links.lock().clear();
        self.pending.lock().clear();
    }
}
