//! Which workers one call to the adviser names.

use super::config::AdviceConfig;
use super::job::WorkerId;

/// Fewest workers that a full call may name.
const LEAST_IDS: u32 = 30;
/// Most workers that a call may name.
pub const MOST_IDS: u32 = 100;
/// In a full call, workers take this many times what the call itself takes: so
/// its own time is a quarter, and the first answers are there soon.
const FULL_CALL: f64 = 3.0;
/// Answers after which older ones count half.
const FORGET_AFTER: f64 = 200.0;

/// A worker that may be asked about.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerId,
    /// Tasks of the step that have room there.
    pub fits: u32,
    /// Whether it is known that it may run the step, and only its ticket has ended.
    pub good: bool,
}

/// How many of the workers that were asked about may run a step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    asked: f64,
    good: f64,
}

impl Share {
    /// Takes an answer in.
    pub fn observe(&mut self, asked: usize, good: usize) {
        if self.asked > FORGET_AFTER {
            self.asked /= 2.0;
            self.good /= 2.0;
        }
        self.asked += asked as f64;
        self.good += good as f64;
    }

    /// The share; a half as long as nothing is known.
    pub fn value(&self) -> f64 {
        (self.good + 1.0) / (self.asked + 2.0)
    }
}

/// Most workers that a call names: beyond this the time of the call itself is a
/// small part, and answers come later.
fn most_ids(cfg: &AdviceConfig) -> usize {
    if cfg.time_per_worker.is_zero() {
        return MOST_IDS as usize;
    }
    let full = cfg.base_call_time.mul_f64(FULL_CALL).div_duration_f64(cfg.time_per_worker) as u32;
    full.clamp(LEAST_IDS, MOST_IDS) as usize
}

/// The workers to ask about so that `need` tasks find a place: the first ones, as
/// many as pay. `share` is how many of the unknown ones are good. One more worker
/// takes its own time; it saves another call as likely as the others before it are
/// not enough.
pub fn choose_batch(candidates: &[Candidate], need: u32, share: f64, cfg: &AdviceConfig) -> Vec<WorkerId> {
    let mut short = Short::new(need);
    let mut batch = Vec::new();
    for c in candidates.iter().take(most_ids(cfg)) {
        if short.likelihood() * cfg.base_call_time.as_secs_f64() <= cfg.time_per_worker.as_secs_f64() {
            break;
        }
        short.add(c.fits, if c.good { 1.0 } else { share });
        batch.push(c.worker.clone());
    }
    batch
}

/// How likely each number of places is that is short of the need.
struct Short {
    likely: Vec<f64>,
}

impl Short {
    fn new(need: u32) -> Short {
        let mut likely = vec![0.0; need as usize];
        if let Some(none) = likely.first_mut() {
            *none = 1.0;
        }
        Short { likely }
    }

    /// Adds a worker with so many places that is good at a likelihood.
    fn add(&mut self, fits: u32, good: f64) {
        for n in (0..self.likely.len()).rev() {
            let from = n.checked_sub(fits as usize).map_or(0.0, |m| self.likely[m]);
            self.likely[n] = self.likely[n] * (1.0 - good) + from * good;
        }
    }

    /// How likely the places are not enough.
    fn likelihood(&self) -> f64 {
        self.likely.iter().sum()
    }
}
