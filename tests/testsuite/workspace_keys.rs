//! Whose call it is: keys of workspaces, on real processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use workswood_adapter_standin::caller::{WorkspaceConfig, keyed_config, request_with_key};
use workswood_adapter_standin::{Ledger, StoreStandin, WorkerStandin};
use workswood_core::jobs::workspace::ApiKeys;
use workswood_test_support::job_entry::{PORTS, start_entry};
use workswood_test_support::program::{Program, free_ports};

const SERVICE: &str = "desk";
const ENTRIES: usize = 2;
/// How long a task takes: longer than the questions of a test.
const TAKES: Duration = Duration::from_millis(1500);
/// All that is waited for comes within this time: some seconds for the lease, and the work.
const WITHIN: Duration = Duration::from_secs(20);
/// A change has to be in force within this time.
const IN_FORCE: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(50);

const NORTH: WorkspaceConfig<'static> = ("north", &["key-of-north-1", "key-of-north-2"], 0);
const SOUTH: WorkspaceConfig<'static> = ("south", &["key-of-south"], 0);

/// Two entries whose queue requires a key, and one worker.
pub(super) struct Stage {
    pub(super) store: StoreStandin,
    _worker: WorkerStandin,
    pub(super) ledger: Arc<Ledger>,
    /// Each entry, with the address of its listener for callers.
    pub(super) entries: Vec<(SocketAddr, Program)>,
    folder: PathBuf,
}

impl Stage {
    pub(super) async fn new(name: &str, net: u8) -> Stage {
        let folder = std::env::temp_dir().join(format!("workswood-keys-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = StoreStandin::start().await;
        store.declare(&keyed_config(SERVICE, 1, &[NORTH, SOUTH]));
        let ledger: Arc<Ledger> = Arc::default();
        let worker = WorkerStandin::start_with_ledger("i-0", TAKES, ledger.clone()).await;
        store.enter_worker("i-0", &worker.entry(SERVICE, "m-0"));
        let pid = std::process::id();
        let address = format!("127.{net}.{}.{}", pid >> 8 & 255, pid & 255);
        let start = |(n, ports): (usize, &[SocketAddr])| {
            let bin = env!("CARGO_BIN_EXE_workswood");
            (ports[0], start_entry(bin, &folder, n, ports, store.address, store.address))
        };
        let ports = free_ports(&address, PORTS * ENTRIES);
        let entries = ports.chunks(PORTS).enumerate().map(start).collect();
        Stage { store, _worker: worker, ledger, entries, folder }
    }

    /// The status of a call, once an entry has one that is not for now.
    pub(super) async fn call(
        &self,
        at: usize,
        method: &str,
        job: &str,
        key: Option<&str>,
    ) -> (u16, Option<String>) {
        let until = Instant::now() + WITHIN;
        loop {
            match request_with_key(self.entries[at].0, method, job, key).await {
                Some((status, state)) if status != 503 && status != 504 => return (status, state),
                other => assert!(Instant::now() < until, "{method} {job}: {other:?}"),
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Removes the folder with the logs.
    pub(super) fn clean_up(&self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    pub(super) async fn until_state(&self, job: &str, key: &str, wanted: &str) {
        let until = Instant::now() + WITHIN;
        loop {
            let (status, state) = self.call(0, "GET", job, Some(key)).await;
            if (status, state.as_deref()) == (200, Some(wanted)) {
                return;
            }
            assert!(Instant::now() < until, "{job} is {state:?}, not {wanted}");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

const JOB: &str = "00000000000000a1";
const OTHER: &str = "00000000000000a2";

#[tokio::test(flavor = "multi_thread")]
async fn job_is_its_workspace_s() {
    let stage = Stage::new("owner", 81).await;
    for key in [None, Some("key-of-nobody"), Some("key-of-north")] {
        assert_eq!(stage.call(0, "POST", JOB, key).await.0, 401, "{key:?}");
        assert_eq!(stage.call(1, "GET", JOB, key).await.0, 401, "{key:?}");
    }
    assert_eq!(stage.call(0, "GET", JOB, Some("key-of-south")).await.0, 410, "nothing was stored of it");
    assert_eq!(stage.call(0, "POST", JOB, Some("key-of-north-1")).await.0, 200);
    stage.until_state(JOB, "key-of-north-2", "running").await;
    for at in 0..ENTRIES {
        assert_eq!(stage.call(at, "GET", JOB, Some("key-of-south")).await.0, 410, "it is not shown");
        assert_eq!(stage.call(at, "DELETE", JOB, Some("key-of-south")).await.0, 410, "nor cancelled");
        assert_eq!(stage.call(at, "DELETE", JOB, None).await.0, 401);
    }
    stage.until_state(JOB, "key-of-north-1", "completed").await;
    assert_eq!(stage.call(1, "POST", OTHER, Some("key-of-south")).await.0, 200);
    stage.until_state(OTHER, "key-of-south", "running").await;
    assert_eq!(stage.call(1, "DELETE", OTHER, Some("key-of-south")).await.0, 200);
    stage.until_state(OTHER, "key-of-south", "canceled").await;
    assert_eq!(stage.ledger.violations(), Vec::<String>::new());
    for n in 0..ENTRIES {
        let log = std::fs::read_to_string(stage.folder.join(format!("entry-{n}.log"))).expect("a log");
        assert!(log.contains("event=key_refused"), "refusals are told");
        assert!(!log.contains("key-of-"), "keys are not");
    }
    stage.clean_up();
}

#[tokio::test(flavor = "multi_thread")]
async fn taken_key_is_refused() {
    let stage = Stage::new("taken", 82).await;
    assert_eq!(stage.call(0, "POST", JOB, Some("key-of-south")).await.0, 200);
    stage.store.declare(&keyed_config(SERVICE, 2, &[NORTH, ("south", &["another-key-of-south"], 0)]));
    let until = Instant::now() + IN_FORCE;
    for at in 0..ENTRIES {
        while stage.call(at, "GET", JOB, Some("key-of-south")).await.0 != 401 {
            assert!(Instant::now() < until, "entry {at} takes it still");
            tokio::time::sleep(PAUSE).await;
        }
        assert_eq!(stage.call(at, "GET", JOB, Some("another-key-of-south")).await.0, 200);
    }
    stage.clean_up();
}

#[test]
fn keys_are_not_shown() {
    let mut keys = ApiKeys::default();
    keys.add("key-of-north", "north");
    keys.add("key-of-south", "south");
    assert_eq!(keys.workspace("key-of-north").map(String::as_str), Some("north"));
    assert_eq!(keys.workspace("key-of-nort"), None);
    assert_eq!(keys.workspace(""), None);
    assert_eq!(format!("{keys:?}"), "2 keys");
}
