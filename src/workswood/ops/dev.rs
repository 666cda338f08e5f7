//! `dev`: entries, a stand-in platform and stand-in endpoints in one process.
//!
//! Applies the files, sends one request over every route, and waits until all maintenance is
//! finished. Times in the files are shifted so that the earliest maintenance starts now. A reboot
//! of a stand-in host takes half a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use workswood_core::fleet::FleetFile;
use workswood_core::ids::UnixMs;
use workswood_operators::{ApplyReply, ApplyRequest, OperatorClient, Status};
use workswood_standin::PlatformStandin;

use super::entry::Entry;
use crate::util::errors::{CallSnafu, Error, Result};
use crate::util::settings::{Settings, Tokens};

use snafu::ResultExt;

/// Timeout of each wait for a status, such as until maintenance is finished.
const STATUS_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest wait until all entries confirm an applied file.
const APPLY_WAIT: Duration = Duration::from_secs(8);
/// Time between two requests for the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const OPERATOR_TOKEN: &str = "dev-operator";
const PEER_TOKEN: &str = "dev-peer";

/// The text of the fleet file that is used by default.
pub const DEFAULT_FILE: &str = include_str!("../../../examples/factoring.json");

/// Entries on a stand-in platform, all in this process.
pub struct DevCluster {
    /// The platform.
    pub platform: Arc<PlatformStandin>,
    /// The entries.
    pub entries: Vec<Entry>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Settings of an entry on the loopback interface, with ports chosen by the system.
pub fn loopback_settings(name: &str, data_centre: &str, platform: &str, seeds: Vec<SocketAddr>) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: name.to_string(),
        data_centre: data_centre.to_string(),
        callers: any_port,
        operators: any_port,
        peers: any_port,
        platform: platform.parse().unwrap_or(any_port),
        seeds,
        operators_token_file: String::new(),
        peers_token_file: String::new(),
        log_level: log::LevelFilter::Info,
        balancer_lag: Duration::from_millis(300),
        stop_limit: Duration::from_secs(30),
        checkpoint_every: Duration::from_secs(5),
        appends_per_second: 90,
    }
}

impl DevCluster {
    /// Starts a platform with the hosts of the files, and entries that are spread over their data
    /// centres.
    pub async fn start(files: &[FleetFile], entries: usize) -> Result<DevCluster> {
        let started = PlatformStandin::start(files).await;
        let platform = started.context(crate::util::errors::ListenSnafu { address: "127.0.0.1:0" })?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut dev = DevCluster { platform: Arc::new(platform), entries: Vec::new(), client };
        for _ in 0..entries {
            let number = dev.entries.len();
            let mut data_centres: Vec<&str> =
                files.iter().flat_map(|f| f.hosts.iter().map(|h| h.data_centre.as_str())).collect();
            data_centres.sort_unstable();
            data_centres.dedup();
            let data_centre =
                data_centres.get(number % data_centres.len().max(1)).copied().unwrap_or("local");
            dev.add_entry(&format!("entry-{number}"), data_centre).await?;
        }
        Ok(dev)
    }

    /// Starts another entry.
    pub async fn add_entry(&mut self, name: &str, data_centre: &str) -> Result<()> {
        let seeds = self.entries.iter().map(|e| e.node.settings.peers).collect();
        let settings = loopback_settings(name, data_centre, &self.platform.address, seeds);
        self.add_entry_with(settings).await
    }

    /// Starts another entry with the given settings.
    pub async fn add_entry_with(&mut self, settings: Settings) -> Result<()> {
        let tokens = Tokens { operators: OPERATOR_TOKEN.to_string(), peers: PEER_TOKEN.to_string() };
        self.entries.push(Entry::start(settings, tokens).await?);
        let addresses = self.entries.iter().map(|e| e.node.peer_address()).collect();
        self.platform.set_entries(addresses);
        Ok(())
    }

    /// Creates a client of an entry's listener for operators.
    pub fn operator_client(&self, entry: usize) -> OperatorClient {
        OperatorClient::new(&self.entries[entry].node.settings.operators.to_string(), OPERATOR_TOKEN)
    }

