//! What the scheduler's decisions are tuned by.
//!
//! Each mechanism that decides reads its limits, weights and thresholds from a
//! [`Policy`]. The defaults serve the deployments of `docs/` best; a
//! settings file may change single values, to try them out or to switch a
//! mechanism off.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::advice::AdvicePolicy;
use super::crash::CrashPolicy;
use super::relays::RelayPolicy;

/// All that the scheduler's decisions are tuned by.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Which waiting task is next.
    pub order: OrderPolicy,
    /// Which worker a task is started on.
    pub placement: PlacementPolicy,
    /// How many hosts a pool needs.
    pub need: NeedPolicy,
    /// Which hosts change their pool.
    pub pools: PoolPolicy,
    /// When hosts are maintained.
    pub waves: WavePolicy,
    /// Which workers are believed and used.
    pub health: HealthPolicy,
    /// How crashes of workers are put down to tasks.
    pub crashes: CrashPolicy,
    /// How fast filling tasks work.
    pub pace: PacePolicy,
    /// What is done about calls that fail or are lost.
    pub calls: CallPolicy,
    /// When the adviser is asked.
    pub advice: AdvicePolicy,
    /// Which entries speak with workers for the lease holder.
    pub relays: RelayPolicy,
}

/// Which waiting task is next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderPolicy {
    /// A job that is done this many multiples of its time after it was owed is
    /// worth nothing.
    #[serde(rename = "late_until")]
    pub worthless_after: f64,
    /// Ends after which the mean of a queue is trusted as much as an estimate.
    #[serde(rename = "enough_ends")]
    pub min_ends: u32,
    /// Weight of the newest end in the mean of a queue: about the last 30 count.
    #[serde(rename = "newest")]
    pub newest_weight: f64,
    /// From so much room on that the waiting tasks of a service ask for whose job can be in time, as a
    /// share of the room of all hosts, those with the least work left go first: not all can be
    /// in time any more. Before that, those that must begin first do. A share that is much smaller is
    /// reached at the start of each turn, where all can be in time.
    #[serde(rename = "overload")]
    pub overload_share: f64,
    /// Whose waiting tasks go first when all is full.
    #[serde(rename = "shares")]
    pub share_order: ShareOrder,
}

/// Whose waiting tasks go first when all is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShareOrder {
    /// Whoever must begin first.
    Plain,
    /// Likewise, but what a workspace sends beyond its share goes behind.
    Excess,
    /// Likewise; and while not all can be in time, the workspace with the least at work by its share
    /// goes first. Before that, taking turns would make late what could be in time.
    Dominant,
}

impl Default for OrderPolicy {
    fn default() -> OrderPolicy {
        OrderPolicy {
            worthless_after: 3.0,
            min_ends: 8,
            newest_weight: 1.0 / 30.0,
            overload_share: 0.5,
            share_order: ShareOrder::Dominant,
        }
    }
}

/// Which worker a task is started on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Steps without a place that are looked at before a pass gives up, lasting
    /// ones apart. Smaller tasks behind may fit where larger ones don't; with
    /// many of them the large ones would never find room.
    #[serde(rename = "most_misses")]
    pub max_misses: usize,
    /// Whether filling tasks go to hosts that serve.
    #[serde(rename = "fills_beside")]
    pub fill_serving_hosts: bool,
}

impl Default for PlacementPolicy {
    fn default() -> PlacementPolicy {
        PlacementPolicy { max_misses: 8, fill_serving_hosts: false }
    }
}

