//! Faults that are aimed at one task: the worker that it has just been started on is lost, several times in a
//! row.

use std::time::Duration;

use workswood_core::jobs::TaskId;
use workswood_test_support::job_world::{STEP, World};

use super::lasting_jobs::{Mixture, WORKERS, play_all};
use super::random_jobs::trouble_relays;

/// Workers that are lost in one chase of a long-running task, at the least, and one more than at the most.
const STRIKES: (u64, u64) = (3, 5);
/// Longest time of a chase.
const LONGEST_CHASE: Duration = Duration::from_secs(45);
/// Longest times from the start of a long-running task to the loss of its worker, of which a chase draws one, in
/// milliseconds.
const STRIKE_WITHIN_MS: [u64; 3] = [60, 400, 1500];
/// One in this many strikes is followed by a planned handover,
const HANDOVER_INTERVAL: u64 = 4;
/// after these times, in milliseconds.
const HANDOVER_MS: (u64, u64) = (200, 4200);
/// Times from a cut to its end, in milliseconds: the lease of the worker ends before.
const HEAL_MS: (u64, u64) = (5500, 8500);
/// Times from a cut to the next life of the worker, in milliseconds: likewise.
const REBIRTH_MS: (u64, u64) = (5600, 8100);

/// Times from a cut from the store as well to its end, in milliseconds: the entry has left the list before,
/// mostly.
const STORE_HEAL_MS: (u64, u64) = (6500, 9500);

/// Longest outage of the store beside a strike, in milliseconds.
const OUTAGE_MS: u64 = 4000;

/// How the workers of a chased task are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Cut off until the lease has ended; the same life is back then.
    Cut,
    /// Cut off until the lease has ended; another life takes the worker's place then.
    Reborn,
    /// Crashed.
    Crash,
    /// The first or the second of these, drawn strike by strike.
    Any,
}

/// What happens beside each strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Beside {
    Nothing,
    /// The store is away for the holder.
    Outages,
    /// Relays are in trouble.
    Relays,
    /// Another worker crashes.
    Crashes,
}

/// What a chase does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Aim {
    pub loss: Loss,
    pub beside: Beside,
    /// Workers that are lost, at the least, and one more than at the most.
    pub strikes: (u64, u64),
    /// Longest times from a start to the loss, of which one is drawn, in milliseconds.
    pub within_ms: [u64; 3],
}

impl Aim {
    /// An aim at a long-running task.
    pub(super) const fn lasting(loss: Loss, beside: Beside) -> Aim {
        Aim { loss, beside, strikes: STRIKES, within_ms: STRIKE_WITHIN_MS }
    }
}

/// A worker that is cut off.
struct CutWorker {
    until: Duration,
    at: usize,
    /// Whether another life takes its place.
    reborn: bool,
}

/// A chase in its course.
struct Chase<'a> {
    w: &'a mut World,
    task: TaskId,
    aim: Aim,
    max_delay_ms: u64,
    strikes_left: u64,
    /// Worker that was lost last.
    last: Option<usize>,
    /// Whether workers are cut off from the store as well.
    with_store: bool,
    cut: Vec<CutWorker>,
}

/// Has the workers of a task lost, one after the other, each just after it has started there.
pub(super) fn chase(w: &mut World, task: TaskId, aim: Aim) {
    let strikes_left = aim.strikes.0 + w.rng.below(aim.strikes.1 - aim.strikes.0);
    let max_delay_ms = aim.within_ms[w.rng.below(aim.within_ms.len() as u64) as usize];
    let with_store = w.rng.below(2) == 0;
    let until = w.now + LONGEST_CHASE;
    let cut = Vec::new();
    let mut c = Chase { w, task, aim, max_delay_ms, strikes_left, last: None, with_store, cut };
    while c.w.now < until && !c.is_over() {
        c.step();
    }
}

