//! The status of jobs, pools, waves and the lease holder, read from a live system.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::Value;
use workswood_adapter_standin::caller::{Submission, config, submit_job};
use workswood_adapter_standin::{MachinesStandin, StoreStandin, WorkerStandin};
use workswood_test_support::program::{Program, free_ports};

const SERVICE: &str = "desk";
const HOSTS: [&str; 3] = ["m-1", "m-2", "m-3"];
/// Longest wait for the status to show something.
const PATIENCE: Duration = Duration::from_secs(20);

/// Settings of an entry whose store and host service listen there.
fn settings(folder: &Path, store: &str, hosts: &str) -> (PathBuf, std::net::SocketAddr) {
    let ports = free_ports("127.79.0.1", 4);
    let settings = serde_json::json!({
        "name": "entry-1", "data_centre": "north", "callers": ports[0], "readiness": ports[1],
        "peers": ports[2], "metrics": ports[3], "store": store, "machines": hosts, "store_parts": 4,
        "longest_lease_ms": 10000, "machine_handover_ms": 3000, "keep_ended_s": 120, "stop_within_s": 6,
    });
    std::fs::create_dir_all(folder).expect("a folder");
    let path = folder.join("jobs.json");
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    (path, ports[0])
}

fn status(settings: &Path, more: &[&str]) -> std::process::Output {
    let mut c = Command::new(env!("CARGO_BIN_EXE_workswood"));
    c.args(["status", "--jobs"]).arg(settings).args(more).output().expect("it runs")
}

/// Asks until the status shows what is wanted.
fn until(settings: &Path, fits: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + PATIENCE;
    loop {
        let told = status(settings, &["--json"]);
        assert!(told.status.success(), "{}", String::from_utf8_lossy(&told.stderr));
        let read: Value = serde_json::from_slice(&told.stdout).expect("it is JSON");
        if fits(&read) {
            return read;
        }
        assert!(Instant::now() < end, "{read:#}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn live_system() {
    let folder = std::env::temp_dir().join(format!("workswood-status-{}", std::process::id()));
    let store = StoreStandin::start().await;
    let hosts = MachinesStandin::start(SERVICE, &HOSTS).await;
    let (path, callers) = settings(&folder, &store.address.to_string(), &hosts.address.to_string());
    store.declare(&config(SERVICE, 7));
    let before = until(&path, |_| true);
    assert_eq!((&before["holder"], &before["config_version"]), (&Value::Null, &Value::from(7)));
    let mut command = Command::new(env!("CARGO_BIN_EXE_workswood"));
    command.arg("jobs").arg(&path);
    let program = Program::start_logged(command, &folder.join("entry.log"));
    until(&path, |s| s["holder"]["renewing"] == true);
    // No worker yet: a job waits.
    assert_eq!(submit_job(callers, "00000000000000a1", 2).await, Submission::Accepted);
    let waits = until(&path, |s| s["queues"][0]["queued"] == 1);
    assert_eq!(waits["queues"][0]["tasks_open"], 4);
    let worker = WorkerStandin::start("i-m-1-1", Duration::from_millis(50)).await;
    store.enter_worker("i-m-1-1", &worker.entry(SERVICE, "m-1"));
    let done = until(&path, |s| s["queues"][0]["completed"] == 1);
    assert_eq!(done["queues"][0]["queued"], 0);
    let pool = &done["pools"][0];
    assert_eq!((&pool["pool"], &pool["up"], &pool["workers"]), (&SERVICE.into(), &3.into(), &1.into()));
    store.declare_wave(4, &["m-2", "m-3"], 5, 1);
    let open = String::from_utf8(status(&path, &[]).stdout).expect("it is text");
    assert!(open.contains("\nwave  hosts  at once  within s"), "{open}");
    let wave = until(&path, |s| s["waves"][0]["complete"] == true);
    assert_eq!((&wave["waves"][0]["wave"], &wave["waves"][0]["finished"]), (&4.into(), &2.into()));
    let text = String::from_utf8(status(&path, &[]).stdout).expect("it is text");
    assert!(text.starts_with("lease    entry-1, term "), "{text}");
    assert!(text.contains(": renewing\nconfig   version 7\n"), "{text}");
    assert_eq!(wave["unread"], 0);
    drop(program);
    let gone = until(&path, |s| s["holder"]["renewing"] == false);
    assert_eq!(gone["queues"][0]["completed"], 1, "the status needs no process");
    std::fs::remove_dir_all(folder).expect("the folder is ours");
}

#[tokio::test]
async fn hosts_not_known() {
    let folder = std::env::temp_dir().join(format!("workswood-status-gone-{}", std::process::id()));
    let store = StoreStandin::start().await;
    let (path, _) = settings(&folder, &store.address.to_string(), "127.0.0.1:1");
    store.declare(&config(SERVICE, 1));
    let told = tokio::task::spawn_blocking({
        let path = path.clone();
        move || status(&path, &[])
    });
    let told = told.await.expect("it is asked");
    let text = String::from_utf8_lossy(&told.stdout).into_owned();
    assert!(told.status.success() && text.contains("\ndesk  -   -"), "{text}");
    assert!(text.contains("hosts are not known: refused: "), "{text}");
    drop(store);
    std::fs::remove_dir_all(folder).expect("the folder is ours");
}

#[test]
fn store_not_there() {
    let folder = std::env::temp_dir().join(format!("workswood-status-none-{}", std::process::id()));
    let (path, _) = settings(&folder, "127.0.0.1:1", "127.0.0.1:1");
    let told = status(&path, &[]);
    let text = String::from_utf8_lossy(&told.stderr).into_owned();
    assert_eq!(told.status.code(), Some(5), "{text}");
    assert!(text.contains("the store at 127.0.0.1:1 can't be read"), "{text}");
    std::fs::remove_dir_all(folder).expect("the folder is ours");
}
