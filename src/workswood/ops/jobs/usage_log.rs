//! Tells in the log what a host is used for that leads or relays, and whether it is
//! what binds: how long it stood still, and what fills its link.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_traffic::{Purpose, TrafficTotals};

use super::node::Node;

/// Time between two lines.
const EVERY: Duration = Duration::from_secs(5);
/// Purposes that a line names, those with most bytes.
const NAMED: usize = 8;

/// Tells it for ever.
pub async fn run(node: Arc<Node>) {
    let mut before: BTreeMap<Purpose, TrafficTotals> = BTreeMap::new();
    let mut still = Duration::ZERO;
    loop {
        tokio::time::sleep(EVERY).await;
        let leads = node.scheduler.load().is_some();
        let relayed = node.metrics.relayed_workers.get();
        let now: BTreeMap<Purpose, TrafficTotals> = node.traffic.totals().into_iter().collect();
        let total = node.timer_lag.total();
        if leads || relayed > 0 {
            let text = line(&before, &now);
            let stood = (total - still).as_millis();
            log::info!(
                "event=host_use leads={leads} relayed_workers={relayed} stood_still_ms={stood} {text}"
            );
        }
        (before, still) = (now, total);
    }
}

/// What went over the link meanwhile, in kB a second.
fn line(before: &BTreeMap<Purpose, TrafficTotals>, now: &BTreeMap<Purpose, TrafficTotals>) -> String {
    let kb_s = |bytes: u64| bytes as f64 / 1000.0 / EVERY.as_secs_f64();
    let since = |(purpose, a): (&Purpose, &TrafficTotals)| {
        let b = before.get(purpose).copied().unwrap_or_default();
        (a.sent - b.sent, a.received - b.received, *purpose)
    };
    let mut used: Vec<(u64, u64, Purpose)> = now.iter().map(since).collect();
    let sent: u64 = used.iter().map(|u| u.0).sum();
    let received: u64 = used.iter().map(|u| u.1).sum();
    used.sort_by_key(|u| std::cmp::Reverse(u.0 + u.1));
    let named = used.iter().take(NAMED).map(|(s, r, p)| format!("{p}:{:.1}:{:.1}", kb_s(*s), kb_s(*r)));
    let named: Vec<String> = named.collect();
    format!("sent_kb_s={:.1} received_kb_s={:.1} most={}", kb_s(sent), kb_s(received), named.join(","))
}
