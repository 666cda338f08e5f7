//! State that the tasks of one process share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc, watch};
use workswood_callers::ConnectionTable;
use workswood_core::ids::{Incarnation, Term, UnixMs};
use workswood_core::jobs::bridges::Routes;
use workswood_core::jobs::{Admission, Event, SchedConfig, Wave};
use workswood_liveness::{HalfOpenDetector, TimerLag};
use workswood_platform::jobs::JobPlatform;
use workswood_traffic::Traffic;

use super::admission_control::HolderPause;
use super::inbox::{InboxIndex, InboxWriter};
use super::job_status_table::JobStatusTable;
use super::lease_renewal::EXTENSION_GRACE;
use super::number_check::NumberCheck;
use super::operator_state::OperatorState;
use super::peers::Peers;
use super::relay::Grant;
use super::relay::session::SessionId;
use super::relay_grants::RelayGrants;
use crate::util::clock::Clock;
use crate::util::job_metrics::JobMetrics;
use crate::util::job_settings::JobSettings;

/// Value of `store_polled_since_ms` while the store is not polled continuously.
const NOT_POLLED: u64 = u64::MAX;
/// Grants end at full milliseconds.
const GRANT_ROUNDING: Duration = Duration::from_millis(1);

/// Who holds the scheduler lease, as last read.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Its incarnation.
    pub id: Incarnation,
    /// Address where it listens for peers.
    pub peer_address: String,
    /// Its term.
    pub term: Term,
    /// Whether it released the lease.
    pub released: bool,
    /// Whether it tells jobs of several queues under one number apart.
    pub knows_queues: bool,
}

/// Whether the lease is renewed once more and then no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastRenewal {
    /// It is renewed until the scheduler ends.
    NotAsked,
    /// It is to be renewed at once, and then no longer.
    Asked,
    /// The store has answered the last renewal, so none is under way.
    Written {
        /// Number of the term's next append to the lease.
        next_append: u64,
    },
}

/// Whether the bounds of workers' leases are on record as they are at the stop of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastBounds {
    /// The scheduler runs and has not recorded them since it was told of the stop.
    Due,
    /// They are in the batch that is being written.
    Writing,
    /// They are stored, or there are none.
    Recorded,
}

/// What other tasks use of the scheduler while this process runs it.
pub struct SchedulerHandle {
    /// Term of the lease.
    pub term: Term,
    /// When this process saw that it holds the lease, on its own clock.
    pub held_since: Duration,
    /// Events for the scheduler.
    pub tx: mpsc::UnboundedSender<Event>,
    /// Statuses of jobs, as callers may see them.
    pub job_statuses: RwLock<JobStatusTable>,
    /// `job_statuses` reflects everything that was in the inbox at this time, in milliseconds
    /// since the process started; 0 before the inbox was first read.
    pub inbox_read_ms: AtomicU64,
    /// Which partitions of the inbox hold which keys.
    pub inbox_keys: Mutex<InboxIndex>,
    /// Until when this process may extend workers' leases and send orders to hosts.
    pub grant: Grant,
    /// Until when relays in other processes may give workers full leases.
    pub relay_grants: RelayGrants,
    /// Until when holders of earlier terms may extend workers' leases, once that is certain.
    pub earlier_grants_end: watch::Sender<Option<Duration>>,
    /// Decides which submitted jobs are admitted.
    pub admission: Mutex<Admission>,
    /// Set to true to stop the scheduler.
    pub stop: watch::Sender<bool>,
    /// When the first renewal of the term was acknowledged.
    pub first_renewed_at: OnceLock<Duration>,
    /// Number of times that the lease was renewed.
    pub renewals: watch::Sender<u64>,
    /// Asks for the last renewal, and tells when it is written.
    pub last_renewal: watch::Sender<LastRenewal>,
    /// Whether the bounds of workers' leases are recorded that are wanted with the last renewal.
    pub last_bounds: watch::Sender<LastBounds>,
}

