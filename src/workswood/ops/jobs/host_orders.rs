//! Orders to hosts, as the lease holder gives them.

use std::sync::Arc;

use workswood_core::ids::{HostId, ServiceId};
use workswood_core::jobs::{Event, HostReply};

use super::node::{Node, SchedulerHandle};

/// What a host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrder {
    /// Be maintained as part of a wave.
    Upkeep(u64),
    /// Go to another pool.
    Move(ServiceId),
}

/// Gives an order, and hands its outcome to the scheduler.
pub async fn give(node: Arc<Node>, l: Arc<SchedulerHandle>, host: HostId, order: HostOrder) {
    let reply = reply_to(&node, &l, &host, order).await;
    // A scheduler that has just ended takes no more events.
    let _ = l.tx.send(Event::HostOrderAnswered(host, reply));
}

/// Gives an order, if this process may still give any. A holder that was paused or suspended, or
/// can't reach the store, may have a successor, which waits for no longer than this right
/// lasts; an order of both within that time would be one too many.
async fn reply_to(node: &Node, l: &SchedulerHandle, host: &HostId, order: HostOrder) -> HostReply {
    if !l.grant.holds(node.now()) {
        log::warn!("event=order_held_back machine={host} term={} reason=lease_not_renewed", l.term);
        return HostReply::Later;
    }
    let (holder, host) = (&node.settings.name, host.clone());
    match order {
        HostOrder::Upkeep(wave) => node.platform.maintain_host(holder, l.term, host, wave).await,
        HostOrder::Move(pool) => node.platform.move_host(holder, l.term, host, pool).await,
    }
}
