//! Entries that communicate over sockets, on a stand-in platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use workswood::ops::dev::{Caller, CallerRequest, DevCluster};
use workswood_core::fleet::FleetFile;
use workswood_core::plan::HostState;
use workswood_operators::ApplyReply;
use workswood_standin::PlatformStandin;

/// Timeout of [`until`].
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Environment variable with the level at which a test prints log lines.
const LOG_LEVEL_VAR: &str = "WORKSWOOD_TEST_LOG";

/// Starts entries, applies a file and waits until the fleet has settled.
pub async fn fleet(file: &FleetFile, entries: usize) -> DevCluster {
    if let Some(level) = std::env::var(LOG_LEVEL_VAR).ok().and_then(|l| l.parse().ok()) {
        workswood::util::logs::start(level);
    }
    let dev = DevCluster::start(std::slice::from_ref(file), entries).await.expect("entries start");
    for i in 0..entries {
        dev.wait_for(i, "ready", |s| s.ready).await.expect("an entry gets ready");
    }
    let reply = dev.apply(0, file, 0).await.expect("an answer");
    assert!(matches!(reply, ApplyReply::Accepted { .. }), "{reply:?}");
    dev.wait_until_settled().await.expect("the fleet settles");
    for i in 0..entries {
        until("every entry shares slots", || {
            let node = &dev.entries[i].node;
            node.table.load().roster_position.0.is_some() && node.state.read().roster.len() == entries
        })
        .await;
    }
    dev
}

/// Sends `requests` requests spread over all entries and waits until the first `endpoints`
/// endpoints of the service `shop` process at least `least` of them; returns their tasks.
pub async fn take_slots(
    dev: &DevCluster,
    requests: usize,
    path: &str,
    endpoints: usize,
    least: u32,
) -> Vec<JoinHandle<()>> {
    let mut busy = Vec::new();
    for n in 0..requests {
        let (caller, req) = (dev.caller(n % dev.entries.len()), CallerRequest::to(path));
        // The answers are ignored: these requests only occupy slots.
        busy.push(tokio::spawn(async move { drop(caller.call(req).await) }));
    }
    until("slots are taken", || {
        let load = |i: usize| dev.platform.endpoint(&format!("shop/{i}")).map_or(0, |e| e.in_flight());
        (0..endpoints).map(load).sum::<u32>() >= least
    })
    .await;
    busy
}

/// Waits until a condition holds; panics after [`PATIENCE`].
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the header `x-workswood-ran` of a response; `-` if there is none.
pub fn ran(res: &hyper::Response<bytes::Bytes>) -> &str {
    res.headers().get("x-workswood-ran").and_then(|v| v.to_str().ok()).unwrap_or("-")
}

/// Returns the numbered code of a response; 0 if there is none.
pub fn code(res: &hyper::Response<bytes::Bytes>) -> u16 {
    let v = res.headers().get("x-workswood-code").and_then(|v| v.to_str().ok());
    v.and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// Callers that send one request after another.
pub struct Load {
    stop: Arc<AtomicBool>,
    /// Requests answered with status 200 and their own body.
    pub good: Arc<AtomicU64>,
    /// Responses to requests that were refused without being run.
    pub refusals: Arc<std::sync::Mutex<Vec<String>>>,
    /// Descriptions of responses that were truncated, wrong or of unknown outcome.
    pub bad: Arc<std::sync::Mutex<Vec<String>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `n` tasks for each caller.
    pub fn start(callers: Vec<Caller>, n: usize, path: &str) -> Load {
        let mut load = Load {
            stop: Arc::default(),
            good: Arc::default(),
            refusals: Arc::default(),
            bad: Arc::default(),
            tasks: Vec::new(),
        };
        for c in callers {
            load.add(c, n, path);
        }
        load
    }

    /// Adds `n` tasks for a caller.
    pub fn add(&mut self, caller: Caller, n: usize, path: &str) {
        self.add_until(caller, n, path, Arc::default());
    }

    /// Adds `n` tasks for a caller that also stop when `gone` is set, as when a load balancer
    /// removes the entry.
    pub fn add_until(&mut self, caller: Caller, n: usize, path: &str, gone: Arc<AtomicBool>) {
        for i in 0..n {
            let (stop, good, refused, bad) =
                (self.stop.clone(), self.good.clone(), self.refusals.clone(), self.bad.clone());
            let (caller, path, gone) = (caller.clone(), path.to_string(), gone.clone());
            self.tasks.push(tokio::spawn(async move {
                let mut k = 0u64;
                while !stop.load(Ordering::Relaxed) && !gone.load(Ordering::Relaxed) {
                    k += 1;
                    let body = format!("{path} {i} {k}");
                    let res = caller.call(CallerRequest::to(&path).with_body(body.clone())).await;
                    match res {
                        Ok(r) if r.status() == 200 && r.body() == body.as_bytes() => {
                            good.fetch_add(1, Ordering::Relaxed);
                        }
                        Ok(r) if ran(&r) == "not-run" => {
                            refused.lock().expect("no poison").push(format!("{r:?}"));
                        }
                        Ok(r) => bad.lock().expect("no poison").push(format!("{r:?}")),
                        Err(e) => bad.lock().expect("no poison").push(format!("{e:?}")),
                    }
                }
            }));
        }
    }

    /// Stops all tasks and waits for their last responses.
    pub async fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for t in self.tasks.drain(..) {
            t.await.expect("a caller ends");
        }
    }

    /// Returns the refusals so far.
    pub fn refused(&self) -> Vec<String> {
        self.refusals.lock().expect("no poison").clone()
    }

    /// Returns the descriptions of bad responses so far.
    pub fn bad(&self) -> Vec<String> {
        self.bad.lock().expect("no poison").clone()
    }
}

/// Samples a service's availability on the platform; stops when dropped.
pub struct Watch {
    least: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Watch {
    /// Starts sampling.
    pub fn start(platform: Arc<PlatformStandin>, service: &str) -> Watch {
        let least = Arc::new(AtomicU64::new(u64::MAX));
        let (low, prefix) = (least.clone(), format!("{service}/"));
        let task = tokio::spawn(async move {
            loop {
                low.fetch_min(available(&platform, &prefix), Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        Watch { least, task }
    }

    /// Returns the lowest number of available instances so far.
    pub fn least(&self) -> u64 {
        self.least.load(Ordering::Relaxed)
    }
}

fn available(platform: &PlatformStandin, prefix: &str) -> u64 {
    let fleet = platform.current_fleet();
    let accepting = fleet.hosts.values().filter(|h| h.state == HostState::Live && !h.draining);
    accepting.flat_map(|h| &h.tasks).filter(|t| t.ready && t.id.starts_with(prefix)).count() as u64
}
