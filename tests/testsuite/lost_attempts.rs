//! What brings down who runs it is not run again without end.
//!
//! A job that takes its host with it, and a deferred request that takes its endpoint or
//! the entry with it, leave no word of how they ended. Both were started again for ever; only ends that were
//! told counted.

use workswood_core::fleet::PriorityClass;
use workswood_core::fold::{JobPhase, KeyState};
use workswood_core::record::{AttemptOutcome, DeferredRequest, HostChange, JobChange, Record, Role};
use workswood_test_support::files::{job, small, team};
use workswood_test_support::log::{Log, Process};

/// Most starts that are tried here.
const MANY: u32 = 20;

/// A log with a planner, three hosts in a pool, and a job that may be repeated.
fn fleet() -> (Log, Process) {
    let (mut log, mut p) = (Log::default(), Process::new("p"));
    let mut file = small(3, 0, 0);
    file.teams = vec![team()];
    file.jobs = vec![job("report", "main", PriorityClass::Normal, true)];
    let apply = Record::Apply { change_id: "1".into(), base: 0, author: "a".into(), file: Box::new(file) };
    let take = Record::Take { role: Role::Planner, holder: "p".into(), term: 1, seen_renewals: 0 };
    assert_eq!(p.append(&mut log, 1, vec![take, apply]), [Ok(()), Ok(())]);
    for n in 0..3 {
        let host =
            |generation, step| Record::Host { term: 1, host: format!("h{n}"), generation, change: step };
        let up = host(0, HostChange::Health { up: true });
        let assign = host(1, HostChange::Assign { pool: "main".into() });
        assert_eq!(p.append(&mut log, 1, vec![up, assign]), [Ok(()), Ok(())]);
    }
    (log, p)
}

#[test]
fn job_that_loses_its_hosts() {
    let (mut log, mut p) = fleet();
    let step = |step| vec![Record::Job { term: 1, job: "report".into(), change: step }];
    let mut starts = 0;
    for n in 0..MANY {
        let start = JobChange::Start { host: format!("h{}", n % 3) };
        if p.append(&mut log, 2, step(start)) != [Ok(())] {
            break;
        }
        starts += 1;
        assert_eq!(p.append(&mut log, 2, step(JobChange::Lost)), [Ok(())]);
    }
    assert_eq!(starts, 3);
    assert_eq!(p.state.jobs["report"].phase, JobPhase::Failed);
}

/// Starts of a deferred request whose attempts all end like this, until none may follow.
fn attempts(mut ends: impl FnMut(&mut Log, &mut Process, &str)) -> (u32, KeyState) {
    let (mut log, mut p) = fleet();
    let deferred =
        DeferredRequest { method: "POST".into(), path: "/".into(), body: String::new(), repeatable: true };
    let claim = Record::Claim {
        key: "k".into(),
        service: "shop".into(),
        digest: 1,
        holder: None,
        last_moment: 10,
        deferred: Some(deferred),
    };
    assert_eq!(p.append(&mut log, 2, vec![claim]), [Ok(())]);
    for attempt in 1..=MANY {
        let holder = format!("entry-{attempt}");
        let start = Record::Start { key: "k".into(), holder: holder.clone(), attempt };
        if p.append(&mut log, 2, vec![start]) != [Ok(())] {
            return (attempt - 1, p.state.keys["k"].state.clone());
        }
        ends(&mut log, &mut p, &holder);
    }
    panic!("it is started without end");
}

#[test]
fn request_of_unknown_end() {
    let (starts, state) = attempts(|log, p, holder| {
        let end = Record::Finish { key: "k".into(), holder: holder.into(), outcome: AttemptOutcome::Unknown };
        assert_eq!(p.append(log, 3, vec![end]), [Ok(())]);
    });
    assert_eq!((starts, state), (5, KeyState::Unknown));
}

#[test]
fn request_that_loses_its_entries() {
    // The holder is gone and says nothing; another entry starts it again, as often as it may.
    let (starts, state) = attempts(|_, _, _| {});
    assert_eq!((starts, state), (5, KeyState::Running { holder: "entry-5".into() }));
}
