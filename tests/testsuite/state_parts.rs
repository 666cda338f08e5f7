//! States of jobs that are larger than a record of the store, and batches that are larger than an append.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use workswood::ops::jobs::append_calls::{Append, StateEncoder};
use workswood::ops::jobs::job_state;
use workswood::ops::jobs::record::state_record;
use workswood::ops::jobs::state_parts::StateParts;
use workswood::util::job_settings::StoreSizes;
use workswood_adapter::size_in_append;
use workswood_adapter_standin::caller::{JobReply, Submission, config, request_state, submit_job};
use workswood_adapter_standin::settings_template::{DEPLOYED, ProcessAddresses, fill, promised_fields};
use workswood_adapter_standin::{Ledger, StoreStandin, StoredTopic, WorkerStandin};
use workswood_core::jobs::job::{StateSlot, TaskRecord, WorkerId};
use workswood_core::jobs::{JobKey, JobOwner, JobRecord, Outcome, Owner, Record};
use workswood_platform::jobs::KeyedRecord;
use workswood_test_support::program::{Program, free_ports};

use super::settings_template::start_with;

/// Sizes of the platform's store.
const SIZES: StoreSizes = StoreSizes { record: 262_144, append: 2_097_152 };
/// Bytes of an append beside key and value of a record.
const FRAMING: usize = 4;
const KEY: JobKey = JobKey::of_number(0xa1);

/// The state of a job of so many tasks, all of which run, have a checkpoint and have failed once.
fn state_of(tasks: u32) -> JobRecord {
    let worker = |n: u32| WorkerId::from(format!("i-{:08x}", n % 12).as_str());
    let task = |n: u32| TaskRecord {
        failed_runs: [(1, Some(&worker(n)))].into_iter().collect(),
        latest_attempt: 2,
        checkpoint: format!("{n:016x}").into(),
        runs: [(worker(n + 1), 2)].into(),
        ..TaskRecord::default()
    };
    let owner = Some(Owner::of_workspace(Some("north")));
    JobRecord {
        started: true,
        owner,
        rounds: vec![vec![(0..tasks).map(task).collect()]],
        ..JobRecord::default()
    }
}

/// The records with which a record of the state is stored, none of which is larger than `record` bytes.
fn split(rec: &Record, parts: &mut StateParts, record: usize) -> Vec<KeyedRecord> {
    let header = |header| match rec {
        Record::Job(_, state) => job_state::encode_header(state, header),
        _ => job_state::encode_plain_header(header),
    };
    let units = parts.split(state_record(rec), StoreSizes { record, ..SIZES }, header);
    assert_eq!(units.len(), 1, "one append takes them");
    units.concat()
}

fn deleted(records: &[KeyedRecord]) -> Vec<&str> {
    records.iter().filter(|rec| rec.value.is_none()).map(|rec| rec.key.as_str()).collect()
}

/// Guards against a state that the store refuses for its size.
#[test]
fn large_state_is_read_back() {
    let state = state_of(10_000);
    let mut parts = StateParts::default();
    let stored = split(&Record::Job(KEY, state.clone()), &mut parts, SIZES.record);
    assert!(stored.len() > 2 && stored.iter().all(|rec| size_in_append(rec) - FRAMING <= SIZES.record));
    let (read, known) = StateParts::join(stored);
    assert_eq!(known, parts);
    assert_eq!(read.iter().map(|rec| rec.key.as_str()).collect::<Vec<_>>(), ["00000000000000a1"]);
    let read = job_state::decode(read[0].value.as_deref().expect("a value")).expect("a state");
    assert_eq!(read, state);
}

#[test]
fn parts_are_deleted() {
    let large = parts_of(5_000, &mut StateParts::default()).len();
    let mut parts = StateParts::default();
    assert_eq!(parts_of(10, &mut parts).len(), 1, "a small state is one record");
    parts_of(5_000, &mut parts);
    let smaller = parts_of(10, &mut parts);
    assert_eq!(deleted(&smaller).len(), large - 1, "{:?}", deleted(&smaller));
    assert_eq!(parts_of(10, &mut parts).len(), 1, "once");
    let stored = parts_of(5_000, &mut parts);
    let (_, mut successors) = StateParts::join(stored);
    let drop = Record::DropJob(KEY, StateSlot::Number);
    let dropped = split(&drop, &mut successors, SMALL_RECORD);
    assert_eq!(deleted(&dropped).len(), large, "{:?}", deleted(&dropped));
}

