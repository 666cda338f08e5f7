//! Orders of the lease holder to hosts.

use std::sync::Arc;

use workswood_core::ids::{HostId, ServiceId};
use workswood_core::jobs::{Event, HostReply};

use super::node::{Node, SchedulerHandle};

/// An order to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOrder {
    /// Go into maintenance as part of the wave with this number.
    Maintain(u64),
    /// Move to the pool of a service.
    Move(ServiceId),
}

/// Sends an order to a host and hands the reply to the scheduler.
pub async fn send_order(node: Arc<Node>, handle: Arc<SchedulerHandle>, host: HostId, order: HostOrder) {
    let reply = send_if_granted(&node, &handle, &host, order).await;
    // Sending fails if the scheduler has just stopped.
    let _ = handle.tx.send(Event::HostOrderAnswered(host, reply));
}

/// Sends an order if the grant that comes with the lease is still valid; otherwise replies
/// [`HostReply::Later`]. A holder that was suspended or can't reach the store may already have a
/// successor, which starts to send orders once this grant must have expired. An order sent later
/// could conflict with them.
async fn send_if_granted(
    node: &Node,
    handle: &SchedulerHandle,
    host: &HostId,
    order: HostOrder,
) -> HostReply {
    if !handle.grant.holds(node.now()) {
        log::warn!("event=order_held_back machine={host} term={} reason=lease_not_renewed", handle.term);
        return HostReply::Later;
    }
    let (holder, host) = (&node.settings.name, host.clone());
    match order {
        HostOrder::Maintain(wave) => node.platform.maintain_host(holder, handle.term, host, wave).await,
        HostOrder::Move(pool) => node.platform.move_host(holder, handle.term, host, pool).await,
    }
}
