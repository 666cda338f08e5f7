//! What the caller of a job is told, over all hand-ins of the job.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use workswood::ops::jobs::Node;
use workswood::ops::jobs::hand_in::{HandIn, hand_in};
use workswood::ops::jobs::inbox::{self, Stored};
use workswood::ops::jobs::job_status_table::JobStatusTable;
use workswood::ops::jobs::node::SchedulerHandle;
use workswood::ops::jobs::submitted_numbers::{NumberUse, OwnJob, SubmittedNumbers};
use workswood_callers::HeldBytes;
use workswood_core::jobs::{
    JobKey, JobOwner, JobSpec, JobStatus, JobStatusUpdate, Owner, SchedConfig, Workspace,
};
use workswood_platform::jobs::CopyOutcome;
use workswood_test_support::job_node::settings;
use workswood_test_support::job_world::{SERVICE, config, job, step};
use workswood_test_support::turn_store::{Fate, TurnStore};

const KEY: u64 = 1;
const OTHER_KEY: u64 = 2;
/// Time that callers wait.
const TIMEOUT: Duration = Duration::from_millis(2800);
/// Refusals after which a record is given up.
const REFUSALS: usize = 3;
const EACH: Duration = Duration::from_millis(4);

const ACCEPTED: HandIn = HandIn::Settled(Stored::Yes);
const REFUSED: HandIn = HandIn::Settled(Stored::No);
const UNKNOWN: HandIn = HandIn::Settled(Stored::Unknown);

fn owner(workspace: &str) -> Owner {
    Owner::of_workspace(Some(workspace))
}

/// The key of a workspace's job.
fn key_of(number: u64, workspace: &str) -> JobKey {
    JobKey { number, owner: JobOwner::of_workspace(owner(workspace)) }
}

/// An entry with a store, whose configuration has two workspaces.
struct Entry {
    node: Arc<Node>,
    store: Arc<TurnStore>,
    cfg: SchedConfig,
}

impl Entry {
    fn new() -> Entry {
        let store = Arc::new(TurnStore::new(EACH, &[]));
        let node = Arc::new(Node::new(settings("entry-1"), store.clone()));
        tokio::spawn(inbox::run(node.clone()));
        let mut cfg = config();
        for name in ["a", "b"] {
            cfg.workspaces
                .by_owner
                .insert(owner(name), Workspace { name: name.to_string(), ..Workspace::default() });
        }
        Entry { node, store, cfg }
    }

    async fn hand_in(&self, number: u64, workspace: &str) -> HandIn {
        let spec = job(vec![step(1, vec![])], 10);
        let spec = JobSpec { workspace: Some(workspace.to_string()), ..spec };
        hand_in(&self.node, &self.cfg, number, spec, TIMEOUT, HeldBytes::default()).await
    }

    fn refuses(&self) {
        self.store.add_fates([Fate::Refused; REFUSALS]);
    }

    /// Number of appends that were carried out with a record of the job.
    fn stored(&self, number: u64) -> usize {
        let number = format!("{number:016x}");
        self.store.done().iter().flatten().filter(|k| k.contains(&number)).count()
    }

    /// Lets the process hold the lease. It knows these jobs, and has read the inbox at a time.
    fn holds_lease(&self, known: &[(u64, &str)], inbox_read_ms: u64) -> Arc<SchedulerHandle> {
        let (tx, stop) = (mpsc::unbounded_channel().0, watch::Sender::new(false));
        let handle = Arc::new(SchedulerHandle::new(7, self.node.now(), Duration::ZERO, tx, stop));
        let mut table = JobStatusTable::default();
        for (key, workspace) in known {
            table.update(JobStatusUpdate {
                key: key_of(*key, workspace),
                queue: String::new(),
                service: SERVICE.to_string(),
                repeats: false,
                state: Some(JobStatus::Queued),
            });
        }
        *handle.job_statuses.write() = table;
        handle.inbox_read_ms.store(inbox_read_ms, std::sync::atomic::Ordering::Release);
        self.node.scheduler.store(Some(handle.clone()));
        handle
    }
}

/// Guards against a refusal of a job whose earlier hand-in may be stored: its answer was lost.
#[tokio::test(start_paused = true)]
async fn refused_after_silence() {
    let entry = Entry::new();
    entry.store.add_fates([Fate::AnswerLost]);
    entry.refuses();
    assert_eq!(entry.hand_in(KEY, "a").await, UNKNOWN);
    assert_eq!(entry.stored(KEY), 1);
    entry.refuses();
    assert_eq!(entry.hand_in(KEY, "a").await, UNKNOWN, "it is stored and runs");
    assert_eq!(entry.hand_in(KEY, "a").await, ACCEPTED);
    entry.refuses();
    assert_eq!(entry.hand_in(OTHER_KEY, "a").await, REFUSED, "a plain refusal stays one");
}

/// The same while the earlier hand-in is under way.
#[tokio::test(start_paused = true)]
async fn refused_beside_another() {
    let entry = Arc::new(Entry::new());
    entry.store.add_fates([Fate::Silent, Fate::Refused, Fate::Refused, Fate::Refused]);
    let first = tokio::spawn({
        let entry = entry.clone();
        async move { entry.hand_in(KEY, "a").await }
    });
    tokio::time::sleep(EACH * 2).await;
    assert_eq!(entry.hand_in(KEY, "a").await, UNKNOWN);
    assert_eq!(first.await.expect("an outcome"), UNKNOWN);
}

/// A caller that goes away leaves a record that may be stored later.
#[tokio::test(start_paused = true)]
async fn caller_went_away() {
    let entry = Entry::new();
    entry.store.add_fates([Fate::Silent]);
    assert!(tokio::time::timeout(EACH, entry.hand_in(KEY, "a")).await.is_err());
    entry.refuses();
    assert_eq!(entry.hand_in(KEY, "a").await, UNKNOWN);
}

