//! `soak`: a long randomised run of six entries on a stand-in platform.
//!
//! A seed determines the choices of callers, operators and faults. The responses to callers are
//! checked against the ledger of the stand-in endpoints, and the program's own invariants are
//! checked at the end. Timing depends on the machine, so two runs with the same seed make the same
//! choices but may interleave them differently.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use workswood_core::fleet::{FleetFile, Maintenance, PriorityClass};
use workswood_core::invariant;
use workswood_core::plan::HostState;
use workswood_operators::ApplyReply;
use workswood_standin::{Behaviour, PlatformStandin};

use super::dev::{Caller, CallerRequest, DevCluster};
use super::entry::Entry;
use crate::util::errors::{Error, Result};

/// Number of entries.
const ENTRIES: usize = 6;
/// Number of concurrent callers.
const CALLERS: u64 = 8;
/// Longest time until everything has settled after the last fault.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(180);
/// Time from the start of a planned stop until the load balancer sends no more requests to the
/// entry.
const BALANCER_DELAY: Duration = Duration::from_millis(100);
/// How long the idempotency key of a request may be used, in milliseconds.
const KEY_VALIDITY_MS: u64 = 30_000;

/// Options of `soak`.
pub struct SoakOptions {
    /// How long faults are injected.
    pub duration: Duration,
    /// Seed of all choices.
    pub seed: u64,
}

/// What happened in a run.
#[derive(Default)]
struct Tally {
    /// Numbers of events by name.
    counts: Mutex<BTreeMap<&'static str, u64>>,
    violations: Mutex<Vec<String>>,
    /// Keys of deferred requests that were accepted, and whether the requests are repeatable.
    accepted: Mutex<Vec<(String, bool)>>,
}

impl Tally {
    fn count(&self, event: &'static str) {
        *self.counts.lock().entry(event).or_default() += 1;
    }

    fn violation(&self, text: String) {
        log::error!("event=violation text={text:?}");
        self.violations.lock().push(text);
    }
}

/// A load balancer, which sends callers to the entries that are ready.
#[derive(Default)]
struct Balancer {
    /// Numbers of the entries that are ready, each with a caller that sends to it.
    ready: Mutex<Vec<(u64, Caller)>>,
    /// Numbers of the entries that were killed.
    killed: Mutex<Vec<u64>>,
    next_id: AtomicU64,
}

impl Balancer {
    fn add(&self, caller: Caller) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.ready.lock().push((id, caller));
        id
    }

    fn remove(&self, id: u64) {
        self.ready.lock().retain(|(i, _)| *i != id);
    }

    fn pick(&self, rng: &mut StdRng) -> Option<(u64, Caller)> {
        self.ready.lock().choose(rng).cloned()
    }

    fn was_killed(&self, id: u64) -> bool {
        self.killed.lock().contains(&id)
    }
}

struct Soak {
    platform: Arc<PlatformStandin>,
    tally: Arc<Tally>,
    balancer: Arc<Balancer>,
    stop: Arc<AtomicBool>,
    /// Path and class of each route, and whether its requests are repeatable.
    routes: Vec<(String, PriorityClass, bool)>,
}

/// Runs the entries with a fleet file; fails if a check was violated.
pub async fn run(mut file: FleetFile, opts: &SoakOptions) -> Result<()> {
    let declared = std::mem::take(&mut file.maintenance);
    let mut dev = DevCluster::start(std::slice::from_ref(&file), ENTRIES).await?;
    for i in 0..ENTRIES {
        dev.wait_for(i, "ready", |s| s.ready).await?;
    }
    dev.apply(0, &file, 0).await?;
    dev.wait_until_settled().await?;
    let soak = Soak::new(&dev, &file);
    let mut balancer_ids: Vec<u64> = (0..ENTRIES).map(|i| soak.balancer.add(dev.caller(i))).collect();
    let callers = soak.spawn_callers(opts.seed);
    let mut rng = StdRng::seed_from_u64(opts.seed);
    let started = Instant::now();
    let mut round = 0;
    while started.elapsed() < opts.duration {
        round += 1;
        soak.inject_fault(&mut dev, &mut balancer_ids, &mut rng).await?;
        if round % 2 == 0 {
            soak.race_operators(&dev, &mut file, &declared, &mut rng).await?;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..1_500))).await;
        if round % 50 == 0 {
            crate::outln!("t={:.0}s {}", started.elapsed().as_secs_f64(), soak.summary());
        }
    }
    soak.stop.store(true, Ordering::Relaxed);
    futures::future::join_all(callers).await;
    soak.wait_until_healed(&dev).await?;
    soak.check_results(&dev).await
}

