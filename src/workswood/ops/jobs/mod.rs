//! The process of an entry that queues and runs jobs.
//!
//! Every entry runs the same process. Each one takes jobs from callers
//! and writes them into the platform's store; the one that holds the scheduler
//! lease decides where their tasks run. A [`Node`] is what the tasks of a
//! process share:
//!
//! * [`front`] answers callers, [`inbox`] keeps what they hand in, and [`probe`]
//!   answers the balancer;
//! * [`follow`] keeps up with what operators write, and [`operators`] tells how old that is and what is evacuated;
//! * [`lease`] watches the scheduler lease and claims it;
//! * [`lead`] runs the scheduler while this process holds the lease, with
//!   [`load`] (a predecessor's state), [`feeds`] (what it reads), [`record`],
//!   [`job_spec`] and [`job_state`] (the stored form), [`trim`] (takes out what is over), [`renew`] (the lease), [`sessions`] (with the relays) and
//!   [`advice`] (calls to the adviser);
//! * [`relay`] speaks with workers, for the lease holder here or elsewhere;
//! * [`shown`] holds what callers may be told; [`ask`] puts callers' questions to the lease holder, and [`help`] does what
//!   other processes ask for, whose listeners are in [`peers`];
//! * [`usage`] tells in the log what a busy entry is used for;
//! * [`stop`] ends the process without cutting anything off.

pub mod advice;
pub mod ask;
mod feeds;
pub mod follow;
mod front;
pub mod help;
pub mod host_orders;
pub mod inbox;
pub mod job_spec;
pub mod job_state;
mod lead;
pub mod lease;
pub mod limits;
mod load;
pub mod node;
pub mod operators;
pub mod peers;
mod probe;
pub mod record;
pub mod relay;
mod renew;
mod sessions;
pub mod shown;
mod stop;
mod trim;
mod usage;
pub mod worker_list;

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch as channel;
use workswood_adapter::{Addresses, PlatformClient};
use workswood_liveness::HalfOpenDetector;
use workswood_platform::jobs::JobPlatform;
use workswood_traffic::Traffic;

pub use node::Node;

use crate::util::clock::Clock;
use crate::util::errors::{Error, ListenSnafu, Result};
use crate::util::job_settings::{JobSettings, PATH_ENV_VAR};
use crate::util::signals;

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.context(ListenSnafu { address: address.to_string() })
}

/// Runs the process until a signal stops it.
pub async fn run(named: Option<String>) -> Result<()> {
    let path = named.or_else(|| std::env::var(PATH_ENV_VAR).ok()).ok_or_else(|| Error::InvalidSettings {
        path: String::new(),
        text: format!("no settings file: name one, or set {PATH_ENV_VAR}"),
    })?;
    let settings = JobSettings::read(&path)?;
    crate::util::logs::start(settings.log_level);
    let callers = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let metrics = listen(settings.metrics).await?;
    let peer_listener = listen(settings.peers).await?;
    let addresses = Addresses {
        store: settings.store.clone(),
        machines: settings.hosts.clone(),
        adviser: settings.adviser().map(str::to_string),
    };
    let (half_open, traffic) = (HalfOpenDetector::default(), Traffic::default());
    let platform: Arc<dyn JobPlatform> =
        Arc::new(PlatformClient::sharing(addresses, half_open.clone(), traffic.clone()));
    let clock = Clock::since_boot();
    tokio::spawn(clock.clone().log_suspensions());
    let node = Arc::new(Node::sharing(settings, platform, clock, half_open, traffic));
    log::info!(
        "event=started id={} name={} data_centre={} callers={} peers={}",
        node.id,
        node.settings.name,
        node.settings.data_centre,
        node.settings.callers,
        node.settings.peers
    );
    let (stop_callers, stopped) = channel::channel(false);
    tokio::spawn(probe::readiness(readiness, node.clone()));
    tokio::spawn(probe::metrics(metrics, node.clone()));
    tokio::spawn(workswood_peers::serve_with_relay(
        peer_listener,
        peers::TOKEN.to_string(),
        help::handler(node.clone()),
        relay::session::handler(node.clone()),
        node.traffic.clone(),
    ));
    tokio::spawn(inbox::run(node.clone()));
    tokio::spawn(follow::run(node.clone()));
    tokio::spawn(follow::ask_peers(node.clone()));
    tokio::spawn(lease::run(node.clone()));
    tokio::spawn(peers::run(node.clone()));
    tokio::spawn(usage::run(node.clone()));
    tokio::spawn(stop::watch_reload(path));
    let callers = tokio::spawn(workswood_callers::serve(callers, front::handler(node.clone()), stopped));
    signals::wait_for_stop().await;
    stop::run(&node, &stop_callers, callers).await;
    Ok(())
}
