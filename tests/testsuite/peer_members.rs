//! Which processes seem alive, and who talks to whom.

use std::time::Duration;

use workswood_core::membership::{DEAD_AFTER, Heartbeat, Liveness, Members, SUSPECT_AFTER};

fn beat(address: &str, id: &str, number: u64) -> Heartbeat {
    let data_centre = address.split('-').next().unwrap_or_default().to_string();
    Heartbeat {
        address: address.into(),
        id: id.into(),
        data_centre,
        seq: number,
        next_offset: 0,
        stopping: false,
    }
}

fn liveness(m: &Members, address: &str) -> Liveness {
    m.iter().find(|m| m.heartbeat.address == address).map(|m| m.liveness).expect("it is known")
}

#[test]
fn suspected_first() {
    let mut m = Members::default();
    assert!(m.record_heartbeat(Duration::ZERO, beat("a-1", "x", 1), true));
    m.update_liveness(SUSPECT_AFTER);
    assert_eq!(liveness(&m, "a-1"), Liveness::Suspect);
    // An old beat told on by others does not bring it back.
    assert!(!m.record_heartbeat(SUSPECT_AFTER, beat("a-1", "x", 1), false));
    assert!(m.record_heartbeat(SUSPECT_AFTER, beat("a-1", "x", 2), true));
    m.update_liveness(SUSPECT_AFTER + DEAD_AFTER);
    assert_eq!(liveness(&m, "a-1"), Liveness::Dead);
    assert!(!m.is_present("x"));
}

#[test]
fn new_incarnation() {
    let mut m = Members::default();
    m.record_heartbeat(Duration::ZERO, beat("a-1", "old", 90), true);
    assert!(m.record_heartbeat(Duration::ZERO, beat("a-1", "new", 1), true));
    assert!(m.is_present("new") && !m.is_present("old"));
}

#[test]
fn few_links() {
    let mut m = Members::default();
    for dc in 0..4 {
        for i in 0..30 {
            let a = format!("d{dc}-{i:02}");
            m.record_heartbeat(Duration::ZERO, beat(&a, &a, 1), true);
        }
    }
    assert!(m.link_addresses("d0-20", "d0").len() <= 10);
    let relay = m.link_addresses("d0-00", "d0");
    assert!(relay.len() <= 16, "{}", relay.len());
    assert!((1..4).all(|dc| relay.iter().any(|a| a.starts_with(&format!("d{dc}-")))));
    assert_eq!(m.sample_heartbeats(3, 2).len(), 2);
}

#[test]
fn all_reachable() {
    let mut m = Members::default();
    let all: Vec<String> = (0..4).flat_map(|dc| (0..30).map(move |i| format!("d{dc}-{i:02}"))).collect();
    for a in &all {
        m.record_heartbeat(Duration::ZERO, beat(a, a, 1), true);
    }
    let mut reached = vec![all[7].clone()];
    let mut at = 0;
    while at < reached.len() {
        let a = reached[at].clone();
        at += 1;
        for next in m.link_addresses(&a, a.split('-').next().unwrap_or_default()) {
            if !reached.contains(&next) {
                reached.push(next);
            }
        }
    }
    assert_eq!(reached.len(), all.len());
}
