//! What the scheduler's decisions are tuned by.
//!
//! Each mechanism that decides reads its limits, weights and thresholds from a
//! [`Policy`]. The defaults serve the deployments of `docs/` best; a
//! settings file may change single values, to try them out or to switch a
//! mechanism off.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::advice::AdvicePolicy;
use super::crash_attribution::CrashPolicy;
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
    pub late_until: f64,
    /// Ends after which the mean of a queue is trusted as much as an estimate.
    pub enough_ends: u32,
    /// Weight of the newest end in the mean of a queue: about the last 30 count.
    pub newest: f64,
    /// From so much room on that the waiting tasks of a service ask for whose job can be in time, as a
    /// share of the room of all hosts, those with the least work left go first: not all can be
    /// in time any more. Before that, those that must begin first do. A share that is much smaller is
    /// reached at the start of each turn, where all can be in time.
    pub overload: f64,
    /// Whose waiting tasks go first when all is full.
    pub shares: ShareOrder,
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
            late_until: 3.0,
            enough_ends: 8,
            newest: 1.0 / 30.0,
            overload: 0.5,
            shares: ShareOrder::Dominant,
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
    pub most_misses: usize,
    /// Whether filling tasks go to hosts that serve.
    pub fills_beside: bool,
}

impl Default for PlacementPolicy {
    fn default() -> PlacementPolicy {
        PlacementPolicy { most_misses: 8, fills_beside: false }
    }
}

/// How many hosts a pool needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NeedPolicy {
    /// Share of a host's room that is planned to be in use.
    pub full: f64,
    /// How much a waiting task counts whose job is late: it is worth little,
    /// but it was accepted.
    pub late: f64,
    /// Work that came in within this time tells how much there will be to do,
    /// before it shows in what runs: tasks of later steps are not waiting yet.
    #[serde(with = "humantime_serde")]
    pub arrivals: Duration,
    /// How far ahead a rise of the work that comes in is drawn out: the time
    /// that a host needs to get to another pool.
    #[serde(with = "humantime_serde")]
    pub ahead: Duration,
    /// The work that comes in is taken to rise to this multiple at most.
    pub most_rise: f64,
    /// A turn of demand has begun when work comes in at this multiple of what
    /// it did before.
    pub turn_rise: f64,
    /// How long that time before is.
    #[serde(with = "humantime_serde")]
    pub turn_after: Duration,
    /// It has to keep this share of all hosts busy, lest a single job counts
    /// as a turn.
    pub turn_least: f64,
    /// So many jobs have to have come in: a single one may be as large as many.
    pub turn_jobs: usize,
    /// Share of the highest rate seen that a turn is taken to come to; 0 takes
    /// none to come.
    pub turn_share: f64,
    /// A turn is taken to want this many times the hosts that operators gave
    /// the pool, until more is known.
    pub turn_first: f64,
    /// but no more than this many times what comes in now, which the last third of `arrivals` tells: where
    /// pools are far larger than the demand on them, their sizes tell nothing of a turn;
    pub turn_first_rise: f64,
    /// and only while that is this many times the rate of all of `arrivals`: afterwards the turn is at its
    /// height, and what came in tells what it wants.
    pub turn_still_rises: f64,
    /// Whether a turn that asks for more than its service's earlier ones is taken to
    /// come to what turns of other services did. Before its first turn a service has
    /// only shown how little it asks for in between.
    pub turn_any: bool,
    /// How fast the need falls that counts when another pool is short, as a
    /// share of all hosts a second: a host that is idle here is wanted
    /// there.
    pub lend_per_s: f64,
    /// How fast the need falls that counts when hosts are turned off,
    /// likewise: the next turn of demand may come soon.
    pub forget_per_s: f64,
}

impl Default for NeedPolicy {
    fn default() -> NeedPolicy {
        NeedPolicy {
            full: 0.85,
            late: 0.3,
            arrivals: Duration::from_millis(1000),
            ahead: Duration::ZERO,
            most_rise: 3.0,
            turn_rise: 3.0,
            turn_after: Duration::from_secs(8),
            turn_least: 0.04,
            turn_jobs: 3,
            turn_share: 0.8,
            turn_first: 2.0,
            turn_first_rise: 2.0,
            turn_still_rises: 1.5,
            turn_any: true,
            lend_per_s: 0.3,
            forget_per_s: 0.08,
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
    pub most_moves: f64,
    /// Longest time that a host is kept from new work before its move is
    /// given up.
    #[serde(with = "humantime_serde")]
    pub empty_for: Duration,
}

impl Default for PoolPolicy {
    fn default() -> PoolPolicy {
        PoolPolicy { margin: 0.02, surplus: 0.04, most_moves: 0.25, empty_for: Duration::from_millis(2500) }
    }
}

/// When hosts are maintained.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WavePolicy {
    /// Share of a wave's time that is planned for; the rest is for hosts
    /// that come back late.
    pub use_of_time: f64,
    /// The same while some pool is short of hosts.
    pub use_when_short: f64,
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
            use_of_time: 0.35,
            use_when_short: 0.6,
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
    #[serde(with = "humantime_serde")]
    pub believed_for: Duration,
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
    #[serde(with = "humantime_serde")]
    pub shun_at_most: Duration,
    /// At most one of this many workers of a service is shunned at a time.
    pub shun_one_of: usize,
}

impl Default for HealthPolicy {
    fn default() -> HealthPolicy {
        HealthPolicy {
            believed_for: Duration::from_millis(1500),
            stuck_after: Duration::from_millis(2500),
            stuck_share: 0.03,
            unwell_for: Duration::from_millis(1000),
            refused_for: Duration::from_millis(400),
            faults_to_shun: 2,
            shun_for: Duration::from_millis(2500),
            shun_at_most: Duration::from_secs(15),
            shun_one_of: 3,
        }
    }
}

/// How fast filling tasks work beside tasks that serve users.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PacePolicy {
    /// Above this share of its target a serving task is in danger.
    pub danger: f64,
    /// Below this share of its target a serving task has room to spare.
    pub ease: f64,
    /// By how much the pace rises a look, in percent.
    pub step: u32,
    /// A pace below this, in percent, is no pace: the task waits.
    pub least: u32,
}

