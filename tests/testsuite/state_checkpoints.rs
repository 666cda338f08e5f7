//! The fold of a checkpoint is the fold of the records.

use arbtest::arbtest;
use workswood_core::fold::{CheckpointAssembler, State};
use workswood_core::invariant;
use workswood_core::record::{AttemptOutcome, Record, Role, RosterMember};
use workswood_test_support::files::small;
use workswood_test_support::log::{Log, Process};

const SEED: u64 = 77 << 32 | 4_096;

fn some_record(u: &mut arbtest::arbitrary::Unstructured<'_>, n: u64) -> arbtest::arbitrary::Result<Record> {
    let key = format!("k{}", u.int_in_range(0..=20u8)?);
    Ok(match u.int_in_range(0..=4u8)? {
        0 => Record::Claim {
            key,
            service: "shop".into(),
            digest: n,
            holder: Some("p".into()),
            last_moment: u.int_in_range(0..=20_000_000u64)?,
            deferred: None,
        },
        1 => Record::Finish { key, holder: "p".into(), outcome: AttemptOutcome::NotSent },
        2 => Record::Finish {
            key,
            holder: "p".into(),
            outcome: AttemptOutcome::Answered { status: 200, body: None },
        },
        3 => Record::Renew { role: Role::Planner, term: 1 },
        _ => Record::Apply {
            change_id: format!("c{n}"),
            base: u.int_in_range(0..=9u64)?,
            author: "a".into(),
            file: Box::new({
                let mut f = small(4, 2, 1);
                f.objective.moves = n as u32;
                f
            }),
        },
    })
}

#[test]
fn equals_records() {
    let mut compared = 0;
    for i in 0..100 {
        arbtest(|u| {
            let (mut log, mut p) = (Log::default(), Process::new("p"));
            let take = |duty| Record::Take { role: duty, holder: "p".into(), term: 1, seen_renewals: 0 };
            let member = RosterMember { id: "p".into(), data_centre: "d".into() };
            let roster = Record::Roster { term: 1, members: vec![member] };
            p.append(&mut log, 1, vec![take(Role::Planner), take(Role::Checkpointer), roster]);
            let mut now = 1;
            for n in 0..40 {
                now += u.int_in_range(0..=1_000_000u64)?;
                let mut records = vec![some_record(u, n)?, some_record(u, n)?];
                if n == 20 {
                    // The mark stands in the middle of its envelope.
                    records.insert(1, Record::Mark { term: 1 });
                }
                p.append(&mut log, now, records);
                if n == 25 {
                    let parts = p.state.checkpoint();
                    assert!(!parts.is_empty());
                    p.append(&mut log, now, parts);
                }
            }
            let mut assembler = CheckpointAssembler::default();
            let mut from = None;
            for env in &log.all {
                for r in &env.records {
                    from = assembler.add(r).or(from);
                }
            }
            let mut fresh: State = from.expect("the checkpoint is whole");
            assert_eq!(fresh.next_offset, 22);
            for (i, env) in log.all.iter().enumerate().skip(fresh.next_offset as usize) {
                fresh.fold(i as u64, env);
            }
            assert_eq!(fresh.text(), p.state.text());
            compared += 1;
            Ok(())
        })
        .seed(SEED + (i << 32));
    }
    assert!(compared >= 100);
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}
