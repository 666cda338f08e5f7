//! One of ten endpoints is bad; callers hardly notice.

use std::sync::atomic::Ordering;
use std::time::Duration;

use workswood_standin::Behaviour;
use workswood_test_support::files::small;
use workswood_test_support::live::{Load, fleet, until};

/// Load for two seconds with the bad endpoint, then counts failures.
async fn with(behaviour: Behaviour) -> (u64, usize) {
    let dev = fleet(&small(12, 10, 8), 2).await;
    let callers = (0..2).map(|i| dev.caller(i)).collect();
    let mut load = Load::start(callers, 6, "/shop/get?ms=5");
    until("there is load", || load.good.load(Ordering::Relaxed) > 200).await;
    dev.platform.endpoint("shop/3").expect("it is up").set_behaviour(behaviour);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (good, bad) = (load.good.load(Ordering::Relaxed), load.bad().len());
    until("more load", || load.good.load(Ordering::Relaxed) > good + 1_000).await;
    load.stop().await;
    (load.good.load(Ordering::Relaxed) - good, load.bad().len() - bad)
}

fn assert_few(behaviour: Behaviour, (good, bad): (u64, usize)) {
    assert!((bad as f64) < 0.01 * good as f64, "{behaviour:?}: {bad} of {good} failed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fails_all() {
    assert_few(Behaviour::FailsAll, with(Behaviour::FailsAll).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn frozen() {
    assert_few(Behaviour::Frozen, with(Behaviour::Frozen).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cuts_bodies() {
    assert_few(Behaviour::CutsBody, with(Behaviour::CutsBody).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resets() {
    assert_few(Behaviour::Resets, with(Behaviour::Resets).await);
}
