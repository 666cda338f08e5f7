//! `model`: the scheduler against simulated workers, hosts, store and callers.
//!
//! The real scheduler decides, on injected time. The same file and seed give the
//! same figures. It is the place where a policy is tried on many seeds before it
//! is measured on real processes; `docs/MODEL.md` says what it leaves out.
//!
//! * [`spec`] is the file that describes a fleet, its load and its faults.
//! * [`load`] draws the jobs that callers hand in.
//! * [`deployment`] holds times and bounds of the deployments known to us.
//! * [`fleet`] is hosts and the tasks that run on them.
//! * [`agenda`] is what is to happen in a run, and when.
//! * [`world`] is a run: its scheduler decides, [`carry`] carries out what it says,
//!   [`hosts`] do as they are told, and [`faults`] come in between.
//! * [`figures`] is what one run showed, and [`bound`] how few hosts would do.
//! * [`vary`] is one value of a policy, in several variants, and [`compare`] their
//!   figures side by side.

pub mod agenda;
pub mod bound;
mod carry;
pub mod compare;
pub mod deployment;
mod faults;
pub mod figures;
pub mod fleet;
mod hosts;
pub mod load;
pub mod spec;
pub mod vary;
pub mod world;

use std::ops::Range;

use snafu::ResultExt;

pub use compare::Comparison;
pub use figures::Figures;
pub use spec::ModelSpec;
pub use vary::Vary;

use crate::util::errors::{Error, ReadFileSnafu, Result};

/// Reads and checks the file that describes a fleet.
pub fn read(path: &str) -> Result<ModelSpec> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let bad = |text: String| Error::InvalidSettings { path: path.to_string(), text };
    let spec: ModelSpec = serde_json::from_str(&text).map_err(|e| bad(e.to_string()))?;
    spec.check().map_err(bad)?;
    Ok(spec)
}

/// Plays each variant on the same seeds, and tells of each run that is over.
pub fn run(
    spec: &ModelSpec,
    vary: Option<&Vary>,
    seeds: Range<u64>,
    mut told: impl FnMut(&str, u64),
) -> Result<Comparison> {
    let variants = match vary {
        Some(v) => v.policies(&spec.policy)?,
        None => vec![("as it is".to_string(), spec.policy.clone())],
    };
    let count = seeds.end.saturating_sub(seeds.start);
    let mut found = Comparison { first_seed: seeds.start, seeds: count, variants: Vec::new() };
    for (name, policy) in variants {
        let mut runs = Vec::new();
        for seed in seeds.clone() {
            runs.push(world::play(spec, &policy, seed));
            told(&name, seed);
        }
        found.add(name, runs);
    }
    Ok(found)
}