/// How many hosts a pool needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NeedPolicy {
    /// Share of a host's room that is planned to be in use.
    #[serde(rename = "full")]
    pub target_use: f64,
    /// How much a waiting task counts whose job is late: it is worth little,
    /// but it was accepted.
    #[serde(rename = "late")]
    pub late_task_weight: f64,
    /// Work that came in within this time tells how much there will be to do,
    /// before it shows in what runs: tasks of later steps are not waiting yet.
    #[serde(rename = "arrivals", with = "humantime_serde")]
    pub arrival_window: Duration,
    /// How far ahead a rise of the work that comes in is drawn out: the time
    /// that a host needs to get to another pool.
    #[serde(with = "humantime_serde")]
    pub ahead: Duration,
    /// The work that comes in is taken to rise to this multiple at most.
    #[serde(rename = "most_rise")]
    pub max_rise: f64,
    /// A turn of demand has begun when work comes in at this multiple of what
    /// it did before.
    #[serde(rename = "turn_rise")]
    pub surge_rise: f64,
    /// How long that time before is.
    #[serde(rename = "turn_after", with = "humantime_serde")]
    pub calm_window: Duration,
    /// It has to keep this share of all hosts busy, lest a single job counts
    /// as a turn.
    #[serde(rename = "turn_least")]
    pub surge_min_share: f64,
    /// So many jobs have to have come in: a single one may be as large as many.
    #[serde(rename = "turn_jobs")]
    pub surge_min_jobs: usize,
    /// Share of the highest rate seen that a turn is taken to come to; 0 takes
    /// none to come.
    #[serde(rename = "turn_share")]
    pub surge_peak_share: f64,
    /// A turn is taken to want this many times the hosts that operators gave
    /// the pool, until more is known.
    #[serde(rename = "turn_first")]
    pub first_surge_pool_factor: f64,
    /// but no more than this many times what comes in now, which the last third of `arrivals` tells: where
    /// pools are far larger than the demand on them, their sizes tell nothing of a turn;
    #[serde(rename = "turn_first_rise")]
    pub first_surge_max_rise: f64,
    /// and only while that is this many times the rate of all of `arrivals`: afterwards the turn is at its
    /// height, and what came in tells what it wants.
    #[serde(rename = "turn_still_rises")]
    pub first_surge_min_rise: f64,
    /// Whether a turn that asks for more than its service's earlier ones is taken to
    /// come to what turns of other services did. Before its first turn a service has
    /// only shown how little it asks for in between.
    #[serde(rename = "turn_any")]
    pub surge_from_other_services: bool,
    /// How fast the need falls that counts when another pool is short, as a
    /// share of all hosts a second: a host that is idle here is wanted
    /// there.
    #[serde(rename = "lend_per_s")]
    pub lend_floor_fall_per_s: f64,
    /// How fast the need falls that counts when hosts are turned off,
    /// likewise: the next turn of demand may come soon.
    #[serde(rename = "forget_per_s")]
    pub power_off_floor_fall_per_s: f64,
}

impl Default for NeedPolicy {
    fn default() -> NeedPolicy {
        NeedPolicy {
            target_use: 0.85,
            late_task_weight: 0.3,
            arrival_window: Duration::from_millis(1000),
            ahead: Duration::ZERO,
            max_rise: 3.0,
            surge_rise: 3.0,
            calm_window: Duration::from_secs(8),
            surge_min_share: 0.04,
            surge_min_jobs: 3,
            surge_peak_share: 0.8,
            first_surge_pool_factor: 2.0,
            first_surge_max_rise: 2.0,
            first_surge_min_rise: 1.5,
            surge_from_other_services: true,
            lend_floor_fall_per_s: 0.3,
            power_off_floor_fall_per_s: 0.08,
        }
    }
}

/// Which hosts change their pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolPolicy {
    /// Hosts that a pool keeps above its need, as a share of all hosts.
    pub margin: f64,
    /// A pool gives hosts up only when it has more than it needs by this
    /// share of all hosts.
    pub surplus: f64,
    /// Share of all hosts that may be under way at a time. A turn of demand
    /// wants several times a pool's hosts within a task's time.
    #[serde(rename = "most_moves")]
    pub max_moves_share: f64,
    /// Longest time that a host is kept from new work before its move is
    /// given up.
    #[serde(with = "humantime_serde")]
    pub empty_for: Duration,
}

impl Default for PoolPolicy {
    fn default() -> PoolPolicy {
        PoolPolicy {
            margin: 0.02,
            surplus: 0.04,
            max_moves_share: 0.25,
            empty_for: Duration::from_millis(2500),
        }
    }
}

/// When hosts are maintained.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WavePolicy {
    /// Share of a wave's time that is planned for; the rest is for hosts
    /// that come back late.
    #[serde(rename = "use_of_time")]
    pub planned_time_share: f64,
    /// The same while some pool is short of hosts.
    #[serde(rename = "use_when_short")]
    pub planned_time_share_when_short: f64,
    /// A host is begun this long before it has to be finished: emptying, and
    /// the maintenance itself.
    #[serde(with = "humantime_serde")]
    pub ahead: Duration,
    /// Longest time that short tasks are given to end before a host goes down.
    #[serde(with = "humantime_serde")]
    pub empty_for: Duration,
}

