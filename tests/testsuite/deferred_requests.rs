//! Requests that wait in the log are not lost.

use workswood::ops::dev::CallerRequest;
use workswood_test_support::files::small;
use workswood_test_support::live::{fleet, ran, take_slots, until};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_entries_lost() {
    let mut dev = fleet(&small(6, 4, 2), 3).await;
    let last = dev.entries[0].node.wall() + 600_000;
    // Without slots nothing deferred runs before the entries are lost.
    let busy = take_slots(&dev, 120, "/shop/get?ms=6000", 4, 30).await;
    let keys: Vec<String> = (0..10).map(|i| format!("keep-{i}")).collect();
    for (i, key) in keys.iter().enumerate() {
        let path = if i % 2 == 0 { "/shop/later" } else { "/shop/later-once" };
        let req = CallerRequest::to(path).with_body("remember").with_key(key, last);
        let res = dev.call(i % 3, req).await.expect("an answer");
        assert_eq!((res.status().as_u16(), ran(&res)), (202, "accepted"), "{res:?}");
    }
    busy.iter().for_each(|b| b.abort());
    dev.entries.clear();
    for n in 0..2 {
        dev.add_entry(&format!("new-{n}"), "dc0").await.expect("an entry starts");
    }
    until("all have run", || keys.iter().all(|k| dev.platform.ledger.runs(k) >= 1)).await;
    // Any entry may be asked; each learns of the ends when it has read so far in the log.
    let nodes: Vec<_> = dev.entries.iter().map(|e| e.node.clone()).collect();
    until("all are done", || nodes.iter().all(|n| n.state.read().open_keys.is_empty())).await;
    for (i, key) in keys.iter().enumerate() {
        if i % 2 == 1 {
            assert_eq!(dev.platform.ledger.runs(key), 1, "{key} ran twice");
        }
        let res =
            dev.call(1, CallerRequest::to(&format!("/workswood/outcome/{key}"))).await.expect("an answer");
        assert_eq!((ran(&res), res.body().as_ref()), ("run", b"remember".as_slice()));
    }
}
