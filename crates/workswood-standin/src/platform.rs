//! The simulated platform: a log with retention, a delayed host list, and host actions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::task::JoinHandle;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Reply};
use workswood_core::fleet::FleetFile;
use workswood_core::plan::{HostAction, HostState, ObservedFleet};
use workswood_platform::{LogRecord, ReadReply};

use crate::endpoint::{EndpointStandin, Ledger};
use crate::hosts::{HostSim, TaskSim, hosts_of};

const SLOTS_PER_ENDPOINT: u32 = 8;
const MAX_RECORD_BYTES: u64 = 4 * 1024 * 1024;

/// Faults to inject; they can be changed at any time with [`PlatformStandin::faults`].
#[derive(Clone, Debug)]
pub struct Faults {
    /// The log answers 503 and appends nothing.
    pub log_down: bool,
    /// Number of next appends that take effect but are answered with 503.
    pub lose_appends: u32,
    /// Number of next appends that take effect twice.
    pub double_appends: u32,
    /// Duration of each append.
    pub append_delay: Duration,
    /// Number of records that the log keeps.
    pub retention: usize,
    /// Age of the host list that readers get.
    pub list_lag: Duration,
    /// Number of next host actions that take effect but are answered with 503.
    pub lose_acts: u32,
    /// Number of next host actions that are answered with 503 and have no effect.
    pub refuse_acts: u32,
    /// Duration of a reboot.
    pub reboot: Duration,
    /// Hosts whose reboots do not finish while they are named here.
    pub stuck: Vec<String>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            log_down: false,
            lose_appends: 0,
            double_appends: 0,
            append_delay: Duration::from_millis(2),
            retention: 100_000,
            list_lag: Duration::from_millis(100),
            lose_acts: 0,
            refuse_acts: 0,
            reboot: Duration::from_millis(500),
            stuck: Vec::new(),
        }
    }
}

/// Counts of what the platform has done.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Records appended to the log.
    pub appends: u64,
    /// Reads of the log.
    pub reads: u64,
    /// Host actions carried out.
    pub acts: u64,
    /// Host actions refused because of a stale fencing token or boot identifier.
    pub fenced: u64,
    /// Reboots carried out.
    pub reboots: u64,
}

struct Inner {
    log: VecDeque<LogRecord>,
    head: u64,
    hosts: BTreeMap<String, HostSim>,
    snapshots: VecDeque<(tokio::time::Instant, ObservedFleet)>,
    entries: Vec<String>,
    task_tokens: BTreeMap<String, u64>,
    faults: Faults,
    counters: Counters,
}

/// A running simulated platform; stops when dropped.
pub struct PlatformStandin {
    /// IP address and port.
    pub address: String,
    /// Request counts of its endpoints.
    pub ledger: Arc<Ledger>,
    inner: Arc<Mutex<Inner>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl PlatformStandin {
    /// Starts a platform on a loopback port with the hosts that `files` declare.
    pub async fn start(files: &[FleetFile]) -> std::io::Result<PlatformStandin> {
        let ledger = Arc::new(Ledger::default());
        let inner = Arc::new(Mutex::new(Inner {
            log: VecDeque::new(),
            head: 0,
            hosts: hosts_of(files),
            snapshots: VecDeque::new(),
            entries: Vec::new(),
            task_tokens: BTreeMap::new(),
            faults: Faults::default(),
            counters: Counters::default(),
        }));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let routes = routes(inner.clone(), ledger.clone());
        let server = tokio::spawn(warp::serve(routes).incoming(listener).run());
        let snapshots = tokio::spawn(take_snapshots(inner.clone()));
        Ok(PlatformStandin { address, ledger, inner, tasks: vec![server, snapshots] })
    }

    /// Changes the injected faults.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.inner.lock().faults);
    }

    /// Returns the counters so far.
    pub fn counters(&self) -> Counters {
        self.inner.lock().counters.clone()
    }

