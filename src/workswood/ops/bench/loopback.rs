//! Measures entries over loopback sockets, all in one process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use workswood_core::record::{Envelope, Record};
use workswood_operators::ApplyReply;

use super::quantiles::{LatencyHistogram, median};
use crate::ops::check::read_text;
use crate::ops::dev::{Caller, CallerRequest, DEFAULT_FILE, DevCluster};
use crate::util::errors::{Error, Result};

/// Entries of the experiments with a fixed number of them.
const ENTRIES: usize = 6;

/// Starts the factoring fleet without maintenance and waits until it has settled.
async fn start_factoring(entries: usize) -> Result<DevCluster> {
    let mut file = read_text("factoring.json", DEFAULT_FILE)?;
    file.maintenance.clear();
    let dev = DevCluster::start(std::slice::from_ref(&file), entries).await?;
    for i in 0..entries {
        dev.wait_for(i, "ready", |s| s.ready).await?;
    }
    expect_accepted(dev.apply(0, &file, 0).await?)?;
    dev.wait_until_settled().await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(dev)
}

/// Returns an error unless the change was accepted.
fn expect_accepted(reply: ApplyReply) -> Result<()> {
    match reply {
        ApplyReply::Accepted { .. } => Ok(()),
        other => Err(Error::RunFailed { message: format!("{other:?}") }),
    }
}

/// Lets each caller send requests back to back. Returns their latencies and the rate per second.
async fn closed_loop(callers: Vec<Caller>, path: &str, seconds: f64) -> (LatencyHistogram, f64) {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let tasks = callers.into_iter().map(|c| {
        let path = path.to_string();
        tokio::spawn(async move {
            let mut samples = Vec::new();
            while Instant::now() < end {
                let started = Instant::now();
                if c.call(CallerRequest::to(&path)).await.is_ok() {
                    samples.push(started.elapsed().as_secs_f64());
                }
            }
            samples
        })
    });
    let mut latencies = LatencyHistogram::default();
    for latency in futures::future::join_all(tasks).await.into_iter().flatten().flatten() {
        latencies.record(latency);
    }
    let rate = latencies.len() as f64 / seconds;
    (latencies, rate)
}

/// Compares requests through an entry with direct ones, in alternating runs.
pub async fn proxy() -> Result<()> {
    let dev = start_factoring(1).await?;
    let Some(endpoint) = dev.platform.endpoint("house-a/0") else {
        return Err(Error::RunFailed { message: "no endpoint".to_string() });
    };
    let direct = Caller::to(endpoint.address);
    let through_entry = dev.caller(0);
    crate::outln!("run direct_p50_ms direct_per_s over_entry_p50_ms over_entry_per_s added_p50_ms");
    let mut added = Vec::new();
    for run in 1..=5 {
        let (direct_latency, direct_rate) =
            closed_loop(vec![direct.clone(); 4], "/house-a/verify?ms=0", 2.0).await;
        let (entry_latency, entry_rate) =
            closed_loop(vec![through_entry.clone(); 4], "/house-a/verify?ms=0", 2.0).await;
        added.push(entry_latency.quantile_ms(0.5) - direct_latency.quantile_ms(0.5));
        crate::outln!(
            "{run} {:.3} {direct_rate:.0} {:.3} {entry_rate:.0} {:.3}",
            direct_latency.quantile_ms(0.5),
            entry_latency.quantile_ms(0.5),
            entry_latency.quantile_ms(0.5) - direct_latency.quantile_ms(0.5)
        );
    }
    crate::outln!("median added_p50_ms {:.3}", median(added));
    Ok(())
}

/// Measures the latency that claims add to keyed requests, and the appends, at several rates.
pub async fn commit() -> Result<()> {
    let dev = start_factoring(ENTRIES).await?;
    let before = dev.platform.counters().appends;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle_rate = (dev.platform.counters().appends - before) as f64 / 5.0;
    crate::outln!("appends_per_s at rest {idle_rate:.1}");
    crate::outln!(
        "keyed_per_s plain_p50_ms keyed_p50_ms keyed_p99_ms added_p50_ms added_p99_ms appends_per_s not_ok"
    );
    for rate in [10.0, 100.0, 1_000.0] {
        let plain = open_loop(&dev, rate, false).await?;
        let before = dev.platform.counters().appends;
        let started = Instant::now();
        let keyed = open_loop(&dev, rate, true).await?;
        let appends = (dev.platform.counters().appends - before) as f64 / started.elapsed().as_secs_f64();
        crate::outln!(
            "{rate:.0} {:.1} {:.1} {:.1} {:.1} {:.1} {appends:.1} {}",
            plain.0.quantile_ms(0.5),
            keyed.0.quantile_ms(0.5),
            keyed.0.quantile_ms(0.99),
            keyed.0.quantile_ms(0.5) - plain.0.quantile_ms(0.5),
            keyed.0.quantile_ms(0.99) - plain.0.quantile_ms(0.99),
            keyed.1
        );
    }
    let run_twice = dev.platform.ledger.repeated_keys().len();
    crate::outln!("keys that ran twice: {run_twice}");
    Ok(())
}

