//! A long-running task is at work again in time: what may hold it back, added up.

use std::time::Duration;

use workswood::ops::jobs::lease_renewal::FULL_LEASE_GRACE;
use workswood::ops::jobs::limits::{CLOCK_DRIFT, WORKER_LEASE};
use workswood::ops::jobs::relay::START_TIMEOUTS;
use workswood::ops::jobs::relay::poll::{MAX_LATE_AFTER_WAIT, MIN_POLL_INTERVAL, POLL_WAIT, RECORD_TIMEOUT};
use workswood::ops::jobs::{MIN_BATCH_INTERVAL, TICK_INTERVAL};
use workswood_core::jobs::OutagePolicy;
use workswood_core::jobs::restart_deadline::{
    LastRun, RESTART_BOUND, START_RESERVE, Safeguard, earliest_end, shortest_lease,
};
use workswood_core::jobs::types::lease_with_drift;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const NOW: Duration = ms(60_000);

#[test]
fn run_that_lives_has_not_ended() {
    assert_eq!(earliest_end(LastRun::Alive, ms(4_900), NOW), NOW);
}

#[test]
fn reported_run_ended_by_its_report() {
    assert_eq!(earliest_end(LastRun::Reported(ms(58_000)), ms(4_900), NOW), ms(58_000));
}

#[test]
fn silent_worker_keeps_its_run_for_a_lease() {
    assert_eq!(earliest_end(LastRun::Silent(ms(58_000)), ms(4_900), NOW), ms(62_900));
}

#[test]
fn life_may_have_ended_after_its_last_answer() {
    assert_eq!(earliest_end(LastRun::Gone(ms(58_000)), ms(4_900), NOW), ms(58_000));
}

#[test]
fn shortest_lease_of_a_fast_clock() {
    assert_eq!(shortest_lease(ms(5_000), 0.02), ms(4_900));
}

#[test]
fn no_safeguard_outlasts_its_wait() {
    for safeguard in Safeguard::ALL {
        let longest = safeguard.longest_wait();
        assert!(safeguard.gives_way_after(longest, Some(RESTART_BOUND)), "{safeguard:?}");
        assert!(!safeguard.gives_way_after(longest - ms(1), Some(RESTART_BOUND)), "{safeguard:?}");
    }
}

#[test]
fn safeguards_leave_time_for_a_start() {
    for safeguard in Safeguard::ALL {
        assert!(safeguard.gives_way_after(Duration::ZERO, Some(START_RESERVE)), "{safeguard:?}");
        assert!(!safeguard.gives_way_after(Duration::ZERO, Some(START_RESERVE + ms(1))), "{safeguard:?}");
        assert!(!safeguard.gives_way_after(Duration::ZERO, None), "{safeguard:?}");
    }
}

/// The longest wait of all safeguards: they are counted from the same time, so that they overlap.
fn longest_safeguard() -> Duration {
    Safeguard::ALL.iter().map(|s| s.longest_wait()).max().unwrap_or_default()
}

/// From the decision to start a task until a worker that answers the last attempt has taken it.
fn longest_start() -> Duration {
    let write = OutagePolicy::default().write_stall;
    TICK_INTERVAL + MIN_BATCH_INTERVAL + write + START_TIMEOUTS.iter().sum::<Duration>()
}

/// From the last answer of a worker until its holder may know that its lease is over. The last poll that extends the
/// lease unheard is the one that repeats the first without an answer.
fn longest_lease() -> Duration {
    let last_extension = MIN_POLL_INTERVAL + POLL_WAIT + MAX_LATE_AFTER_WAIT;
    last_extension + lease_with_drift(WORKER_LEASE, CLOCK_DRIFT) + TICK_INTERVAL
}

/// The same if the holder changes: the next one counts from when it reads the last renewal.
fn longest_inherited_lease() -> Duration {
    let last_extension = FULL_LEASE_GRACE.max(MIN_POLL_INTERVAL + POLL_WAIT + MAX_LATE_AFTER_WAIT);
    last_extension + lease_with_drift(WORKER_LEASE, CLOCK_DRIFT) + TICK_INTERVAL
}

/// Checks a sum of waits, counted from the earliest end of the last run.
fn holds(waits: &[Duration]) {
    let total: Duration = waits.iter().sum();
    assert!(total <= RESTART_BOUND, "{total:?} of {waits:?}");
}

#[test]
fn reserve_is_enough_for_a_start() {
    assert!(longest_start() <= START_RESERVE, "{:?}", longest_start());
}

#[test]
fn sum_after_a_reported_end() {
    holds(&[RECORD_TIMEOUT + MIN_POLL_INTERVAL, longest_safeguard(), START_RESERVE]);
}

#[test]
fn sum_after_a_lapse_at_a_silent_worker() {
    let until_known = longest_lease() - shortest_lease(WORKER_LEASE, CLOCK_DRIFT);
    holds(&[until_known, longest_safeguard(), START_RESERVE]);
}

#[test]
fn sum_after_the_end_of_a_worker_that_only_its_lease_shows() {
    let left = RESTART_BOUND - longest_lease();
    assert!(Safeguard::ALL.iter().all(|s| s.gives_way_after(Duration::ZERO, Some(left))), "{left:?}");
    holds(&[longest_lease(), longest_start()]);
}

#[test]
fn sum_after_a_lapse_across_a_change_of_holder() {
    let until_known = longest_inherited_lease() - shortest_lease(WORKER_LEASE, CLOCK_DRIFT);
    holds(&[until_known, longest_safeguard(), START_RESERVE]);
}
