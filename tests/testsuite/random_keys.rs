//! Random schedules of requests that may not be repeated.

use arbtest::arbtest;
use workswood_test_support::keys::{KeyTally, Schedule};

/// Schedules in one run of the suite.
const SCHEDULES: u64 = 10_000;
const STEPS: usize = 80;

fn run(seed: u64, schedules: u64) -> KeyTally {
    let mut total = KeyTally::default();
    for i in 0..schedules {
        arbtest(|u| {
            let mut s = Schedule::new();
            for _ in 0..STEPS {
                s.step(u)?;
            }
            assert!(s.tally.broken.is_empty(), "{:?}\n{}", s.tally.broken, s.tally.trace.join("\n"));
            total.copies += s.tally.copies;
            total.ran += s.tally.ran;
            total.not_run += s.tally.not_run;
            total.unknown += s.tally.unknown;
            total.deaths += s.tally.deaths;
            Ok(())
        })
        .seed((seed + i) << 32 | 2_048);
    }
    total
}

#[test]
fn at_most_once() {
    let t = run(1, SCHEDULES);
    println!("{t:?}");
    assert!(t.ran > 1_000 && t.not_run > 1_000 && t.unknown > 1_000 && t.deaths > 1_000, "{t:?}");
}

/// A process that came on the roster while others were being asked claimed the
/// key that its former life had held.
#[test]
fn joined_while_asked() {
    run(0x004c_af16, 1);
}

/// Run by hand for the figures in `docs/`.
#[test]
#[ignore = "long; run by hand"]
fn many_schedules() {
    println!("{:?}", run(5_000_000, 200_000));
}
