//! Parameters of the scheduler's decisions.
//!
//! Each mechanism reads its limits, weights and thresholds from a [`Policy`]. A settings file may
//! change single values; fields keep their names there by `#[serde(rename)]`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::admission::AdmissionPolicy;
use super::advice::AdvicePolicy;
use super::bridges::BridgePolicy;
use super::crash_attribution::CrashPolicy;
use super::lease_handover::HandoverPolicy;
use super::outage::OutagePolicy;
use super::relays::RelayPolicy;
use super::second_runs::SecondRunPolicy;
use super::slow_workers::SlowWorkerPolicy;

/// All parameters of the scheduler's decisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// The order of waiting tasks.
    pub order: OrderPolicy,
    /// The choice of workers for tasks.
    pub placement: PlacementPolicy,
    /// The number of hosts that a pool needs.
    pub need: NeedPolicy,
    /// Moves of hosts between pools.
    pub pools: PoolPolicy,
    /// The pace of maintenance waves.
    pub waves: WavePolicy,
    /// The use of workers that are silent, faulty or stuck.
    pub health: HealthPolicy,
    /// The attribution of worker crashes to tasks.
    pub crashes: CrashPolicy,
    /// The pace of best-effort tasks.
    pub pace: PacePolicy,
    /// The handling of calls that fail or are lost.
    pub calls: CallPolicy,
    /// Calls to the adviser.
    pub advice: AdvicePolicy,
    /// The choice of relays.
    pub relays: RelayPolicy,
    /// Second runs of tasks whose steps allow copies.
    #[serde(skip_serializing_if = "is_default")]
    pub second_runs: SecondRunPolicy,
    /// Workers that are slow.
    #[serde(skip_serializing_if = "is_default")]
    pub slow_workers: SlowWorkerPolicy,
    /// What a lease holder does that the store refuses to serve, or that is told to stop.
    #[serde(skip_serializing_if = "is_default")]
    pub handover: HandoverPolicy,
    /// The use of entries that reach data centres which others can't.
    #[serde(skip_serializing_if = "is_default")]
    pub bridges: BridgePolicy,
    /// What goes on while the store is away.
    #[serde(skip_serializing_if = "is_default")]
    pub outage: OutagePolicy,
    /// The admission of jobs.
    #[serde(skip_serializing_if = "is_default")]
    pub admission: AdmissionPolicy,
}

/// Whether parameters are the default ones. Those of newer mechanisms are then not written, so that
/// earlier versions can read what is written.
fn is_default<P: Default + PartialEq>(policy: &P) -> bool {
    *policy == P::default()
}

/// Parameters of the order of waiting tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderPolicy {
    /// A job is worthless once it is late by this multiple of its target time.
    #[serde(rename = "late_until")]
    pub worthless_after: f64,
    /// Number of finished tasks after which the measured mean of a queue is trusted as much as an
    /// estimate.
    #[serde(rename = "enough_ends")]
    pub min_samples: u32,
    /// Weight of the newest finished task in the moving average of a queue.
    #[serde(rename = "newest")]
    pub newest_weight: f64,
    /// Above this share of the capacity of all hosts, a service is overloaded. Counted are the
    /// resources requested by its waiting tasks whose jobs can still be in time. Under overload not
    /// all jobs can be in time, so the steps with the least work left go first; otherwise those
    /// that must begin first.
    #[serde(rename = "overload")]
    pub overload_share: f64,
    /// How workspaces share workers when all are full.
    #[serde(rename = "shares")]
    pub share_order: ShareOrder,
}

/// How workspaces share workers when all are full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShareOrder {
    /// Only urgency counts, not the workspace.
    Plain,
    /// As `Plain`, but work that a workspace submits beyond its share goes last.
    Excess,
    /// As `Excess`; in addition, while not all jobs can be in time, the workspace that uses the
    /// least relative to its share goes first.
    Dominant,
}

impl Default for OrderPolicy {
    fn default() -> OrderPolicy {
        OrderPolicy {
            worthless_after: 3.0,
            min_samples: 8,
            newest_weight: 1.0 / 30.0,
            overload_share: 0.5,
            share_order: ShareOrder::Dominant,
        }
    }
}

/// Parameters of the choice of workers for tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Number of steps without a fitting worker after which a placement pass leaves the order of placement, not
    /// counting steps of long-running tasks, steps that need a ticket, those that no known worker could ever take,
    /// and those that ask for the same as an earlier one. Smaller tasks further back would otherwise always fill the
    /// room that larger ones wait for. Steps further back are tried in turn, some of them in each pass.
    #[serde(rename = "most_misses")]
    pub max_misses: usize,
    /// Whether best-effort tasks are placed on hosts with serving tasks as readily as on others.
    #[serde(rename = "fills_beside")]
    pub best_effort_beside_serving: bool,
}