/// Sends requests at a fixed rate to all entries in turn, for five seconds. Returns their latencies
/// and the number of failed ones.
async fn open_loop(dev: &DevCluster, rate: f64, keyed: bool) -> Result<(LatencyHistogram, u64)> {
    const SECONDS: f64 = 5.0;
    let failed = Arc::new(AtomicU64::new(0));
    let mut tasks = Vec::new();
    let mut tick = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    let last_moment = dev.entries[0].node.wall() + 600_000;
    for n in 0..(rate * SECONDS) as usize {
        tick.tick().await;
        let (caller, failed) = (dev.caller(n % dev.entries.len()), failed.clone());
        tasks.push(tokio::spawn(async move {
            let path = if keyed { "/house-a/disburse?ms=1" } else { "/house-a/verify?ms=1" };
            let mut req = CallerRequest::to(path);
            if keyed {
                req = req.with_key(&uuid::Uuid::new_v4().simple().to_string(), last_moment);
            }
            let started = Instant::now();
            let res = caller.call(req).await;
            let ok = res.is_ok_and(|r| r.status() == 200);
            failed.fetch_add(u64::from(!ok), Ordering::Relaxed);
            started.elapsed().as_secs_f64()
        }));
    }
    let mut latencies = LatencyHistogram::default();
    for latency in futures::future::join_all(tasks).await.into_iter().flatten() {
        latencies.record(latency);
    }
    Ok((latencies, failed.load(Ordering::Relaxed)))
}

/// Measures the time until a configuration change is in force on all entries.
pub async fn config() -> Result<()> {
    const CHANGES: u64 = 200;
    let dev = start_factoring(ENTRIES).await?;
    let mut file = read_text("factoring.json", DEFAULT_FILE)?;
    file.maintenance.clear();
    let mut latencies = LatencyHistogram::default();
    for n in 0..CHANGES {
        file.objective.moves = 100 + n as u32;
        let started = Instant::now();
        let reply = dev.apply_within((n % 6) as usize, &file, 1 + n, Duration::ZERO).await?;
        let ApplyReply::Accepted { offset, .. } = reply else {
            return Err(Error::RunFailed { message: format!("{reply:?}") });
        };
        while dev.entries.iter().any(|e| e.node.state.read().next_offset <= offset) {
            tokio::time::sleep(Duration::from_micros(200)).await;
        }
        latencies.record(started.elapsed().as_secs_f64());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    crate::outln!("changes entries p50_ms p99_ms max_ms");
    crate::outln!(
        "{CHANGES} {ENTRIES} {:.1} {:.1} {:.1}",
        latencies.quantile_ms(0.5),
        latencies.quantile_ms(0.99),
        latencies.quantile_ms(1.0)
    );
    Ok(())
}

/// Measures the bytes per second between idle entries, by the number of entries.
pub async fn peers() -> Result<()> {
    crate::outln!(
        "entries data_centres links_per_entry bytes_per_s_per_entry cpu_percent_of_a_core_per_entry"
    );
    for entries in [6usize, 12, 24, 48, 96] {
        let mut file = read_text("factoring.json", DEFAULT_FILE)?;
        file.maintenance.clear();
        file.services.truncate(1);
        let dev = DevCluster::start(std::slice::from_ref(&file), entries).await?;
        dev.wait_for(0, "all on the roster", |s| s.entries.iter().filter(|e| e.on_roster).count() == entries)
            .await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let (bytes, links) = peer_traffic(&dev);
        let cpu = cpu_seconds();
        tokio::time::sleep(Duration::from_secs(10)).await;
        let cpu_percent = 100.0 * (cpu_seconds() - cpu) / 10.0 / entries as f64;
        let rate = (peer_traffic(&dev).0 - bytes) as f64 / 10.0 / entries as f64;
        crate::outln!("{entries} 4 {:.1} {rate:.0} {cpu_percent:.2}", links as f64 / entries as f64);
    }
    Ok(())
}

/// Returns the bytes sent over all peer links so far, and the number of links.
fn peer_traffic(dev: &DevCluster) -> (u64, usize) {
    let mut bytes = 0;
    let mut links = 0;
    for e in &dev.entries {
        let all = e.node.links.lock();
        bytes += all.values().map(workswood_peers::Link::bytes_sent).sum::<u64>();
        links += all.len();
    }
    (bytes, links)
}

/// Returns the CPU time of this process so far, in seconds.
fn cpu_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after.split_whitespace().skip(11).take(2).filter_map(|f| f.parse().ok()).collect();
    fields.iter().sum::<f64>() / TICKS_PER_SECOND
}

/// Measures the log records and bytes per maintained host of a wave.
pub async fn wave() -> Result<()> {
    let dev = start_factoring(ENTRIES).await?;
    let mut file = read_text("factoring.json", DEFAULT_FILE)?;
    file.maintenance.iter_mut().for_each(|m| {
        m.start = 0;
        m.deadline = 0;
    });
    let log_start = dev.platform.log().len();
    let started = Instant::now();
    expect_accepted(dev.apply(0, &file, 1).await?)?;
    let finished = |s: &workswood_operators::Status| s.waves[0]["stop"]["stop"] == "finished";
    let status = dev.wait_for(0, "the wave ends", finished).await?;
    let hosts = status.waves[0]["done"].as_u64().unwrap_or(1);
    let (mut envelopes, mut records, mut bytes) = (0, 0, 0);
    for r in &dev.platform.log()[log_start..] {
        let Ok(env) = serde_json::from_str::<Envelope>(&r.body) else { continue };
        let of_wave = |r: &&Record| matches!(r, Record::Host { .. } | Record::Instance { .. });
        let count = env.records.iter().filter(of_wave).count();
        envelopes += usize::from(count > 0);
        records += count;
        bytes += if count > 0 { r.body.len() } else { 0 };
    }
    crate::outln!("hosts seconds envelopes records records_per_host bytes_per_host");
    crate::outln!(
        "{hosts} {:.1} {envelopes} {records} {:.1} {:.0}",
        started.elapsed().as_secs_f64(),
        records as f64 / hosts as f64,
        bytes as f64 / hosts as f64
    );
    Ok(())
}
