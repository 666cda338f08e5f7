//! The adapter against a stand-in of the platform's store.

use std::time::Duration;

use workswood_adapter::{Addresses, PlatformClient};
use workswood_adapter_standin::{MachinesStandin, StoreStandin, StoredTopic};
use workswood_platform::jobs::{Guard, JobPlatform, KeyedRecord, StoreError, Topic};

fn client(store: &StoreStandin) -> PlatformClient {
    let address = store.address.to_string();
    PlatformClient::new(Addresses { store: address.clone(), machines: address, adviser: None })
}

fn rec(key: &str, value: &str) -> KeyedRecord {
    let value = (!value.is_empty()).then(|| value.to_string().into());
    KeyedRecord { key: key.to_string(), value }
}

fn keys(records: &[KeyedRecord]) -> Vec<&str> {
    records.iter().map(|r| r.key.as_str()).collect()
}

#[tokio::test]
async fn newest_and_tail() {
    let store = StoreStandin::start().await;
    let c = client(&store);
    for n in 0..8 {
        let one = vec![rec(&format!("k{n}"), "v")];
        c.append(Topic::Inbox(0), one, Guard::None).await.expect("the store takes it");
    }
    c.append(Topic::Inbox(0), vec![rec("k3", "")], Guard::None).await.expect("a drop is taken");
    let all = c.latest(Topic::Inbox(0)).await.expect("all pages are read");
    assert_eq!(keys(&all.records), ["k0", "k1", "k2", "k4", "k5", "k6", "k7"]);
    let two = vec![rec("a", "1"), rec("b", "2")];
    c.append(Topic::Inbox(0), two, Guard::None).await.expect("a batch is taken");
    let tail = c.tail(Topic::Inbox(0), all.next, Duration::ZERO).await.expect("the tail is read");
    assert_eq!(keys(&tail.records), ["a", "b"]);
    assert_eq!(tail.next, all.next + 2);
    store.forget(StoredTopic::Inbox);
    assert!(matches!(c.tail(Topic::Inbox(0), all.next, Duration::ZERO).await, Err(StoreError::RecordsGone)));
    assert_eq!(c.latest(Topic::Inbox(0)).await.expect("the newest stay").records.len(), 9);
}

#[tokio::test]
async fn one_claim_a_position() {
    let store = StoreStandin::start().await;
    let (a, b) = (client(&store), client(&store));
    let first = a.append(Topic::Lease, vec![rec("holder", "a")], Guard::EndsAt(0)).await;
    let second = b.append(Topic::Lease, vec![rec("holder", "b")], Guard::EndsAt(0)).await;
    assert!(matches!(first, Ok(0)), "{first:?}");
    assert!(matches!(second, Err(StoreError::GuardFailed)), "{second:?}");
    assert_eq!(store.newest(StoredTopic::Lease, "holder").as_deref(), Some("a"));
}

#[tokio::test]
async fn earlier_terms_refused() {
    let store = StoreStandin::start().await;
    let c = client(&store);
    c.append(Topic::State, vec![], Guard::Term(3, 0)).await.expect("a term begins with nothing");
    c.append(Topic::State, vec![rec("x", "1")], Guard::Term(3, 1)).await.expect("it goes on");
    c.append(Topic::State, vec![], Guard::Term(9, 0)).await.expect("a later term begins");
    let late = c.append(Topic::State, vec![rec("x", "2")], Guard::Term(3, 2)).await;
    assert!(matches!(late, Err(StoreError::GuardFailed)), "{late:?}");
    assert_eq!(store.newest(StoredTopic::State, "x").as_deref(), Some("1"));
}

