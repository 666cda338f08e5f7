//! Refusals that come after a second copy of the request was sent.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use workswood::ops::jobs::Node;
use workswood::ops::jobs::inbox::{self, Stored};
use workswood_adapter::{Addresses, PlatformClient};
use workswood_adapter_standin::{ScriptedAppend, StoreStandin, StoredTopic};
use workswood_core::ids::Offset;
use workswood_platform::jobs::{Guard, JobPlatform, KeyedRecord, StoreError, Topic};
use workswood_test_support::job_node::settings;
use workswood_test_support::job_world::FaultRng;
use workswood_test_support::turn_store::{Fate, TurnStore};

use super::random_jobs::hand_seeds;

/// Calls of an append that is sent twice: the append, the probe and the copy.
const CALLS: u64 = 3;
/// Attempts to have an append sent twice: its copy is left out if the probe is slow.
const ATTEMPTS: usize = 20;
/// Histories in one run of the suite.
const HISTORIES: u64 = 100;
/// Records of one history.
const RECORDS: u64 = 60;
/// Time after which the simulated client sends a copy, and gives up.
const COPY_AFTER: Duration = Duration::from_millis(150);
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time that callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2800);

fn rec(key: &str) -> KeyedRecord {
    KeyedRecord { key: key.to_string(), value: Some("job".into()) }
}

/// The fate of a copy: whether it is done, and for how long its answer comes after the second copy.
type CopyFate = (bool, Duration);

const FAST: Duration = Duration::ZERO;
const SLOW: Duration = Duration::from_millis(80);
const NEVER: Duration = Duration::from_secs(60);

/// Makes an append of which two copies are sent, the first of which is not answered before the second is sent;
/// returns the answer, and whether the record is in the store.
async fn append_twice(first: CopyFate, second: CopyFate) -> (Result<Offset, StoreError>, bool) {
    let store = StoreStandin::start().await;
    let address = store.address.to_string();
    let c = PlatformClient::new(Addresses { store: address.clone(), machines: address, adviser: None });
    let warm_up = (0..3).map(|_| c.latest(Topic::Operators));
    futures::future::try_join_all(warm_up).await.expect("the store answers");
    for n in 0..ATTEMPTS {
        let answered_at_call = store.calls() + CALLS;
        let script = |(done, delay): CopyFate| ScriptedAppend { done, answered_at_call, delay };
        store.faults(|f| f.scripted = [script(first), script(second)].into());
        let key = format!("job-{n}");
        let res = c.append(Topic::Inbox(0), vec![rec(&key)], Guard::None).await;
        let mut left = 0;
        store.faults(|f| left = f.scripted.len());
        if left == 0 {
            return (res, store.newest(StoredTopic::Inbox, &key).is_some());
        }
    }
    panic!("no append was sent twice");
}

/// Guards against a refusal of the first copy that is returned while the second copy is carried out.
#[tokio::test]
async fn first_copy_refused() {
    let (res, is_stored) = append_twice((false, FAST), (true, SLOW)).await;
    assert!(res.is_ok() && is_stored, "{res:?}");
}

#[tokio::test]
async fn second_copy_refused() {
    let (res, is_stored) = append_twice((true, SLOW), (false, FAST)).await;
    assert!(res.is_ok() && is_stored, "{res:?}");
}

#[tokio::test]
async fn both_copies_refused() {
    for (first, second) in [(FAST, SLOW), (SLOW, FAST)] {
        let (res, is_stored) = append_twice((false, first), (false, second)).await;
        assert!(matches!(res, Err(StoreError::NotDone { .. })) && !is_stored, "{res:?}");
    }
}

#[tokio::test]
async fn other_copy_unanswered() {
    for (first, second) in [((false, FAST), (true, NEVER)), ((true, NEVER), (false, FAST))] {
        let (res, is_stored) = append_twice(first, second).await;
        assert!(matches!(res, Err(StoreError::Unknown { .. })) && is_stored, "{res:?}");
    }
}

/// Draws the fates of the next appends: the store is sound, or refuses what it does not answer soon.
fn draw_fates(rng: &mut FaultRng, store: &TurnStore) {
    store.takes(Duration::from_millis(4 + rng.below(300)));
    let fates = (0..4).map(|_| match rng.below(8) {
        0..=3 => Fate::Refused,
        4 => Fate::AnswerLost,
        5 => Fate::Silent,
        _ => Fate::Done,
    });
    store.add_fates(fates);
}

/// Plays a history of callers at a store that refuses appends late; returns the number of late refusals.
async fn play(seed: u64) -> u64 {
    let mut rng = FaultRng::mixed(seed);
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    store.sends_copies(COPY_AFTER, CALL_TIMEOUT);
    let node = Arc::new(Node::new(settings("entry-1"), store.clone()));
    let writer = tokio::spawn(inbox::run(node.clone()));
    let mut callers = JoinSet::new();
    for n in 0..RECORDS {
        if rng.below(4) == 0 {
            draw_fates(&mut rng, &store);
        }
        let node = node.clone();
        callers.spawn(async move {
            let key = format!("job-{n}");
            let stored = node.inbox_writer.store(rec(&key), CALLER_TIMEOUT).await;
            (key, stored)
        });
        tokio::time::sleep(Duration::from_millis(rng.below(200))).await;
    }
    let told = callers.join_all().await;
    tokio::time::sleep(CALLER_TIMEOUT).await;
    let done: BTreeSet<String> = store.done().into_iter().flatten().collect();
    for (key, stored) in told {
        match stored {
            Stored::Yes => assert!(done.contains(&key), "seed {seed}: {key} was accepted and is not there"),
            Stored::No => assert!(!done.contains(&key), "seed {seed}: {key} was refused and is there"),
            Stored::Unknown => {}
        }
    }
    writer.abort();
    store.late_refusals()
}

#[tokio::test(start_paused = true)]
async fn random_refusals() {
    let mut late = 0;
    for seed in 1..=HISTORIES {
        late += play(seed).await;
    }
    assert!(late > HISTORIES, "{late} late refusals");
}

#[tokio::test(start_paused = true)]
#[ignore = "by hand: the seeds FROM-TO in HISTORY_SEEDS"]
async fn seeds_by_hand() {
    for seed in hand_seeds() {
        play(seed).await;
    }
}
