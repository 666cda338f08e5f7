//! Generates the jobs that callers submit. The services have their load peaks in turn, and the
//! sizes of jobs vary widely.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{JobNumber, JobSpec, QueueTag, StepSpec};

use super::parameters::MAX_ATTEMPTS;
use super::spec::{FaultKind, ModelSpec, ServiceSpec};

/// Combined with the seed of a run, so that crashing jobs and workload draw independent numbers.
const CRASH_SEED: u64 = 0xc4a5;
/// Standard deviation of the logarithm of sizes.
const SIZE_SPREAD: f64 = 0.5;
/// Standard deviation of the logarithm of the error of callers' estimates.
const ESTIMATE_SPREAD: f64 = 0.6;
/// Largest factor on a mean size.
const MAX_FACTOR: f64 = 3.0;
/// Time before the first load peak, in which long-running jobs start.
pub const LEAD_TIME: Duration = Duration::from_secs(8);
/// Longest time step of the generator. A service submits at most one job per step.
const MAX_TIME_STEP: Duration = Duration::from_millis(10);
/// Most jobs per time step and service on average. With more, too many submissions would
/// coincide in one step and be dropped.
const MAX_JOBS_PER_STEP: f64 = 0.5;
/// Memory of a task in MB. It is small, so that CPU capacity is the limit.
const TASK_MEM_MB: u64 = 100;
/// Duration of a long-running task, longer than any run.
const LONG_RUNNING_DURATION: Duration = Duration::from_secs(7200);
/// Most long-running tasks of a service on one worker.
const LONG_RUNNING_PER_WORKER: u32 = 2;
/// Value of a job regardless of its work.
const BASE_VALUE: f64 = 0.3;
/// Additional value of a job with the mean work of its queue. It is proportional to the work.
const VALUE_OF_MEAN_WORK: f64 = 0.7;
/// Work above this multiple of the mean adds no value.
const MAX_RELATIVE_WORK: f64 = 4.0;

/// A job and the actual duration of its steps.
#[derive(Clone, Debug)]
pub struct ModelJob {
    /// Key of the job.
    pub key: JobNumber,
    /// When the job is submitted, since the start of the run.
    pub submitted_at: Duration,
    /// Spec of the job as submitted.
    pub spec: Arc<JobSpec>,
    /// Actual duration of the tasks of each step.
    pub step_durations: Vec<Duration>,
    /// When the job must be completed, since the start of the run.
    pub deadline: Duration,
    /// Value of completing the job by its deadline; 0 for jobs that can't be completed.
    pub value: f64,
    /// Whether the first task crashes each worker that starts it.
    pub crashes_workers: bool,
}

/// Draws random numbers for one run.
struct Sampler(StdRng);

