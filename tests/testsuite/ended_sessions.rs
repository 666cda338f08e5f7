//! Sessions with relays that end because their lease holder stops by plan.

use std::time::Duration;

use workswood::ops::jobs::relay_grants::RelayGrants;
use workswood_peers::Msg;
use workswood_peers::relay::RelayOrders;

use super::centre_bridges::{open, process, tell};

/// How long something that must not happen is waited for.
const PAUSE: Duration = Duration::from_millis(50);

/// A successor would count the relay's grant though it extends no lease any more.
#[tokio::test]
async fn relay_confirms_end() {
    let (holder, relay) = (process("b", "asks").await, process("b", "asked").await);
    tell(&holder, &relay, &relay.settings.peers.to_string());
    let (_, (mut tx, mut rx)) = open(&holder, 1).await.expect("a session");
    let end = RelayOrders { end: true, ..RelayOrders::default() };
    tx.send(Msg::RelayOrders(end)).await.expect("it is sent");
    loop {
        let Ok(Msg::RelayUpdate(update)) = rx.next().await else { panic!("it closed without a word") };
        if update.ended {
            break;
        }
    }
    assert!(rx.next().await.is_err(), "the session is over");
}

#[tokio::test(start_paused = true)]
async fn confirmed_session_counts_no_more() {
    let (now, later) = (Duration::from_secs(10), Duration::from_secs(13));
    let grants = RelayGrants::default();
    grants.note(1, Duration::from_secs(9));
    assert!(tokio::time::timeout(PAUSE, grants.until_ended(now)).await.is_ok(), "that grant is over");
    grants.note(2, later);
    grants.note(3, Duration::from_secs(12));
    assert!(tokio::time::timeout(PAUSE, grants.until_ended(now)).await.is_err());
    grants.end(3);
    assert_eq!(grants.latest(), later);
    grants.end(2);
    assert!(tokio::time::timeout(PAUSE, grants.until_ended(now)).await.is_ok());
    assert_eq!(grants.latest(), Duration::ZERO);
}
