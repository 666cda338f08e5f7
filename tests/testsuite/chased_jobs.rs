//! Faults that are aimed at a task that ends: the worker that it has just been started on is lost, several times
//! in a row. Its job must end, and isn't shown as failed.

use std::time::Duration;

use workswood_core::invariant;
use workswood_core::jobs::{JobKey, TaskId};
use workswood_test_support::job_world::{FaultRng, Seen, World, job, step};

use super::chased_tasks::{Aim, Beside, Loss, chase};
use super::random_jobs::{NewWorld, hand_seeds, named_world, report};

/// Histories of one aim in one run of the suite.
const HISTORIES: u64 = 25;
/// Workers of a world.
const WORKERS: usize = 6;
/// Jobs of one history, whose first tasks are chased one after the other.
const JOBS: u64 = 5;
/// Workers that are lost in one chase, at the least, and one less than at the most.
const STRIKES: (u64, u64) = (3, 6);
/// Longest times from the start of a task to the loss of its worker, of which a chase draws one, in
/// milliseconds.
const STRIKE_WITHIN_MS: [u64; 3] = [60, 150, 400];
/// Time without faults after each chase.
const CALM: Duration = Duration::from_secs(10);
/// Time after the last fault in which all jobs end.
const SETTLED_AFTER: Duration = Duration::from_secs(80);
/// Longest time from the start of a task that crashes its workers to the crash, in milliseconds.
const CRASH_WITHIN_MS: u64 = 700;

/// An aim at a task that ends.
const fn aim(loss: Loss, beside: Beside) -> Aim {
    Aim { loss, beside, strikes: STRIKES, within_ms: STRIKE_WITHIN_MS }
}

/// What happens in a history.
#[derive(Clone, Copy)]
struct Mixture {
    aim: Aim,
    /// Whether the chased tasks crash the workers that aren't lost before.
    crashing: bool,
}

const fn sound(loss: Loss, beside: Beside) -> Mixture {
    Mixture { aim: aim(loss, beside), crashing: false }
}

const CHASE: Mixture = sound(Loss::Cut, Beside::Nothing);
const CHASE_REBORN: Mixture = sound(Loss::Reborn, Beside::Nothing);
const CHASE_CRASH: Mixture = sound(Loss::Crash, Beside::Nothing);
const CHASE_OUTAGES: Mixture = sound(Loss::Any, Beside::Outages);
const CHASE_RELAYS: Mixture = sound(Loss::Any, Beside::Relays);
const CHASE_CRASHES: Mixture = sound(Loss::Any, Beside::Crashes);
const CHASE_CRASHING: Mixture = Mixture { aim: aim(Loss::Any, Beside::Nothing), crashing: true };

const MIXTURES: [(&str, Mixture); 7] = [
    ("chase", CHASE),
    ("chase-reborn", CHASE_REBORN),
    ("chase-crash", CHASE_CRASH),
    ("chase-outages", CHASE_OUTAGES),
    ("chase-relays", CHASE_RELAYS),
    ("chase-crashes", CHASE_CRASHES),
    ("chase-crashing", CHASE_CRASHING),
];

/// Submits a job and chases its first task.
fn play_job(w: &mut World, key: u64, mixture: Mixture) {
    let task = TaskId { job: JobKey::of_number(key), round: 0, step: 0, index: 0 };
    if mixture.crashing {
        let after = Duration::from_millis(10 + w.rng.below(CRASH_WITHIN_MS));
        w.crashes(task, after);
    }
    let count = 1 + w.rng.below(3) as u32;
    let spec = job(vec![step(count, vec![])], w.now.as_millis() as u64);
    w.submit(key, spec);
    w.rng.faults_per_mille = [0, 0, 20][w.rng.below(3) as usize];
    chase(w, task, mixture.aim);
    w.heal();
    w.run_for(CALM);
}

/// Plays one history; the error tells what was violated.
fn try_play(seed: u64, world: NewWorld, mixture: Mixture) -> Result<Seen, String> {
    let mut w = world(WORKERS, FaultRng::mixed(seed));
    if w.rng.below(2) == 0 {
        w = w.with_long_runs();
    }
    w.run_for(Duration::from_millis(600));
    for key in 1..=JOBS {
        play_job(&mut w, key, mixture);
    }
    w.run_for(SETTLED_AFTER);
    w.count_crashes();
    if !w.seen.violations.is_empty() {
        return Err(format!("{:?}", w.seen.violations));
    }
    match (1..=JOBS).find(|key| !w.is_over(*key)) {
        Some(key) => Err(format!("job {key} is still {:?}", w.shown(key))),
        None => Ok(w.seen),
    }
}

fn play_all(world: NewWorld, mixture: Mixture) {
    let mut starts = 0;
    for seed in 1..=HISTORIES {
        let seen = try_play(seed, world, mixture).unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}"));
        starts += seen.starts;
    }
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
    assert!(starts > 2 * JOBS * HISTORIES, "{starts} starts");
}

#[test]
fn cut_until_lapsed() {
    play_all(World::new, CHASE);
}

#[test]
fn another_life_later() {
    play_all(World::new, CHASE_REBORN);
}

#[test]
fn same_name_later() {
    play_all(World::restarting, CHASE_REBORN);
}

#[test]
fn really_crashed() {
    play_all(World::new, CHASE_CRASH);
}

#[test]
fn outages_of_store() {
    play_all(World::new, CHASE_OUTAGES);
}

#[test]
fn troubled_relays() {
    play_all(World::relayed, CHASE_RELAYS);
}

#[test]
fn others_crash() {
    play_all(World::new, CHASE_CRASHES);
}

#[test]
fn crashing_and_cut() {
    play_all(World::new, CHASE_CRASHING);
}

/// A run that has lapsed before the life ends excuses nothing; one that is there does.
#[test]
fn lapsed_run_excuses_nothing() {
    let task = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };
    for (life_ends_after, lost) in [(Duration::from_secs(6), 0), (Duration::from_secs(2), 1)] {
        let mut w = World::new(2, FaultRng::new(7, 0)).with_endless_runs();
        w.run_for(Duration::from_millis(600));
        let mut lasting = step(1, vec![]);
        lasting.long_running = true;
        w.submit(1, job(vec![lasting], 1));
        w.run_for(Duration::from_secs(1));
        let at = w.worker_of(&task).expect("a run");
        w.cut(at, true);
        w.run_for(life_ends_after);
        w.replace(at);
        assert_eq!(w.lost_under(&task), lost, "after {life_ends_after:?}");
    }
}

#[test]
#[ignore = "by hand: the seeds FROM-TO in HISTORY_SEEDS, of HISTORY_MIXTURE in the world HISTORY_WORLD"]
fn seeds_by_hand() {
    let name = std::env::var("HISTORY_MIXTURE").unwrap_or_default();
    let found = MIXTURES.iter().find(|(n, _)| *n == name);
    let mixture = found.expect("a mixture in HISTORY_MIXTURE").1;
    report(hand_seeds(), |seed| try_play(seed, named_world().0, mixture));
}