impl Default for PacePolicy {
    fn default() -> PacePolicy {
        PacePolicy { danger: 0.85, ease: 0.55, step: 15, least: 15 }
    }
}

/// What is done about calls that fail or are lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallPolicy {
    /// Whether entries that the store turns away have others write for them.
    pub help: bool,
    /// Whether a look that seems to be lost is sent again before it is given up.
    pub look_again: bool,
}

impl Default for CallPolicy {
    fn default() -> CallPolicy {
        CallPolicy { help: true, look_again: true }
    }
}

/// Longest time that a policy may name; more is a slip of the pen.
const LONGEST: Duration = Duration::from_secs(600);

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
            ("order.newest", self.order.newest),
            ("need.full", self.need.full),
            ("pools.most_moves", self.pools.most_moves),
            ("waves.use_of_time", self.waves.use_of_time),
            ("waves.use_when_short", self.waves.use_when_short),
            ("pace.danger", self.pace.danger),
            ("pace.ease", self.pace.ease),
            ("relays.share", self.relays.capacity_share),
            ("crashes.most_quarantined", self.crashes.max_quarantined_share),
        ];
        let bad = shares.into_iter().find(|(_, v)| !(*v > 0.0 && *v <= 1.0));
        bad.map_or(Ok(()), |(name, v)| Err(format!("`policy.{name}` must be above 0 and at most 1, not {v}")))
    }

    /// Factors and rates are not negative.
    fn check_factors(&self) -> Result<(), String> {
        let factors = [
            ("order.late_until", self.order.late_until),
            ("order.overload", self.order.overload),
            ("need.late", self.need.late),
            ("need.lend_per_s", self.need.lend_per_s),
            ("need.forget_per_s", self.need.forget_per_s),
            ("need.most_rise", self.need.most_rise),
            ("need.turn_rise", self.need.turn_rise),
            ("need.turn_least", self.need.turn_least),
            ("need.turn_share", self.need.turn_share),
            ("need.turn_first", self.need.turn_first),
            ("need.turn_first_rise", self.need.turn_first_rise),
            ("need.turn_still_rises", self.need.turn_still_rises),
            ("pools.margin", self.pools.margin),
            ("pools.surplus", self.pools.surplus),
            ("health.stuck_share", self.health.stuck_share),
            ("crashes.suspicious", self.crashes.suspicion_threshold),
            ("crashes.sure", self.crashes.give_up_threshold),
            ("relays.spare", self.relays.spare_share),
        ];
        let bad = factors.into_iter().find(|(_, v)| !(*v >= 0.0 && v.is_finite()));
        bad.map_or(Ok(()), |(name, v)| Err(format!("`policy.{name}` must not be negative, as {v} is")))
    }

    /// Counts are at least one.
    fn check_counts(&self) -> Result<(), String> {
        let counts = [
            ("order.enough_ends", self.order.enough_ends as usize),
            ("placement.most_misses", self.placement.most_misses),
            ("need.turn_jobs", self.need.turn_jobs),
            ("health.faults_to_shun", self.health.faults_to_shun as usize),
            ("health.shun_one_of", self.health.shun_one_of),
            ("relays.most_workers", self.relays.max_workers),
            ("crashes.suspect_after", self.crashes.suspect_after_crashes),
        ];
        let bad = counts.into_iter().find(|(_, v)| *v == 0);
        bad.map_or(Ok(()), |(name, _)| Err(format!("`policy.{name}` must be at least 1")))
    }

    /// Times are below a bound.
    fn check_times(&self) -> Result<(), String> {
        let times = [
            ("need.arrivals", self.need.arrivals),
            ("need.ahead", self.need.ahead),
            ("need.turn_after", self.need.turn_after),
            ("pools.empty_for", self.pools.empty_for),
            ("waves.ahead", self.waves.ahead),
            ("waves.empty_for", self.waves.empty_for),
            ("health.believed_for", self.health.believed_for),
            ("health.stuck_after", self.health.stuck_after),
            ("health.unwell_for", self.health.unwell_for),
            ("health.refused_for", self.health.refused_for),
            ("health.shun_for", self.health.shun_for),
            ("health.shun_at_most", self.health.shun_at_most),
            ("advice.margin", self.advice.margin),
            ("relays.shun_for", self.relays.backoff),
            ("crashes.young", self.crashes.suspect_age),
            ("crashes.first_wait", self.crashes.max_first_trial_wait),
        ];
        if self.need.arrivals.is_zero() {
            return Err("`policy.need.arrivals` must be above 0".to_string());
        }
        let bad = times.into_iter().find(|(_, v)| *v > LONGEST);
        bad.map_or(Ok(()), |(name, _)| {
            Err(format!("`policy.{name}` must be at most {} s", LONGEST.as_secs()))
        })
    }
}
