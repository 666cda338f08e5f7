//! Which process claims the scheduler lease, and when.

use std::time::Duration;

use workswood_core::jobs::claim::{
    Ages, Candidate, EXPIRES, Entry, HolderSeen, Reason, hears_renewals, strength,
};

const MS: Duration = Duration::from_millis(1);

fn large() -> Candidate {
    Candidate { id: "a".into(), name: "large".into(), strength: strength(0.5, 200.0), led: 0 }
}

fn small() -> Candidate {
    Candidate { id: "b".into(), name: "small".into(), strength: strength(0.12, 10.0), led: 0 }
}

fn held_by(c: &Candidate) -> HolderSeen {
    HolderSeen {
        id: c.id.clone(),
        name: c.name.clone(),
        term: 7,
        released: false,
        strength: Some(c.strength),
    }
}

fn ages(heard: Duration, up: Duration) -> Ages {
    Ages { heard, term: up, up }
}

#[test]
fn large_before_small() {
    let moment = ages(20 * MS, MS);
    assert_eq!(large().reason_to_claim(None, moment), Some(Reason::NeverHeld));
    assert_eq!(small().reason_to_claim(None, moment), None);
    assert_eq!(small().reason_to_claim(None, ages(600 * MS, MS)), Some(Reason::NeverHeld));
}

#[test]
fn expired_lease() {
    let gone = HolderSeen { id: "c".into(), name: "other".into(), ..held_by(&large()) };
    let just = ages(EXPIRES + MS, 20 * EXPIRES);
    assert_eq!(large().reason_to_claim(Some(&gone), just), Some(Reason::Expired));
    assert_eq!(small().reason_to_claim(Some(&gone), just), None);
    let later = ages(EXPIRES + 600 * MS, 20 * EXPIRES);
    assert_eq!(small().reason_to_claim(Some(&gone), later), Some(Reason::Expired));
}

#[test]
fn former_life_at_once() {
    let before = HolderSeen { id: "former".into(), ..held_by(&large()) };
    let moment = ages(MS, MS);
    assert_eq!(large().reason_to_claim(Some(&before), moment), Some(Reason::OwnFormerLife));
}

#[test]
fn far_stronger_takes_over() {
    let holder = held_by(&small());
    let renewed = |up: Duration| ages(100 * MS, up);
    assert_eq!(large().reason_to_claim(Some(&holder), renewed(3000 * MS)), None, "not settled yet");
    let settled = renewed(5000 * MS);
    assert_eq!(large().reason_to_claim(Some(&holder), settled), Some(Reason::FarStronger));
    assert_eq!(small().reason_to_claim(Some(&held_by(&large())), settled), None);
    let alike = HolderSeen { id: "c".into(), name: "other".into(), ..held_by(&large()) };
    assert_eq!(large().reason_to_claim(Some(&alike), settled), None, "alike entries leave each other alone");
    let silent = HolderSeen { strength: None, ..holder };
    assert_eq!(large().reason_to_claim(Some(&silent), settled), None, "an older program does not say");
}

fn entry(name: &str, data_centre: &'static str, strength: u32) -> (String, &'static str, u32) {
    (name.to_string(), data_centre, strength)
}

/// Entries that hear of each renewal, of these.
fn hearing(entries: &[(String, &'static str, u32)]) -> Vec<String> {
    let all = || {
        entries.iter().map(|(name, data_centre, strength)| Entry { name, data_centre, strength: *strength })
    };
    entries.iter().map(|h| h.0.clone()).filter(|own| hears_renewals(own, all())).collect()
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
    let all =
        || fleet.iter().map(|(name, data_centre, strength)| Entry { name, data_centre, strength: *strength });
    assert!(hears_renewals("unknown", all()), "whoever is not on record yet");
}
