//! Planned stops of entries cut off nothing.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use workswood::ops::dev::CallerRequest;
use workswood_core::invariant;
use workswood_test_support::files::small;
use workswood_test_support::live::{Load, fleet, ran, until};

const ENTRIES: usize = 6;

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn all_replaced() {
    let mut dev = fleet(&small(8, 6, 4), ENTRIES).await;
    let mut load = Load::start(Vec::new(), 0, "");
    let mut gone = Vec::new();
    for i in 0..ENTRIES {
        let flag = Arc::new(AtomicBool::new(false));
        load.add_until(dev.caller(i), 2, "/shop/get?ms=10", flag.clone());
        gone.push(flag);
    }
    let last = dev.entries[0].node.wall() + 600_000;
    for round in 0..ENTRIES {
        let old = dev.entries.remove(0);
        let flag = gone.remove(0);
        let key = format!("stop-{round}");
        let caller = dev.caller(0);
        let slow = tokio::spawn(async move { caller.call(CallerRequest::to("/shop/get?ms=1500")).await });
        let stopping = old.node.clone();
        let stop = tokio::spawn(old.stop());
        until("the balancer is told", || stopping.is_set(&stopping.shutting_down)).await;
        // The balancer notices while the entry still accepts.
        tokio::time::sleep(Duration::from_millis(100)).await;
        flag.store(true, Ordering::Relaxed);
        dev.add_entry(&format!("new-{round}"), "dc0").await.expect("an entry starts");
        let new = dev.entries.last().expect("just added").node.clone();
        until("the new one shares slots", || new.table.load().roster_position.0.is_some()).await;
        let flag = Arc::new(AtomicBool::new(false));
        load.add_until(dev.caller(ENTRIES - 1), 2, "/shop/get?ms=10", flag.clone());
        gone.push(flag);
        let req = CallerRequest::to("/shop/once").with_key(&key, last);
        let res = dev.call(round % ENTRIES, req).await.expect("an answer");
        assert_eq!(ran(&res), "run", "{res:?}");
        stop.await.expect("it stops");
        // The process would exit now; in this test its connections live on.
        assert_eq!(stopping.in_progress.load(Ordering::Relaxed), 0, "it stopped with requests in progress");
        assert_eq!(slow.await.expect("it ends").expect("an answer").status(), 200);
    }
    load.stop().await;
    assert_eq!(load.bad(), Vec::<String>::new());
    assert_eq!(load.refused(), Vec::<String>::new(), "requests were refused");
    assert_eq!(dev.platform.ledger.repeated_keys(), Vec::<String>::new());
    assert!(dev.platform.ledger.most_connections.load(Ordering::Relaxed) <= 64);
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cancelled_wave() {
    let dev = fleet(&small(6, 2, 1), 2).await;
    for round in 0..4 {
        let calls: Vec<_> = (0..250)
            .map(|n| {
                let caller = dev.caller(n % 2);
                tokio::spawn(async move { caller.call(CallerRequest::to("/shop/long?ms=2000")).await })
            })
            .collect();
        until("requests wait", || {
            dev.entries.iter().map(|e| e.node.in_progress.load(Ordering::Relaxed)).sum::<u64>() >= 200
        })
        .await;
        calls.iter().for_each(tokio::task::JoinHandle::abort);
        until("nothing is left", || {
            dev.entries.iter().all(|e| e.node.in_progress.load(Ordering::Relaxed) == 0)
        })
        .await;
        let res =
            dev.call(round % 2, CallerRequest::to("/shop/get").with_body("next")).await.expect("an answer");
        assert_eq!(res.body().as_ref(), b"next");
    }
}
