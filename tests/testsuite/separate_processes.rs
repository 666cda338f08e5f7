//! Entries as processes of their own: killed, frozen and told to stop.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use workswood::ops::dev::{Caller, CallerRequest, loopback_settings};
use workswood_core::fleet::FleetFile;
use workswood_operators::{ApplyReply, ApplyRequest, OperatorClient, Status};
use workswood_standin::PlatformStandin;
use workswood_test_support::files::{maintenance, small};
use workswood_test_support::live::{PATIENCE, Watch, until};
use workswood_test_support::program::{Program, free_ports};

const ENTRIES: usize = 3;

struct Process {
    program: Program,
    operators: String,
    callers: SocketAddr,
    id: String,
}

impl Process {
    fn signal(&self, name: &str) {
        self.program.signal(name);
    }

    fn client(&self) -> OperatorClient {
        OperatorClient::new(&self.operators, "op")
    }
}

fn start(folder: &Path, n: usize, platform: &str, ports: &[SocketAddr]) -> Process {
    let (peers, own) = (&ports[..ENTRIES], &ports[ENTRIES + 2 * n..]);
    let mut s = loopback_settings(&format!("p{n}"), "dc0", platform, peers.to_vec());
    s.callers = own[0];
    s.operators = own[1];
    s.peers = peers[n];
    s.operators_token_file = "op.token".to_string();
    s.peers_token_file = "peer.token".to_string();
    let path = folder.join(format!("p{n}.json"));
    std::fs::write(&path, serde_json::to_string(&s).expect("settings are JSON")).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_workswood"));
    command.arg("entry").arg(path);
    Process {
        program: Program::start(command),
        operators: own[1].to_string(),
        callers: own[0],
        id: format!("p{n}-"),
    }
}

async fn wait(p: &Process, what: &str, fits: impl Fn(&Status) -> bool) -> Status {
    let end = std::time::Instant::now() + PATIENCE;
    loop {
        if let Ok(s) = p.client().status().await
            && fits(&s)
        {
            return s;
        }
        assert!(std::time::Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn apply(p: &Process, file: &FleetFile, base: u64) {
    let req = ApplyRequest {
        id: format!("change-{base}"),
        base,
        author: "test".to_string(),
        text: serde_json::to_string(file).expect("a file is JSON"),
        wait_ms: 0,
    };
    let reply = p.client().apply(&req).await.expect("an answer");
    assert!(matches!(reply, ApplyReply::Accepted { .. }), "{reply:?}");
}

fn planner(s: &Status) -> Option<String> {
    s.duties.iter().find(|d| d.duty == "planner").and_then(|d| d.holder.clone())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn frozen_planner() {
    let folder = std::env::temp_dir().join(format!("workswood-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("op.token"), "op\n").expect("a file");
    std::fs::write(folder.join("peer.token"), "peer\n").expect("a file");
    let mut file = small(8, 6, 4);
    let platform =
        std::sync::Arc::new(PlatformStandin::start(std::slice::from_ref(&file)).await.expect("a platform"));
    // All at once: a port that is let go may be given out again.
    let ports = free_ports("127.77.0.1", 3 * ENTRIES);
    let mut all: Vec<Process> = (0..ENTRIES).map(|n| start(&folder, n, &platform.address, &ports)).collect();
    wait(&all[0], "three on the roster", |s| s.entries.iter().filter(|e| e.on_roster).count() == 3).await;
    apply(&all[0], &file, 0).await;
    let ready = |s: &Status| s.budgets.as_array().is_some_and(|b| b.iter().all(|b| b["available"] == 6));
    wait(&all[0], "all instances ready", ready).await;
    let watch = Watch::start(platform.clone(), "shop");
    file.maintenance = vec![maintenance("kernel", "main")];
    apply(&all[1], &file, 1).await;
    let s = wait(&all[0], "the wave has begun", |s| s.waves[0]["done"].as_u64() >= Some(1)).await;
    // The planner sleeps through its lease, with what it was about to do.
    let holder = planner(&s).expect("somebody plans");
    let i = all.iter().position(|p| holder.starts_with(&p.id)).expect("one of ours");
    all[i].signal("-STOP");
    let other = (i + 1) % 3;
    wait(&all[other], "another plans", |s| planner(s).is_some_and(|p| p != holder)).await;
    wait(&all[other], "the wave goes on", |s| s.waves[0]["done"].as_u64() >= Some(3)).await;
    all[i].signal("-CONT");
    // The new planner is killed at once.
    let s = wait(&all[i], "it follows again", |s| planner(s).is_some_and(|p| p != holder)).await;
    let second = planner(&s).expect("somebody plans");
    let k = all.iter().position(|p| second.starts_with(&p.id)).expect("one of ours");
    all[k].signal("-KILL");
    let rest = (0..3).find(|n| *n != k).expect("two are left");
    let s = wait(&all[rest], "the wave ends", |s| s.waves[0]["stop"]["stop"] == "finished").await;
    assert_eq!((s.invariants_broken, s.first_broken), (0, None));
    assert!(watch.least() >= 4, "only {} were available", watch.least());
    assert_eq!(platform.counters().reboots, 8, "a host was rebooted twice or not at all");
    // A planned stop by signal exits with 0 and cuts off nothing.
    let caller = Caller::to(all[rest].callers);
    let slow = CallerRequest::to("/shop/get?ms=2500").with_body("slow");
    let slow = tokio::spawn(async move { caller.call(slow).await });
    until("it runs", || {
        (0..6).any(|i| platform.endpoint(&format!("shop/{i}")).is_some_and(|e| e.in_flight() > 0))
    })
    .await;
    all[rest].signal("-TERM");
    let res = slow.await.expect("a caller ends").expect("an answer");
    assert_eq!(res.body().as_ref(), b"slow");
    let status = all[rest].program.wait();
    assert!(status.success(), "{status}");
    drop(all);
    let _ = std::fs::remove_dir_all(folder);
}