impl Default for PlacementPolicy {
    fn default() -> PlacementPolicy {
        PlacementPolicy { max_misses: 8, best_effort_beside_serving: false }
    }
}

/// Parameters of the number of hosts that a pool needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NeedPolicy {
    /// Share of a host's capacity that is planned to be in use.
    #[serde(rename = "full")]
    pub target_use: f64,
    /// Weight of a waiting task whose job is already late.
    #[serde(rename = "late")]
    pub late_task_weight: f64,
    /// Window over which the rate of submitted work is measured. It shows demand before the tasks
    /// of later steps wait.
    #[serde(rename = "arrivals", with = "humantime_serde")]
    pub arrival_window: Duration,
    /// How far ahead a rise of the rate is extrapolated, about the time that a host needs to move
    /// to another pool; 0 switches the extrapolation off.
    #[serde(rename = "ahead", with = "humantime_serde")]
    pub rise_lookahead: Duration,
    /// The extrapolated rate is at most this multiple of the measured one.
    #[serde(rename = "most_rise")]
    pub max_rise: f64,
    /// A surge of demand has begun when the rate reaches this multiple of the rate before.
    #[serde(rename = "turn_rise")]
    pub surge_rise: f64,
    /// Length of the window before `arrival_window` in which the rate before a surge is measured.
    #[serde(rename = "turn_after", with = "humantime_serde")]
    pub calm_window: Duration,
    /// A surge has to keep at least this share of all hosts busy, so that a single job does not
    /// count as one.
    #[serde(rename = "turn_least")]
    pub surge_min_share: f64,
    /// A surge has to consist of at least this many jobs.
    #[serde(rename = "turn_jobs")]
    pub surge_min_jobs: usize,
    /// Share of the highest rate seen before that a surge is expected to reach; 0 switches the
    /// forecast off.
    #[serde(rename = "turn_share")]
    pub surge_peak_share: f64,
    /// A surge beyond the service's earlier ones is expected to need at least this multiple of the
    /// hosts that operators gave its pool.
    #[serde(rename = "turn_first")]
    pub new_surge_pool_factor: f64,
    /// Upper bound of the forecast by `new_surge_pool_factor`, as a multiple of the rate in the last
    /// third of `arrival_window`.
    #[serde(rename = "turn_first_rise")]
    pub new_surge_max_rise: f64,
    /// The forecast by `new_surge_pool_factor` may exceed the rate in the whole `arrival_window` only
    /// while the rate in the last third of it is at least this multiple of that rate: afterwards the
    /// surge has reached its peak.
    #[serde(rename = "turn_still_rises")]
    pub new_surge_min_rise: f64,
    /// Whether a surge beyond the service's earlier ones is expected to reach `surge_peak_share` of
    /// the highest rate of any service. If not set, that holds only for a service without an
    /// earlier peak rate.
    #[serde(rename = "turn_any")]
    pub surge_from_other_services: bool,
    /// How fast the lend floor of a pool falls, in shares of all hosts per second. Hosts above the
    /// floor may go to a pool that is short.
    #[serde(rename = "lend_per_s")]
    pub lend_floor_fall_per_s: f64,
    /// How fast the power-off floor of a pool falls, in shares of all hosts per second. Hosts above
    /// the floor may be turned off; the floor falls slowly since demand often returns.
    #[serde(rename = "forget_per_s")]
    pub power_off_floor_fall_per_s: f64,
}

impl Default for NeedPolicy {
    fn default() -> NeedPolicy {
        NeedPolicy {
            target_use: 0.85,
            late_task_weight: 0.3,
            arrival_window: Duration::from_millis(1000),
            rise_lookahead: Duration::ZERO,
            max_rise: 3.0,
            surge_rise: 3.0,
            calm_window: Duration::from_secs(8),
            surge_min_share: 0.04,
            surge_min_jobs: 3,
            surge_peak_share: 0.8,
            new_surge_pool_factor: 2.0,
            new_surge_max_rise: 2.0,
            new_surge_min_rise: 1.5,
            surge_from_other_services: true,
            lend_floor_fall_per_s: 0.3,
            power_off_floor_fall_per_s: 0.08,
        }
    }
}

/// Parameters of moves between pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolPolicy {
    /// Number of hosts that a pool keeps above its need, as a share of all hosts.
    pub margin: f64,
    /// A pool turns hosts off only when it exceeds its power-off floor and `margin` by this share
    /// of all hosts.
    pub surplus: f64,
    /// Share of all hosts that may be moving at the same time.
    #[serde(rename = "most_moves")]
    pub max_moves_share: f64,
    /// Longest time that a host is cordoned for a move before the move is abandoned.
    #[serde(rename = "empty_for", with = "humantime_serde")]
    pub drain_timeout: Duration,
}

