//! The file format that describes a fleet, its workload and its faults.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use workswood_core::ids::ServiceId;
use workswood_core::jobs::Policy;

use super::parameters::DATA_CENTRES;

/// Longest simulated time.
const MAX_DURATION: Duration = Duration::from_secs(3600);
/// Most hosts of a fleet.
const MAX_HOSTS: usize = 10_000;

fn default_peak_factor() -> f64 {
    5.0
}

fn default_off_peak_factor() -> f64 {
    0.05
}

/// A fleet, its workload and its faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// How long callers submit jobs.
    #[serde(rename = "lasts", with = "humantime_serde")]
    pub duration: Duration,
    /// How long the load peak of one service lasts.
    #[serde(rename = "turn", with = "humantime_serde")]
    pub peak_duration: Duration,
    /// Factor on the mean job rate of a service during its peak.
    #[serde(rename = "peak", default = "default_peak_factor")]
    pub peak_factor: f64,
    /// Factor on the mean job rate of a service outside its peak.
    #[serde(rename = "rest", default = "default_off_peak_factor")]
    pub off_peak_factor: f64,
    /// CPU capacity of each host, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory of each host in MB.
    pub mem_mb: u64,
    /// Hosts that are switched off at the start.
    pub spare: usize,
    /// Services, in the order of their peaks.
    pub services: Vec<ServiceSpec>,
    /// A maintenance wave, if there is one.
    #[serde(default)]
    pub wave: Option<WaveSpec>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
    /// Policy of the scheduler.
    #[serde(default)]
    pub policy: Policy,
}

/// A service, and the jobs of its queue.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceId,
    /// Hosts of its pool at the start.
    #[serde(rename = "machines")]
    pub hosts: usize,
    /// Mean number of jobs per second, over peaks and the time between them.
    pub jobs_per_s: f64,
    /// Mean number of steps of a job.
    pub steps: f64,
    /// Mean number of tasks of a step.
    pub tasks: f64,
    /// Mean duration of a task.
    #[serde(rename = "takes", with = "humantime_serde")]
    pub task_duration: Duration,
    /// Mean CPU capacity of a task, in thousandths of a core.
    pub task_cpu_millis: u64,
    /// The deadline of a job is this multiple of its work along the critical path,
    pub stretch: f64,
    /// plus this time.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Tasks of the service's long-running job; 0 for no such job.
    #[serde(rename = "lasting", default)]
    pub long_running_tasks: u32,
}

/// A maintenance wave.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// When the wave is requested, counted from the start of the first load peak.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Share of all hosts that are maintained.
    pub share: f64,
    /// Time allowed for the whole wave.
    #[serde(rename = "within", with = "humantime_serde")]
    pub time_allowed: Duration,
    /// Most hosts that may be down at the same time.
    #[serde(rename = "most_at_once")]
    pub max_down: usize,
}

/// A fault to inject.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// When the fault begins, counted from the start of the first load peak.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long the fault lasts.
    #[serde(rename = "lasts", with = "humantime_serde", default)]
    pub duration: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The lease holder dies, and another process takes over.
    HolderDies,
    /// An append to the store takes this many times as long.
    StoreSlow(f64),
    /// This many of the busiest hosts stop answering, and their runs are lost.
    MachinesDark(usize),
    /// This share of the workers' reports arrives half a second late.
    ReportsLate(f64),
    /// This share of the submitted jobs has a task that crashes each worker that starts it.
    TasksCrash(f64),
    /// The data centre with this zero-based number is evacuated, so no task starts there.
    Evacuated(usize),
}

impl ModelSpec {
    /// Time from the start of a service's peak to the start of its next one, such that the mean
    /// over both phases is the configured rate.
    pub fn period(&self) -> Duration {
        self.peak_duration.mul_f64((self.peak_factor - self.off_peak_factor) / (1.0 - self.off_peak_factor))
    }

    /// Validates the spec.
    ///
    /// Returns a message that names the bad setting.
    pub fn check(&self) -> Result<(), String> {
        let hosts = self.spare + self.services.iter().map(|s| s.hosts).sum::<usize>();
        if self.services.is_empty() {
            return Err("name at least one service under `services`".to_string());
        }
        if hosts == 0 || hosts > MAX_HOSTS {
            return Err(format!("`spare` and `machines` must come to 1 to {MAX_HOSTS}, not {hosts}"));
        }
        if self.cpu_millis == 0 {
            return Err("`cpu_millis` must be above 0".to_string());
        }
        self.check_load_phases()?;
        self.services.iter().try_for_each(ServiceSpec::check)?;
        self.wave.as_ref().map_or(Ok(()), WaveSpec::check)?;
        self.faults.iter().try_for_each(FaultSpec::check)?;
        self.policy.check()
    }

    fn check_load_phases(&self) -> Result<(), String> {
        if self.duration > MAX_DURATION || self.peak_duration > MAX_DURATION || self.peak_duration.is_zero() {
            return Err(format!(
                "`lasts` must be at most {0} s, and `turn` above 0 and at most {0} s",
                MAX_DURATION.as_secs()
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
