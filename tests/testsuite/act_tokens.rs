//! Acts that come late, and lists that are old, change nothing.

use workswood_core::fold::HostPhase;
use workswood_core::plan::{HostAction, ObservedFleet};
use workswood_test_support::files::{maintenance, small};
use workswood_test_support::one::Fleet;

fn away(fleet: &Fleet) -> Vec<String> {
    fleet.p.state.hosts.iter().filter(|(_, h)| h.out_of_service()).map(|(id, _)| id.clone()).collect()
}

/// A fleet in which the first host has been drained in the log, and the act
/// that drains it is still on its way.
fn drain_on_its_way() -> (Fleet, HostAction) {
    let mut file = small(4, 3, 1);
    let mut fleet = Fleet::new(&file);
    fleet.rounds(10);
    file.maintenance = vec![maintenance("m", "main")];
    fleet.apply(&file, 1);
    let seen = fleet.tick();
    let late = fleet.decide(&seen).into_iter().find(|a| matches!(a, HostAction::Drain { .. }));
    (fleet, late.expect("the first host is drained"))
}

#[test]
fn late_drain() {
    let (mut fleet, late) = drain_on_its_way();
    let host = away(&fleet).remove(0);
    // The plan is withdrawn before the act arrives.
    fleet.apply(&small(4, 3, 1), 2);
    fleet.rounds(6);
    assert_eq!(away(&fleet), Vec::<String>::new());
    assert!(fleet.p.state.instances.values().all(|i| i.ready));
    fleet.platform.act(&late, fleet.now);
    assert!(
        !fleet.platform.hosts[&host].draining,
        "a drain of the past took a host that counts as available"
    );
}

#[test]
fn withdrawn_counts_later() {
    let (mut fleet, _) = drain_on_its_way();
    let host = away(&fleet).remove(0);
    fleet.apply(&small(4, 3, 1), 2);
    let seen = fleet.tick();
    fleet.decide(&seen);
    // The end of the drain is in the log but not seen on the platform.
    assert_eq!(fleet.p.state.hosts[&host].phase, HostPhase::Active);
    assert_eq!(fleet.p.state.availability_of("shop").available, 2);
}

#[test]
fn older_boot() {
    let mut file = small(4, 3, 1);
    let mut fleet = Fleet::new(&file);
    fleet.rounds(10);
    let old: ObservedFleet = fleet.tick();
    let mut maintain = |fleet: &mut Fleet, name: &str, base| {
        file.maintenance = vec![maintenance(name, "main")];
        fleet.apply(&file, base);
    };
    maintain(&mut fleet, "m0", 1);
    fleet.rounds(120);
    assert!(fleet.p.state.hosts.values().all(|h| h.maintained.contains("m0")));
    maintain(&mut fleet, "m1", 2);
    let rebooting = |fleet: &Fleet| {
        let mut all = fleet.p.state.hosts.iter();
        all.find(|(_, h)| matches!(h.phase, HostPhase::Rebooting { .. })).map(|(id, _)| id.clone())
    };
    while rebooting(&fleet).is_none() {
        fleet.rounds(1);
    }
    let host = rebooting(&fleet).expect("just seen");
    // A list from before the first reboot shows the host live, with another boot.
    // Facts of the list come first, so it takes more than one round.
    for _ in 0..5 {
        fleet.decide(&old);
    }
    assert!(
        matches!(fleet.p.state.hosts[&host].phase, HostPhase::Rebooting { .. }),
        "an old boot passed for a return"
    );
}