/// Largest record of a small store.
const SMALL_RECORD: usize = 65_536;

fn parts_of(tasks: u32, parts: &mut StateParts) -> Vec<KeyedRecord> {
    split(&Record::Job(KEY, state_of(tasks)), parts, SMALL_RECORD)
}

/// Tasks whose state is lost may have run, so the job is not begun anew. Versions that know no parts read the same.
#[test]
fn parts_are_missing() {
    let stored = parts_of(5_000, &mut StateParts::default());
    for left_out in 1..stored.len() {
        let mut stored = stored.clone();
        stored.remove(left_out);
        let (read, _) = StateParts::join(stored);
        let state = job_state::decode(read[0].value.as_deref().expect("a value")).expect("a state");
        assert_eq!((state.outcome, state.owner), (Some(Outcome::Failed), state_of(1).owner));
    }
}

/// A batch that one append doesn't take is written by several; the jobs of a number stay together.
#[test]
fn large_batch() {
    let small = Record::DropWorker("i-1".into());
    let key = |number: u64, name: &str| JobKey {
        number,
        owner: JobOwner::of_workspace(Owner::of_workspace(Some(name))),
    };
    let of = |number: u64| Record::Job(key(number, "north"), state_of(8_000));
    let second = |number: u64| {
        let owner = Some(Owner::of_workspace(Some("south")));
        Record::Job(
            key(number, "south"),
            JobRecord { owner, slot: StateSlot::NumberAndOwner, ..state_of(8_000) },
        )
    };
    let appends_of = |records: &[Record]| -> Vec<Vec<KeyedRecord>> {
        StateEncoder::default().appends_of(records, SIZES).iter().map(Append::records).collect()
    };
    let one = appends_of(&[of(1), small.clone()]);
    assert_eq!(one.len(), 1);
    let batch: Vec<Record> = (1..=6).flat_map(|key| [of(key), second(key)]).chain([small]).collect();
    let appends = appends_of(&batch);
    assert!(appends.len() > 1);
    let size = |records: &Vec<KeyedRecord>| records.iter().map(size_in_append).sum::<usize>();
    assert!(appends.iter().all(|records| size(records) <= SIZES.append));
    assert_eq!(
        appends.last().and_then(|records| records.last()).map(|rec| rec.key.as_str()),
        Some("worker-i-1")
    );
    for key in 1..=6 {
        let number = format!("{key:016x}");
        let with_job = appends.iter().filter(|records| records.iter().any(|rec| rec.key.contains(&number)));
        assert_eq!(with_job.count(), 1, "job {key}");
    }
}

const SERVICE: &str = "desk";
/// Number of sites so far.
static SITES: AtomicUsize = AtomicUsize::new(0);
pub(super) const LARGE: &str = "00000000000000b1";
pub(super) const SMALL: &str = "00000000000000b2";
/// Beginning of the keys of parts of the state of the large job.
const PART: &str = "part-00000000000000b1-";
/// Tasks of the large job in each of two steps, all of which run at once.
const TASKS: u32 = 2_000;
/// Sizes that the store of a site takes.
pub(super) const TAKEN: StoreSizes = StoreSizes { record: 4_096, append: 65_536 };
/// How long a task takes.
const TAKES: Duration = Duration::from_secs(4);
/// All that is waited for comes within this time.
const WITHIN: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(50);

