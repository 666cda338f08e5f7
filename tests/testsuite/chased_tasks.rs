//! Faults that are aimed at one task: the worker that it has just been started on is lost, several times in a
//! row.

use std::time::Duration;

use workswood_core::jobs::TaskId;
use workswood_test_support::job_world::{STEP, World};

use super::lasting_jobs::{Mixture, play_all};

/// Fewest workers that are lost in one chase, and how many more are drawn.
const STRIKES: (u64, u64) = (3, 2);
/// Longest time of a chase.
const LONGEST_CHASE: Duration = Duration::from_secs(45);
/// Longest times from the start of the task to the loss of its worker, of which a chase draws one, in
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

/// How the workers of a chased task are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Cut off until the lease has ended; the same life is back then.
    Cut,
    /// Cut off until the lease has ended; another life takes the worker's place then.
    Reborn,
    /// Crashed.
    Crash,
}

/// A chase in its course.
struct Chase<'a> {
    w: &'a mut World,
    task: TaskId,
    loss: Loss,
    max_delay_ms: u64,
    strikes_left: u64,
    /// Worker that was lost last.
    last: Option<usize>,
    /// Whether workers are cut off from the store as well.
    with_store: bool,
    /// Workers that are cut off, and until when.
    cut_until: Vec<(Duration, usize)>,
}

/// Has the workers of a task lost, one after the other, each just after it has started there.
pub(super) fn chase(w: &mut World, task: TaskId, loss: Loss) {
    let strikes_left = STRIKES.0 + w.rng.below(STRIKES.1);
    let max_delay_ms = STRIKE_WITHIN_MS[w.rng.below(STRIKE_WITHIN_MS.len() as u64) as usize];
    let with_store = w.rng.below(2) == 0;
    let until = w.now + LONGEST_CHASE;
    let cut_until = Vec::new();
    let mut c = Chase { w, task, loss, max_delay_ms, strikes_left, last: None, with_store, cut_until };
    while c.w.now < until && !c.is_over() {
        c.step();
    }
}

impl Chase<'_> {
    fn is_over(&self) -> bool {
        self.strikes_left == 0 && self.cut_until.is_empty()
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
        match self.loss {
            Loss::Cut if self.with_store => self.cut_for(at, STORE_HEAL_MS),
            Loss::Cut => self.cut_for(at, HEAL_MS),
            Loss::Reborn => self.cut_for(at, REBIRTH_MS),
            Loss::Crash => self.w.crash(at),
        }
        if hands_over {
            let after = self.draw_between(HANDOVER_MS);
            self.w.run_for(after);
            self.w.hand_over();
        }
    }

    fn cut_for(&mut self, at: usize, range_ms: (u64, u64)) {
        match self.with_store {
            true => self.w.cut_with_store(at),
            false => self.w.cut(at, true),
        }
        let until = self.w.now + self.draw_between(range_ms);
        self.cut_until.push((until, at));
    }

    fn end_cuts(&mut self) {
        let now = self.w.now;
        let all = std::mem::take(&mut self.cut_until);
        let (over, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|(until, _)| *until <= now);
        self.cut_until = later;
        for (_, at) in over {
            if self.loss == Loss::Reborn {
                self.w.replace(at);
            }
            self.w.cut(at, false);
        }
    }
}

#[test]
fn cut_and_healed() {
    play_all(World::new, Mixture::Chase);
}

#[test]
fn cut_and_reborn() {
    play_all(World::new, Mixture::ChaseReborn);
}

#[test]
fn restarted_behind_cut() {
    play_all(World::restarting, Mixture::ChaseReborn);
}

#[test]
fn reborn_beside_relays() {
    play_all(World::relayed, Mixture::ChaseReborn);
}

#[test]
fn crashed_in_series() {
    play_all(World::new, Mixture::ChaseCrash);
}
