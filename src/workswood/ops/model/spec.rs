//! The file that describes a fleet, its load and its faults.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use workswood_core::ids::ServiceId;
use workswood_core::jobs::Policy;

use super::parameters::DATA_CENTRES;

/// Longest time that may be played.
const LONGEST: Duration = Duration::from_secs(3600);
/// Most hosts.
const MOST_HOSTS: usize = 10_000;

/// As on the deployments known to us.
fn default_peak_factor() -> f64 {
    5.0
}

/// Likewise.
fn default_off_peak_factor() -> f64 {
    0.05
}

/// A fleet, its load and its faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// How long callers hand jobs in.
    #[serde(rename = "lasts", with = "humantime_serde")]
    pub duration: Duration,
    /// How long the turn of one service lasts.
    #[serde(rename = "turn", with = "humantime_serde")]
    pub peak_duration: Duration,
    /// In its turn a service asks for this many times its mean.
    #[serde(rename = "peak", default = "default_peak_factor")]
    pub peak_factor: f64,
    /// Outside its turn it asks for this share of its mean.
    #[serde(rename = "rest", default = "default_off_peak_factor")]
    pub off_peak_factor: f64,
    /// Thousandths of a core of each host.
    pub cpu_millis: u64,
    /// Memory of each host in MB.
    pub mem_mb: u64,
    /// Hosts that are off at the beginning.
    pub spare: usize,
    /// Services, in the order of their turns.
    pub services: Vec<ServiceSpec>,
    /// A maintenance wave, if there is one.
    #[serde(default)]
    pub wave: Option<WaveSpec>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
    /// What the scheduler's decisions are tuned by.
    #[serde(default)]
    pub policy: Policy,
}

/// A service, and the jobs of its queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// Hosts of its pool at the beginning.
    #[serde(rename = "machines")]
    pub hosts: usize,
    /// Mean number of jobs a second over all turns.
    pub jobs_per_s: f64,
    /// Mean number of steps of a job.
    pub steps: f64,
    /// Mean number of tasks of a step.
    pub tasks: f64,
    /// Mean time that a task takes.
    #[serde(rename = "takes", with = "humantime_serde")]
    pub task_duration: Duration,
    /// Mean room of a task in thousandths of a core.
    pub task_cpu_millis: u64,
    /// A job is owed within this multiple of its longest chain of work.
    pub stretch: f64,
    /// Plus this much.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Tasks of a job that lasts.
    #[serde(rename = "lasting", default)]
    pub long_running_tasks: u32,
}

/// A maintenance wave.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// When it is asked for.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Share of all hosts.
    pub share: f64,
    /// Time allowed for all of them.
    #[serde(rename = "within", with = "humantime_serde")]
    pub time_allowed: Duration,
    /// How many may be down at once.
    #[serde(rename = "most_at_once")]
    pub max_down: usize,
}

/// What goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// When it begins.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(rename = "lasts", with = "humantime_serde", default)]
    pub duration: Duration,
    /// What it is.
    pub kind: FaultKind,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The lease holder dies; another one takes over.
    HolderDies,
    /// The store takes this many times as long for an append.
    StoreSlow(f64),
    /// So many of the busiest hosts fall silent, with what runs there.
    MachinesDark(usize),
    /// This share of the workers' reports is heard half a second late.
    ReportsLate(f64),
    /// This share of the jobs that are handed in has a task that crashes each worker
    /// that starts it.
    TasksCrash(f64),
    /// The data centre of this number, from 0, is evacuated: nothing begins there.
    Evacuated(usize),
}

impl ModelSpec {
    /// Time from the beginning of a service's turn to that of its next one: what
    /// makes its mean over both what the file says.
    pub fn period(&self) -> Duration {
        self.peak_duration.mul_f64((self.peak_factor - self.off_peak_factor) / (1.0 - self.off_peak_factor))
    }

    /// Checks what the model relies on.
    pub fn check(&self) -> Result<(), String> {
        let hosts = self.spare + self.services.iter().map(|s| s.hosts).sum::<usize>();
        if self.services.is_empty() {
            return Err("name at least one service under `services`".to_string());
        }
        if hosts == 0 || hosts > MOST_HOSTS {
            return Err(format!("`spare` and `machines` must come to 1 to {MOST_HOSTS}, not {hosts}"));
        }
        if self.cpu_millis == 0 {
            return Err("`cpu_millis` must be above 0".to_string());
        }
        self.check_turns()?;
        self.services.iter().try_for_each(ServiceSpec::check)?;
        self.wave.as_ref().map_or(Ok(()), WaveSpec::check)?;
        self.faults.iter().try_for_each(FaultSpec::check)?;
        self.policy.check()
    }

    fn check_turns(&self) -> Result<(), String> {
        if self.duration > LONGEST || self.peak_duration > LONGEST || self.peak_duration.is_zero() {
            return Err(format!(
                "`lasts` must be at most {0} s, and `turn` above 0 and at most {0} s",
                LONGEST.as_secs()
            ));
        }
        if !(self.peak_factor > 1.0 && self.peak_factor.is_finite()) {
            return Err(format!("`peak` must be above 1, not {}", self.peak_factor));
        }
        if !(0.0..1.0).contains(&self.off_peak_factor) {
            return Err(format!("`rest` must be at least 0 and below 1, not {}", self.off_peak_factor));
        }
        Ok(())
    }
}

impl ServiceSpec {
    fn check(&self) -> Result<(), String> {
        let positive = [
            ("jobs_per_s", self.jobs_per_s),
            ("steps", self.steps),
            ("tasks", self.tasks),
            ("stretch", self.stretch),
        ];
        for (field, v) in positive {
            if !(v > 0.0 && v.is_finite()) {
                return Err(format!("`{field}` of service `{}` must be above 0", self.name));
            }
        }
        Ok(())
    }
}

impl WaveSpec {
    fn check(&self) -> Result<(), String> {
        if !(0.0..=1.0).contains(&self.share) {
            return Err(format!("`wave.share` must lie between 0 and 1, not {}", self.share));
        }
        if self.max_down == 0 {
            return Err("`wave.most_at_once` must be at least 1".to_string());
        }
        Ok(())
    }
}

impl FaultSpec {
    fn check(&self) -> Result<(), String> {
        match self.kind {
            FaultKind::StoreSlow(x) if !(x >= 1.0 && x.is_finite()) => {
                Err(format!("`store_slow` must be at least 1, not {x}"))
            }
            FaultKind::ReportsLate(x) if !(0.0..=1.0).contains(&x) => {
                Err(format!("`reports_late` must lie between 0 and 1, not {x}"))
            }
            FaultKind::TasksCrash(x) if !(0.0..=1.0).contains(&x) => {
                Err(format!("`tasks_crash` must lie between 0 and 1, not {x}"))
            }
            FaultKind::Evacuated(n) if n >= DATA_CENTRES => {
                Err(format!("`evacuated` must be below {DATA_CENTRES}, not {n}"))
            }
            _ => Ok(()),
        }
    }
}
