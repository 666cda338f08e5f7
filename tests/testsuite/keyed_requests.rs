//! Requests that may not be repeated run at most once.

use std::time::Duration;

use workswood::ops::dev::CallerRequest;
use workswood_standin::Behaviour;
use workswood_test_support::files::small;
use workswood_test_support::live::{code, fleet, ran, take_slots, until};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn copies_at_once() {
    let dev = fleet(&small(6, 4, 2), 3).await;
    let last = dev.entries[0].node.wall() + 60_000;
    for i in 0..40 {
        let key = format!("copies-{i}");
        let copies = (0..6).map(|n| {
            let caller = dev.caller(n % 3);
            let req = CallerRequest::to("/shop/once?ms=20").with_body("pay").with_key(&key, last);
            async move { caller.call(req).await.expect("an answer") }
        });
        let answers = futures::future::join_all(copies).await;
        let run = answers.iter().filter(|r| ran(r) == "run").count();
        assert!(run >= 1, "{answers:#?}");
        assert!(answers.iter().all(|r| ran(r) != "not-run"), "a copy was told not run");
        assert_eq!(dev.platform.ledger.runs(&key), 1);
        until("the outcome is known there", || {
            dev.entries[2]
                .node
                .state
                .read()
                .keys
                .get(&key)
                .is_some_and(|k| matches!(k.state, workswood_core::fold::KeyState::Done { .. }))
        })
        .await;
        let late = CallerRequest::to("/shop/once?ms=20").with_body("pay").with_key(&key, last);
        let res = dev.call(2, late).await.expect("an answer");
        assert_eq!((ran(&res), res.body().as_ref()), ("run", b"pay".as_slice()));
        assert_eq!(dev.platform.ledger.runs(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn winner_dies() {
    let mut dev = fleet(&small(6, 4, 2), 3).await;
    let last = dev.entries[0].node.wall() + 60_000;
    let req = CallerRequest::to("/shop/once?ms=4000").with_body("pay").with_key("dies", last);
    let caller = dev.caller(2);
    let first = tokio::spawn({
        let req = req.clone();
        async move { caller.call(req).await }
    });
    until("it runs", || dev.platform.ledger.runs("dies") == 1).await;
    let dead = dev.entries.pop().expect("three entries");
    dead.kill();
    let id = dead.node.id.clone();
    drop(dead);
    let node = dev.entries[0].node.clone();
    until("the dead one is off the roster", || node.state.read().roster.iter().all(|m| m.id != id)).await;
    for i in 0..2 {
        let res = dev.call(i, req.clone()).await.expect("an answer");
        assert_eq!((code(&res), ran(&res)), (124, "unknown"));
    }
    assert_eq!(dev.platform.ledger.runs("dies"), 1);
    first.abort();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endpoint_breaks() {
    let dev = fleet(&small(6, 2, 1), 2).await;
    let last = dev.entries[0].node.wall() + 60_000;
    for i in 0..2 {
        dev.platform.endpoint(&format!("shop/{i}")).expect("it is up").set_behaviour(Behaviour::CutsBody);
    }
    let req = CallerRequest::to("/shop/once").with_body("pay me").with_key("breaks", last);
    let res = dev.call(0, req.clone()).await.expect("an answer");
    assert_eq!((code(&res), ran(&res)), (106, "unknown"));
    until("the end is known", || {
        let state = dev.entries[1].node.state.read();
        state.keys.get("breaks").is_some_and(|k| k.state == workswood_core::fold::KeyState::Unknown)
    })
    .await;
    let res = dev.call(1, req).await.expect("an answer");
    assert_eq!((code(&res), ran(&res)), (124, "unknown"));
    assert_eq!(dev.platform.ledger.runs("breaks"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn wrong_keys() {
    let dev = fleet(&small(6, 4, 2), 2).await;
    let now = dev.entries[0].node.wall();
    let once = || CallerRequest::to("/shop/once").with_body("pay");
    let res = dev.call(0, once()).await.expect("an answer");
    assert_eq!((code(&res), ran(&res)), (120, "not-run"));
    let res = dev.call(0, once().with_key("far", now + 2 * 3_600_000)).await.expect("an answer");
    assert_eq!((code(&res), ran(&res)), (121, "not-run"));
    let res = dev.call(0, once().with_key("late", now - 10_000)).await.expect("an answer");
    assert_eq!((code(&res), ran(&res)), (125, "not-run"));
    let res = dev.call(0, once().with_key("same", now + 60_000)).await.expect("an answer");
    assert_eq!(ran(&res), "run");
    let other = CallerRequest::to("/shop/once").with_body("pay more").with_key("same", now + 60_000);
    let res = dev.call(0, other).await.expect("an answer");
    assert_eq!((code(&res), ran(&res)), (122, "unknown"));
    assert_eq!(dev.platform.ledger.runs("late") + dev.platform.ledger.runs("far"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn not_sent_frees() {
    let dev = fleet(&small(6, 2, 1), 2).await;
    let last = dev.entries[0].node.wall() + 60_000;
    // All slots are taken by others, so the deadline passes in the queue.
    let req = CallerRequest::to("/shop/once?ms=1")
        .with_body("pay")
        .with_key("frees", last)
        .with_deadline(Duration::from_millis(800));
    let busy = take_slots(&dev, 40, "/shop/get?ms=2500", 2, 16).await;
    let res = dev.call(0, req.clone()).await.expect("an answer");
    assert_eq!(ran(&res), "not-run", "{res:?}");
    assert_eq!(dev.platform.ledger.runs("frees"), 0);
    futures::future::join_all(busy).await;
    let res = dev.call(1, req).await.expect("an answer");
    assert_eq!(ran(&res), "run", "{res:?}");
    assert_eq!(dev.platform.ledger.runs("frees"), 1);
}