impl Default for PoolPolicy {
    fn default() -> PoolPolicy {
        PoolPolicy {
            margin: 0.02,
            surplus: 0.04,
            max_moves_share: 0.25,
            drain_timeout: Duration::from_millis(2500),
        }
    }
}

/// Parameters of maintenance waves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WavePolicy {
    /// Share of a wave's time by which all its hosts are planned to be begun; the rest is reserved
    /// for hosts that come back late.
    #[serde(rename = "use_of_time")]
    pub planned_time_share: f64,
    /// The same while some pool is short of hosts.
    #[serde(rename = "use_when_short")]
    pub planned_time_share_when_short: f64,
    /// How long before its planned completion the maintenance of a host begins: the time to drain
    /// it and to maintain it.
    #[serde(rename = "ahead", with = "humantime_serde")]
    pub lead_time: Duration,
    /// Longest time that short tasks get to end before the host is ordered down.
    #[serde(rename = "empty_for", with = "humantime_serde")]
    pub drain_timeout: Duration,
}

impl Default for WavePolicy {
    fn default() -> WavePolicy {
        WavePolicy {
            planned_time_share: 0.35,
            planned_time_share_when_short: 0.6,
            lead_time: Duration::from_millis(4000),
            drain_timeout: Duration::from_millis(3500),
        }
    }
}

/// Parameters of the use of workers that are silent, faulty or stuck.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthPolicy {
    /// How long a worker's last report counts as current for the availability budget. A worker that
    /// is silent for longer may have lost its tasks.
    #[serde(rename = "believed_for", with = "humantime_serde")]
    pub report_valid_for: Duration,
    /// A running task without progress for this long is considered stuck.
    #[serde(with = "humantime_serde")]
    pub stuck_after: Duration,
    /// Share of its estimated duration that a task may go without progress in addition to
    /// `stuck_after`.
    pub stuck_share: f64,
    /// How long a worker gets no work after it rejected a start as unhealthy.
    #[serde(with = "humantime_serde")]
    pub unwell_for: Duration,
    /// How long a worker gets no work after it refused a start.
    #[serde(with = "humantime_serde")]
    pub refused_for: Duration,
    /// Number of faults in a row, of different jobs, after which a worker is shunned. A single
    /// fault is more often the job's own.
    pub faults_to_shun: u32,
    /// How long a worker is shunned for each fault in a row.
    #[serde(with = "humantime_serde")]
    pub shun_for: Duration,
    /// Longest time that a worker is shunned before it is tried again.
    #[serde(rename = "shun_at_most", with = "humantime_serde")]
    pub max_shun: Duration,
    /// At most one in this many workers of a service is shunned at a time.
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

/// Parameters of the pace of best-effort tasks that run beside serving tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PacePolicy {
    /// A serving task above this share of its target slows best-effort tasks down.
    #[serde(rename = "danger")]
    pub slow_down_above: f64,
    /// Best-effort tasks speed up while all serving tasks are below this share of their targets.
    #[serde(rename = "ease")]
    pub speed_up_below: f64,
    /// By how much the pace rises with each probe, in percent.
    #[serde(rename = "step")]
    pub step_percent: u32,
    /// Best-effort tasks whose pace would fall below this, in percent, are paused.
    #[serde(rename = "least")]
    pub min_percent: u32,
}

impl Default for PacePolicy {
    fn default() -> PacePolicy {
        PacePolicy { slow_down_above: 0.85, speed_up_below: 0.55, step_percent: 15, min_percent: 15 }
    }
}

/// Parameters of the handling of calls that fail or are lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallPolicy {
    /// Whether entries that the store rejects have other entries write for them.
    #[serde(rename = "help")]
    pub write_for_others: bool,
    /// Whether a probe that seems to be lost is sent again before it counts as failed.
    #[serde(rename = "look_again")]
    pub resend_probe: bool,
}

impl Default for CallPolicy {
    fn default() -> CallPolicy {
        CallPolicy { write_for_others: true, resend_probe: true }
    }
}

/// Longest duration that a policy may set.
const MAX_DURATION: Duration = Duration::from_secs(600);

impl Policy {
    /// Checks that each value is within its valid range.
    pub fn check(&self) -> Result<(), String> {
        self.check_shares()?;
        self.check_factors()?;
        self.check_counts()?;
        self.second_runs.check()?;
        self.slow_workers.check()?;
        self.check_times()
    }