/// Two entries with the deployed settings at a store that takes small records only.
pub(super) struct Site {
    pub store: StoreStandin,
    pub ledger: Arc<Ledger>,
    pub worker: WorkerStandin,
    pub entries: Vec<(SocketAddr, Program)>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// A site whose entries are told these sizes, in a folder of its own.
    pub async fn new(name: &str, told: StoreSizes) -> Site {
        let folder = std::env::temp_dir().join(format!("workswood-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = StoreStandin::start().await;
        store.faults(|f| f.max_bytes = Some((TAKEN.record, TAKEN.append)));
        store.declare(&config(SERVICE, 1));
        let ledger: Arc<Ledger> = Arc::default();
        let worker = WorkerStandin::start_with_ledger("i-0", TAKES, ledger.clone()).await;
        let mut entry: Value = serde_json::from_str(&worker.entry(SERVICE, "m-0")).expect("an entry");
        entry["capacity"] = json!({"cpu": 2_000_000, "mem_mb": 1_000_000, "gpus": 0});
        store.enter_worker("i-0", &entry.to_string());
        let pid = std::process::id();
        // Each site of a process has its own address.
        let at = 88 + SITES.fetch_add(1, Ordering::Relaxed) % 16;
        let ip = format!("127.{at}.{}.{}", pid >> 8 & 255, pid & 255);
        let ports = free_ports(&ip, 10);
        let address = store.address.to_string();
        let start = |(n, ports): (usize, &[SocketAddr])| {
            let numbers = std::array::from_fn(|n| ports[n].port());
            let addresses = ProcessAddresses { ip: &ip, ports: numbers, store: &address, hosts: &address };
            let mut fields = promised_fields(&format!("entry-{n}"), &addresses);
            fields["platform"]["record_bytes"] = json!(told.record);
            fields["platform"]["call_bytes"] = json!(told.append);
            let path = folder.join(format!("entry-{n}.json"));
            std::fs::write(&path, fill(DEPLOYED, &fields).expect("every gap is filled")).expect("a file");
            (ports[0], start_with(&path))
        };
        let entries = ports.chunks(5).enumerate().map(start).collect();
        Site { store, ledger, worker, entries, folder }
    }

    pub async fn submit(&self, at: usize, job: &str, tasks: u32) {
        let until = Instant::now() + WITHIN;
        while submit_job(self.entries[at].0, job, tasks).await != Submission::Accepted {
            assert!(Instant::now() < until, "{job} is not accepted");
            tokio::time::sleep(PAUSE).await;
        }
    }

    pub async fn until_state(&self, at: usize, job: &str, wanted: &str) {
        let until = Instant::now() + WITHIN;
        while request_state(self.entries[at].0, job).await != JobReply::State(wanted.to_string()) {
            assert!(Instant::now() < until, "{job} is not {wanted}");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Waits until the state of the large job is stored in parts, or no longer is.
    pub async fn until_in_parts(&self, wanted: bool) {
        let until = Instant::now() + WITHIN;
        while self.store.has_key(StoredTopic::State, PART) != wanted {
            assert!(Instant::now() < until, "in parts: {}", !wanted);
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// What the entries have logged so far.
    pub fn logs(&self) -> String {
        let log = |n: usize| std::fs::read_to_string(self.folder.join(format!("entry-{n}.log")));
        (0..self.entries.len()).filter_map(|n| log(n).ok()).collect()
    }

    /// Ends the entry that holds the lease; returns the other one.
    pub fn kill_holder(&mut self) -> usize {
        let holder = self.holder();
        self.entries[holder].1.signal("-KILL");
        self.entries[holder].1.wait();
        1 - holder
    }

    /// The entry that holds the lease.
    pub fn holder(&self) -> usize {
        let lease = self.store.newest(StoredTopic::Lease, "holder").expect("a lease");
        usize::from(!lease.contains("entry-0"))
    }
}

/// LOST: a state outgrows the largest record, and no job is stored or begins any more.
#[tokio::test(flavor = "multi_thread")]
async fn other_jobs_go_on() {
    let mut site = Site::new("parts", TAKEN).await;
    site.submit(0, LARGE, TASKS).await;
    site.until_in_parts(true).await;
    let holder = site.holder();
    site.submit(holder, SMALL, 1).await;
    site.until_state(holder, SMALL, "running").await;
    site.until_in_parts(true).await;
    let other = site.kill_holder();
    for job in [SMALL, LARGE] {
        site.until_state(other, job, "completed").await;
    }
    site.until_in_parts(false).await;
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}