impl Chase<'_> {
    fn is_over(&self) -> bool {
        (self.strikes_left == 0 || self.w.is_over(self.task.job.number)) && self.cut.is_empty()
    }

    fn draw_between(&mut self, (from_ms, to_ms): (u64, u64)) -> Duration {
        Duration::from_millis(from_ms + self.w.rng.below(to_ms - from_ms))
    }

    fn step(&mut self) {
        if let Some(at) = self.next_target() {
            self.strike(at);
        }
        self.w.run_for(STEP);
        self.end_cuts();
    }

    /// The worker of the task, unless it is the one that was lost last.
    fn next_target(&self) -> Option<usize> {
        let at = self.w.worker_of(&self.task)?;
        (self.strikes_left > 0 && self.last != Some(at)).then_some(at)
    }

    fn strike(&mut self, at: usize) {
        let delay = self.draw_between((1, 1 + self.max_delay_ms));
        self.w.run_for(delay);
        self.last = Some(at);
        self.strikes_left -= 1;
        let hands_over = self.w.rng.below(HANDOVER_INTERVAL) == 0;
        match self.aim.loss {
            Loss::Crash => self.w.crash(at),
            Loss::Cut => self.cut_off(at, false),
            Loss::Reborn => self.cut_off(at, true),
            Loss::Any => {
                let reborn = self.w.rng.below(2) == 0;
                self.cut_off(at, reborn);
            }
        }
        self.trouble_others(at);
        if hands_over {
            let after = self.draw_between(HANDOVER_MS);
            self.w.run_for(after);
            self.w.hand_over();
        }
    }

    fn cut_off(&mut self, at: usize, reborn: bool) {
        match self.with_store {
            true => self.w.cut_with_store(at),
            false => self.w.cut(at, true),
        }
        let range_ms = match (reborn, self.with_store) {
            (true, _) => REBIRTH_MS,
            (false, true) => STORE_HEAL_MS,
            (false, false) => HEAL_MS,
        };
        let until = self.w.now + self.draw_between(range_ms);
        self.cut.push(CutWorker { until, at, reborn });
    }

    fn trouble_others(&mut self, at: usize) {
        match self.aim.beside {
            Beside::Nothing => {}
            Beside::Outages => {
                let long = self.draw_between((1, OUTAGE_MS));
                self.w.lose_store(long);
            }
            Beside::Relays => trouble_relays(self.w),
            Beside::Crashes => {
                let other = at + 1 + self.w.rng.below(WORKERS - 1) as usize;
                self.w.crash(other);
            }
        }
    }

    fn end_cuts(&mut self) {
        let now = self.w.now;
        let (over, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.cut).into_iter().partition(|cut| cut.until <= now);
        self.cut = later;
        for CutWorker { at, reborn, .. } in over {
            if reborn {
                self.w.replace(at);
            }
            self.w.cut(at, false);
        }
    }
}

/// A long-running task is chased.
const fn chase_of(loss: Loss, beside: Beside) -> Mixture {
    Mixture::Chase(Aim::lasting(loss, beside))
}

pub(super) const CHASE: Mixture = chase_of(Loss::Cut, Beside::Nothing);
pub(super) const CHASE_REBORN: Mixture = chase_of(Loss::Reborn, Beside::Nothing);
pub(super) const CHASE_CRASH: Mixture = chase_of(Loss::Crash, Beside::Nothing);
pub(super) const CHASE_OUTAGES: Mixture = chase_of(Loss::Any, Beside::Outages);
pub(super) const CHASE_RELAYS: Mixture = chase_of(Loss::Any, Beside::Relays);
pub(super) const CHASE_CRASHES: Mixture = chase_of(Loss::Any, Beside::Crashes);

#[test]
fn cut_and_healed() {
    play_all(World::new, CHASE);
}

#[test]
fn cut_and_reborn() {
    play_all(World::new, CHASE_REBORN);
}

#[test]
fn restarted_behind_cut() {
    play_all(World::restarting, CHASE_REBORN);
}

#[test]
fn reborn_beside_relays() {
    play_all(World::relayed, CHASE_REBORN);
}

#[test]
fn crashed_in_series() {
    play_all(World::new, CHASE_CRASH);
}

#[test]
fn outages_beside_chase() {
    play_all(World::new, CHASE_OUTAGES);
}

#[test]
fn troubled_relays_beside() {
    play_all(World::relayed, CHASE_RELAYS);
}

#[test]
fn others_crash_beside() {
    play_all(World::new, CHASE_CRASHES);
}
