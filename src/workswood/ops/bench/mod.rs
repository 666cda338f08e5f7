//! `bench`: experiments whose figures stand in `docs/`.
//!
//! [`route`] compares ways of routing on a queueing model; [`fold`] and
//! [`plan`] measure the pure core, [`pools`] the scheduler of jobs; [`live`]
//! measures entries over sockets.

pub mod fold;
pub mod live;
pub mod plan;
pub mod pools;
pub mod route;
mod stats;

use crate::util::errors::Result;

/// An experiment and what it prints.
pub struct Bench {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it measures.
    pub about: &'static str,
}

/// All experiments.
pub const ALL: [Bench; 14] = [
    Bench { name: "route", about: "ways of routing at 50, 80, 95 and 120% load, on a model" },
    Bench { name: "window", about: "windows of leased slots at the same loads, on a model" },
    Bench { name: "skew", about: "lending while one entry gets more requests, on a model" },
    Bench { name: "front-door", about: "refusing at once against waiting in a bounded queue, on a model" },
    Bench { name: "flood", about: "urgent requests beside a flood of others, on a model" },
    Bench { name: "decision", about: "time of one routing decision by endpoints" },
    Bench { name: "fold", about: "time of a fold and bytes of state by hosts and keys" },
    Bench { name: "plan", about: "time of planning by hosts, and the three measures at 1x, 10x and 480x" },
    Bench { name: "pools", about: "time of a round of the scheduler at 50, 350 and 3,000 hosts" },
    Bench { name: "proxy", about: "requests over an entry against direct ones" },
    Bench { name: "commit", about: "added time and appends at 10, 100 and 1,000 keyed requests a second" },
    Bench { name: "config", about: "time until a change is in force on 6 entries, over 200 changes" },
    Bench { name: "wave", about: "records in the log for each host maintained" },
    Bench { name: "peers", about: "bytes a second between entries by their number" },
];

/// Runs an experiment.
pub async fn run(name: &str) -> Result<()> {
    match name {
        "route" => route::compare(),
        "window" => route::window(),
        "skew" => route::skew(),
        "front-door" => route::front_door(),
        "flood" => route::flood(),
        "decision" => route::decision(),
        "fold" => fold::run(),
        "plan" => plan::run(),
        "pools" => pools::run(),
        "proxy" => live::proxy().await?,
        "commit" => live::commit().await?,
        "wave" => live::wave().await?,
        "config" => live::config().await?,
        _ => live::peers().await?,
    }
    Ok(())
}
