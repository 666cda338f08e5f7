//! Calls to the store that are repeated when the store answers others.
//!
//! A call that the store received while it was silent stays without an answer although the store is
//! back. It is therefore repeated once the store has answered a later call; the first answer that settles it counts.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use workswood_platform::copies::first_settled;
use workswood_platform::jobs::StoreError;

use super::node::Node;

/// How often to look whether the store has answered other calls.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Makes a call that has no further effect when it is repeated. It is repeated if the store has
/// answered another call `patience` or more after it was made.
pub(super) async fn hedged_call<T, F>(
    node: &Node,
    patience: Duration,
    call: impl Fn() -> F,
) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let made_at = node.now();
    let mut first = pin!(call());
    let mut wait = patience;
    loop {
        match tokio::time::timeout(wait, &mut first).await {
            Ok(res) => return res,
            Err(_) if node.store_answered_at() >= made_at + patience => break,
            Err(_) => wait = CHECK_INTERVAL,
        }
    }
    log::info!("event=store_call_repeated age_ms={}", (node.now() - made_at).as_millis());
    first_settled(first, call()).await
}
