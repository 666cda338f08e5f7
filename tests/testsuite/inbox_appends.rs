//! How what callers hand in gets into the store's inbox.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use workswood::ops::jobs::Node;
use workswood::ops::jobs::inbox::{self, Stored, partition_of};
use workswood_platform::jobs::KeyedRecord;
use workswood_test_support::job_node::settings;
use workswood_test_support::turn_store::{Fate, TurnStore};

/// Time that callers wait.
const WAITS: Duration = Duration::from_millis(2800);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A process whose inbox is written to a store.
fn process(store: &Arc<TurnStore>) -> Arc<Node> {
    let node = Arc::new(Node::new(settings("entry-1"), store.clone()));
    tokio::spawn(inbox::run(node.clone()));
    node
}

fn rec(key: &str) -> KeyedRecord {
    KeyedRecord { key: key.to_string(), value: Some("job".into()) }
}

/// Hands in one record every `gap`; returns what each caller is told, and after
/// how long.
async fn hand_in(node: &Arc<Node>, count: usize, gap: Duration) -> Vec<(Stored, Duration)> {
    let mut callers = JoinSet::new();
    for n in 0..count {
        let node = node.clone();
        callers.spawn(async move {
            let begun = node.now();
            let stored = node.inbox_writer.store(rec(&format!("job-{n}")), WAITS).await;
            (stored, node.now() - begun)
        });
        tokio::time::sleep(gap).await;
    }
    callers.join_all().await
}

/// How many of 300 jobs, handed in at 100 a second, are stored in a caller's
/// time when each append takes this long: all of them with one append for what
/// has come meanwhile; with an append a job 14 a second at 72 ms, 3 at 300 ms.
#[tokio::test(start_paused = true)]
async fn goodput_at_slow_store() {
    for (each, longest) in [(4, 20), (72, 500), (300, 1500)] {
        let store = Arc::new(TurnStore::new(ms(each), &[]));
        let node = process(&store);
        let told = hand_in(&node, 300, ms(10)).await;
        let stored = told.iter().filter(|(s, _)| *s == Stored::Yes).count();
        assert_eq!(stored, 300, "at {each} ms an append");
        let slowest = told.iter().map(|(_, took)| *took).max().unwrap_or_default();
        assert!(slowest <= ms(longest), "{slowest:?} at {each} ms an append");
    }
}

/// Guards against an append that the store refuses for its size, with all the jobs in it.
#[tokio::test(start_paused = true)]
async fn large_jobs_take_several_appends() {
    const LARGE: usize = 600_000;
    let store = Arc::new(TurnStore::new(ms(50), &[]));
    let node = process(&store);
    let mut callers = JoinSet::new();
    for n in 0..20 {
        let node = node.clone();
        let large = KeyedRecord { key: format!("job-{n}"), value: Some(vec![b'1'; LARGE].into()) };
        callers.spawn(async move { node.inbox_writer.store(large, WAITS).await });
    }
    let told = callers.join_all().await;
    assert!(told.iter().all(|stored| *stored == Stored::Yes), "{told:?}");
    let max_records = node.settings.store_sizes().append / LARGE;
    let appends: Vec<usize> = store.done().iter().map(Vec::len).collect();
    assert!(appends.iter().all(|records| (1..=max_records).contains(records)), "{appends:?}");
    assert_eq!(appends.iter().sum::<usize>(), 20);
}

#[tokio::test(start_paused = true)]
async fn too_slow_is_refused_at_once() {
    let store = Arc::new(TurnStore::new(ms(3000), &[]));
    let node = process(&store);
    let told = hand_in(&node, 40, ms(300)).await;
    let refused = told.iter().filter(|(s, took)| *s == Stored::No && *took < ms(5)).count();
    assert!(refused > 15, "once it is known that an append takes 3 s: {told:?}");
    assert!(told.iter().all(|(s, _)| *s != Stored::Yes), "{told:?}");
}

#[tokio::test(start_paused = true)]
async fn refused_has_not_been_sent() {
    let store = Arc::new(TurnStore::new(ms(1600), &[]));
    let node = process(&store);
    let told = hand_in(&node, 400, ms(5)).await;
    tokio::time::sleep(ms(60_000)).await;
    let done: BTreeSet<String> = store.done().into_iter().flatten().collect();
    for (n, (stored, _)) in told.iter().enumerate() {
        let kept = done.contains(&format!("job-{n}"));
        match stored {
            Stored::Yes => assert!(kept, "job-{n} was accepted and is not there"),
            Stored::No => assert!(!kept, "job-{n} was refused and is there"),
            Stored::Unknown => {}
        }
    }
    let unknown = told.iter().filter(|(s, _)| *s == Stored::Unknown).count();
    assert!(unknown < 400, "some never left the queue");
}

#[tokio::test(start_paused = true)]
async fn silent_append_holds_nobody_up() {
    let store = Arc::new(TurnStore::new(ms(4), &[Fate::Silent]));
    let node = process(&store);
    let told = hand_in(&node, 50, ms(10)).await;
    assert_eq!(told.iter().filter(|(s, _)| *s == Stored::Yes).count(), 49);
    assert_eq!(told.iter().filter(|(s, _)| *s == Stored::Unknown).count(), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_asked_for_again() {
    let store = Arc::new(TurnStore::new(ms(4), &[Fate::AnswerLost]));
    let node = process(&store);
    assert_eq!(node.inbox_writer.store(rec("a"), WAITS).await, Stored::Yes);
    assert_eq!(store.done().len(), 2, "the same key twice changes nothing");
}

#[tokio::test(start_paused = true)]
async fn unknown_stays_unknown() {
    let fates = [Fate::AnswerLost, Fate::Refused, Fate::Refused, Fate::Refused];
    let store = Arc::new(TurnStore::new(ms(4), &fates));
    let node = process(&store);
    assert_eq!(node.inbox_writer.store(rec("a"), WAITS).await, Stored::Unknown);
    assert_eq!(node.inbox_writer.store(rec("b"), WAITS).await, Stored::Yes);
}

#[tokio::test(start_paused = true)]
async fn refused_three_times() {
    let fates = [Fate::Refused; 3];
    let store = Arc::new(TurnStore::new(ms(4), &fates));
    let node = process(&store);
    assert_eq!(node.inbox_writer.store(rec("a"), WAITS).await, Stored::No);
    assert!(store.done().is_empty());
}

#[test]
fn hosts_spread_over_parts() {
    let used: BTreeSet<_> = (0..32).map(|n| partition_of(&format!("entry-{n}"), 12)).collect();
    assert!(used.len() >= 9, "{used:?}");
    assert!(used.iter().all(|p| *p < 12), "{used:?}");
    assert_eq!(partition_of("entry-1", 1), 0);
    assert_eq!(inbox::partitions(0).collect::<Vec<_>>(), [0], "a store has one at least");
}

#[tokio::test(start_paused = true)]
async fn slow_store_is_tried_again() {
    let store = Arc::new(TurnStore::new(ms(3000), &[]));
    let node = process(&store);
    hand_in(&node, 20, ms(300)).await;
    tokio::time::sleep(ms(20_000)).await;
    store.takes(ms(4));
    // As the process's reads of the store do.
    node.note_store_answer();
    // The first one finds out that the store is well; it must not be refused.
    let told = hand_in(&node, 20, ms(300)).await;
    assert!(told.iter().all(|(s, _)| *s == Stored::Yes), "{told:?}");
}