impl Sampler {
    /// Draws a log-normal factor with mean 1, at most `MAX_FACTOR`.
    fn factor(&mut self, spread: f64) -> f64 {
        let (u, v): (f64, f64) = (self.0.random(), self.0.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        (normal * spread - spread * spread / 2.0).exp().min(MAX_FACTOR)
    }

    /// Draws a count around a mean, at least 1.
    fn count(&mut self, mean: f64) -> u32 {
        let count = mean * self.factor(SIZE_SPREAD);
        let round_up = self.0.random::<f64>() < count.fract();
        (count.floor() as u32 + u32::from(round_up)).max(1)
    }

    /// Draws whether an event with this probability happens.
    fn happens(&mut self, probability: f64) -> bool {
        self.0.random::<f64>() < probability
    }
}

/// Generates all jobs of a run, in the order of their submission.
pub fn generate_jobs(spec: &ModelSpec, seed: u64) -> Vec<ModelJob> {
    let mut sampler = Sampler(StdRng::seed_from_u64(seed));
    let mut jobs = Vec::new();
    for s in &spec.services {
        if s.long_running_tasks > 0 {
            let key = jobs.len() as JobNumber + 1;
            jobs.push(long_running_job(key, s));
        }
    }
    let mut at = LEAD_TIME;
    let step = time_step(spec);
    while at < LEAD_TIME + spec.duration {
        for (n, s) in spec.services.iter().enumerate() {
            if sampler.happens(rate(spec, n, s, at - LEAD_TIME) * step.as_secs_f64()) {
                let key = jobs.len() as JobNumber + 1;
                jobs.push(job(&mut sampler, key, s, at));
            }
        }
        at += step;
    }
    mark_crashing_jobs(spec, seed, &mut jobs);
    jobs
}

/// Marks jobs as crashing their workers, as the faults of the spec ask for.
fn mark_crashing_jobs(spec: &ModelSpec, seed: u64, jobs: &mut [ModelJob]) {
    let mut sampler = Sampler(StdRng::seed_from_u64(seed ^ CRASH_SEED));
    for f in &spec.faults {
        let FaultKind::TasksCrash(share) = f.kind else { continue };
        let from = LEAD_TIME + f.at;
        let within = |j: &&mut ModelJob| j.submitted_at >= from && j.submitted_at < from + f.duration;
        for j in jobs.iter_mut().filter(within) {
            if sampler.happens(share) {
                j.crashes_workers = true;
                j.value = 0.0;
            }
        }
    }
}

/// Time step of the generator, short enough for the highest job rate of any service.
fn time_step(spec: &ModelSpec) -> Duration {
    let highest = spec.services.iter().map(|s| s.jobs_per_s * spec.peak_factor).fold(0.0, f64::max);
    let divisor = highest * MAX_TIME_STEP.as_secs_f64() / MAX_JOBS_PER_STEP;
    MAX_TIME_STEP / (divisor.ceil() as u32).max(1)
}

/// Jobs per second of the `n`-th service at a time: the peak rate during its peak, else the
/// off-peak rate. The peaks of the services start at even intervals.
fn rate(spec: &ModelSpec, n: usize, s: &ServiceSpec, at: Duration) -> f64 {
    let period = spec.period().as_secs_f64();
    let peak_start = period * n as f64 / spec.services.len() as f64;
    let since_peak_start = (at.as_secs_f64() - peak_start).rem_euclid(period);
    if since_peak_start < spec.peak_duration.as_secs_f64() {
        s.jobs_per_s * spec.peak_factor
    } else {
        s.jobs_per_s * spec.off_peak_factor
    }
}

fn long_running_job(key: JobNumber, s: &ServiceSpec) -> ModelJob {
    let step = StepSpec {
        count: s.long_running_tasks,
        resources: Resources { cpu_millis: s.task_cpu_millis, mem_mb: TASK_MEM_MB, gpus: 0 },
        long_running: true,
        max_per_worker: LONG_RUNNING_PER_WORKER,
        max_unavailable: 1,
        ..StepSpec::default()
    };
    let step_durations = vec![LONG_RUNNING_DURATION];
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

fn job(sampler: &mut Sampler, key: JobNumber, s: &ServiceSpec, at: Duration) -> ModelJob {
    let count = sampler.count(s.steps);
    let mut steps = Vec::new();
    let mut step_durations = Vec::new();
    let mut work = 0.0;
    for n in 0..count {
        let cpu_millis = (s.task_cpu_millis as f64 * sampler.factor(SIZE_SPREAD)) as u64;
        let duration = s.task_duration.mul_f64(sampler.factor(SIZE_SPREAD));
        let tasks = sampler.count(s.tasks);
        work += f64::from(tasks) * cpu_millis as f64 / 1000.0 * duration.as_secs_f64();
        steps.push(StepSpec {
            count: tasks,
            resources: Resources { cpu_millis, mem_mb: TASK_MEM_MB, gpus: 0 },
            estimate: duration.mul_f64(sampler.factor(ESTIMATE_SPREAD)),
            depends_on: if n == 0 { Vec::new() } else { vec![n as u16 - 1] },
            ..StepSpec::default()
        });
        step_durations.push(duration);
    }
    let mean_work = s.steps * s.tasks * s.task_cpu_millis as f64 / 1000.0 * s.task_duration.as_secs_f64();
    let critical_path: Duration = step_durations.iter().sum();
    ModelJob {
        key,
        submitted_at: at,
        spec: Arc::new(job_spec(s, at, steps)),
        step_durations,
        deadline: at + critical_path.mul_f64(s.stretch) + s.target,
        value: BASE_VALUE + VALUE_OF_MEAN_WORK * (work / mean_work).min(MAX_RELATIVE_WORK),
        crashes_workers: false,
    }
}

fn job_spec(s: &ServiceSpec, at: Duration, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: s.name.clone(),
        service: s.name.clone(),
        workspace: None,
        tag: QueueTag::UNKNOWN,
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        task_input: "".into(),
        steps,
        repeat: None,
        accepted_at: at.as_millis() as u64,
    }
}