    /// Checks that shares are above 0 and at most 1.
    fn check_shares(&self) -> Result<(), String> {
        let shares = [
            ("order.newest", self.order.newest_weight),
            ("need.full", self.need.target_use),
            ("pools.most_moves", self.pools.max_moves_share),
            ("waves.use_of_time", self.waves.planned_time_share),
            ("waves.use_when_short", self.waves.planned_time_share_when_short),
            ("pace.danger", self.pace.slow_down_above),
            ("pace.ease", self.pace.speed_up_below),
            ("relays.share", self.relays.capacity_share),
            ("crashes.most_quarantined", self.crashes.max_quarantined_share),
        ];
        let bad = shares.into_iter().find(|(_, v)| !(*v > 0.0 && *v <= 1.0));
        bad.map_or(Ok(()), |(name, v)| Err(format!("`policy.{name}` must be above 0 and at most 1, not {v}")))
    }

    /// Checks that factors and rates are finite and not negative.
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
            ("need.turn_first", self.need.new_surge_pool_factor),
            ("need.turn_first_rise", self.need.new_surge_max_rise),
            ("need.turn_still_rises", self.need.new_surge_min_rise),
            ("pools.margin", self.pools.margin),
            ("pools.surplus", self.pools.surplus),
            ("health.stuck_share", self.health.stuck_share),
            ("crashes.suspicious", self.crashes.suspicion_threshold),
            ("crashes.sure", self.crashes.give_up_threshold),
            ("relays.spare", self.relays.spare_share),
            ("admission.late", self.admission.late_share),
            ("admission.wait", self.admission.wait_factor),
        ];
        let bad = factors.into_iter().find(|(_, v)| !(*v >= 0.0 && v.is_finite()));
        bad.map_or(Ok(()), |(name, v)| {
            Err(format!("`policy.{name}` must be finite and not negative, not {v}"))
        })
    }

    /// Checks that counts are at least 1.
    fn check_counts(&self) -> Result<(), String> {
        let counts = [
            ("order.enough_ends", self.order.min_samples as usize),
            ("placement.most_misses", self.placement.max_misses),
            ("need.turn_jobs", self.need.surge_min_jobs),
            ("health.faults_to_shun", self.health.faults_to_shun as usize),
            ("health.shun_one_of", self.health.shun_one_of),
            ("relays.most_workers", self.relays.max_workers),
            ("crashes.suspect_after", self.crashes.suspect_after_crashes),
        ];
        let bad = counts.into_iter().find(|(_, v)| *v == 0);
        bad.map_or(Ok(()), |(name, _)| Err(format!("`policy.{name}` must be at least 1")))
    }

    /// Checks that durations are at most [`MAX_DURATION`], and that the arrival window is not zero.
    fn check_times(&self) -> Result<(), String> {
        let times = [
            ("outage.write_stall", self.outage.write_stall),
            ("outage.show_completed_after", self.outage.show_completed_after),
            ("need.arrivals", self.need.arrival_window),
            ("need.ahead", self.need.rise_lookahead),
            ("need.turn_after", self.need.calm_window),
            ("pools.empty_for", self.pools.drain_timeout),
            ("waves.ahead", self.waves.lead_time),
            ("waves.empty_for", self.waves.drain_timeout),
            ("health.believed_for", self.health.report_valid_for),
            ("health.stuck_after", self.health.stuck_after),
            ("health.unwell_for", self.health.unwell_for),
            ("health.refused_for", self.health.refused_for),
            ("health.shun_for", self.health.shun_for),
            ("health.shun_at_most", self.health.max_shun),
            ("advice.margin", self.advice.ticket_margin),
            ("relays.shun_for", self.relays.backoff),
            ("handover.late_after", self.handover.late_after),
            ("bridges.hedge_after", self.bridges.hedge_after),
            ("bridges.suspect_after", self.bridges.suspect_after),
            ("bridges.direct_again", self.bridges.direct_interval),
            ("bridges.shun_for", self.bridges.backoff),
            ("crashes.young", self.crashes.suspect_age),
            ("crashes.first_wait", self.crashes.max_first_trial_wait),
            ("admission.moves_take", self.admission.move_time),
        ];
        if self.need.arrival_window.is_zero() {
            return Err("`policy.need.arrivals` must be above 0".to_string());
        }
        let waits = [
            ("handover.late_after", self.handover.late_after),
            ("bridges.hedge_after", self.bridges.hedge_after),
            ("bridges.suspect_after", self.bridges.suspect_after),
            ("bridges.direct_again", self.bridges.direct_interval),
        ];
        if let Some((name, _)) = waits.into_iter().find(|(_, v)| v.is_zero()) {
            return Err(format!("`policy.{name}` must be above 0"));
        }
        self.outage.check()?;
        let bad = times.into_iter().find(|(_, v)| *v > MAX_DURATION);
        bad.map_or(Ok(()), |(name, _)| {
            Err(format!("`policy.{name}` must be at most {} s", MAX_DURATION.as_secs()))
        })
    }
}
