//! A request from one end to the other.

use workswood::ops::dev::{CallerRequest, DevCluster};
use workswood_operators::OperatorClient;
use workswood_test_support::files::small;
use workswood_test_support::live::{code, fleet, ran};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_class() {
    let dev = fleet(&small(6, 4, 2), 2).await;
    let last = dev.entries[0].node.wall() + 60_000;
    for (path, status, what) in [
        ("/shop/get", 200, "run"),
        ("/shop/once", 200, "run"),
        ("/shop/long", 200, "run"),
        ("/shop/later", 202, "accepted"),
        ("/shop/later-once", 202, "accepted"),
    ] {
        let req = CallerRequest::to(path).with_body("hello").with_key(path, last);
        let res = dev.call(1, req).await.expect("an answer");
        assert_eq!((res.status().as_u16(), ran(&res)), (status, what), "{path}");
    }
    let res = dev.call(0, CallerRequest::to("/nobody")).await.expect("an answer");
    assert_eq!((res.status().as_u16(), code(&res), ran(&res)), (404, 100, "not-run"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies() {
    let dev = fleet(&small(6, 4, 2), 1).await;
    let big = vec![7u8; 3 * 1024 * 1024];
    let res = dev.call(0, CallerRequest::to("/shop/long").with_body(big.clone())).await.expect("an answer");
    assert_eq!((res.status().as_u16(), res.body().len()), (200, big.len()));
    assert!(res.body().as_ref() == big.as_slice(), "the body came back changed");
    let res = dev.call(0, CallerRequest::to("/shop/get").with_body(big)).await.expect("an answer");
    assert_eq!((res.status().as_u16(), code(&res), ran(&res)), (413, 107, "not-run"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn wrong_token() {
    let dev = DevCluster::start(&[small(2, 1, 0)], 1).await.expect("an entry starts");
    let address = dev.entries[0].node.settings.operators.to_string();
    let e = OperatorClient::new(&address, "wrong").status().await.expect_err("refused");
    assert!(e.to_string().contains("error 225"), "{e}");
    assert!(OperatorClient::new(&address, "dev-operator").status().await.is_ok());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn script_moves_host() {
    let dev = fleet(&small(6, 3, 2), 1).await;
    let idle = {
        let state = dev.entries[0].node.state.read();
        let idle = state.hosts.keys().find(|h| !state.by_host.contains_key(*h)).cloned();
        idle.expect("a host without instances")
    };
    dev.platform.change_host(&idle, |h| h.observed.pool = Some("others".to_string()));
    let foreign = idle.clone();
    dev.wait_for(0, "the move is reported", |s| s.hosts.iter().any(|p| p.foreign.contains(&foreign)))
        .await
        .expect("status");
    let acts = dev.platform.counters().acts;
    dev.platform.change_host(&idle, |h| h.observed.pool = Some("main".to_string()));
    dev.wait_for(0, "it is ours again", |s| s.hosts.iter().all(|p| p.foreign.is_empty()))
        .await
        .expect("status");
    assert_eq!(dev.platform.counters().acts, acts, "the host was not left alone");
}