impl Default for WavePolicy {
    fn default() -> WavePolicy {
        WavePolicy {
            planned_time_share: 0.35,
            planned_time_share_when_short: 0.6,
            ahead: Duration::from_millis(4000),
            empty_for: Duration::from_millis(3500),
        }
    }
}

/// Which workers are believed and used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthPolicy {
    /// What a worker said last is believed for this long when budgets are
    /// counted: a look waits 0.9 s for news, and an answer needs some time on a
    /// busy entry. A worker that has been silent for longer may have lost what
    /// it ran.
    #[serde(rename = "believed_for", with = "humantime_serde")]
    pub report_valid_for: Duration,
    /// A running task whose progress stands still for this long is taken to be
    /// stuck. Twice the look interval plus a second for slow workers.
    #[serde(with = "humantime_serde")]
    pub stuck_after: Duration,
    /// Share of its estimated time that a task may go without progress beyond
    /// that: three times what a percent takes.
    pub stuck_share: f64,
    /// A worker that turned a start down as unwell gets no work for this long;
    /// about one look.
    #[serde(with = "humantime_serde")]
    pub unwell_for: Duration,
    /// A worker that refused a start gets no work for this long; a few looks.
    #[serde(with = "humantime_serde")]
    pub refused_for: Duration,
    /// Faults of different jobs, with nothing done in between, after which a
    /// worker is shunned. One alone is more often the job's own.
    pub faults_to_shun: u32,
    /// How long a worker is shunned for each fault in a row.
    #[serde(with = "humantime_serde")]
    pub shun_for: Duration,
    /// Longest time that a worker is shunned before it is tried again.
    #[serde(rename = "shun_at_most", with = "humantime_serde")]
    pub max_shun: Duration,
    /// At most one of this many workers of a service is shunned at a time.
    pub shun_one_of: usize,
}

impl Default for HealthPolicy {
    fn default() -> HealthPolicy {
        HealthPolicy {
            report_valid_for: Duration::from_millis(1500),
            stuck_after: Duration::from_millis(2500),
            stuck_share: 0.03,
            unwell_for: Duration::from_millis(1000),
            refused_for: Duration::from_millis(400),
            faults_to_shun: 2,
            shun_for: Duration::from_millis(2500),
            max_shun: Duration::from_secs(15),
            shun_one_of: 3,
        }
    }
}

/// How fast filling tasks work beside tasks that serve users.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PacePolicy {
    /// Above this share of its target a serving task is in danger.
    #[serde(rename = "danger")]
    pub slow_down_above: f64,
    /// Below this share of its target a serving task has room to spare.
    #[serde(rename = "ease")]
    pub speed_up_below: f64,
    /// By how much the pace rises a look, in percent.
    #[serde(rename = "step")]
    pub step_percent: u32,
    /// A pace below this, in percent, is no pace: the task waits.
    #[serde(rename = "least")]
    pub min_percent: u32,
}

impl Default for PacePolicy {
    fn default() -> PacePolicy {
        PacePolicy { slow_down_above: 0.85, speed_up_below: 0.55, step_percent: 15, min_percent: 15 }
    }
}

/// What is done about calls that fail or are lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallPolicy {
    /// Whether entries that the store turns away have others write for them.
    #[serde(rename = "help")]
    pub write_for_others: bool,
    /// Whether a look that seems to be lost is sent again before it is given up.
    #[serde(rename = "look_again")]
    pub resend_probe: bool,
}

impl Default for CallPolicy {
    fn default() -> CallPolicy {
        CallPolicy { write_for_others: true, resend_probe: true }
    }
}

/// Longest time that a policy may name; more is a slip of the pen.
const MAX_DURATION: Duration = Duration::from_secs(600);

impl Policy {
    /// Checks that each value is one that the scheduler can work with.
    pub fn check(&self) -> Result<(), String> {
        self.check_shares()?;
        self.check_factors()?;
        self.check_counts()?;
        self.check_times()
    }

