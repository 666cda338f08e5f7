//! A queue with advice, from a caller to the end of its jobs: real processes,
//! and an adviser that fails now and then.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use workswood_adapter_standin::caller::{JobReply, Submission, advised_config, request_state, submit_job};
use workswood_adapter_standin::{AdviserStandin, Ledger, StoreStandin, WorkerStandin};
use workswood_test_support::job_entry::{PORTS, start_entry};
use workswood_test_support::program::{Program, free_ports};

const SERVICE: &str = "desk";
const ENTRIES: usize = 2;
/// How long a task takes.
const TAKES: Duration = Duration::from_millis(100);
/// How long a ticket holds; a step with its call takes a third of it.
const VALID_MS: u64 = 1000;
/// All of a test's jobs are done within this time: some seconds for the lease,
/// and many times the work.
const WITHIN: Duration = Duration::from_secs(20);
/// Time between two questions.
const PAUSE: Duration = Duration::from_millis(50);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// All that stands around a queue with advice.
struct Stage {
    adviser: AdviserStandin,
    workers: Vec<WorkerStandin>,
    store: StoreStandin,
    ledger: Arc<Ledger>,
    entries: Vec<(SocketAddr, Program)>,
    folder: PathBuf,
}

impl Drop for Stage {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Stage {
    /// Four workers, two of which may run nothing, and two processes.
    async fn new(name: &str) -> Stage {
        Stage::with_figures(name, 40, 2, VALID_MS).await
    }

    /// As [`Stage::new`], with these figures of the adviser.
    async fn with_figures(name: &str, decide_ms: u64, each_ms: u64, valid_ms: u64) -> Stage {
        let folder = std::env::temp_dir().join(format!("workswood-advice-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = StoreStandin::start().await;
        let adviser = AdviserStandin::start(ms(decide_ms), ms(each_ms), ms(valid_ms)).await;
        store.declare(&advised_config(SERVICE, 1, decide_ms, each_ms, valid_ms));
        let ledger: Arc<Ledger> = Arc::default();
        let mut workers = Vec::new();
        for n in 0..4 {
            let id = format!("i-{n}");
            let w = WorkerStandin::start_with_ledger(&id, TAKES, ledger.clone()).await;
            w.require_tickets(&adviser.tickets);
            store.enter_worker(&id, &w.entry(SERVICE, &format!("m-{n}")));
            workers.push(w);
        }
        adviser.refuse("i-0");
        adviser.refuse("i-2");
        let mut stage = Stage { adviser, workers, store, ledger, entries: Vec::new(), folder };
        let pid = std::process::id();
        let address = format!("127.79.{}.{}", pid >> 8 & 255, pid & 255);
        for (n, ports) in free_ports(&address, PORTS * ENTRIES).chunks(PORTS).enumerate() {
            let program = stage.start(n, ports);
            stage.entries.push((ports[0], program));
        }
        stage
    }

    fn start(&self, n: usize, ports: &[SocketAddr]) -> Program {
        let (store, adviser) = (self.store.address, self.adviser.address);
        start_entry(env!("CARGO_BIN_EXE_workswood"), &self.folder, n, ports, store, adviser)
    }

    /// Hands jobs in, each until it is accepted.
    async fn hand_in(&self, numbers: std::ops::Range<u64>) -> Vec<String> {
        let until = Instant::now() + WITHIN;
        let mut jobs = Vec::new();
        for n in numbers {
            let job = format!("{n:016x}");
            let to = self.entries[n as usize % ENTRIES].0;
            while submit_job(to, &job, 3).await != Submission::Accepted {
                assert!(Instant::now() < until, "{job} is not accepted");
                tokio::time::sleep(PAUSE).await;
            }
            jobs.push(job);
        }
        jobs
    }

    /// Whether a process has logged a line with this text.
    fn logged(&self, text: &str) -> bool {
        let files = std::fs::read_dir(&self.folder).expect("a folder").flatten();
        let mut logs = files.filter_map(|f| std::fs::read_to_string(f.path()).ok());
        logs.any(|log| log.contains(text))
    }

    /// Waits until jobs are done, as any process tells.
    async fn completed(&self, jobs: &[String]) {
        let until = Instant::now() + WITHIN;
        for (n, job) in jobs.iter().enumerate() {
            let done = JobReply::State("completed".to_string());
            loop {
                let told = request_state(self.entries[n % ENTRIES].0, job).await;
                if told == done {
                    break;
                }
                assert!(Instant::now() < until, "{job}: {told:?}");
                tokio::time::sleep(PAUSE).await;
            }
        }
        assert_eq!(self.ledger.violations(), Vec::<String>::new());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn advised_jobs_are_served() {
    let stage = Stage::new("served").await;
    let jobs = stage.hand_in(1..9).await;
    stage.completed(&jobs).await;
    let starts: Vec<usize> = stage.workers.iter().map(|w| w.starts().len()).collect();
    assert_eq!((starts[0], starts[2]), (0, 0), "they may run nothing: {starts:?}");
    assert_eq!(starts[1] + starts[3], 8 * 2 * 3);
    let rejected: u64 = stage.workers.iter().map(WorkerStandin::without_ticket).sum();
    assert_eq!(rejected, 0, "no start without a ticket that holds");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn adviser_in_trouble() {
    let stage = Stage::new("trouble").await;
    let jobs = stage.hand_in(1..4).await;
    stage.completed(&jobs).await;
    for (n, fault) in ["busy", "silent", "late", "void"].into_iter().enumerate() {
        stage.adviser.faults(|f| match fault {
            "busy" => f.busy = 5,
            "silent" => f.silent = 2,
            "late" => f.late = ms(700),
            _ => f.void_tickets = 3,
        });
        let first = 10 * (n as u64 + 1);
        let jobs = stage.hand_in(first..first + 3).await;
        stage.completed(&jobs).await;
        stage.adviser.faults(|f| f.late = Duration::ZERO);
    }
    let rejected: u64 = stage.workers.iter().map(WorkerStandin::without_ticket).sum();
    assert!(rejected >= 1, "void tickets were tried, and asked for again");
}

/// A further worker may cost as much as another call; then one is named at a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_costs_as_much_as_a_call() {
    for (n, (decide, each)) in [(5, 5), (0, 5), (0, 0)].into_iter().enumerate() {
        let stage = Stage::with_figures(&format!("costs-{n}"), decide, each, VALID_MS).await;
        let jobs = stage.hand_in(1..4).await;
        stage.completed(&jobs).await;
    }
}

/// Tickets that no start can use are no reason to keep a job: it is refused at once, and says why.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tickets_that_end_at_once() {
    let stage = Stage::with_figures("no-time", 40, 2, 0).await;
    let until = Instant::now() + WITHIN;
    loop {
        let told = submit_job(stage.entries[0].0, "00000000000000a1", 3).await;
        assert_ne!(told, Submission::Accepted);
        if told == Submission::Refused && stage.logged("reason=advice_unusable") {
            break;
        }
        assert!(Instant::now() < until, "{told:?}");
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(stage.adviser.calls().len(), 0);
}
