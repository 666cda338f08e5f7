//! Which process claims the scheduler lease, and when.

use std::time::Duration;

use workswood_core::jobs::lease_claim::{
    Candidate, ClaimReason, ClaimTimes, LEASE_EXPIRES_AFTER, ObservedHolder, PeerEntry, entry_capacity,
    listens_for_renewals,
};

const MS: Duration = Duration::from_millis(1);

fn large() -> Candidate {
    Candidate {
        id: "a".into(),
        name: "large".into(),
        capacity: entry_capacity(0.5, 200.0),
        last_held_term: 0,
    }
}

fn small() -> Candidate {
    Candidate {
        id: "b".into(),
        name: "small".into(),
        capacity: entry_capacity(0.12, 10.0),
        last_held_term: 0,
    }
}

fn held_by(c: &Candidate) -> ObservedHolder {
    ObservedHolder {
        id: c.id.clone(),
        name: c.name.clone(),
        term: 7,
        released: false,
        capacity: Some(c.capacity),
    }
}

fn ages(heard: Duration, up: Duration) -> ClaimTimes {
    ClaimTimes { since_heard: heard, since_term_seen: up, uptime: up }
}

#[test]
fn large_before_small() {
    let moment = ages(20 * MS, MS);
    assert_eq!(large().claim_reason(None, moment), Some(ClaimReason::NeverHeld));
    assert_eq!(small().claim_reason(None, moment), None);
    assert_eq!(small().claim_reason(None, ages(600 * MS, MS)), Some(ClaimReason::NeverHeld));
}

#[test]
fn expired_lease() {
    let gone = ObservedHolder { id: "c".into(), name: "other".into(), ..held_by(&large()) };
    let just = ages(LEASE_EXPIRES_AFTER + MS, 20 * LEASE_EXPIRES_AFTER);
    assert_eq!(large().claim_reason(Some(&gone), just), Some(ClaimReason::Expired));
    assert_eq!(small().claim_reason(Some(&gone), just), None);
    let later = ages(LEASE_EXPIRES_AFTER + 600 * MS, 20 * LEASE_EXPIRES_AFTER);
    assert_eq!(small().claim_reason(Some(&gone), later), Some(ClaimReason::Expired));
}

#[test]
fn former_life_at_once() {
    let before = ObservedHolder { id: "former".into(), ..held_by(&large()) };
    let moment = ages(MS, MS);
    assert_eq!(large().claim_reason(Some(&before), moment), Some(ClaimReason::OwnEarlierIncarnation));
}

#[test]
fn far_stronger_takes_over() {
    let holder = held_by(&small());
    let renewed = |up: Duration| ages(100 * MS, up);
    assert_eq!(large().claim_reason(Some(&holder), renewed(3000 * MS)), None, "not settled yet");
    let settled = renewed(5000 * MS);
    assert_eq!(large().claim_reason(Some(&holder), settled), Some(ClaimReason::MuchHigherCapacity));
    assert_eq!(small().claim_reason(Some(&held_by(&large())), settled), None);
    let alike = ObservedHolder { id: "c".into(), name: "other".into(), ..held_by(&large()) };
    assert_eq!(large().claim_reason(Some(&alike), settled), None, "alike entries leave each other alone");
    let silent = ObservedHolder { capacity: None, ..holder };
    assert_eq!(large().claim_reason(Some(&silent), settled), None, "an older program does not say");
}

fn entry(name: &str, data_centre: &'static str, strength: u32) -> (String, &'static str, u32) {
    (name.to_string(), data_centre, strength)
}

/// Entries that hear of each renewal, of these.
fn hearing(entries: &[(String, &'static str, u32)]) -> Vec<String> {
    let all = || {
        entries.iter().map(|(name, data_centre, strength)| PeerEntry {
            name,
            data_centre,
            capacity: *strength,
        })
    };
    entries.iter().map(|h| h.0.clone()).filter(|own| listens_for_renewals(own, all())).collect()
}

#[test]
fn few_hear_renewals() {
    let small: Vec<_> = (0..6).map(|n| entry(&format!("h{n}"), "north", 600)).collect();
    assert_eq!(hearing(&small).len(), 6, "where entries are few, all do");
    let mut fleet: Vec<_> = (0..500).map(|n| entry(&format!("h{n}"), "north", n % 100)).collect();
    fleet.extend([entry("s1", "south", 5), entry("s2", "south", 4), entry("s3", "south", 3)]);
    let hear = hearing(&fleet);
    assert_eq!(hear.len(), 8 + 2, "{hear:?}");
    assert!(hear.contains(&"s1".to_string()) && hear.contains(&"s2".to_string()), "some of each data centre");
    assert!(hear.contains(&"h499".to_string()) && hear.contains(&"h99".to_string()), "the strongest ones");
    let all = || {
        fleet.iter().map(|(name, data_centre, strength)| PeerEntry { name, data_centre, capacity: *strength })
    };
    assert!(listens_for_renewals("unknown", all()), "whoever is not on record yet");
}