    /// Shares lie above 0, and at 1 at most.
    fn check_shares(&self) -> Result<(), String> {
        let shares = [
            ("order.newest", self.order.newest_weight),
            ("need.full", self.need.target_use),
            ("pools.most_moves", self.pools.max_moves_share),
            ("waves.use_of_time", self.waves.planned_time_share),
            ("waves.use_when_short", self.waves.planned_time_share_when_short),
            ("pace.danger", self.pace.slow_down_above),
            ("pace.ease", self.pace.speed_up_below),
            ("relays.share", self.relays.share),
            ("crashes.most_quarantined", self.crashes.most_quarantined),
        ];
        let bad = shares.into_iter().find(|(_, v)| !(*v > 0.0 && *v <= 1.0));
        bad.map_or(Ok(()), |(name, v)| Err(format!("`policy.{name}` must be above 0 and at most 1, not {v}")))
    }

    /// Factors and rates are not negative.
    fn check_factors(&self) -> Result<(), String> {
        let factors = [
            ("order.late_until", self.order.worthless_after),
            ("order.overload", self.order.overload_share),
            ("need.late", self.need.late_task_weight),
            ("need.lend_per_s", self.need.lend_floor_fall_per_s),
            ("need.forget_per_s", self.need.power_off_floor_fall_per_s),
            ("need.most_rise", self.need.max_rise),
            ("need.turn_rise", self.need.surge_rise),
            ("need.turn_least", self.need.surge_min_share),
            ("need.turn_share", self.need.surge_peak_share),
            ("need.turn_first", self.need.first_surge_pool_factor),
            ("need.turn_first_rise", self.need.first_surge_max_rise),
            ("need.turn_still_rises", self.need.first_surge_min_rise),
            ("pools.margin", self.pools.margin),
            ("pools.surplus", self.pools.surplus),
            ("health.stuck_share", self.health.stuck_share),
            ("crashes.suspicious", self.crashes.suspicious),
            ("crashes.sure", self.crashes.sure),
            ("relays.spare", self.relays.spare),
        ];
        let bad = factors.into_iter().find(|(_, v)| !(*v >= 0.0 && v.is_finite()));
        bad.map_or(Ok(()), |(name, v)| Err(format!("`policy.{name}` must not be negative, as {v} is")))
    }

    /// Counts are at least one.
    fn check_counts(&self) -> Result<(), String> {
        let counts = [
            ("order.enough_ends", self.order.min_ends as usize),
            ("placement.most_misses", self.placement.max_misses),
            ("need.turn_jobs", self.need.surge_min_jobs),
            ("health.faults_to_shun", self.health.faults_to_shun as usize),
            ("health.shun_one_of", self.health.shun_one_of),
            ("relays.most_workers", self.relays.most_workers),
            ("crashes.suspect_after", self.crashes.suspect_after),
        ];
        let bad = counts.into_iter().find(|(_, v)| *v == 0);
        bad.map_or(Ok(()), |(name, _)| Err(format!("`policy.{name}` must be at least 1")))
    }

    /// Times are below a bound.
    fn check_times(&self) -> Result<(), String> {
        let times = [
            ("need.arrivals", self.need.arrival_window),
            ("need.ahead", self.need.ahead),
            ("need.turn_after", self.need.calm_window),
            ("pools.empty_for", self.pools.empty_for),
            ("waves.ahead", self.waves.ahead),
            ("waves.empty_for", self.waves.empty_for),
            ("health.believed_for", self.health.report_valid_for),
            ("health.stuck_after", self.health.stuck_after),
            ("health.unwell_for", self.health.unwell_for),
            ("health.refused_for", self.health.refused_for),
            ("health.shun_for", self.health.shun_for),
            ("health.shun_at_most", self.health.max_shun),
            ("advice.margin", self.advice.margin),
            ("relays.shun_for", self.relays.shun_for),
            ("crashes.young", self.crashes.young),
            ("crashes.first_wait", self.crashes.first_wait),
        ];
        if self.need.arrival_window.is_zero() {
            return Err("`policy.need.arrivals` must be above 0".to_string());
        }
        let bad = times.into_iter().find(|(_, v)| *v > MAX_DURATION);
        bad.map_or(Ok(()), |(name, _)| {
            Err(format!("`policy.{name}` must be at most {} s", MAX_DURATION.as_secs()))
        })
    }
}