impl Soak {
    fn new(dev: &DevCluster, file: &FleetFile) -> Soak {
        let routes = file.services.iter().flat_map(|s| &s.routes);
        Soak {
            platform: dev.platform.clone(),
            tally: Arc::default(),
            balancer: Arc::default(),
            stop: Arc::default(),
            routes: routes.map(|r| (r.path.clone(), r.class, r.repeatable)).collect(),
        }
    }

    fn summary(&self) -> String {
        let counts = self.tally.counts.lock();
        let parts: Vec<String> = counts.iter().map(|(k, v)| format!("{k}={v}")).collect();
        format!("{} violations={}", parts.join(" "), self.tally.violations.lock().len())
    }

    fn spawn_callers(&self, seed: u64) -> Vec<tokio::task::JoinHandle<()>> {
        let spawn = |n: u64| {
            let caller = SimulatedCaller {
                platform: self.platform.clone(),
                tally: self.tally.clone(),
                balancer: self.balancer.clone(),
                routes: self.routes.clone(),
                rng: StdRng::seed_from_u64(seed.wrapping_mul(1_000) + n),
                number: n,
            };
            tokio::spawn(caller.run(self.stop.clone()))
        };
        (1..=CALLERS).map(spawn).collect()
    }

    /// Injects a random fault.
    async fn inject_fault(
        &self,
        dev: &mut DevCluster,
        balancer_ids: &mut Vec<u64>,
        rng: &mut StdRng,
    ) -> Result<()> {
        let kind = rng.random_range(0..14);
        let name = match kind {
            0 => self.set_fault("lost_appends", |f| f.lose_appends = 3),
            1 => self.set_fault("doubled_appends", |f| f.double_appends = 3),
            2 => self.start_log_outage(Duration::from_millis(rng.random_range(300..6_000))),
            3 => self.set_fault("slow_log", |f| f.append_delay = Duration::from_millis(150)),
            4 => self.set_fault("log_well", |f| f.append_delay = Duration::from_millis(2)),
            5 => self.set_fault("lost_acts", |f| f.lose_acts = 5),
            6 => self.set_fault("refused_acts", |f| f.refuse_acts = 5),
            7 => self.set_fault("lagging_list", |f| f.list_lag = Duration::from_millis(1_500)),
            8 => self.set_fault("fresh_list", |f| f.list_lag = Duration::from_millis(100)),
            9 => self.fail_hosts(rng, false),
            10 => self.fail_hosts(rng, true),
            11 => self.break_endpoint(rng),
            12 => {
                self.kill_entry(dev, balancer_ids, rng).await?;
                "entry_killed"
            }
            _ => {
                self.replace_entry(dev, balancer_ids, rng).await?;
                "entry_replaced"
            }
        };
        self.tally.count(name);
        Ok(())
    }

