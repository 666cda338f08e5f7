//! Chooses the workers that one call to the adviser names.

use super::config::AdviceConfig;
use super::job::WorkerId;

/// Lower bound of the limit on the number of workers that a call names.
const MIN_WORKER_LIMIT: u32 = 30;
/// Upper bound of the limit on the number of workers that a call names.
pub const MAX_WORKER_LIMIT: u32 = 100;
/// In a full call, the time for its workers is this multiple of the call's fixed time, so that the
/// fixed time is a small part and the answer still comes soon.
const FULL_CALL_RATIO: f64 = 3.0;
/// Number of workers asked about after which earlier answers are halved in weight.
const DECAY_AFTER_WORKERS: f64 = 200.0;

/// A worker that may be asked about.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerId,
    /// Number of tasks of the step that fit there.
    pub fits: u32,
    /// Whether it is known to be eligible, and only needs a new ticket.
    pub eligible: bool,
}

/// Share of the workers asked about that may run a step; later answers weigh more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EligibleRate {
    asked: f64,
    eligible: f64,
}

impl EligibleRate {
    /// Adds an answer.
    pub fn observe(&mut self, asked: usize, eligible: usize) {
        if self.asked > DECAY_AFTER_WORKERS {
            self.asked /= 2.0;
            self.eligible /= 2.0;
        }
        self.asked += asked as f64;
        self.eligible += eligible as f64;
    }

    /// The share; one half while nothing is known.
    pub fn value(&self) -> f64 {
        (self.eligible + 1.0) / (self.asked + 2.0)
    }
}

/// Largest number of workers that a call names.
fn worker_limit(cfg: &AdviceConfig) -> usize {
    if cfg.time_per_worker.is_zero() {
        return MAX_WORKER_LIMIT as usize;
    }
    let full = cfg.base_call_time.mul_f64(FULL_CALL_RATIO).div_duration_f64(cfg.time_per_worker) as u32;
    full.clamp(MIN_WORKER_LIMIT, MAX_WORKER_LIMIT) as usize
}

/// Chooses the first candidates to ask about so that `need` tasks find a place. `share` is the
/// expected share of eligible ones among those not known to be eligible. While there is a need, the
/// first candidate is always named, since without a call no task of the step is placed. A further
/// one is named only if the probability that the workers before it are not enough, times the fixed
/// time of another call, is larger than the time that the call takes for it.
pub fn choose_batch(candidates: &[Candidate], need: u32, share: f64, cfg: &AdviceConfig) -> Vec<WorkerId> {
    let mut shortfall = Shortfall::new(need);
    let mut batch = Vec::new();
    if need == 0 {
        return batch;
    }
    for c in candidates.iter().take(worker_limit(cfg)) {
        let saved = shortfall.probability() * cfg.base_call_time.as_secs_f64();
        if !batch.is_empty() && saved <= cfg.time_per_worker.as_secs_f64() {
            break;
        }
        shortfall.add(c.fits, if c.eligible { 1.0 } else { share });
        batch.push(c.worker.clone());
    }
    batch
}

/// Probability of each number of places below the need.
struct Shortfall {
    probabilities: Vec<f64>,
}

impl Shortfall {
    fn new(need: u32) -> Shortfall {
        let mut probabilities = vec![0.0; need as usize];
        if let Some(no_places) = probabilities.first_mut() {
            *no_places = 1.0;
        }
        Shortfall { probabilities }
    }

    /// Adds a worker with `fits` places that is eligible with the probability `eligible`.
    fn add(&mut self, fits: u32, eligible: f64) {
        for n in (0..self.probabilities.len()).rev() {
            let from = n.checked_sub(fits as usize).map_or(0.0, |m| self.probabilities[m]);
            self.probabilities[n] = self.probabilities[n] * (1.0 - eligible) + from * eligible;
        }
    }

    /// Probability that the places are not enough.
    fn probability(&self) -> f64 {
        self.probabilities.iter().sum()
    }
}