/// A job that this entry has stored is answered without the store.
#[tokio::test(start_paused = true)]
async fn stored_before() {
    let entry = Entry::new();
    assert_eq!(entry.hand_in(KEY, "a").await, ACCEPTED);
    entry.refuses();
    assert_eq!(entry.hand_in(KEY, "a").await, ACCEPTED);
    assert_eq!(entry.stored(KEY), 1);
}

/// Guards against a refusal by the store of a job that another entry has stored.
#[tokio::test(start_paused = true)]
async fn known_to_holder() {
    let entry = Entry::new();
    entry.holds_lease(&[(KEY, "a")], 0);
    entry.refuses();
    assert_eq!(entry.hand_in(KEY, "a").await, ACCEPTED);
    entry.refuses();
    assert_eq!(entry.hand_in(OTHER_KEY, "a").await, REFUSED);
}

/// Guards against a hand-in that is refused in the end and keeps another owner from the number.
#[tokio::test(start_paused = true)]
async fn refused_leaves_number() {
    let entry = Entry::new();
    entry.refuses();
    assert_eq!(entry.hand_in(KEY, "a").await, REFUSED);
    assert_eq!(entry.hand_in(KEY, "b").await, ACCEPTED);
}

/// A number that another owner's job has is refused only once the holder has read what was stored before.
#[tokio::test(start_paused = true)]
async fn inbox_not_read_yet() {
    let entry = Entry::new();
    assert_eq!(entry.hand_in(KEY, "b").await, ACCEPTED);
    assert_eq!(entry.hand_in(KEY, "a").await, UNKNOWN, "nobody answers for the holder");
    tokio::time::sleep(TIMEOUT).await;
    let read_at = entry.node.now().as_millis() as u64;
    let handle = entry.holds_lease(&[(KEY, "b")], read_at);
    tokio::time::sleep(EACH).await;
    assert_eq!(entry.hand_in(KEY, "a").await, UNKNOWN, "it has read nothing since");
    let reads = tokio::spawn({
        let (node, handle) = (entry.node.clone(), handle.clone());
        async move {
            tokio::time::sleep(Duration::from_millis(700)).await;
            let read_at = node.now().as_millis() as u64;
            handle.inbox_read_ms.store(read_at, std::sync::atomic::Ordering::Release);
        }
    });
    assert_eq!(entry.hand_in(KEY, "a").await, HandIn::NumberTaken);
    reads.await.expect("it reads");
    assert_eq!(entry.stored(KEY), 1, "nothing was stored of it");
    assert_eq!(entry.hand_in(KEY, "b").await, ACCEPTED, "its owner's");
}

/// What entries and the holder know of the caller's own job decides, in this order.
#[test]
fn own_job_goes_first() {
    use {CopyOutcome as At, NumberUse as Use, OwnJob as Own};
    for at_holder in [Own::Known, Own::NotStored, Own::Unclear] {
        assert_eq!(Use::of_taken(At::Done, at_holder), Use::Accepted);
    }
    for at_entries in [At::NotDone, At::Unknown] {
        assert_eq!(Use::of_taken(at_entries, Own::Known), Use::Accepted);
    }
    assert_eq!(Use::of_taken(At::Unknown, Own::NotStored), Use::PerhapsOwn, "it may be stored later");
    assert_eq!(Use::of_taken(At::NotDone, Own::NotStored), Use::Taken);
    assert_eq!(Use::of_taken(At::NotDone, Own::Unclear), Use::Unclear);
    let ms = Duration::from_millis;
    assert_eq!(Own::of(false, Some(ms(20)), ms(20)), Own::NotStored);
    assert_eq!(Own::of(false, Some(ms(21)), ms(20)), Own::Unclear);
    assert_eq!(Own::of(false, None, ms(20)), Own::Unclear, "an entry of an earlier version");
    assert_eq!(Own::of(true, None, ms(0)), Own::Known);
}

#[test]
fn hand_ins_are_forgotten() {
    let mut numbers = SubmittedNumbers::default();
    let (a, b, other) = (key_of(KEY, "a"), key_of(KEY, "b"), key_of(OTHER_KEY, "b"));
    let second = Duration::from_secs(1);
    numbers.begin(a, SERVICE, Duration::ZERO);
    assert_eq!(numbers.outcome(a), CopyOutcome::Unknown);
    assert!(!numbers.is_other_owners(b, SERVICE), "it may be refused");
    assert_eq!(numbers.settle(a, CopyOutcome::NotDone), CopyOutcome::NotDone);
    numbers.begin(a, SERVICE, second * 50);
    assert_eq!(numbers.settle(a, CopyOutcome::Done), CopyOutcome::Done);
    assert!(numbers.is_other_owners(b, SERVICE) && !numbers.is_other_owners(a, SERVICE));
    numbers.begin(other, SERVICE, second * 70);
    assert_eq!(numbers.outcome(a), CopyOutcome::Done, "the refused one was the older one");
    numbers.begin(other, SERVICE, second * 111);
    assert_eq!(numbers.outcome(a), CopyOutcome::NotDone);
    assert_eq!(numbers.outcome(other), CopyOutcome::Unknown);
    for n in 0..20_000 {
        numbers.begin(key_of(n, "a"), SERVICE, second * 112);
    }
    assert_eq!(numbers.outcome(key_of(0, "a")), CopyOutcome::NotDone, "a bounded number of them");
    assert_eq!(numbers.outcome(key_of(19_999, "a")), CopyOutcome::Unknown);
}