impl SchedulerHandle {
    /// Returns the handle of a scheduler whose term has just begun. It may extend workers' leases
    /// for `extension_grace` before it first renews its own.
    pub fn new(
        term: Term,
        held_since: Duration,
        extension_grace: Duration,
        tx: mpsc::UnboundedSender<Event>,
        stop: watch::Sender<bool>,
    ) -> SchedulerHandle {
        SchedulerHandle {
            term,
            held_since,
            tx,
            job_statuses: RwLock::default(),
            inbox_read_ms: AtomicU64::new(0),
            inbox_keys: Mutex::default(),
            grant: Grant::until(held_since + extension_grace),
            relay_grants: RelayGrants::default(),
            earlier_grants_end: watch::Sender::new(None),
            admission: Mutex::default(),
            stop,
            renewals: watch::Sender::new(0),
            first_renewed_at: OnceLock::new(),
            last_renewal: watch::Sender::new(LastRenewal::NotAsked),
            last_bounds: watch::Sender::new(LastBounds::Recorded),
        }
    }

    /// Sets until when holders of earlier terms may extend workers' leases, once that is certain.
    pub(super) fn set_earlier_grants_end(&self, end: Option<Duration>) {
        self.earlier_grants_end.send_if_modified(|known| {
            let is_new = known.is_none() && end.is_some();
            *known = known.or(end);
            is_new
        });
    }

    /// Until when holders of earlier terms may give workers full leases; `None` if that is not certain.
    fn earlier_grants_end(&self) -> Option<Duration> {
        // The store takes no renewal of an earlier term after the first one of this term.
        let fenced = || self.first_renewed_at.get().map(|at| *at + EXTENSION_GRACE);
        (*self.earlier_grants_end.borrow()).or_else(fenced)
    }

    /// How long holders of earlier terms may still give workers full leases; `None` if that is not certain.
    pub(super) fn earlier_grants_left(&self, now: Duration) -> Option<Duration> {
        self.earlier_grants_end().map(|end| end.saturating_sub(now))
    }

    /// How long anybody may still give workers full leases, under this term or an earlier one, after the
    /// scheduler of this term has ended.
    /// `None` if that is not certain.
    pub(super) fn extensions_left(&self, now: Duration) -> Option<Duration> {
        let earlier = self.earlier_grants_end()?;
        let left = self.relay_grants.latest().max(earlier).saturating_sub(now);
        Some(if left.is_zero() { left } else { left + GRANT_ROUNDING })
    }
}

/// State that the tasks of one process share.
pub struct Node {
    /// Settings of the process.
    pub settings: JobSettings,
    /// Client of the platform.
    pub platform: Arc<dyn JobPlatform>,
    /// This incarnation of the process.
    pub id: Incarnation,
    /// The configuration in force.
    pub config: ArcSwapOption<SchedConfig>,
    /// The configuration as operators wrote it, for peers that can't read from the store. It
    /// contains API keys, so it must not be logged or stored.
    pub config_text: ArcSwapOption<Bytes>,
    /// Evacuations and the age of what is known of the operators' records.
    pub operator_state: OperatorState,
    /// Maintenance waves that operators requested, by number.
    pub waves: Mutex<BTreeMap<u64, Wave>>,
    /// The holder of the scheduler lease.
    pub holder: ArcSwapOption<Holder>,
    /// The scheduler, while it runs in this process.
    pub scheduler: ArcSwapOption<SchedulerHandle>,
    /// The processes of other entries.
    pub peers: Peers,
    /// Through which entries those of data centres that are cut off are reached.
    pub routes: Mutex<Routes>,
    /// Connections of callers.
    pub caller_connections: Arc<ConnectionTable>,
    /// Submitted jobs and cancellations that wait to be stored.
    pub inbox_writer: InboxWriter,
    /// When the lease holder may be asked again whether a job is admitted.
    pub admission_pause: HolderPause,
    /// Which numbers of jobs are known to be taken.
    pub numbers: NumberCheck,
    /// Detects half-open connections.
    pub half_open: HalfOpenDetector,
    /// Counts the traffic over the entry's link.
    pub traffic: Traffic,
    /// Measures how late timers of this process fire.
    pub timer_lag: TimerLag,
    /// The newest session of a lease holder that this process serves as a relay.
    pub relay_session: watch::Sender<SessionId>,
    /// Metrics of the process.
    pub metrics: JobMetrics,
    /// Whether a graceful shutdown has begun.
    pub stopping: watch::Sender<bool>,
    /// Set to true by the first configuration.
    configured: watch::Sender<bool>,
    clock: Clock,
    /// Network stack in which this process has bound its address for peers until it ends.
    bound_in: OnceLock<String>,
    /// Until when lease holders in other processes may give full leases, as far as records tell that were read, in
    /// milliseconds since the process started.
    others_full_leases_ms: AtomicU64,
    /// When the store last answered, in milliseconds since the process started.
    store_answered_ms: AtomicU64,
    /// Since when the store is polled continuously, in milliseconds since the process started;
    /// [`NOT_POLLED`] while it is not.
    store_polled_since_ms: AtomicU64,
    /// Requests a check of the lease, when its holder or the store may be gone.
    pub check_lease: Notify,
    /// Term of `holder`.
    holder_term: watch::Sender<Term>,
}

