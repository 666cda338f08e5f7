//! Waves keep budgets, whoever plans and whatever fails.

use std::time::{Duration, Instant};

use workswood::ops::dev::{CallerRequest, DevCluster};
use workswood_core::fleet::{FleetFile, TimeWindow};
use workswood_core::invariant;
use workswood_core::record::Role;
use workswood_operators::ApplyReply;
use workswood_test_support::files::{maintenance, small};
use workswood_test_support::live::{Load, Watch, fleet, until};

async fn start_wave(dev: &DevCluster, file: &mut FleetFile) {
    file.maintenance = vec![maintenance("kernel", "main")];
    let reply = dev.apply(0, file, 1).await.expect("an answer");
    assert!(matches!(reply, ApplyReply::Accepted { .. }), "{reply:?}");
}

/// Waits until an entry says that the wave has ended.
async fn wave_ends(dev: &DevCluster, entry: usize) {
    dev.wait_for(entry, "the wave ends", |s| s.waves[0]["stop"]["stop"] == "finished").await.expect("status");
}

/// The wave ends, with every host maintained once and the budget kept.
async fn all_maintained(dev: &DevCluster, watch: &Watch) {
    wave_ends(dev, 0).await;
    assert!(watch.least() >= 4, "only {} were available", watch.least());
    assert_eq!(dev.platform.counters().reboots, 8, "a host was rebooted twice or not at all");
}

