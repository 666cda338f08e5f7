//! `model`: the scheduler against simulated workers, hosts, store and callers.
//!
//! The real scheduler decides, on injected time. The same file and seed give the
//! same figures. It is the place where a policy is tried on many seeds before it
//! is measured on real processes; `docs/MODEL.md` says what it leaves out.
//!
//! * [`spec`] is the file that describes a fleet, its load and its faults.
//! * [`workload`] draws the jobs that callers hand in.
//! * [`parameters`] holds times and bounds of the deployments known to us.
//! * [`model_host`] is hosts and the tasks that run on them.
//! * [`event_queue`] is what is to happen in a run, and when.
//! * [`simulation`] is a run: its scheduler decides, [`batches`] carries out what it says,
//!   [`host_events`] do as they are told, and [`faults`] come in between.
//! * [`run_metrics`] is what one run showed, and [`lower_bound`] how few hosts would do.
//! * [`policy_variants`] is one value of a policy, in several variants, and [`compare`] their
//!   figures side by side.

mod batches;
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

/// Reads and checks the file that describes a fleet.
pub fn read(path: &str) -> Result<ModelSpec> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let bad = |text: String| Error::Settings { path: path.to_string(), text };
    let spec: ModelSpec = serde_json::from_str(&text).map_err(|e| bad(e.to_string()))?;
    spec.check().map_err(bad)?;
    Ok(spec)
}

/// Plays each variant on the same seeds, and tells of each run that is over.
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
    let mut found = Comparison { first_seed: seeds.start, seeds: count, variants: Vec::new() };
    for (name, policy) in variants {
        let mut runs = Vec::new();
        for seed in seeds.clone() {
            runs.push(simulation::simulate(spec, &policy, seed));
            on_run_done(&name, seed);
        }
        found.add(name, runs);
    }
    Ok(found)
}
