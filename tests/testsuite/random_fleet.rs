//! Random histories of planners, platform faults, failures and edits.

use arbtest::arbtest;
use workswood_core::fleet::{FleetFile, PriorityClass};
use workswood_core::invariant;
use workswood_test_support::files::{hosts, job, maintenance, pool, service, small, team};
use workswood_test_support::history::{Faults, History, Tally};

/// Steps of one history.
const STEPS: usize = 60;
/// Histories in one run of the suite, of each kind.
const HISTORIES: u64 = 400;

fn file() -> FleetFile {
    let mut f = small(14, 6, 4);
    f.hosts = hosts(14);
    f.pools = vec![pool("main", 9), pool("side", 4)];
    f.services.push(service("desk", "main", 5, 3));
    f.services[1].budget.max_unavailable_per_data_centre = Some(1);
    f.services.push(service("bank", "main", 4, 2));
    f.services[2].budget.reserve_rack = true;
    f.maintenance = vec![maintenance("m0", "main")];
    f.teams = vec![team()];
    f.jobs = vec![
        job("once", "side", PriorityClass::Normal, false),
        job("again", "side", PriorityClass::Later, true),
        job("soon", "side", PriorityClass::Urgent, true),
    ];
    f
}

fn run(faults: Faults, seed: u64, histories: u64) -> Tally {
    let mut total = Tally::default();
    for i in 0..histories {
        let seed = (seed + i) << 32 | 8_192;
        arbtest(|u| {
            let mut h = History::new(file(), faults);
            for _ in 0..STEPS {
                h.step(u)?;
            }
            h.heal();
            let t = &h.tally;
            assert!(t.broken().is_none(), "{}", t.broken().unwrap_or_default());
            total.steps += t.steps;
            total.accepted += t.accepted;
            total.void += t.void;
            total.acts += t.acts;
            total.disturbed += t.disturbed;
            total.failures += t.failures;
            total.edits += t.edits;
            Ok(())
        })
        .seed(seed);
    }
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
    total
}

fn show(t: &Tally) {
    println!(
        "steps={} accepted={} void={} acts={} disturbed={} failures={} edits={}",
        t.steps, t.accepted, t.void, t.acts, t.disturbed, t.failures, t.edits
    );
}

#[test]
fn ours_only() {
    let t = run(Faults::Ours, 1, HISTORIES);
    show(&t);
    assert!(t.disturbed > 0 && t.edits > 0 && t.void > 0);
}

#[test]
fn all_faults() {
    let t = run(Faults::All, 100_000, HISTORIES);
    show(&t);
    assert!(t.failures > 0 && t.disturbed > 0);
}

/// Run by hand for the figures in `docs/`: `cargo test --release -- --ignored many_histories`.
#[test]
#[ignore = "long; run by hand"]
fn many_histories() {
    show(&run(Faults::Ours, 1_000_000, 6_000));
    show(&run(Faults::All, 2_000_000, 6_000));
}