    /// Sets the entry processes that the host list shows.
    pub fn set_entries(&self, entries: Vec<String>) {
        self.inner.lock().entries = entries;
    }

    /// Changes a host directly, as a failure or another operator's tool would.
    pub fn change_host(&self, host: &str, change: impl FnOnce(&mut HostSim)) {
        if let Some(h) = self.inner.lock().hosts.get_mut(host) {
            change(h);
        }
    }

    /// Takes a host down together with all its tasks.
    pub fn fail_host(&self, host: &str) {
        self.change_host(host, |h| {
            h.observed.state = HostState::Down;
            h.tasks.values_mut().for_each(|t| t.endpoint = None);
        });
    }

    /// Brings a failed host and its tasks up again. Does nothing while the host is
    /// rebooting.
    pub async fn recover_host(&self, host: &str) {
        let failed = self
            .inner
            .lock()
            .hosts
            .get(host)
            .is_some_and(|h| h.observed.state == HostState::Down && !h.rebooting);
        if failed {
            bring_up(&self.inner, host, &self.ledger).await;
        }
    }

    /// Returns the names of all hosts.
    pub fn hosts(&self) -> Vec<String> {
        self.inner.lock().hosts.keys().cloned().collect()
    }

    /// Returns the current state of the fleet, without [`Faults::list_lag`].
    pub fn current_fleet(&self) -> ObservedFleet {
        self.inner.lock().observe()
    }

    /// Returns the endpoint of an instance, if it is running.
    pub fn endpoint(&self, instance: &str) -> Option<Arc<EndpointStandin>> {
        let inner = self.inner.lock();
        let mut tasks = inner.hosts.values().filter_map(|h| h.tasks.get(instance));
        tasks.find_map(|t| t.endpoint.clone())
    }

    /// Returns a copy of the records that the log keeps.
    pub fn log(&self) -> Vec<LogRecord> {
        self.inner.lock().log.iter().cloned().collect()
    }
}

impl Inner {
    fn observe(&self) -> ObservedFleet {
        let hosts = self.hosts.iter().map(|(id, h)| (id.clone(), h.list())).collect();
        ObservedFleet { hosts, entries: self.entries.clone() }
    }

    fn push(&mut self, body: String) -> u64 {
        let offset = self.head;
        self.head += 1;
        self.counters.appends += 1;
        self.log.push_back(LogRecord { offset, body });
        while self.log.len() > self.faults.retention {
            self.log.pop_front();
        }
        offset
    }
}

