//! The job process, which queues and runs jobs.
//!
//! Every entry runs one. Each accepts jobs from callers and writes them to the platform's store; the
//! process that holds the scheduler lease decides where their tasks run. A [`Node`] is the state that
//! the tasks of a process share.
//!
//! * [`job_api`] answers callers, [`inbox`] stores what they submit, and [`monitoring`] answers the
//!   balancer and serves metrics.
//! * [`hand_in`] takes a job of a caller. [`admission_control`] asks the lease holder whether it can be done in time,
//!   `number_check` whether its number is another owner's, and [`submitted_numbers`] holds what was handed in here.
//! * [`topic_reader`] follows the operators' records, and [`operator_state`] holds which data centres
//!   they evacuated.
//! * [`lease`] watches and claims the scheduler lease; [`earlier_grants`] tells until when holders before
//!   may still extend workers' leases.
//! * [`scheduler_task`] runs the scheduler while this process holds the lease. [`restore_state`]
//!   restores it from a predecessor's state, and [`scheduler_io`] supplies its events and publishes
//!   the status of waves. [`inbox_progress`] tells up to when the inbox was read. [`lease_renewal`]
//!   renews the lease, [`relay_sessions`] has relays serve workers, [`host_orders`] sends orders to
//!   hosts, [`advice`] calls the adviser, and [`inbox_cleanup`] deletes finished and forgotten jobs
//!   from the inbox.
//! * [`record`], [`job_spec`] and [`job_state`] define the stored form of jobs and state. [`state_parts`] divides records
//!   that are too large for the store, [`append_calls`] batches that are too large for an append, which `state_appends` writes, and [`saved_checkpoints`]
//!   stores checkpoints apart. [`stored_state`] reads all of it.
//! * [`limits`] holds durations of leases, and [`worker_list`] follows the list of workers.
//! * [`relay`] communicates with workers for the lease holder, in this process or elsewhere.
//! * [`job_status_table`] holds the statuses of jobs, as callers may see them. [`job_queries`] forwards callers'
//!   queries to the lease holder.
//! * [`peers`] holds the processes of other entries and the connections to them, and [`peer_requests`]
//!   answers their requests.
//! * [`helped_store`] has peers call the store for a lease holder that the store refuses to serve, and
//!   [`store_calls`] makes such calls. [`handover`] gives the lease up in a shutdown.
//! * [`bridges`] reaches entries of data centres that are cut off through entries of others.
//! * [`usage_log`] logs the resource usage of a busy entry.
//! * [`shutdown`] stops the process gracefully.

pub mod admission_control;
pub mod advice;
pub mod append_calls;
mod batch_writer;
pub mod bridges;
pub mod earlier_grants;
pub mod hand_in;
pub mod handover;
mod hedged_call;
pub mod helped_store;
pub mod host_orders;
pub mod inbox;
mod inbox_cleanup;
pub mod inbox_progress;
mod job_api;
pub mod job_queries;
pub mod job_spec;
pub mod job_state;
pub mod job_status_table;
pub mod lease;
pub mod lease_renewal;
pub mod limits;
mod monitoring;
pub mod node;
mod number_check;
pub mod operator_state;
pub mod peer_requests;
pub mod peers;
pub mod record;
pub mod relay;
pub mod relay_grants;
mod relay_sessions;
mod restore_state;
pub mod saved_checkpoints;
mod scheduler_io;
mod scheduler_task;
mod shutdown;
mod state_appends;
pub mod state_parts;
mod store_calls;
pub mod stored_state;
pub mod submitted_numbers;
pub mod topic_reader;
mod usage_log;
pub mod worker_list;

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use workswood_adapter::{Addresses, PlatformClient};
use workswood_callers::Limits;
use workswood_liveness::HalfOpenDetector;
use workswood_platform::jobs::JobPlatform;
use workswood_traffic::Traffic;

pub use node::Node;
pub use scheduler_task::{MIN_BATCH_INTERVAL, TICK_INTERVAL};

