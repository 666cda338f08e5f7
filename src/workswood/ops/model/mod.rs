//! `workswood model`: a discrete-event simulation of the scheduler with model workers, hosts,
//! store and callers.
//!
//! The real scheduler runs on simulated time. The same spec and seed give the same
//! metrics. Policies are compared here on many seeds; `docs/MODEL.md` lists what the model
//! leaves out.
//!
//! * [`spec`] is the file format that describes a fleet, its workload and its faults.
//! * [`workload`] generates the jobs that callers submit.
//! * [`parameters`] holds the time constants and limits of the model.
//! * [`model_host`] models a host and the tasks that run on it.
//! * [`event_queue`] holds the pending events of a run.
//! * [`simulation`] runs the event loop; [`callers`] models callers, [`batches`] applies the scheduler's batches,
//!   [`host_events`] models the reactions of hosts and workers, and [`faults`] injects faults.
//! * [`run_metrics`] computes the metrics of a run, and [`lower_bound`] the least number of hosts
//!   for its workload.
//! * [`policy_variants`] makes policies that differ in one field, and [`compare`] compares their
//!   metrics.

mod batches;
mod callers;
pub mod compare;
pub mod event_queue;
mod faults;
mod host_events;
pub mod lower_bound;
pub mod model_host;
pub mod parameters;
pub mod policy_variants;
pub mod run_metrics;
pub mod simulation;
pub mod spec;
pub mod workload;

use std::ops::Range;

use snafu::ResultExt;

pub use compare::Comparison;
pub use policy_variants::PolicyVariants;
pub use run_metrics::RunMetrics;
pub use spec::ModelSpec;

use crate::util::errors::{Error, ReadFileSnafu, Result};

/// Reads and validates the spec at `path`.
pub fn read(path: &str) -> Result<ModelSpec> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let bad = |text: String| Error::InvalidSettings { path: path.to_string(), text };
    let spec: ModelSpec = serde_json::from_str(&text).map_err(|e| bad(e.to_string()))?;
    spec.check().map_err(bad)?;
    Ok(spec)
}

/// Simulates each variant on the same seeds. Calls `on_run_done` with the variant's name and
/// the seed after each run. Without variants, only the policy of the spec is simulated.
pub fn run(
    spec: &ModelSpec,
    variants: Option<&PolicyVariants>,
    seeds: Range<u64>,
    mut on_run_done: impl FnMut(&str, u64),
) -> Result<Comparison> {
    let variants = match variants {
        Some(v) => v.policies(&spec.policy)?,
        None => vec![("as it is".to_string(), spec.policy.clone())],
    };
    let count = seeds.end.saturating_sub(seeds.start);
    let mut comparison = Comparison { first_seed: seeds.start, seeds: count, variants: Vec::new() };
    for (name, policy) in variants {
        let mut runs = Vec::new();
        for seed in seeds.clone() {
            runs.push(simulation::simulate(spec, &policy, seed));
            on_run_done(&name, seed);
        }
        comparison.add(name, runs);
    }
    Ok(comparison)
}