/// Takes snapshots of the fleet and keeps those needed to serve a list of age
/// [`Faults::list_lag`].
async fn take_snapshots(inner: Arc<Mutex<Inner>>) {
    loop {
        let lag = {
            let mut inner = inner.lock();
            let snapshot = inner.observe();
            let lag = inner.faults.list_lag;
            let now = tokio::time::Instant::now();
            inner.snapshots.push_back((now, snapshot));
            while inner.snapshots.len() > 1 && now - inner.snapshots[1].0 >= lag {
                inner.snapshots.pop_front();
            }
            lag
        };
        tokio::time::sleep((lag / 4).max(Duration::from_millis(10))).await;
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
}

fn json<T: serde::Serialize>(value: &T) -> Response {
    warp::reply::json(value).into_response()
}

fn error(status: StatusCode, text: &'static str) -> Response {
    warp::reply::with_status(text, status).into_response()
}

fn routes(
    inner: Arc<Mutex<Inner>>,
    ledger: Arc<Ledger>,
) -> impl Filter<Extract = impl Reply, Error = warp::Rejection> + Clone {
    let with_inner = {
        let inner = inner.clone();
        warp::any().map(move || inner.clone())
    };
    let append = warp::post()
        .and(warp::path!("log"))
        .and(warp::body::content_length_limit(MAX_RECORD_BYTES))
        .and(warp::body::bytes())
        .and(with_inner.clone())
        .then(append);
    let read = warp::get().and(warp::path!("log")).and(warp::query()).and(with_inner.clone()).map(read);
    let hosts =
        warp::get().and(warp::path!("hosts")).and(with_inner.clone()).map(|inner: Arc<Mutex<Inner>>| {
            let inner = inner.lock();
            let oldest = inner.snapshots.front().map(|(_, s)| s.clone());
            json(&oldest.unwrap_or_default())
        });
    let actions = warp::post().and(warp::path!("acts")).and(warp::body::json()).and(with_inner).then(
        move |action, inner| {
            let ledger = ledger.clone();
            async move { handle_action(action, inner, ledger).await }
        },
    );
    append.or(read).unify().or(hosts).unify().or(actions).unify()
}

async fn append(body: Bytes, inner: Arc<Mutex<Inner>>) -> Response {
    let delay = {
        let inner = inner.lock();
        if inner.faults.log_down {
            return error(StatusCode::SERVICE_UNAVAILABLE, "log is unavailable");
        }
        inner.faults.append_delay
    };
    tokio::time::sleep(delay).await;
    let mut inner = inner.lock();
    let text = String::from_utf8_lossy(&body).into_owned();
    let offset = inner.push(text.clone());
    if inner.faults.double_appends > 0 {
        inner.faults.double_appends -= 1;
        inner.push(text);
    }
    if inner.faults.lose_appends > 0 {
        inner.faults.lose_appends -= 1;
        return error(StatusCode::SERVICE_UNAVAILABLE, "injected fault: response lost");
    }
    json(&serde_json::json!({ "offset": offset }))
}

fn read(query: ReadQuery, inner: Arc<Mutex<Inner>>) -> Response {
    let mut inner = inner.lock();
    if inner.faults.log_down {
        return error(StatusCode::SERVICE_UNAVAILABLE, "log is unavailable");
    }
    inner.counters.reads += 1;
    let first = inner.log.front().map_or(inner.head, |r| r.offset);
    let skip = query.from.saturating_sub(first) as usize;
    let records = inner.log.iter().skip(skip).take(query.max).cloned().collect();
    json(&ReadReply { first, head: inner.head, records })
}

async fn handle_action(action: HostAction, inner: Arc<Mutex<Inner>>, ledger: Arc<Ledger>) -> Response {
    {
        let mut inner = inner.lock();
        if inner.faults.refuse_acts > 0 {
            inner.faults.refuse_acts -= 1;
            return error(StatusCode::SERVICE_UNAVAILABLE, "injected fault: action refused");
        }
    }
    let done = carry_out(&action, &inner, &ledger).await;
    let mut inner = inner.lock();
    if !done {
        inner.counters.fenced += 1;
        return error(StatusCode::CONFLICT, "stale fencing token or boot identifier");
    }
    inner.counters.acts += 1;
    if inner.faults.lose_acts > 0 {
        inner.faults.lose_acts -= 1;
        return error(StatusCode::SERVICE_UNAVAILABLE, "injected fault: response lost");
    }
    json(&serde_json::json!({}))
}

/// Carries a host action out; returns false if its fencing token or boot identifier is stale.
async fn carry_out(action: &HostAction, inner: &Arc<Mutex<Inner>>, ledger: &Arc<Ledger>) -> bool {
    match action {
        HostAction::SetPool { host, pool, token } => {
            change_fenced(inner, host, *token, |h| h.observed.pool = Some(pool.clone()))
        }
        HostAction::Drain { host, token } => {
            change_fenced(inner, host, *token, |h| h.observed.draining = true)
        }
        HostAction::Undrain { host, token } => {
            change_fenced(inner, host, *token, |h| h.observed.draining = false)
        }
        HostAction::Reboot { host, boot, token } => reboot(inner, host, boot, *token, ledger),
        HostAction::Start { host, task, token } => start(inner, host, task, *token, ledger).await,
        HostAction::Stop { host, task, token } => stop(inner, host, task, *token),
    }
}

fn change_fenced(inner: &Mutex<Inner>, host: &str, token: u64, change: impl FnOnce(&mut HostSim)) -> bool {
    let mut inner = inner.lock();
    let Some(h) = inner.hosts.get_mut(host).filter(|h| h.observed.token <= token) else { return false };
    h.observed.token = token;
    change(h);
    true
}

fn reboot(inner: &Arc<Mutex<Inner>>, host: &str, boot: &str, token: u64, ledger: &Arc<Ledger>) -> bool {
    let same_boot = inner
        .lock()
        .hosts
        .get(host)
        .is_some_and(|h| h.observed.boot == boot && h.observed.state == HostState::Live);
    if !same_boot {
        return false;
    }
    let take_down = |h: &mut HostSim| {
        h.observed.state = HostState::Down;
        h.boots += 1;
        h.rebooting = true;
        h.observed.boot = format!("{host}#{}", h.boots);
        h.tasks.values_mut().for_each(|t| t.endpoint = None);
    };
    if !change_fenced(inner, host, token, take_down) {
        return false;
    }
    inner.lock().counters.reboots += 1;
    tokio::spawn(finish_reboot(inner.clone(), host.to_string(), ledger.clone()));
    true
}

async fn finish_reboot(inner: Arc<Mutex<Inner>>, host: String, ledger: Arc<Ledger>) {
    let duration = inner.lock().faults.reboot;
    tokio::time::sleep(duration).await;
    while inner.lock().faults.stuck.contains(&host) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bring_up(&inner, &host, &ledger).await;
}

/// Restarts the instances of a host and marks the host as live.
async fn bring_up(inner: &Mutex<Inner>, host: &str, ledger: &Arc<Ledger>) {
    let names: Vec<String> =
        inner.lock().hosts.get(host).map(|h| h.tasks.keys().cloned().collect()).unwrap_or_default();
    for name in names.into_iter().filter(|n| n.contains('/')) {
        let Ok(e) = EndpointStandin::start(&name, SLOTS_PER_ENDPOINT, ledger.clone()).await else { continue };
        let mut inner = inner.lock();
        if let Some(t) = inner.hosts.get_mut(host).and_then(|h| h.tasks.get_mut(&name)) {
            t.endpoint = Some(Arc::new(e));
        }
    }
    if let Some(h) = inner.lock().hosts.get_mut(host) {
        h.rebooting = false;
        h.observed.state = HostState::Live;
    }
}

async fn start(inner: &Arc<Mutex<Inner>>, host: &str, task: &str, token: u64, ledger: &Arc<Ledger>) -> bool {
    {
        let mut inner = inner.lock();
        let last_token = inner.task_tokens.get(task).copied();
        let already_started =
            inner.hosts.get(host).and_then(|h| h.tasks.get(task)).is_some_and(|t| t.token == token);
        if already_started {
            return true;
        }
        if last_token.is_some_and(|last| last >= token) {
            return false;
        }
        inner.task_tokens.insert(task.to_string(), token);
    }
    // Instances are named `service/number`; any other name is a job.
    let is_instance = task.contains('/');
    let endpoint = match is_instance {
        true => EndpointStandin::start(task, SLOTS_PER_ENDPOINT, ledger.clone()).await.ok().map(Arc::new),
        false => None,
    };
    let mut inner = inner.lock();
    let Some(h) = inner.hosts.get_mut(host) else { return false };
    let ended = (!is_instance).then_some(true);
    h.tasks.insert(task.to_string(), TaskSim { token, endpoint, ended });
    true
}

fn stop(inner: &Mutex<Inner>, host: &str, task: &str, token: u64) -> bool {
    let mut inner = inner.lock();
    let Some(h) = inner.hosts.get_mut(host) else { return false };
    let matches = h.tasks.get(task).is_some_and(|t| t.token == token);
    if matches {
        h.tasks.remove(task);
    }
    matches
}