use self::helped_store::HelpedStore;
use crate::util::bound_address;
use crate::util::clock::Clock;
use crate::util::errors::{Error, ListenSnafu, Result};
use crate::util::job_settings::{JobSettings, PATH_ENV_VAR};
use crate::util::signals;

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.context(ListenSnafu { address: address.to_string() })
}

fn listen_within(address: SocketAddr, limits: &Limits) -> Result<TcpListener> {
    workswood_callers::listen(address, limits).context(ListenSnafu { address: address.to_string() })
}

/// The settings file of the process: `named`, or the one that the environment variable names.
pub fn settings_path(named: Option<String>) -> Result<String> {
    named.or_else(|| std::env::var(PATH_ENV_VAR).ok()).ok_or_else(|| Error::InvalidSettings {
        path: String::new(),
        text: format!("no settings file: name one, or set {PATH_ENV_VAR}"),
    })
}

/// Runs the process with the settings that were read from the file `path`, until a signal stops it.
pub async fn run(path: String, settings: JobSettings) -> Result<()> {
    crate::util::logs::start(settings.log_level);
    let caller_listener = listen_within(settings.callers, &settings.caller_limits())?;
    let readiness_listener = listen_within(settings.readiness, &settings.probe_limits())?;
    let metrics_listener = listen_within(settings.metrics, &settings.probe_limits())?;
    let peer_listener = listen(settings.peers).await?;
    let seed_listener = match settings.seed_listener {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    let addresses = Addresses {
        store: settings.store.clone(),
        machines: settings.hosts.clone(),
        adviser: settings.adviser().map(str::to_string),
    };
    let (half_open, traffic) = (HalfOpenDetector::default(), Traffic::default());
    let client: Arc<dyn JobPlatform> =
        Arc::new(PlatformClient::sharing(addresses, half_open.clone(), traffic.clone()));
    let platform = Arc::new(HelpedStore::new(client, &settings.policy.handover));
    let clock = Clock::since_boot();
    tokio::spawn(clock.clone().log_suspensions());
    let node = Arc::new(Node::with_shared(settings, platform.clone(), clock, half_open, traffic));
    platform.attach(&node);
    if let Some(network) = bound_address::keep_until_exit(&peer_listener, node.settings.peers.port()) {
        node.note_bound_in(network);
    }
    log::info!(
        "event=started id={} name={} data_centre={} callers={} peers={}",
        node.id,
        node.settings.name,
        node.settings.data_centre,
        node.settings.callers,
        node.settings.peers
    );
    let (stop_callers, callers_stopped) = watch::channel(false);
    tokio::spawn(monitoring::serve_readiness(readiness_listener, node.clone()));
    tokio::spawn(monitoring::serve_metrics(metrics_listener, node.clone()));
    let (max_peers, max_seeds) = (node.settings.max_peer_connections(), node.settings.max_seed_connections());
    let seed_listener = seed_listener.map(|listener| (max_seeds, listener));
    for (max_connections, listener) in std::iter::once((max_peers, peer_listener)).chain(seed_listener) {
        tokio::spawn(workswood_peers::serve_within(
            max_connections,
            listener,
            peers::TOKEN.to_string(),
            peer_requests::handler(node.clone()),
            relay::session::handler(node.clone()),
            node.traffic.clone(),
        ));
    }
    tokio::spawn(inbox::run(node.clone()));
    tokio::spawn(topic_reader::follow_operators(node.clone()));
    tokio::spawn(topic_reader::poll_peers_when_stale(node.clone()));
    tokio::spawn(lease::run(node.clone()));
    tokio::spawn(peers::run(node.clone()));
    tokio::spawn(usage_log::run(node.clone()));
    tokio::spawn(shutdown::watch_reload(path));
    let callers = tokio::spawn(workswood_callers::serve_within(
        node.caller_connections.clone(),
        caller_listener,
        job_api::handler(node.clone()),
        callers_stopped,
    ));
    signals::wait_for_stop().await;
    shutdown::run(&node, &stop_callers, callers).await;
    Ok(())
}
