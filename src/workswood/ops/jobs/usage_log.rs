//! Logs how an entry that runs the scheduler or serves as a relay uses its resources: how long
//! the process was stalled, and which traffic used its link.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_traffic::{Purpose, TrafficTotals};

use super::node::Node;

/// Interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of purposes in a log line; those with the most bytes are listed.
const LISTED_PURPOSES: usize = 8;

/// Logs usage while this process runs the scheduler or relays; never returns.
pub async fn run(node: Arc<Node>) {
    let mut before: BTreeMap<Purpose, TrafficTotals> = BTreeMap::new();
    let mut stalled_before = Duration::ZERO;
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        let leads = node.scheduler.load().is_some();
        let relayed = node.metrics.relayed_workers.get();
        let now: BTreeMap<Purpose, TrafficTotals> = node.traffic.totals().into_iter().collect();
        let stalled = node.timer_lag.total();
        if leads || relayed > 0 {
            let traffic = traffic_fields(&before, &now);
            let stalled_ms = (stalled - stalled_before).as_millis();
            log::info!(
                "event=host_use leads={leads} relayed_workers={relayed} stood_still_ms={stalled_ms} {traffic}"
            );
        }
        (before, stalled_before) = (now, stalled);
    }
}

/// Returns the log fields on the traffic between two totals, in kB/s.
fn traffic_fields(
    before: &BTreeMap<Purpose, TrafficTotals>,
    now: &BTreeMap<Purpose, TrafficTotals>,
) -> String {
    let kb_s = |bytes: u64| bytes as f64 / 1000.0 / LOG_INTERVAL.as_secs_f64();
    let change = |(purpose, to): (&Purpose, &TrafficTotals)| {
        let from = before.get(purpose).copied().unwrap_or_default();
        (to.sent - from.sent, to.received - from.received, *purpose)
    };
    let mut used: Vec<(u64, u64, Purpose)> = now.iter().map(change).collect();
    let sent: u64 = used.iter().map(|u| u.0).sum();
    let received: u64 = used.iter().map(|u| u.1).sum();
    used.sort_by_key(|u| std::cmp::Reverse(u.0 + u.1));
    let purposes = used.iter().take(LISTED_PURPOSES);
    let purposes = purposes.map(|(s, r, p)| format!("{p}:{:.1}:{:.1}", kb_s(*s), kb_s(*r)));
    let purposes: Vec<String> = purposes.collect();
    format!("sent_kb_s={:.1} received_kb_s={:.1} most={}", kb_s(sent), kb_s(received), purposes.join(","))
}