impl Node {
    /// Returns the state of a process that has read nothing yet, with the clock of the runtime.
    pub fn new(settings: JobSettings, platform: Arc<dyn JobPlatform>) -> Node {
        Node::with_shared(
            settings,
            platform,
            Clock::runtime(),
            HalfOpenDetector::default(),
            Traffic::default(),
        )
    }

    /// Returns the state of a process that has read nothing yet, with this clock. `half_open` and
    /// `traffic` are those of the platform's client.
    pub fn with_shared(
        settings: JobSettings,
        platform: Arc<dyn JobPlatform>,
        clock: Clock,
        half_open: HalfOpenDetector,
        traffic: Traffic,
    ) -> Node {
        let operator_state = OperatorState::new(settings.long_poll_wait());
        let caller_limits = settings.caller_limits();
        Node {
            settings,
            platform,
            id: uuid::Uuid::new_v4().simple().to_string(),
            config: ArcSwapOption::empty(),
            config_text: ArcSwapOption::empty(),
            operator_state,
            waves: Mutex::default(),
            holder: ArcSwapOption::empty(),
            scheduler: ArcSwapOption::empty(),
            peers: Peers::sharing(half_open.clone(), traffic.clone()),
            routes: Mutex::default(),
            caller_connections: ConnectionTable::new(caller_limits),
            inbox_writer: InboxWriter::default(),
            admission_pause: HolderPause::default(),
            numbers: NumberCheck::default(),
            half_open,
            traffic,
            timer_lag: TimerLag::default(),
            relay_session: watch::Sender::new((0, 0)),
            metrics: JobMetrics::default(),
            stopping: watch::Sender::new(false),
            configured: watch::Sender::new(false),
            clock,
            bound_in: OnceLock::new(),
            others_full_leases_ms: AtomicU64::new(0),
            store_answered_ms: AtomicU64::new(0),
            store_polled_since_ms: AtomicU64::new(0),
            check_lease: Notify::new(),
            holder_term: watch::Sender::new(0),
        }
    }

    /// Time since the process started, including time for which its entry was suspended.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The clock of the process.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Notes in which network stack this process has bound its address for peers until it ends.
    pub fn note_bound_in(&self, network: String) {
        let _ = self.bound_in.set(network);
    }

    /// Network stack in which this process has bound its address for peers until it ends, if that is certain.
    pub(super) fn bound_in(&self) -> Option<&String> {
        self.bound_in.get()
    }

    /// [`Node::now`] in milliseconds, for atomics.
    pub fn now_ms(&self) -> u64 {
        self.now().as_millis() as u64
    }

    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub fn wall(&self) -> UnixMs {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }

    /// Puts a configuration in force; `text` is the configuration as operators wrote it.
    pub fn configure(&self, cfg: Arc<SchedConfig>, text: Bytes) {
        self.config.store(Some(cfg));
        self.config_text.store(Some(Arc::new(text)));
        self.configured.send_replace(true);
    }

