//! Jobs that callers hand in: by turns, of sizes that differ widely.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{JobKey, JobSpec, StepSpec};

use super::deployment::MAX_ATTEMPTS;
use super::spec::{FaultKind, ModelSpec, ServiceSpec};

/// Sets the luck of jobs that crash their workers apart from the load of the same seed.
const CRASH_SEED: u64 = 0xc4a5;
/// Spread of sizes: the standard deviation of their logarithm.
const SPREAD: f64 = 0.5;
/// Spread by which callers' estimates are off, likewise.
const ESTIMATE_OFF: f64 = 0.6;
/// A size is at most this many times its mean.
const LARGEST: f64 = 3.0;
/// Time before the first turn, in which lasting jobs begin.
pub const BEFORE: Duration = Duration::from_secs(8);
/// Jobs come at most one a service in this time, or in a part of it where they come
/// faster.
const STEP: Duration = Duration::from_millis(10);
/// Jobs that come in a step of a turn, at most: with more, too many would fall together
/// in one step, of which only one comes.
const MOST_A_STEP: f64 = 0.5;
/// Memory that a task takes, in MB; cores are what is short.
const TASK_MEM_MB: u64 = 100;
/// Time that a lasting task takes: longer than any run.
const FOREVER: Duration = Duration::from_secs(7200);
/// Lasting tasks of a service that may share a host.
const LASTING_SHARE: u32 = 2;
/// Worth of a job for itself; its work adds to it,
const WORTH: f64 = 0.3;
/// by this for the mean work of its queue,
const WORTH_OF_WORK: f64 = 0.7;
/// up to so many times the mean.
const MOST_WORK: f64 = 4.0;

/// A job, with how long each of its steps really takes.
#[derive(Clone, Debug)]
pub struct ModelJob {
    /// Its number.
    pub key: JobKey,
    /// When it is handed in.
    pub at: Duration,
    /// What is asked for.
    pub spec: Arc<JobSpec>,
    /// How long a task of each step takes.
    pub takes: Vec<Duration>,
    /// It is owed by then.
    pub owed: Duration,
    /// What it is worth: a part for itself, and one by its work; nothing if it can't be done.
    pub worth: f64,
    /// Whether its first task crashes each worker that starts it.
    pub crashes: bool,
}

/// Draws numbers for one run.
struct Draw(StdRng);

