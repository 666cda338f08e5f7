//! An entry host's connections to the log go silent: nothing passes on them any more,
//! nobody closes them, and new ones work.
//!
//! What it cost: with six idle connections, each of the next six reads failed after a
//! second. After two in a row the follower takes the log as down, and requests that may
//! not be repeated are refused.
//!
//! The cause: the client had no bound on idle connections, and what one read had learned
//! of them was not used for the next.

use workswood::ops::dev::loopback_settings;
use workswood::ops::entry::Entry;
use workswood::util::settings::Tokens;
use workswood_core::plan::HostAction;
use workswood_platform::{Error, HttpPlatform, Platform};
use workswood_standin::PlatformStandin;
use workswood_test_support::cut::{Cut, Fault};
use workswood_test_support::live::until;

/// Idle connections that are left behind: as many as tasks may call at a time.
const IDLE: usize = 6;

async fn log() -> (PlatformStandin, Cut) {
    let platform = PlatformStandin::start(&[]).await.expect("a platform");
    let cut = Cut::start(&platform.address).await;
    (platform, cut)
}

/// Leaves several idle connections to the log behind.
async fn warm_up(c: &HttpPlatform) {
    let reads = (0..IDLE).map(|_| c.read(0, 1));
    futures::future::try_join_all(reads).await.expect("the log answers");
}

#[tokio::test]
async fn reads_answered() {
    let (_platform, cut) = log().await;
    let c = HttpPlatform::new(&cut.address);
    warm_up(&c).await;
    cut.set(Fault::HalfOpen);
    let mut failed = Vec::new();
    for n in 0..IDLE {
        if let Err(e) = c.read(0, 1).await {
            failed.push(format!("read {n}: {e}"));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
    cut.set(Fault::HalfOpen);
    c.hosts().await.expect("the list is answered");
}

#[tokio::test]
async fn append_sent_once() {
    let (platform, cut) = log().await;
    let c = HttpPlatform::new(&cut.address);
    warm_up(&c).await;
    cut.set(Fault::HalfOpen);
    let (lost, read) = tokio::join!(c.append("a".to_string()), c.read(0, 1));
    read.expect("the read is answered");
    let ended_early = matches!(&lost, Err(Error::NoAnswer { text }) if text != "timed out");
    assert!(ended_early, "the read tells that the append's connection is silent: {lost:?}");
    c.append("b".to_string()).await.expect("the next append goes over a new connection");
    let bodies: Vec<String> = platform.log().into_iter().map(|r| r.body).collect();
    assert_eq!(bodies, ["b"], "what may have been appended is not sent again");
}

#[tokio::test]
async fn refusal_told() {
    let (_platform, cut) = log().await;
    let c = HttpPlatform::new(&cut.address);
    let act = HostAction::Drain { host: "unknown".to_string(), token: 1 };
    let refused = c.act(&act).await;
    assert!(matches!(refused, Err(Error::Refused { status: 409, .. })), "{refused:?}");
    // Nothing listens on this port.
    let unsent = HttpPlatform::new("127.0.0.1:1").act(&act).await;
    assert!(matches!(unsent, Err(Error::Unreachable { .. })), "{unsent:?}");
}

#[tokio::test]
async fn entry_shares_findings() {
    let (_platform, cut) = log().await;
    let settings = loopback_settings("entry-1", "a", &cut.address, Vec::new());
    let tokens = Tokens { operators: String::new(), peers: String::new() };
    let entry = Entry::start(settings, tokens).await.expect("an entry starts");
    let node = entry.node.clone();
    until("the entry is ready", || node.is_set(&node.ready)).await;
    cut.set(Fault::HalfOpen);
    until("the entry finds out", || node.half_open.count() > 0).await;
    assert!(node.is_set(&node.log_up), "one silent connection is no outage");
}