    /// Applies a file through an entry, and waits until all entries confirm it.
    pub async fn apply(&self, entry: usize, file: &FleetFile, base: u64) -> Result<ApplyReply> {
        self.apply_within(entry, file, base, APPLY_WAIT).await
    }

    /// Applies a file through an entry, and waits up to `wait` until all entries confirm it.
    pub async fn apply_within(
        &self,
        entry: usize,
        file: &FleetFile,
        base: u64,
        wait: Duration,
    ) -> Result<ApplyReply> {
        let req = ApplyRequest {
            id: uuid::Uuid::new_v4().to_string(),
            base,
            author: "dev".to_string(),
            text: serde_json::to_string(file).unwrap_or_default(),
            wait_ms: wait.as_millis() as u64,
        };
        self.operator_client(entry).apply(&req).await.context(CallSnafu)
    }

    /// Requests the status of an entry.
    pub async fn status(&self, entry: usize) -> Result<Status> {
        self.operator_client(entry).status().await.context(CallSnafu)
    }

    /// Sends a request to an entry, as a caller does.
    pub async fn call(&self, entry: usize, req: CallerRequest) -> Result<Response<Bytes>> {
        let address = self.entries[entry].node.settings.callers;
        send(&self.client, address, req).await
    }

    /// Creates a caller of an entry.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller { client: self.client.clone(), address: self.entries[entry].node.settings.callers }
    }

    /// Waits until the status of an entry satisfies a condition; `what` describes it in the error
    /// after a timeout.
    pub async fn wait_for(
        &self,
        entry: usize,
        what: &str,
        condition: impl Fn(&Status) -> bool,
    ) -> Result<Status> {
        let deadline = Instant::now() + STATUS_TIMEOUT;
        loop {
            let status = self.status(entry).await?;
            if condition(&status) {
                return Ok(status);
            }
            if Instant::now() > deadline {
                let message = format!("timed out waiting for: {what}\n{}", crate::ops::status::text(&status));
                return Err(Error::RunFailed { message });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all entries are on the roster and all instances are ready.
    pub async fn wait_until_settled(&self) -> Result<()> {
        let entries = self.entries.len();
        self.wait_for(0, "all entries on the roster", |s| {
            s.entries.iter().filter(|e| e.on_roster).count() == entries
        })
        .await?;
        for entry in 0..entries {
            self.wait_for(entry, "ready instances", all_ready).await?;
        }
        Ok(())
    }
}

/// Whether there are budgets and all of them have slack.
fn all_ready(s: &Status) -> bool {
    let budgets = s.budgets.as_array();
    budgets.is_some_and(|b| !b.is_empty() && b.iter().all(|b| b["slack"].as_i64().is_some_and(|n| n > 0)))
}

/// A request of a caller.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Idempotency key, and the last moment of its use in milliseconds since 1970.
    pub key: Option<(String, UnixMs)>,
    /// Time within which the caller wants the response.
    pub deadline: Option<Duration>,
}

impl CallerRequest {
    /// Creates a request without a body or key.
    pub fn to(path: &str) -> CallerRequest {
        CallerRequest { path: path.to_string(), ..CallerRequest::default() }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> CallerRequest {
        self.body = body.into();
        self
    }

    /// Sets the deadline.
    pub fn with_deadline(mut self, deadline: Duration) -> CallerRequest {
        self.deadline = Some(deadline);
        self
    }

    /// Sets the key and its last moment.
    pub fn with_key(mut self, key: &str, last_moment: UnixMs) -> CallerRequest {
        self.key = Some((key.to_string(), last_moment));
        self
    }
}

/// Sends requests to the listener for callers of one entry.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl Caller {
    /// Creates a caller of the listener at an address.
    pub fn to(address: SocketAddr) -> Caller {
        Caller { client: Client::builder(TokioExecutor::new()).build_http(), address }
    }

    /// Sends a request.
    pub async fn call(&self, req: CallerRequest) -> Result<Response<Bytes>> {
        send(&self.client, self.address, req).await
    }
}

async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    req: CallerRequest,
) -> Result<Response<Bytes>> {
    let failed = |message: String| Error::RunFailed { message };
    let mut builder = Request::builder().method(Method::POST).uri(format!("http://{address}{}", req.path));
    if let Some((key, last_moment)) = &req.key {
        builder = builder.header(workswood_callers::KEY_HEADER, key);
        builder = builder.header(workswood_callers::LAST_MOMENT_HEADER, last_moment.to_string());
    }
    if let Some(d) = req.deadline {
        builder = builder.header(workswood_callers::DEADLINE_HEADER, d.as_millis().to_string());
    }
    let request = builder.body(Full::new(req.body)).map_err(|e| failed(e.to_string()))?;
    let res = client.request(request).await.map_err(|e| failed(format!("request failed: {e:?}")))?;
    let (head, body) = res.into_parts();
    let body = body.collect().await.map_err(|e| failed(format!("reading the response failed: {e:?}")))?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// Shifts all times of a file so that its earliest maintenance starts at `now`.
pub fn shift_times(file: &mut FleetFile, now: UnixMs) {
    let earliest = file.maintenance.iter().map(|m| m.start).filter(|s| *s > 0).min();
    let Some(earliest) = earliest else { return };
    let shifted = |t: UnixMs| if t == 0 { 0 } else { (t + now).saturating_sub(earliest) };
    for m in &mut file.maintenance {
        m.start = shifted(m.start);
        m.deadline = shifted(m.deadline);
        for w in &mut m.blackout_windows {
            w.from = shifted(w.from);
            w.to = shifted(w.to);
        }
    }
}

/// Runs the command with the fleet files; prints the progress.
pub async fn run(mut files: Vec<FleetFile>, entries: usize, keep: bool) -> Result<()> {
    let dev = DevCluster::start(&files, entries).await?;
    let now = dev.entries[0].node.wall();
    files.iter_mut().for_each(|f| shift_times(f, now));
    dev.wait_for(0, "the entry to catch up", |s| s.ready).await?;
    for e in &dev.entries {
        let s = &e.node.settings;
        crate::outln!(
            "entry {} callers={} operators={} token={OPERATOR_TOKEN}",
            s.name,
            s.callers,
            s.operators
        );
    }
    for f in &files {
        match dev.apply(0, f, 0).await? {
            ApplyReply::Accepted { version, behind, .. } => {
                crate::outln!("applied {} version={version} behind={}", f.file, behind.len());
            }
            other => return Err(Error::RunFailed { message: format!("{other:?}") }),
        }
    }
    dev.wait_until_settled().await?;
    crate::outln!("all instances are ready");
    for f in &files {
        for path in f.services.iter().flat_map(|s| &s.routes).map(|r| &r.path) {
            let key = uuid::Uuid::new_v4().simple().to_string();
            let last_moment = dev.entries[0].node.wall() + 60_000;
            let req = CallerRequest::to(path).with_body("hello").with_key(&key, last_moment);
            let res = dev.call(0, req).await?;
            let ran =
                res.headers().get(workswood_callers::RAN_HEADER).and_then(|v| v.to_str().ok()).unwrap_or("-");
            crate::outln!("request {path} status={} ran={ran}", res.status().as_u16());
        }
    }
    finish_maintenance(&dev).await?;
    if keep {
        crate::outln!("serving until interrupted");
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(())
}

/// Waits until all maintenance is finished; fails if an invariant was broken or a request cut off.
async fn finish_maintenance(dev: &DevCluster) -> Result<()> {
    let finished = |s: &Status| {
        let waves = s.waves.as_array();
        waves.is_some_and(|w| w.iter().all(|w| w["stop"]["stop"] == "finished"))
    };
    let started = Instant::now();
    let status = dev.wait_for(0, "the end of maintenance", finished).await?;
    crate::outln!("maintenance finished after {:.1}s of stand-in time", started.elapsed().as_secs_f64());
    crate::out!("{}", crate::ops::status::text(&status));
    let cut_off = dev.platform.ledger.cut_off.load(std::sync::atomic::Ordering::Relaxed);
    if status.invariants_broken > 0 || cut_off > 0 {
        let message =
            format!("{} invariant(s) broken, {cut_off} request(s) cut off", status.invariants_broken);
        return Err(Error::RunFailed { message });
    }
    Ok(())
}