impl Draw {
    /// A factor around 1 of which most lie within a factor of two.
    fn factor(&mut self, spread: f64) -> f64 {
        let (u, v): (f64, f64) = (self.0.random(), self.0.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        (normal * spread - spread * spread / 2.0).exp().min(LARGEST)
    }

    /// A count around a mean, at least one.
    fn count(&mut self, mean: f64) -> u32 {
        let whole = mean * self.factor(SPREAD);
        let up = self.0.random::<f64>() < whole.fract();
        (whole.floor() as u32 + u32::from(up)).max(1)
    }

    /// Whether something happens in a step that has this chance.
    fn happens(&mut self, chance: f64) -> bool {
        self.0.random::<f64>() < chance
    }
}

/// All jobs of a run, by the time of their handing in.
pub fn jobs(spec: &ModelSpec, seed: u64) -> Vec<ModelJob> {
    let mut draw = Draw(StdRng::seed_from_u64(seed));
    let mut jobs = Vec::new();
    for s in &spec.services {
        if s.lasting > 0 {
            let key = jobs.len() as JobKey + 1;
            jobs.push(lasting_job(key, s));
        }
    }
    let mut at = BEFORE;
    let step = step_of(spec);
    while at < BEFORE + spec.lasts {
        for (n, s) in spec.services.iter().enumerate() {
            if draw.happens(rate(spec, n, s, at - BEFORE) * step.as_secs_f64()) {
                let key = jobs.len() as JobKey + 1;
                jobs.push(job(&mut draw, key, s, at));
            }
        }
        at += step;
    }
    make_crashing(spec, seed, &mut jobs);
    jobs
}

/// Gives jobs a task that crashes its workers, by what the faults say.
fn make_crashing(spec: &ModelSpec, seed: u64, jobs: &mut [ModelJob]) {
    let mut draw = Draw(StdRng::seed_from_u64(seed ^ CRASH_SEED));
    for f in &spec.faults {
        let FaultKind::TasksCrash(share) = f.kind else { continue };
        let from = BEFORE + f.at;
        let within = |j: &&mut ModelJob| j.at >= from && j.at < from + f.lasts;
        for j in jobs.iter_mut().filter(within) {
            if draw.happens(share) {
                j.crashes = true;
                j.worth = 0.0;
            }
        }
    }
}

/// The time in which one job a service comes at most.
fn step_of(spec: &ModelSpec) -> Duration {
    let highest = spec.services.iter().map(|s| s.jobs_per_s * spec.peak).fold(0.0, f64::max);
    let cuts = highest * STEP.as_secs_f64() / MOST_A_STEP;
    STEP / (cuts.ceil() as u32).max(1)
}

/// Jobs a second of a service at a time: in its turn several times its mean, and
/// next to nothing in between. Turns of services begin evenly spaced.
fn rate(spec: &ModelSpec, n: usize, s: &ServiceSpec, at: Duration) -> f64 {
    let period = spec.period().as_secs_f64();
    let begins = period * n as f64 / spec.services.len() as f64;
    let since = (at.as_secs_f64() - begins).rem_euclid(period);
    if since < spec.turn.as_secs_f64() { s.jobs_per_s * spec.peak } else { s.jobs_per_s * spec.rest }
}

fn lasting_job(key: JobKey, s: &ServiceSpec) -> ModelJob {
    let step = StepSpec {
        count: s.lasting,
        resources: Resources { cpu_millis: s.task_cpu_millis, mem_mb: TASK_MEM_MB, gpus: 0 },
        long_running: true,
        max_per_worker: LASTING_SHARE,
        max_unavailable: 1,
        ..StepSpec::default()
    };
    let takes = vec![FOREVER];
    ModelJob {
        key,
        at: BEFORE / 2,
        spec: Arc::new(job_spec(s, BEFORE / 2, vec![step])),
        takes,
        owed: Duration::MAX,
        worth: 0.0,
        crashes: false,
    }
}

fn job(draw: &mut Draw, key: JobKey, s: &ServiceSpec, at: Duration) -> ModelJob {
    let count = draw.count(s.steps);
    let mut steps = Vec::new();
    let mut takes = Vec::new();
    let mut work = 0.0;
    for n in 0..count {
        let cpu_millis = (s.task_cpu_millis as f64 * draw.factor(SPREAD)) as u64;
        let time = s.takes.mul_f64(draw.factor(SPREAD));
        let tasks = draw.count(s.tasks);
        work += f64::from(tasks) * cpu_millis as f64 / 1000.0 * time.as_secs_f64();
        steps.push(StepSpec {
            count: tasks,
            resources: Resources { cpu_millis, mem_mb: TASK_MEM_MB, gpus: 0 },
            estimate: time.mul_f64(draw.factor(ESTIMATE_OFF)),
            depends_on: if n == 0 { Vec::new() } else { vec![n as u16 - 1] },
            ..StepSpec::default()
        });
        takes.push(time);
    }
    let mean = s.steps * s.tasks * s.task_cpu_millis as f64 / 1000.0 * s.takes.as_secs_f64();
    let chain: Duration = takes.iter().sum();
    ModelJob {
        key,
        at,
        spec: Arc::new(job_spec(s, at, steps)),
        takes,
        owed: at + chain.mul_f64(s.stretch) + s.target,
        worth: WORTH + WORTH_OF_WORK * (work / mean).min(MOST_WORK),
        crashes: false,
    }
}

fn job_spec(s: &ServiceSpec, at: Duration, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: s.name.clone(),
        service: s.name.clone(),
        workspace: None,
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        task_input: "".into(),
        steps,
        repeat: None,
        accepted_at: at.as_millis() as u64,
    }
}
