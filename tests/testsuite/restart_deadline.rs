//! A long-running task is at work again in time: what may hold it back, added up.

use std::time::Duration;

use workswood_core::jobs::restart_deadline::{
    LastRun, RESTART_BOUND, START_RESERVE, Safeguard, earliest_end, shortest_lease,
};
use workswood_test_support::host_world::limits;

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
    assert_eq!(shortest_lease(&limits()), ms(4_900));
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
