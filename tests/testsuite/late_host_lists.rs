//! Lists of hosts that were made before something else became known, and come after it.

use std::time::Duration;

use workswood_core::jobs::{Event, HostReply};
use workswood_test_support::host_world::{SPARE, host, moves};
use workswood_test_support::job_world::SERVICE;

use super::pool_moves::moved_to_short_pool;

/// The list was requested before the move and came 1.3 s after it: the host counted as idle in its former pool, and was
/// ordered to move again.
#[test]
fn late_list_takes_host_back() {
    let mut world = moved_to_short_pool();
    world.at(400);
    world.sched.handle(Event::HostOrderAnswered("m-7".to_string(), HostReply::Done));
    world.at(1_700);
    let requested_at = Duration::from_millis(350);
    let list = vec![host(0, SERVICE, Some(0)), host(7, SPARE, None)];
    world.sched.handle(Event::HostsListed(list, requested_at));
    world.tick();
    world.at(1_850);
    world.tick();
    assert_eq!(moves(&world.actions).len(), 1, "{:?}", moves(&world.actions));
}
