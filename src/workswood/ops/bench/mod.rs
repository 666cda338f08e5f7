//! `workswood bench`: experiments whose results are published in `docs/`.
//!
//! [`route`] compares routing policies on a queueing model, [`fold`] and [`plan`] measure the
//! state fold and the planner, [`scheduler`] and [`large_jobs`] measure the job scheduler, and [`loopback`]
//! measures entries over loopback sockets.

pub mod fold;
pub mod large_jobs;
pub mod loopback;
pub mod plan;
mod quantiles;
pub mod route;
pub mod scheduler;

use crate::util::errors::Result;

/// An experiment.
pub struct Bench {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures.
    pub about: &'static str,
}

/// All experiments.
pub const ALL: [Bench; 15] = [
    Bench { name: "route", about: "routing policies at 50, 80, 95 and 120% load, on a model" },
    Bench { name: "window", about: "windows of leased slots at the same loads, on a model" },
    Bench { name: "skew", about: "lending while one entry gets more requests, on a model" },
    Bench { name: "front-door", about: "refusing at once against waiting in a bounded queue, on a model" },
    Bench { name: "flood", about: "urgent requests beside a flood of others, on a model" },
    Bench { name: "decision", about: "time of one routing decision, by number of endpoints" },
    Bench { name: "fold", about: "time of a fold and bytes of state, by number of hosts and keys" },
    Bench {
        name: "plan",
        about: "time of planning by number of hosts, and the quality of plans at 1x, 10x and 480x",
    },
    Bench { name: "pools", about: "time of a round of the scheduler at 50, 350 and 3,000 hosts" },
    Bench { name: "large-jobs", about: "time of one event of the scheduler, for large jobs and many jobs" },
    Bench { name: "proxy", about: "latency and rate of requests through an entry and of direct ones" },
    Bench { name: "commit", about: "added time and appends at 10, 100 and 1,000 keyed requests per second" },
    Bench { name: "config", about: "time until a change is in force on 6 entries, over 200 changes" },
    Bench { name: "wave", about: "records in the log for each host maintained" },
    Bench { name: "peers", about: "bytes per second between entries, by number of entries" },
];

/// Runs the experiment with this name and prints its results. Any name not in [`ALL`] runs `peers`.
pub async fn run(name: &str) -> Result<()> {
    match name {
        "route" => route::compare(),
        "window" => route::window(),
        "skew" => route::skew(),
        "front-door" => route::queue_limit(),
        "flood" => route::flood(),
        "decision" => route::decision(),
        "fold" => fold::run(),
        "plan" => plan::run(),
        "pools" => scheduler::run(),
        "large-jobs" => large_jobs::run(),
        "proxy" => loopback::proxy().await?,
        "commit" => loopback::commit().await?,
        "wave" => loopback::wave().await?,
        "config" => loopback::config().await?,
        _ => loopback::peers().await?,
    }
    Ok(())
}
