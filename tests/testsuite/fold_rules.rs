//! Preconditions of records, decided alike by all who fold them.

use workswood_core::fold::{Rejection, State};
use workswood_core::record::{
    DrainReason, Envelope, FORMAT_VERSION, HostChange, InstanceChange, Record, Role,
};
use workswood_test_support::files::{pool, small};
use workswood_test_support::log::{Log, Process};

fn take(holder: &str, term: u64, seen: u64) -> Record {
    Record::Take { role: Role::Planner, holder: holder.to_string(), term, seen_renewals: seen }
}

fn host(term: u64, host: &str, generation: u64, step: HostChange) -> Record {
    Record::Host { term, host: host.to_string(), generation, change: step }
}

/// A log with a planner, six hosts up and in their pool, and four instances.
fn placed() -> (Log, Process) {
    let (mut log, mut p) = (Log::default(), Process::new("p"));
    let file = Box::new(small(6, 4, 3));
    let apply = Record::Apply { change_id: "1".into(), base: 0, author: "a".into(), file };
    p.append(&mut log, 1, vec![take("p", 1, 0), apply]);
    for i in 0..6 {
        let name = format!("h{i}");
        let up = host(1, &name, 0, HostChange::Health { up: true });
        let assign = host(1, &name, 1, HostChange::Assign { pool: "main".into() });
        assert!(p.append(&mut log, 1, vec![up, assign]).iter().all(Result::is_ok));
    }
    for i in 0..4 {
        let instance = format!("shop/{i}");
        let place = InstanceChange::Place { host: format!("h{i}") };
        let ready = InstanceChange::Ready { address: "127.0.0.1:1".into(), ready: true };
        let steps =
            [place, ready].map(|step| Record::Instance { term: 1, instance: instance.clone(), change: step });
        assert!(p.append(&mut log, 1, steps.into()).iter().all(Result::is_ok));
    }
    (log, p)
}

fn drain(term: u64, name: &str, generation: u64) -> Record {
    let reason = DrainReason::Maintain { name: "m".into() };
    host(term, name, generation, HostChange::Drain { reason })
}

#[test]
fn lease_terms() {
    let (mut log, mut a, mut b) = (Log::default(), Process::new("a"), Process::new("b"));
    assert_eq!(a.append(&mut log, 1, vec![take("a", 1, 0)]), [Ok(())]);
    b.follow(&log, 9);
    // The holder renewed after the other looked: the take is void.
    assert_eq!(a.append(&mut log, 2, vec![Record::Renew { role: Role::Planner, term: 1 }]), [Ok(())]);
    assert_eq!(b.append(&mut log, 3, vec![take("b", 2, 0)]), [Err(Rejection::Term)]);
    assert_eq!(b.append(&mut log, 4, vec![take("b", 2, 1)]), [Ok(())]);
    // The former holder slept through it; nothing it decides counts.
    let late =
        vec![Record::Renew { role: Role::Planner, term: 1 }, Record::Roster { term: 1, members: vec![] }];
    assert_eq!(a.append(&mut log, 5, late), [Err(Rejection::Term), Err(Rejection::Term)]);
    assert_eq!(
        a.append(&mut log, 6, vec![Record::GiveUp { role: Role::Planner, term: 2 }]),
        [Err(Rejection::Term)]
    );
    b.follow(&log, 9);
    assert_eq!(a.state.digest(), b.state.digest());
}

#[test]
fn budget_guard() {
    let (mut log, mut p) = placed();
    assert_eq!(p.append(&mut log, 2, vec![drain(1, "h0", 2)]), [Ok(())]);
    assert_eq!(p.append(&mut log, 2, vec![drain(1, "h1", 2)]), [Err(Rejection::Budget("shop".into()))]);
    // A host without instances may always leave.
    assert_eq!(p.append(&mut log, 2, vec![drain(1, "h5", 2)]), [Ok(())]);
    let up = vec![host(1, "h0", 3, HostChange::Undrain)];
    assert_eq!(p.append(&mut log, 2, up), [Ok(())]);
    // It counts again only when its instance is seen to be ready.
    assert_eq!(p.append(&mut log, 2, vec![drain(1, "h1", 2)]), [Err(Rejection::Budget("shop".into()))]);
    let ready = InstanceChange::Ready { address: "127.0.0.1:1".into(), ready: true };
    let ready = Record::Instance { term: 1, instance: "shop/0".into(), change: ready };
    assert_eq!(p.append(&mut log, 2, vec![ready, drain(1, "h1", 2)]), [Ok(()), Ok(())]);
}