    fn set_fault(
        &self,
        name: &'static str,
        change: impl FnOnce(&mut workswood_standin::Faults),
    ) -> &'static str {
        self.platform.faults(change);
        name
    }

    fn start_log_outage(&self, duration: Duration) -> &'static str {
        self.platform.faults(|f| f.log_down = true);
        let platform = self.platform.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            platform.faults(|f| f.log_down = false);
        });
        "log_outage"
    }

    /// Fails a host, or all hosts of its rack, for some seconds.
    fn fail_hosts(&self, rng: &mut StdRng, rack: bool) -> &'static str {
        let truth = self.platform.current_fleet();
        let names: Vec<&String> = truth.hosts.keys().collect();
        let Some(first) = names.choose(rng).copied() else { return "host_failed" };
        let rack_name = &truth.hosts[first].location.rack;
        let failed = names
            .into_iter()
            .filter(|n| *n == first || (rack && truth.hosts[*n].location.rack == *rack_name));
        let failed: Vec<String> = failed.cloned().collect();
        for name in &failed {
            self.platform.fail_host(name);
        }
        let (platform, outage) = (self.platform.clone(), Duration::from_millis(rng.random_range(500..8_000)));
        tokio::spawn(async move {
            tokio::time::sleep(outage).await;
            for name in failed {
                platform.recover_host(&name).await;
            }
        });
        if rack { "rack_failed" } else { "host_failed" }
    }

    /// Makes an endpoint misbehave for some seconds.
    fn break_endpoint(&self, rng: &mut StdRng) -> &'static str {
        let truth = self.platform.current_fleet();
        let tasks = truth.hosts.values().filter(|h| h.state == HostState::Live).flat_map(|h| &h.tasks);
        let ids: Vec<&String> = tasks.map(|t| &t.id).collect();
        let Some(endpoint) = ids.choose(rng).and_then(|id| self.platform.endpoint(id)) else {
            return "endpoint_bad";
        };
        let behaviours = [
            Behaviour::FailsAll,
            Behaviour::Frozen,
            Behaviour::Slow(10),
            Behaviour::CutsBody,
            Behaviour::Resets,
        ];
        endpoint.set_behaviour(*behaviours.choose(rng).unwrap_or(&Behaviour::FailsAll));
        let duration = Duration::from_millis(rng.random_range(500..5_000));
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            endpoint.set_behaviour(Behaviour::Healthy);
        });
        "endpoint_bad"
    }

    /// Kills an entry without a planned stop and starts another one.
    async fn kill_entry(
        &self,
        dev: &mut DevCluster,
        balancer_ids: &mut Vec<u64>,
        rng: &mut StdRng,
    ) -> Result<()> {
        let i = rng.random_range(0..dev.entries.len());
        let id = balancer_ids.remove(i);
        self.balancer.killed.lock().push(id);
        self.balancer.remove(id);
        let entry = dev.entries.remove(i);
        entry.kill();
        self.start_entry(dev, balancer_ids, rng).await
    }

    /// Stops an entry as planned and starts its replacement at the same time.
    async fn replace_entry(
        &self,
        dev: &mut DevCluster,
        balancer_ids: &mut Vec<u64>,
        rng: &mut StdRng,
    ) -> Result<()> {
        let i = rng.random_range(0..dev.entries.len());
        let (id, old) = (balancer_ids.remove(i), dev.entries.remove(i));
        let (balancer, node) = (self.balancer.clone(), old.node.clone());
        let stop: tokio::task::JoinHandle<()> = tokio::spawn(Entry::stop(old));
        tokio::spawn(async move {
            while !node.is_set(&node.shutting_down) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            tokio::time::sleep(BALANCER_DELAY).await;
            balancer.remove(id);
            let _ = stop.await;
        });
        self.start_entry(dev, balancer_ids, rng).await
    }

    async fn start_entry(
        &self,
        dev: &mut DevCluster,
        balancer_ids: &mut Vec<u64>,
        rng: &mut StdRng,
    ) -> Result<()> {
        let name = format!("entry-{}", rng.random_range(100..1_000_000));
        let data_centre =
            dev.entries.first().map(|e| e.node.settings.data_centre.clone()).unwrap_or_default();
        dev.add_entry(&name, &data_centre).await?;
        let node = dev.entries[dev.entries.len() - 1].node.clone();
        let caller = dev.caller(dev.entries.len() - 1);
        balancer_ids.push(self.balancer.next_id.fetch_add(1, Ordering::Relaxed));
        let (balancer, id) = (self.balancer.clone(), balancer_ids[balancer_ids.len() - 1]);
        // The balancer sends callers to an entry once it reports that it is ready.
        tokio::spawn(async move {
            while !node.is_set(&node.ready) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            // By now it may have been stopped or killed.
            let mut ready = balancer.ready.lock();
            if !node.is_set(&node.shutting_down) && !balancer.was_killed(id) {
                ready.push((id, caller));
            }
        });
        Ok(())
    }

    /// Two operators apply different changes on the same base version; at most one may be accepted.
    /// Sometimes the changes declare new maintenance.
    async fn race_operators(
        &self,
        dev: &DevCluster,
        file: &mut FleetFile,
        declared: &[Maintenance],
        rng: &mut StdRng,
    ) -> Result<()> {
        let node = &dev.entries[0].node;
        let Some((base, mut first)) =
            node.state.read().files.get(&file.file).map(|f| (f.version, f.file.clone()))
        else {
            return Ok(());
        };
        if rng.random_ratio(1, 12) {
            let renamed = |m: &Maintenance| Maintenance {
                name: format!("{}-{base}", m.name),
                start: 0,
                deadline: 0,
                blackout_windows: Vec::new(),
                ..m.clone()
            };
            first.maintenance = declared.iter().map(renamed).collect();
            self.tally.count("maintenance_planned");
        }
        first.objective.moves = 1_000 + base as u32;
        let mut second = first.clone();
        second.objective.moves += 500_000;
        let last_entry = dev.entries.len() - 1;
        let both = futures::future::join(
            dev.apply_within(0, &first, base, Duration::ZERO),
            dev.apply_within(last_entry, &second, base, Duration::ZERO),
        );
        let (x, y) = both.await;
        let won = |r: &Result<ApplyReply>| matches!(r, Ok(ApplyReply::Accepted { version, .. }) if *version == base + 1);
        let wins = usize::from(won(&x)) + usize::from(won(&y));
        self.tally.count("operator_races");
        if wins > 1 {
            self.tally.violation(format!("two changes were accepted on base version {base}: {x:?} {y:?}"));
        }
        *file = first;
        Ok(())
    }

    /// Ends all faults and waits until everything has settled.
    async fn wait_until_healed(&self, dev: &DevCluster) -> Result<()> {
        self.platform.faults(|f| *f = workswood_standin::Faults::default());
        for name in self.platform.hosts() {
            self.platform.recover_host(&name).await;
        }
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let s = dev.status(0).await?;
            let waves_finished =
                s.waves.as_array().is_some_and(|w| w.iter().all(|w| w["stop"]["stop"] == "finished"));
            let budgets_met =
                s.budgets.as_array().is_some_and(|b| b.iter().all(|b| b["slack"].as_i64() >= Some(0)));
            if waves_finished
                && budgets_met
                && s.open_deferred == 0
                && s.hosts.iter().all(|p| p.away.is_empty())
            {
                return Ok(());
            }
            if Instant::now() > deadline {
                self.tally.violation(format!("did not settle:\n{}", super::status::text(&s)));
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Checks the ledger and the invariants, and prints the result.
    async fn check_results(&self, dev: &DevCluster) -> Result<()> {
        for key in self.platform.ledger.repeated_keys() {
            // Keys of requests that are not repeatable start with `o`.
            if key.starts_with('o') {
                self.tally.violation(format!("request {key} ran twice"));
            }
        }
        let accepted = self.tally.accepted.lock().clone();
        for (key, repeatable) in &accepted {
            let res = dev.call(0, CallerRequest::to(&format!("/workswood/outcome/{key}"))).await?;
            let ran =
                res.headers().get("x-workswood-ran").and_then(|v| v.to_str().ok()).unwrap_or("-").to_string();
            let lost =
                if *repeatable { ran != "run" } else { self.platform.ledger.runs(key) == 0 && ran == "run" };
            if lost {
                self.tally.violation(format!("deferred request {key} was lost: {ran}"));
            }
        }
        let broken = invariant::failed_checks();
        if broken > 0 {
            self.tally
                .violation(format!("{broken} invariant(s) broken, first: {:?}", invariant::first_failure()));
        }
        let c = self.platform.counters();
        crate::outln!(
            "end {} accepted_deferred={} appends={} acts={} fenced={} reboots={} most_connections={} over_slots={}",
            self.summary(),
            accepted.len(),
            c.appends,
            c.acts,
            c.fenced,
            c.reboots,
            self.platform.ledger.most_connections.load(Ordering::Relaxed),
            self.platform.ledger.over_slots.load(Ordering::Relaxed)
        );
        let violations = self.tally.violations.lock().clone();
        match violations.first() {
            None => Ok(()),
            Some(first) => Err(Error::RunFailed {
                message: format!("{} violation(s), first: {first}", violations.len()),
            }),
        }
    }
}

/// A caller that sends random requests.
struct SimulatedCaller {
    platform: Arc<PlatformStandin>,
    tally: Arc<Tally>,
    balancer: Arc<Balancer>,
    routes: Vec<(String, PriorityClass, bool)>,
    rng: StdRng,
    number: u64,
}

impl SimulatedCaller {
    async fn run(mut self, stop: Arc<AtomicBool>) {
        let mut n = 0;
        while !stop.load(Ordering::Relaxed) {
            n += 1;
            let Some((path, class, repeatable)) = self.routes.choose(&mut self.rng).cloned() else { return };
            let key = format!("{}{}-{n}", if repeatable { 'r' } else { 'o' }, self.number);
            let copies = if repeatable { 1 } else { self.rng.random_range(1..=3) };
            let last_moment = now_ms() + KEY_VALIDITY_MS;
            let body = Bytes::from(format!("{key} {}", "x".repeat(self.rng.random_range(0..2_000))));
            let path = format!("{path}?ms={}", self.rng.random_range(0..15));
            for copy in 0..copies {
                let req = CallerRequest::to(&path).with_body(body.clone());
                let req = if class == PriorityClass::Later || !repeatable {
                    req.with_key(&key, last_moment)
                } else {
                    req
                };
                self.send(req, &key, class, repeatable, &body).await;
                if copy + 1 < copies {
                    tokio::time::sleep(Duration::from_millis(self.rng.random_range(0..200))).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(self.rng.random_range(1..20))).await;
        }
    }

    /// Sends a request and checks the response.
    async fn send(
        &mut self,
        req: CallerRequest,
        key: &str,
        class: PriorityClass,
        repeatable: bool,
        body: &Bytes,
    ) {
        let Some((id, caller)) = self.balancer.pick(&mut self.rng) else { return };
        self.tally.count("requests");
        let res = match caller.call(req).await {
            Ok(r) => r,
            Err(e) => {
                if self.balancer.was_killed(id) {
                    return self.tally.count("cut_by_kill");
                }
                return self
                    .tally
                    .violation(format!("request {key} failed although its entry was not killed: {e:?}"));
            }
        };
        let ran = res.headers().get("x-workswood-ran").and_then(|v| v.to_str().ok()).unwrap_or("-");
        match ran {
            "run" if res.status() == 200 && res.body() != body => {
                let body_kept = !res.headers().contains_key("x-workswood-body");
                if body_kept {
                    self.tally.violation(format!("request {key} got a response body that is not its own"));
                }
            }
            "run" if res.status() == 200 => self.tally.count("run"),
            "run" => self.tally.count("run_and_failed"),
            "accepted" => {
                self.tally.count("accepted");
                self.tally.accepted.lock().push((key.to_string(), repeatable));
            }
            "not-run" => {
                self.tally.count("not_run");
                if !repeatable && self.platform.ledger.runs(key) > 0 {
                    self.tally.violation(format!(
                        "request {key} ran although its response says that it did not ({class:?})"
                    ));
                }
            }
            _ => self.tally.count("unknown"),
        }
    }
}

fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