    /// Waits until a configuration is in force.
    pub async fn wait_until_configured(&self) {
        let mut configured = self.configured.subscribe();
        // The sender lives as long as the process.
        let _ = configured.wait_for(|c| *c).await;
    }

    /// Notes that a lease holder in another process may give full leases for this long from now.
    pub(super) fn note_full_leases_of_other(&self, left: Duration) {
        let until = self.now() + left;
        self.others_full_leases_ms.fetch_max(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// For how long lease holders in other processes may still give full leases.
    pub(super) fn others_full_leases_left(&self) -> Duration {
        let until = Duration::from_millis(self.others_full_leases_ms.load(Ordering::Relaxed));
        until.saturating_sub(self.now())
    }

    /// Notes that the store has answered.
    pub fn note_store_answer(&self) {
        self.store_answered_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// When the store last answered.
    pub fn store_answered_at(&self) -> Duration {
        Duration::from_millis(self.store_answered_ms.load(Ordering::Relaxed))
    }

    /// How long the store has been silent: the time since its last answer or since polling began. While
    /// the store is not polled, an answer counts as due one long poll after the last one.
    pub fn store_silence(&self) -> Duration {
        let answered = self.store_answered_ms.load(Ordering::Relaxed);
        let due = match self.store_polled_since_ms.load(Ordering::Relaxed) {
            NOT_POLLED => answered + self.settings.long_poll_wait().as_millis() as u64,
            since => answered.max(since),
        };
        Duration::from_millis(self.now_ms().saturating_sub(due))
    }

    /// Notes whether the store is polled continuously from now on.
    pub fn set_store_polled(&self, polled: bool) {
        let since = self.store_polled_since_ms.load(Ordering::Relaxed);
        match (polled, since) {
            (true, NOT_POLLED) => self.store_polled_since_ms.store(self.now_ms(), Ordering::Relaxed),
            (true, _) => {}
            (false, _) => self.store_polled_since_ms.store(NOT_POLLED, Ordering::Relaxed),
        }
    }

    /// Sets the known holder of the lease, unless that of a later term is known: peers may tell of a holder before
    /// this process reads of it, and its own reads may be late.
    pub fn set_holder(&self, holder: Holder) {
        self.holder_term.send_if_modified(|known| {
            if holder.term < *known {
                return false;
            }
            let is_later = *known < holder.term;
            *known = holder.term;
            self.holder.store(Some(Arc::new(holder)));
            is_later
        });
    }

    /// Requests a check of the lease and waits until a holder of a later term than `term` is known;
    /// `None` after the timeout.
    pub async fn wait_for_later_holder(&self, term: Term, timeout: Duration) -> Option<Arc<Holder>> {
        let mut terms = self.holder_term.subscribe();
        self.check_lease.notify_one();
        let later = tokio::time::timeout(timeout, terms.wait_for(|t| *t > term)).await;
        later.ok()?.ok()?;
        self.holder.load_full()
    }

    /// Updates the gauges and returns all metrics as text.
    pub fn metrics_text(&self) -> String {
        let m = &self.metrics;
        m.leading.set(i64::from(self.scheduler.load().is_some()));
        m.lease_term.set(self.holder.load().as_ref().map_or(0, |h| h.term as i64));
        m.config_version.set(self.config.load().as_ref().map_or(0, |c| c.version as i64));
        m.evacuated_data_centres.set(self.operator_state.evacuations().data_centres.len() as i64);
        m.bridged_data_centres.set(self.routes.lock().bridged_count() as i64);
        m.half_open_connections.set(self.half_open.count() as i64);
        m.store_silence_ms.set(self.store_silence().as_millis() as i64);
        m.stalled_ms.set(self.timer_lag.total().as_millis() as i64);
        m.set_callers(&self.caller_connections);
        m.set_traffic(&self.traffic);
        m.text()
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Sends an event to the scheduler if it runs in this process.
    pub fn send_to_scheduler(&self, ev: Event) {
        if let Some(handle) = self.scheduler.load().as_ref() {
            // Sending fails if the scheduler has just stopped.
            let _ = handle.tx.send(ev);
        }
    }
}
