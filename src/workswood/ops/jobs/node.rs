//! What the tasks of one process share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc, watch};
use workswood_core::ids::{Incarnation, Term, UnixMs};
use workswood_core::jobs::{Event, SchedConfig, Wave};
use workswood_liveness::{HalfOpenDetector, TimerLag};
use workswood_platform::jobs::JobPlatform;
use workswood_traffic::Traffic;

use super::inbox::{Inbox, Kept};
use super::operators::Operators;
use super::peers::Peers;
use super::relay::Grant;
use super::relay::session::SessionId;
use super::shown::ShownJobs;
use crate::util::clock::Clock;
use crate::util::job_metrics::JobMetrics;
use crate::util::job_settings::JobSettings;

/// In place of a time: the store is asked only now and then.
const NOT_ASKED: u64 = u64::MAX;

/// Who holds the scheduler lease, as last read.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Its incarnation.
    pub id: Incarnation,
    /// Its peer listener.
    pub peers: String,
    /// Its term.
    pub term: Term,
    /// Whether it gave the lease back.
    pub released: bool,
}

/// What other tasks see of the scheduler while this process runs it.
pub struct Leading {
    /// Term of the lease.
    pub term: Term,
    /// When the lease was seen to be ours.
    pub since: Duration,
    /// Events for the scheduler.
    pub tx: mpsc::UnboundedSender<Event>,
    /// What callers may be told.
    pub shown: RwLock<ShownJobs>,
    /// All that was in the inbox at this time is in `shown`; ms since the
    /// start, 0 before the first time.
    pub inbox_read: AtomicU64,
    /// Where the inbox holds what is known.
    pub kept: Mutex<Kept>,
    /// Until when workers' leases may be extended.
    pub grant: Grant,
    /// Turns true when the scheduler has to end.
    pub end: watch::Sender<bool>,
}

impl Leading {
    /// A scheduler that has just got its lease, and may extend workers' leases for
    /// some time before it renews it.
    pub fn new(
        term: Term,
        since: Duration,
        grace: Duration,
        tx: mpsc::UnboundedSender<Event>,
        end: watch::Sender<bool>,
    ) -> Leading {
        Leading {
            term,
            since,
            tx,
            shown: RwLock::default(),
            inbox_read: AtomicU64::new(0),
            kept: Mutex::default(),
            grant: Grant::until(since + grace),
            end,
        }
    }
}

/// What the tasks of one process share.
pub struct Node {
    /// Its settings.
    pub settings: JobSettings,
    /// The platform.
    pub platform: Arc<dyn JobPlatform>,
    /// This life of the process.
    pub id: Incarnation,
    /// What is in force.
    pub config: ArcSwapOption<SchedConfig>,
    /// The same as operators wrote it, for hosts that the store turns away. It holds keys:
    /// it is neither logged nor stored.
    pub config_text: ArcSwapOption<Bytes>,
    /// What operators have evacuated.
    pub operators: Operators,
    /// Maintenance waves that operators asked for.
    pub waves: Mutex<BTreeMap<u64, Wave>>,
    /// Who holds the lease.
    pub holder: ArcSwapOption<Holder>,
    /// The scheduler, while it runs here.
    pub leading: ArcSwapOption<Leading>,
    /// Other processes that run jobs.
    pub peers: Peers,
    /// Where callers' jobs and cancels wait to be stored.
    pub inbox: Inbox,
    /// What its tasks have found out of their connections.
    pub half_open: HalfOpenDetector,
    /// What goes over its link.
    pub traffic: Traffic,
    /// How late this process itself is.
    pub lag: TimerLag,
    /// The newest session of a lease holder that it serves as a relay.
    pub relay_session: watch::Sender<SessionId>,
    /// Its metrics.
    pub metrics: JobMetrics,
    /// Whether a planned stop has begun.
    pub stopping: watch::Sender<bool>,
    /// Turns true with the first configuration.
    configured: watch::Sender<bool>,
    clock: Clock,
    store_answered: AtomicU64,
    /// Since when the store is asked several times a second; [`NOT_ASKED`] while it is not.
    store_asked: AtomicU64,
    /// Wakes who follows the lease: its holder or the store may be gone.
    pub doubt: Notify,
    /// Term of the holder that is known.
    holder_term: watch::Sender<Term>,
}

impl Node {
    /// A process that has not read anything yet, on the clock of the runtime.
    pub fn new(settings: JobSettings, platform: Arc<dyn JobPlatform>) -> Node {
        Node::sharing(settings, platform, Clock::runtime(), HalfOpenDetector::default(), Traffic::default())
    }

