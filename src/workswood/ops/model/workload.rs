//! Jobs that callers hand in: by turns, of sizes that differ widely.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{JobKey, JobSpec, StepSpec};

use super::parameters::MAX_ATTEMPTS;
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
pub const LEAD_TIME: Duration = Duration::from_secs(8);
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
const BASE_VALUE: f64 = 0.3;
/// by this for the mean work of its queue,
const VALUE_OF_MEAN_WORK: f64 = 0.7;
/// up to so many times the mean.
const MAX_RELATIVE_WORK: f64 = 4.0;

/// A job, with how long each of its steps really takes.
#[derive(Clone, Debug)]
pub struct ModelJob {
    /// Its number.
    pub key: JobKey,
    /// When it is handed in.
    pub submitted_at: Duration,
    /// What is asked for.
    pub spec: Arc<JobSpec>,
    /// How long a task of each step takes.
    pub step_durations: Vec<Duration>,
    /// It is owed by then.
    pub deadline: Duration,
    /// What it is worth: a part for itself, and one by its work; nothing if it can't be done.
    pub value: f64,
    /// Whether its first task crashes each worker that starts it.
    pub crashes_workers: bool,
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
pub fn generate_jobs(spec: &ModelSpec, seed: u64) -> Vec<ModelJob> {
    let mut draw = Draw(StdRng::seed_from_u64(seed));
    let mut jobs = Vec::new();
    for s in &spec.services {
        if s.long_running_tasks > 0 {
            let key = jobs.len() as JobKey + 1;
            jobs.push(lasting_job(key, s));
        }
    }
    let mut at = LEAD_TIME;
    let step = step_of(spec);
    while at < LEAD_TIME + spec.duration {
        for (n, s) in spec.services.iter().enumerate() {
            if draw.happens(rate(spec, n, s, at - LEAD_TIME) * step.as_secs_f64()) {
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
        let from = LEAD_TIME + f.at;
        let within = |j: &&mut ModelJob| j.submitted_at >= from && j.submitted_at < from + f.duration;
        for j in jobs.iter_mut().filter(within) {
            if draw.happens(share) {
                j.crashes_workers = true;
                j.value = 0.0;
            }
        }
    }
}

/// The time in which one job a service comes at most.
fn step_of(spec: &ModelSpec) -> Duration {
    let highest = spec.services.iter().map(|s| s.jobs_per_s * spec.peak_factor).fold(0.0, f64::max);
    let cuts = highest * STEP.as_secs_f64() / MOST_A_STEP;
    STEP / (cuts.ceil() as u32).max(1)
}

/// Jobs a second of a service at a time: in its turn several times its mean, and
/// next to nothing in between. Turns of services begin evenly spaced.
fn rate(spec: &ModelSpec, n: usize, s: &ServiceSpec, at: Duration) -> f64 {
    let period = spec.period().as_secs_f64();
    let begins = period * n as f64 / spec.services.len() as f64;
    let since = (at.as_secs_f64() - begins).rem_euclid(period);
    if since < spec.peak_duration.as_secs_f64() {
        s.jobs_per_s * spec.peak_factor
    } else {
        s.jobs_per_s * spec.off_peak_factor
    }
}

fn lasting_job(key: JobKey, s: &ServiceSpec) -> ModelJob {
    let step = StepSpec {
        count: s.long_running_tasks,
        resources: Resources { cpu_millis: s.task_cpu_millis, mem_mb: TASK_MEM_MB, gpus: 0 },
        long_running: true,
        max_per_worker: LASTING_SHARE,
        max_unavailable: 1,
        ..StepSpec::default()
    };
    let step_durations = vec![FOREVER];
    ModelJob {
        key,
        submitted_at: LEAD_TIME / 2,
        spec: Arc::new(job_spec(s, LEAD_TIME / 2, vec![step])),
        step_durations,
        deadline: Duration::MAX,
        value: 0.0,
        crashes_workers: false,
    }
}

fn job(draw: &mut Draw, key: JobKey, s: &ServiceSpec, at: Duration) -> ModelJob {
    let count = draw.count(s.steps);
    let mut steps = Vec::new();
    let mut step_durations = Vec::new();
    let mut work = 0.0;
    for n in 0..count {
        let cpu_millis = (s.task_cpu_millis as f64 * draw.factor(SPREAD)) as u64;
        let time = s.task_duration.mul_f64(draw.factor(SPREAD));
        let tasks = draw.count(s.tasks);
        work += f64::from(tasks) * cpu_millis as f64 / 1000.0 * time.as_secs_f64();
        steps.push(StepSpec {
            count: tasks,
            resources: Resources { cpu_millis, mem_mb: TASK_MEM_MB, gpus: 0 },
            estimate: time.mul_f64(draw.factor(ESTIMATE_OFF)),
            after: if n == 0 { Vec::new() } else { vec![n as u16 - 1] },
            ..StepSpec::default()
        });
        step_durations.push(time);
    }
    let mean = s.steps * s.tasks * s.task_cpu_millis as f64 / 1000.0 * s.task_duration.as_secs_f64();
    let chain: Duration = step_durations.iter().sum();
    ModelJob {
        key,
        submitted_at: at,
        spec: Arc::new(job_spec(s, at, steps)),
        step_durations,
        deadline: at + chain.mul_f64(s.stretch) + s.target,
        value: BASE_VALUE + VALUE_OF_MEAN_WORK * (work / mean).min(MAX_RELATIVE_WORK),
        crashes_workers: false,
    }
}

fn job_spec(s: &ServiceSpec, at: Duration, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: s.name.clone(),
        service: s.name.clone(),
        workspace: None,
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        text: "".into(),
        steps,
        repeat: None,
        accepted_at: at.as_millis() as u64,
    }
}