#[test]
fn failures_count() {
    let (mut log, mut p) = placed();
    let down = host(1, "h3", 2, HostChange::Health { up: false });
    assert_eq!(p.append(&mut log, 2, vec![down]), [Ok(())]);
    assert_eq!(p.append(&mut log, 2, vec![drain(1, "h0", 2)]), [Err(Rejection::Budget("shop".into()))]);
    // The failed host itself has nothing to lose.
    assert_eq!(p.append(&mut log, 2, vec![drain(1, "h3", 3)]), [Ok(())]);
}

#[test]
fn one_pool() {
    let (mut log, mut p) = placed();
    let mut file = small(6, 4, 3);
    file.pools = vec![pool("main", 5), pool("side", 1)];
    let apply = Record::Apply { change_id: "2".into(), base: 1, author: "a".into(), file: Box::new(file) };
    let to_side = DrainReason::Move { to: "side".into() };
    let go = host(1, "h5", 2, HostChange::Drain { reason: to_side.clone() });
    assert_eq!(p.append(&mut log, 2, vec![apply, go]), [Ok(()), Ok(())]);
    // A reader of the old generation can't act, nor can the pool change early.
    let early = vec![
        host(1, "h5", 2, HostChange::Drain { reason: to_side }),
        host(1, "h5", 3, HostChange::Flip),
        host(1, "h5", 3, HostChange::Assign { pool: "side".into() }),
    ];
    assert_eq!(
        p.append(&mut log, 2, early),
        [Err(Rejection::Generation), Err(Rejection::Phase), Err(Rejection::Phase)]
    );
    assert_eq!(p.state.hosts["h5"].pool.as_deref(), Some("main"));
    let flip = vec![host(1, "h5", 3, HostChange::Drained), host(1, "h5", 4, HostChange::Flip)];
    assert_eq!(p.append(&mut log, 2, flip), [Ok(()), Ok(())]);
    assert_eq!(p.state.hosts["h5"].pool.as_deref(), Some("side"));
    // A host with an instance on it does not change its pool.
    let full = DrainReason::Move { to: "side".into() };
    let steps = vec![
        host(1, "h0", 2, HostChange::Drain { reason: full }),
        host(1, "h0", 3, HostChange::Drained),
        host(1, "h0", 4, HostChange::Flip),
    ];
    assert_eq!(p.append(&mut log, 2, steps), [Ok(()), Ok(()), Err(Rejection::Phase)]);
}

#[test]
fn claimed_elsewhere() {
    let (mut log, mut p) = placed();
    let mut other = small(6, 4, 3);
    other.file = "other".into();
    let apply = Record::Apply { change_id: "2".into(), base: 0, author: "a".into(), file: Box::new(other) };
    let claimed = Rejection::Claimed { what: "host `h0`".into(), file: "small".into() };
    assert_eq!(p.append(&mut log, 2, vec![apply]), [Err(claimed)]);
}

#[test]
fn released_service() {
    let (mut log, mut p) = placed();
    let mut file = small(6, 4, 3);
    file.services.clear();
    let apply = Record::Apply { change_id: "2".into(), base: 1, author: "a".into(), file: Box::new(file) };
    assert_eq!(p.append(&mut log, 2, vec![apply]), [Ok(())]);
    assert!(p.state.instances.is_empty(), "handed back as it runs");
    assert_eq!(workswood_core::plan::missing_actions(&p.state, &Default::default()), []);
}

#[test]
fn unknown_records() {
    let text = r#"{"v":1,"from":"new","seq":1,"at":5,"records":[{"kind":"teleport","to":"moon"}]}"#;
    let env: Envelope = serde_json::from_str(text).expect("it is kept");
    let mut state = State::default();
    assert_eq!(state.fold(0, &env), [Err(Rejection::Unknown)]);
    assert_eq!(state.unknown_records, 1);
    assert_eq!(serde_json::to_string(&env).expect("JSON"), text);
    let later = Envelope { format_version: FORMAT_VERSION + 1, seq: 2, ..env };
    assert_eq!(state.fold(1, &later), [Err(Rejection::Unknown)]);
    assert_eq!((state.unknown_records, state.next_offset), (2, 2));
}

#[test]
fn repeated_envelopes() {
    let (mut log, mut p) = (Log::default(), Process::new("p"));
    let first = p.envelope(1, vec![take("p", 1, 0)]);
    let second = p.envelope(1, vec![Record::Renew { role: Role::Planner, term: 1 }]);
    // The second overtakes the first, which is void for good.
    for env in [&second, &first, &second] {
        log.all.push(env.clone());
    }
    let mut state = State::default();
    let verdicts: Vec<_> =
        log.all.iter().enumerate().map(|(i, e)| state.fold(i as u64, e)[0].clone()).collect();
    assert_eq!(verdicts, [Err(Rejection::Term), Err(Rejection::Repeated), Err(Rejection::Repeated)]);
}
