//! The process of an entry that queues and runs jobs.
//!
//! Every entry runs the same process. Each one takes jobs from callers
//! and writes them into the platform's store; the one that holds the scheduler
//! lease decides where their tasks run. A [`Node`] is what the tasks of a
//! process share:
//!
//! * [`job_api`] answers callers, [`inbox`] keeps what they hand in, and [`monitoring`]
//!   answers the balancer;
//! * [`topic_reader`] keeps up with what operators write, and [`operators`] tells how old that is and what is evacuated;
//! * [`lease`] watches the scheduler lease and claims it;
//! * [`lead`] runs the scheduler while this process holds the lease, with
//!   [`load`] (a predecessor's state), [`scheduler_io`] (what it reads), [`record`],
//!   [`job_spec`] and [`job_state`] (the stored form), [`trim`] (takes out what is over), [`renew`] (the lease), [`sessions`] (with the relays) and
//!   [`advice`] (calls to the adviser);
//! * [`relay`] speaks with workers, for the lease holder here or elsewhere;
//! * [`job_status_table`] holds what callers may be told; [`job_queries`] puts callers' questions to the lease holder, and [`peer_requests`] does what
//!   other processes ask for, whose listeners are in [`peers`];
//! * [`usage`] tells in the log what a busy entry is used for;
//! * [`stop`] ends the process without cutting anything off.

pub mod advice;
pub mod host_orders;
pub mod inbox;
mod job_api;
pub mod job_queries;
pub mod job_spec;
pub mod job_state;
pub mod job_status_table;
mod lead;
pub mod lease;
pub mod limits;
mod load;
mod monitoring;
pub mod node;
pub mod operators;
pub mod peer_requests;
pub mod peers;
pub mod record;
pub mod relay;
mod renew;
mod scheduler_io;
mod sessions;
mod stop;
pub mod topic_reader;
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
use crate::util::job_settings::{JobSettings, PATH_VARIABLE};
use crate::util::signals;

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.context(ListenSnafu { address: address.to_string() })
}

/// Runs the process until a signal stops it.
pub async fn run(named: Option<String>) -> Result<()> {
    let path = named.or_else(|| std::env::var(PATH_VARIABLE).ok()).ok_or_else(|| Error::Settings {
        path: String::new(),
        text: format!("no settings file: name one, or set {PATH_VARIABLE}"),
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
    let clock = Clock::of_host();
    tokio::spawn(clock.clone().watch());
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
    tokio::spawn(monitoring::readiness(readiness, node.clone()));
    tokio::spawn(monitoring::metrics(metrics, node.clone()));
    tokio::spawn(workswood_peers::serve_with_relay(
        peer_listener,
        peers::TOKEN.to_string(),
        peer_requests::handler(node.clone()),
        relay::serve::handler(node.clone()),
        node.traffic.clone(),
    ));
    tokio::spawn(inbox::run(node.clone()));
    tokio::spawn(topic_reader::follow_operators(node.clone()));
    tokio::spawn(topic_reader::poll_peers_when_stale(node.clone()));
    tokio::spawn(lease::run(node.clone()));
    tokio::spawn(peers::run(node.clone()));
    tokio::spawn(usage::run(node.clone()));
    tokio::spawn(stop::watch_reload(path));
    let callers = tokio::spawn(workswood_callers::serve(callers, job_api::handler(node.clone()), stopped));
    signals::stop().await;
    stop::run(&node, &stop_callers, callers).await;
    Ok(())
}