    /// Likewise, on this clock; what the platform's client finds out of connections, and what
    /// goes over them, is shared.
    pub fn sharing(
        settings: JobSettings,
        platform: Arc<dyn JobPlatform>,
        clock: Clock,
        half_open: HalfOpenDetector,
        traffic: Traffic,
    ) -> Node {
        let operators = Operators::new(settings.long_poll_wait());
        Node {
            settings,
            platform,
            id: uuid::Uuid::new_v4().simple().to_string(),
            config: ArcSwapOption::empty(),
            config_text: ArcSwapOption::empty(),
            operators,
            waves: Mutex::default(),
            holder: ArcSwapOption::empty(),
            leading: ArcSwapOption::empty(),
            peers: Peers::sharing(half_open.clone(), traffic.clone()),
            inbox: Inbox::default(),
            half_open,
            traffic,
            lag: TimerLag::default(),
            relay_session: watch::Sender::new((0, 0)),
            metrics: JobMetrics::default(),
            stopping: watch::Sender::new(false),
            configured: watch::Sender::new(false),
            clock,
            store_answered: AtomicU64::new(0),
            store_asked: AtomicU64::new(0),
            doubt: Notify::new(),
            holder_term: watch::Sender::new(0),
        }
    }

    /// Time since the process started, suspensions of its host included.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Its clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// [`Node::now`] in milliseconds, for atomics.
    pub fn now_ms(&self) -> u64 {
        self.now().as_millis() as u64
    }

    /// The time of day.
    pub fn wall(&self) -> UnixMs {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }

    /// Puts a configuration in force.
    /// `text` is what operators wrote.
    pub fn configure(&self, cfg: Arc<SchedConfig>, text: Bytes) {
        self.config.store(Some(cfg));
        self.config_text.store(Some(Arc::new(text)));
        self.configured.send_replace(true);
    }

    /// Waits until a configuration is in force.
    pub async fn until_configured(&self) {
        let mut configured = self.configured.subscribe();
        // The sender lives as long as the process.
        let _ = configured.wait_for(|c| *c).await;
    }

    /// Notes that the store has answered.
    pub fn store_is_up(&self) {
        self.store_answered.store(self.now_ms(), Ordering::Relaxed);
    }

    /// How long the store has not answered that should have.
    pub fn store_silence(&self) -> Duration {
        let answered = self.store_answered.load(Ordering::Relaxed);
        let due = match self.store_asked.load(Ordering::Relaxed) {
            NOT_ASKED => answered + self.settings.long_poll_wait().as_millis() as u64,
            since => answered.max(since),
        };
        Duration::from_millis(self.now_ms().saturating_sub(due))
    }

    /// Notes whether the store is asked several times a second from now on.
    pub fn store_is_asked(&self, often: bool) {
        let was = self.store_asked.load(Ordering::Relaxed);
        match (often, was) {
            (true, NOT_ASKED) => self.store_asked.store(self.now_ms(), Ordering::Relaxed),
            (true, _) => {}
            (false, _) => self.store_asked.store(NOT_ASKED, Ordering::Relaxed),
        }
    }

    /// Notes who holds the lease.
    pub fn know_holder(&self, holder: Holder) {
        let term = holder.term;
        self.holder.store(Some(Arc::new(holder)));
        self.holder_term.send_replace(term);
    }

    /// The holder of a later term than this, which may have begun; waits for some time until that is read.
    pub async fn later_holder(&self, term: Term, within: Duration) -> Option<Arc<Holder>> {
        let mut terms = self.holder_term.subscribe();
        self.doubt.notify_one();
        let later = tokio::time::timeout(within, terms.wait_for(|t| *t > term)).await;
        later.ok()?.ok()?;
        self.holder.load_full()
    }

    /// All metrics as text, with the gauges as they stand now.
    pub fn metrics_text(&self) -> String {
        let m = &self.metrics;
        m.leading.set(i64::from(self.leading.load().is_some()));
        m.lease_term.set(self.holder.load().as_ref().map_or(0, |h| h.term as i64));
        m.config_version.set(self.config.load().as_ref().map_or(0, |c| c.version as i64));
        m.evacuated_data_centres.set(self.operators.evacuations().data_centres.len() as i64);
        m.half_open_connections.set(self.half_open.count() as i64);
        m.store_silence_ms.set(self.store_silence().as_millis() as i64);
        m.stalled_ms.set(self.lag.total().as_millis() as i64);
        m.set_traffic(&self.traffic);
        m.text()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Hands an event to the scheduler if it runs here.
    pub fn tell_scheduler(&self, ev: Event) {
        if let Some(l) = self.leading.load().as_ref() {
            // A scheduler that has just ended takes no more events.
            let _ = l.tx.send(ev);
        }
    }
}
