//! The log loses answers, takes records twice, and is down.

use std::time::Duration;

use workswood::ops::dev::CallerRequest;
use workswood_core::invariant;
use workswood_operators::ApplyReply;
use workswood_test_support::files::{maintenance, small};
use workswood_test_support::live::{code, fleet, ran, until};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_answers() {
    let file = small(6, 4, 2);
    let dev = fleet(&file, 3).await;
    let last = dev.entries[0].node.wall() + 60_000;
    for i in 0..20u64 {
        dev.platform.faults(|f| {
            f.lose_appends = 2;
            f.double_appends = 1;
        });
        let mut changed = file.clone();
        changed.objective.moves = 10 + i as u32;
        let reply = dev.apply((i % 3) as usize, &changed, 1 + i).await.expect("an answer");
        assert!(matches!(reply, ApplyReply::Accepted { version, .. } if version == 2 + i), "{reply:?}");
        let key = format!("lost-{i}");
        let req = CallerRequest::to("/shop/once").with_key(&key, last);
        let res = dev.call((i % 3) as usize, req).await.expect("an answer");
        assert_eq!(ran(&res), "run", "{res:?}");
        assert_eq!(dev.platform.ledger.runs(&key), 1);
    }
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outage() {
    let mut file = small(6, 4, 2);
    let dev = fleet(&file, 3).await;
    let last = dev.entries[0].node.wall() + 60_000;
    dev.platform.faults(|f| f.log_down = true);
    for e in &dev.entries {
        until("the outage is seen", || !e.node.is_set(&e.node.log_up)).await;
    }
    for i in 0..3 {
        let res = dev.call(i, CallerRequest::to("/shop/get").with_body("on")).await.expect("an answer");
        assert_eq!((ran(&res), res.body().as_ref()), ("run", b"on".as_slice()));
        let key = format!("down-{i}");
        let res = dev.call(i, CallerRequest::to("/shop/once").with_key(&key, last)).await.expect("an answer");
        assert_eq!((code(&res), ran(&res)), (126, "not-run"));
        let res =
            dev.call(i, CallerRequest::to("/shop/later").with_key(&key, last)).await.expect("an answer");
        assert_eq!((code(&res), ran(&res)), (126, "not-run"));
    }
    dev.platform.faults(|f| f.log_down = false);
    for e in &dev.entries {
        until("the log is back", || e.node.is_set(&e.node.log_up)).await;
    }
    file.objective.moves = 3;
    let reply = dev.apply(1, &file, 1).await.expect("an answer");
    assert!(matches!(reply, ApplyReply::Accepted { version: 2, .. }), "{reply:?}");
    for i in 0..3 {
        let key = format!("down-{i}");
        assert_eq!(dev.platform.ledger.runs(&key), 0, "told not run, and ran");
        let res = dev.call(i, CallerRequest::to("/shop/once").with_key(&key, last)).await.expect("an answer");
        assert_eq!(ran(&res), "run", "{res:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outage_in_wave() {
    let mut file = small(8, 6, 4);
    let dev = fleet(&file, 3).await;
    file.maintenance = vec![maintenance("kernel", "main")];
    let reply = dev.apply(0, &file, 1).await.expect("an answer");
    assert!(matches!(reply, ApplyReply::Accepted { .. }), "{reply:?}");
    dev.wait_for(0, "the wave has begun", |s| s.waves[0]["done"].as_u64() > Some(1)).await.expect("status");
    dev.platform.faults(|f| f.log_down = true);
    for e in &dev.entries {
        until("the outage is seen", || !e.node.is_set(&e.node.log_up)).await;
    }
    // Reboots under way end; none begins without a record.
    let under_way =
        dev.entries[0].node.state.read().hosts.values().filter(|h| h.out_of_service()).count() as u64;
    let begun = dev.platform.counters().reboots;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(dev.platform.counters().reboots <= begun + under_way, "a reboot began in the outage");
    dev.platform.faults(|f| f.log_down = false);
    dev.wait_for(0, "the wave ends", |s| s.waves[0]["stop"]["stop"] == "finished").await.expect("status");
    assert_eq!(dev.platform.counters().reboots, 8, "a host was rebooted twice or not at all");
}