#[tokio::test]
async fn lost_answer_counts_once() {
    let store = StoreStandin::start().await;
    let c = client(&store);
    c.append(Topic::State, vec![], Guard::Term(1, 0)).await.expect("the term begins");
    store.faults(|f| f.lose_appends = 1);
    let one = vec![rec("x", "1")];
    let lost = c.append(Topic::State, one.clone(), Guard::Term(1, 1)).await;
    assert!(lost.is_err(), "{lost:?}");
    let again = c.append(Topic::State, one, Guard::Term(1, 1)).await;
    assert!(matches!(again, Ok(0)), "{again:?}");
    let tail = c.tail(Topic::State, 0, Duration::ZERO).await.expect("the topic is read");
    assert_eq!(keys(&tail.records), ["x"]);
}

#[tokio::test]
async fn down_means_not_done() {
    let store = StoreStandin::start().await;
    let c = client(&store);
    store.faults(|f| f.down = true);
    let down = c.append(Topic::Inbox(0), vec![rec("x", "1")], Guard::None).await;
    assert!(matches!(down, Err(StoreError::NotDone { .. })), "{down:?}");
    store.faults(|f| f.down = false);
    assert_eq!(store.newest(StoredTopic::Inbox, "x"), None);
}

#[tokio::test]
async fn dead_port_not_done() {
    let address = {
        let store = StoreStandin::start().await;
        store.address.to_string()
    };
    tokio::task::yield_now().await;
    let c = PlatformClient::new(Addresses { store: address.clone(), machines: address, adviser: None });
    let gone = c.append(Topic::Inbox(0), vec![rec("x", "1")], Guard::None).await;
    assert!(matches!(gone, Err(StoreError::NotDone { .. } | StoreError::Unknown { .. })), "{gone:?}");
}

/// Keys of a topic that are read again after they were written; the pages of the
/// stand-in are small, so that each of them is continued after.
async fn read_back(written: &[String]) -> Vec<String> {
    let store = StoreStandin::start().await;
    let c = client(&store);
    for key in written {
        c.append(Topic::State, vec![rec(key, key)], Guard::None).await.expect("the store takes it");
    }
    let newest = tokio::time::timeout(Duration::from_secs(5), c.latest(Topic::State)).await;
    let newest = newest.expect("the pages come to an end").expect("all pages are read");
    let same = |r: &KeyedRecord| r.value.as_deref() == Some(r.key.as_bytes());
    assert!(newest.records.iter().all(same), "{:?}", newest.records);
    newest.records.into_iter().map(|r| r.key).collect()
}

#[tokio::test]
async fn any_sign_in_keys() {
    let written =
        ["a&part=1", "b+c", "d%2Fe", "f g", "h/i", "j#k", "l?m", "n=o", "\u{f6}l"].map(String::from);
    assert_eq!(read_back(&written).await, written);
}

#[tokio::test]
async fn keys_of_any_length() {
    let written = [254, 255, 256, 257, 511, 512, 600].map(|n| format!("worker-{}", "x".repeat(n - 7)));
    let mut read = read_back(&written).await;
    read.sort();
    assert_eq!(read, written);
}

#[tokio::test]
async fn long_key_dropped() {
    let store = StoreStandin::start().await;
    let c = client(&store);
    let long = "ordered-".repeat(50);
    c.append(Topic::State, vec![rec(&long, "1"), rec("b", "2")], Guard::None).await.expect("it is taken");
    let tail = c.tail(Topic::State, 0, Duration::ZERO).await.expect("the topic is read");
    assert_eq!(keys(&tail.records), [long.as_str(), "b"]);
    c.append(Topic::State, vec![rec(&long, "")], Guard::None).await.expect("a drop is taken");
    let newest = c.latest(Topic::State).await.expect("the topic is read");
    assert_eq!(keys(&newest.records), ["b"]);
}

#[tokio::test]
async fn any_sign_in_page_names() {
    let hosts = MachinesStandin::start("desk", &["m-1", "m-2", "m-3", "m-4", "m-5"]).await;
    let address = hosts.address.to_string();
    let c = PlatformClient::new(Addresses { store: address.clone(), machines: address, adviser: None });
    let list = c.list_hosts().await.expect("all pages are read");
    let names: Vec<&str> = list.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names, ["m-1", "m-2", "m-3", "m-4", "m-5"]);
}
