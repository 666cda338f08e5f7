//! What half-open connections say of others, and when an answer is late.

use std::time::Duration;

use tokio::time::Instant;
use workswood_liveness::{AdaptiveTimeout, HalfOpenConnection, HalfOpenCorrelator, HalfOpenDetector};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn finding(address: &str, silent_since: Instant) -> HalfOpenConnection {
    HalfOpenConnection { address: address.to_string(), silent_since }
}

#[tokio::test(start_paused = true)]
async fn two_addresses_make_all_suspect() {
    let t = Instant::now();
    let mut s = HalfOpenCorrelator::default();
    assert_eq!(s.report(finding("a", t), t + ms(150)), None, "one address may be at fault itself");
    assert_eq!(s.report(finding("a", t), t + ms(160)), None);
    let before = s.report(finding("b", t + ms(20)), t + ms(170));
    assert_eq!(before, Some(t), "what was opened since the first lost call is not as old");
}

#[tokio::test(start_paused = true)]
async fn rare_findings_stay_single() {
    let t = Instant::now();
    let mut s = HalfOpenCorrelator::default();
    assert_eq!(s.report(finding("a", t), t), None);
    assert_eq!(s.report(finding("b", t), t + ms(1000)), None, "a second later is by chance");
    assert!(s.report(finding("a", t), t + ms(1100)).is_some());
    assert_eq!(s.report(finding("b", t), t + ms(1300)), None, "they are left alone for a while");
    assert!(s.report(finding("a", t), t + ms(1700)).is_some());
}

#[tokio::test(start_paused = true)]
async fn only_older_connections_suspect() {
    let half_open = HalfOpenDetector::default();
    let old = Instant::now();
    tokio::time::advance(ms(10)).await;
    let lost = Instant::now();
    tokio::time::advance(ms(150)).await;
    let new = Instant::now();
    half_open.report(finding("a", lost));
    assert!(!half_open.is_suspect(old));
    half_open.report(finding("b", lost));
    assert!(half_open.is_suspect(old) && !half_open.is_suspect(new));
    half_open.until_suspect(old).await;
    assert_eq!(half_open.count(), 2);
}

#[test]
fn timeout_follows_latencies() {
    let p = AdaptiveTimeout::new(4.0, ms(150));
    p.record(ms(4));
    assert_eq!(p.late_after(), ms(150), "not before a time");
    (0..20).for_each(|_| p.record(ms(300)));
    assert!(p.late_after() > ms(1100) && p.late_after() < ms(1200), "{:?}", p.late_after());
}