fn planner(dev: &DevCluster) -> Option<usize> {
    let holder = dev.entries[0].node.state.read().lease(Role::Planner).holder?;
    dev.entries.iter().position(|e| e.node.id == holder)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn under_load() {
    let mut file = small(8, 6, 4);
    let dev = fleet(&file, 3).await;
    let watch = Watch::start(dev.platform.clone(), "shop");
    let callers = (0..3).map(|i| dev.caller(i)).collect();
    let mut load = Load::start(callers, 4, "/shop/get?ms=20");
    start_wave(&dev, &mut file).await;
    wave_ends(&dev, 1).await;
    load.stop().await;
    assert_eq!(load.bad(), Vec::<String>::new());
    assert!(watch.least() >= 4, "only {} were available", watch.least());
    assert_eq!(dev.platform.ledger.cut_off.load(std::sync::atomic::Ordering::Relaxed), 0);
    assert_eq!(dev.platform.counters().reboots, 8);
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planner_dies() {
    let mut file = small(8, 6, 4);
    let mut dev = fleet(&file, 4).await;
    let watch = Watch::start(dev.platform.clone(), "shop");
    start_wave(&dev, &mut file).await;
    for done in [1, 3] {
        dev.wait_for(0, "the wave goes on", |s| s.waves[0]["done"].as_u64() >= Some(done))
            .await
            .expect("status");
        let i = planner(&dev).expect("somebody plans");
        let dead = dev.entries.remove(i);
        dead.kill();
        drop(dead);
        let term = |dev: &DevCluster| dev.entries[0].node.state.read().lease(Role::Planner).term;
        let before = term(&dev);
        until("another takes over", || term(&dev) > before).await;
    }
    all_maintained(&dev, &watch).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_acts() {
    let mut file = small(8, 6, 4);
    let dev = fleet(&file, 2).await;
    let watch = Watch::start(dev.platform.clone(), "shop");
    dev.platform.faults(|f| {
        f.lose_acts = 15;
        f.refuse_acts = 15;
        f.list_lag = Duration::from_millis(800);
    });
    start_wave(&dev, &mut file).await;
    all_maintained(&dev, &watch).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn host_stays_away() {
    let mut file = small(8, 6, 4);
    let dev = fleet(&file, 2).await;
    let hosts = dev.platform.hosts();
    dev.platform.faults(|f| f.stuck = hosts);
    file.maintenance = vec![maintenance("kernel", "main")];
    file.maintenance[0].duration = Duration::from_millis(300);
    let reply = dev.apply(0, &file, 1).await.expect("an answer");
    assert!(matches!(reply, ApplyReply::Accepted { .. }), "{reply:?}");
    let stuck =
        |s: &workswood_operators::Status| s.waves[0]["stop"]["stop"] == "unwell" && !s.stuck.is_empty();
    dev.wait_for(0, "the wave stops by itself", stuck).await.expect("status");
    assert_eq!(dev.platform.counters().reboots, 1, "more than the first host left");
    dev.platform.faults(|f| f.stuck = Vec::new());
    dev.wait_for(0, "it goes on by itself", |s| s.waves[0]["stop"]["stop"] == "finished")
        .await
        .expect("status");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn withdrawn() {
    let mut file = small(8, 6, 4);
    let dev = fleet(&file, 2).await;
    start_wave(&dev, &mut file).await;
    dev.wait_for(0, "the wave has begun", |s| s.waves[0]["done"].as_u64() >= Some(1)).await.expect("status");
    file.maintenance.clear();
    let reply = dev.apply(1, &file, 2).await.expect("an answer");
    assert!(matches!(reply, ApplyReply::Accepted { .. }), "{reply:?}");
    let node = dev.entries[0].node.clone();
    until("hosts under way are back", || {
        let state = node.state.read();
        state.hosts.values().all(|h| !h.out_of_service()) && state.instances.values().all(|i| i.ready)
    })
    .await;
    assert!(dev.platform.counters().reboots < 8);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn impossible_plan() {
    let mut file = small(8, 6, 4);
    let dev = fleet(&file, 1).await;
    let now = dev.entries[0].node.wall();
    file.maintenance = vec![maintenance("kernel", "main")];
    file.maintenance[0].deadline = now + 120_000;
    let reply = dev.apply(0, &file, 1).await.expect("an answer");
    let ApplyReply::Refused { code, message, .. } = reply else { panic!("{reply:?}") };
    assert_eq!(code.number(), 209);
    assert!(message.contains("nearest deadline"), "{message}");
    file.maintenance[0].deadline = 0;
    file.maintenance[0].blackout_windows = vec![TimeWindow { from: now, to: now + 3_600_000 }];
    let reply = dev.apply(0, &file, 1).await.expect("an answer");
    assert!(matches!(reply, ApplyReply::Accepted { .. }), "{reply:?}");
    dev.wait_for(0, "the release is kept clear", |s| s.waves[0]["stop"]["stop"] == "keep_clear")
        .await
        .expect("status");
    assert_eq!(dev.platform.counters().reboots, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_endpoint() {
    let file = small(8, 6, 4);
    let dev = fleet(&file, 3).await;
    let callers = (0..3).map(|i| dev.caller(i)).collect();
    let mut load = Load::start(callers, 4, "/shop/get?ms=5");
    until("there is load", || load.good.load(std::sync::atomic::Ordering::Relaxed) > 100).await;
    let host = dev.entries[0].node.state.read().instances["shop/0"].host.clone();
    let endpoint = dev.platform.endpoint("shop/0").expect("it is up");
    // A long request is under way on the leaving endpoint.
    let long = tokio::spawn({
        let address = endpoint.address;
        async move { reach(address).await }
    });
    dev.platform.change_host(&host, |h| h.observed.state = workswood_core::plan::HostState::Leaving);
    let told = Instant::now();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let last = endpoint.last_start().expect("it had requests");
    assert!(last < told + Duration::from_secs(3), "new work {:?} after it was leaving", last - told);
    load.stop().await;
    assert_eq!(load.bad(), Vec::<String>::new());
    long.abort();
}

async fn reach(address: std::net::SocketAddr) {
    let _ = tokio::net::TcpStream::connect(address).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drain_waits() {
    let mut file = small(3, 2, 1);
    let dev = fleet(&file, 2).await;
    let long = (0..2).map(|i| {
        let caller = dev.caller(i);
        tokio::spawn(
            async move { caller.call(CallerRequest::to("/shop/get?ms=3000").with_body("slow")).await },
        )
    });
    let long: Vec<_> = long.collect();
    until("both run", || {
        (0..2).any(|i| dev.platform.endpoint(&format!("shop/{i}")).is_some_and(|e| e.in_flight() > 0))
    })
    .await;
    start_wave(&dev, &mut file).await;
    for l in long {
        let res = l.await.expect("a caller ends").expect("an answer");
        assert_eq!(res.body().as_ref(), b"slow");
    }
    wave_ends(&dev, 0).await;
    assert_eq!(dev.platform.ledger.cut_off.load(std::sync::atomic::Ordering::Relaxed), 0);
}
