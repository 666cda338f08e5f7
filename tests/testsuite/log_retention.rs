//! Short retention, fresh entries and lagging ones never bring an old state back.

use std::time::Duration;

use workswood::ops::dev::{CallerRequest, DevCluster, loopback_settings};
use workswood_core::invariant;
use workswood_operators::ApplyReply;
use workswood_test_support::files::small;
use workswood_test_support::live::{code, fleet, ran, until};

async fn change(dev: &DevCluster, file: &mut workswood_core::fleet::FleetFile, base: u64) {
    file.objective.moves += 1;
    let reply = dev.apply_within(0, file, base, Duration::ZERO).await.expect("an answer");
    assert!(matches!(reply, ApplyReply::Accepted { version, .. } if version == base + 1), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fresh_entry() {
    let mut file = small(6, 4, 2);
    let mut dev = fleet(&file, 2).await;
    let last = dev.entries[0].node.wall() + 60_000;
    let req = CallerRequest::to("/shop/once").with_body("pay").with_key("kept", last);
    assert_eq!(ran(&dev.call(0, req.clone()).await.expect("an answer")), "run");
    // The records of the file, the placements and the key expire.
    dev.platform.faults(|f| f.retention = 60);
    for base in 1..=80 {
        change(&dev, &mut file, base).await;
    }
    let first = dev.platform.log().first().map_or(0, |r| r.offset);
    assert!(first > 20, "nothing has expired");
    until("a checkpoint is kept", || dev.platform.log().iter().any(|r| r.body.contains("\"checkpoint\"")))
        .await;
    let settings = loopback_settings("fresh", "dc0", &dev.platform.address, Vec::new());
    dev.add_entry_with(settings).await.expect("an entry starts");
    let fresh = dev.entries[2].node.clone();
    until("it is ready", || fresh.is_set(&fresh.ready)).await;
    let head = dev.entries[0].node.state.read().next_offset;
    until("it has caught up", || fresh.state.read().next_offset >= head).await;
    assert_eq!(fresh.state.read().files["small"].version, 81);
    let res = dev.call(2, req).await.expect("an answer");
    assert_eq!(ran(&res), "run");
    assert_eq!(dev.platform.ledger.runs("kept"), 1);
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn log_down_at_start() {
    let mut file = small(6, 4, 2);
    let mut dev = fleet(&file, 2).await;
    change(&dev, &mut file, 1).await;
    dev.platform.faults(|f| f.log_down = true);
    let alone = loopback_settings("alone", "dc9", &dev.platform.address, Vec::new());
    dev.platform.set_entries(Vec::new());
    dev.add_entry_with(alone).await.expect("an entry starts");
    dev.platform.set_entries(Vec::new());
    let res = dev.call(2, CallerRequest::to("/shop/get")).await.expect("an answer");
    assert_eq!((code(&res), ran(&res)), (302, "not-run"));
    // With a peer it takes the newest state that the peer has.
    let seeds = vec![dev.entries[0].node.settings.peers];
    let with = loopback_settings("with", "dc1", &dev.platform.address, seeds);
    dev.add_entry_with(with).await.expect("an entry starts");
    let node = dev.entries[3].node.clone();
    until("it is ready", || node.is_set(&node.ready)).await;
    assert_eq!(node.state.read().files["small"].version, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slept_past_retention() {
    let mut file = small(6, 4, 2);
    let mut dev = fleet(&file, 2).await;
    // An entry whose log is cut off sleeps through records that then expire.
    let proxy = workswood_test_support::cut::Cut::start(&dev.platform.address).await;
    let settings = loopback_settings("sleeper", "dc0", &proxy.address, Vec::new());
    dev.add_entry_with(settings).await.expect("an entry starts");
    let sleeper = dev.entries[2].node.clone();
    until("it is ready", || sleeper.is_set(&sleeper.ready)).await;
    let version = sleeper.state.read().files["small"].version;
    assert_eq!(version, 1);
    proxy.cut(true);
    dev.platform.faults(|f| f.retention = 40);
    for base in 1..=60 {
        change(&dev, &mut file, base).await;
    }
    let slept = sleeper.state.read().next_offset;
    until("its records have expired", || dev.platform.log().first().is_some_and(|r| r.offset > slept)).await;
    tokio::time::sleep(Duration::from_millis(10)).await;
    proxy.cut(false);
    until("it has the newest", || sleeper.state.read().files["small"].version == 61).await;
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}
