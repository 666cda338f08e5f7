//! The entry, which routes callers' requests to endpoints and plans the fleet while it holds the
//! planner's lease.
//!
//! Its tasks share a [`Node`]. Each module holds one part of the work:
//!
//! * [`log_reader`] reads the log, folds its records into the state and publishes the new routing table;
//! * [`log_appender`] appends records to the log in batches;
//! * [`roles`] acquires and renews the leases of roles, and plans and writes checkpoints while it
//!   holds them;
//! * [`peers`] sends heartbeats to other entries and answers their messages;
//! * [`dispatch`] grants slots of endpoints to requests, and borrows slots from peers;
//! * [`proxy`] routes callers' requests to endpoints;
//! * [`keyed_requests`] ensures that a request that may not be repeated is sent at most once;
//! * [`deferred_requests`] accepts requests of class `later` into the log and runs them;
//! * [`operator_api`] answers operators;
//! * [`shutdown`] stops the process gracefully.

mod deferred_requests;
mod dispatch;
mod keyed_requests;
mod log_appender;
mod log_reader;
mod node;
mod operator_api;
mod peers;
mod proxy;
mod roles;
mod shutdown;

use std::sync::Arc;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use workswood_liveness::HalfOpenDetector;
use workswood_platform::HttpPlatform;

pub use node::Node;

use crate::util::errors::{ListenSnafu, Result};
use crate::util::settings::{Settings, Tokens};
use crate::util::signals;

/// A running entry.
pub struct Entry {
    /// State that its tasks share.
    pub node: Arc<Node>,
    tasks: Vec<JoinHandle<()>>,
    callers_task: JoinHandle<()>,
    stop_callers: watch::Sender<bool>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Entry {
    /// Starts all tasks. A port 0 in the settings is replaced by the port that was bound.
    pub async fn start(mut settings: Settings, tokens: Tokens) -> Result<Entry> {
        let caller_listener = listen(&mut settings.callers).await?;
        let operator_listener = listen(&mut settings.operators).await?;
        let peer_listener = listen(&mut settings.peers).await?;
        let half_open = HalfOpenDetector::default();
        let platform =
            HttpPlatform::with_half_open_detector(&settings.platform.to_string(), half_open.clone());
        let (node, append_requests) = Node::new(settings, tokens, Arc::new(platform), half_open);
        log::info!(
            "event=entry_started id={} name={} data_centre={} callers={} operators={} peers={}",
            node.id,
            node.settings.name,
            node.settings.data_centre,
            node.settings.callers,
            node.settings.operators,
            node.settings.peers
        );
        let tasks = vec![
            tokio::spawn(workswood_peers::serve(
                peer_listener,
                node.tokens.peers.clone(),
                peers::handler(node.clone()),
            )),
            tokio::spawn(log_reader::run(node.clone())),
            tokio::spawn(log_appender::run(node.clone(), append_requests)),
            tokio::spawn(peers::run(node.clone())),
            tokio::spawn(roles::run_leases(node.clone())),
            tokio::spawn(roles::run_planner(node.clone())),
            tokio::spawn(roles::run_checkpointer(node.clone())),
            tokio::spawn(dispatch::run_ticks(node.clone())),
            tokio::spawn(dispatch::run_borrowing(node.clone())),
            tokio::spawn(deferred_requests::run(node.clone())),
            tokio::spawn(workswood_operators::serve(
                operator_listener,
                node.tokens.operators.clone(),
                node.clone(),
            )),
        ];
        let (stop_callers, stopped) = watch::channel(false);
        let callers_task =
            tokio::spawn(workswood_callers::serve(caller_listener, proxy::handler(node.clone()), stopped));
        Ok(Entry { node, tasks, callers_task, stop_callers })
    }

    /// Aborts all tasks immediately, as a crash would.
    pub fn kill(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.callers_task.abort();
        self.node.close();
    }

    /// Stops gracefully: requests in progress are finished first.
    pub async fn stop(mut self) {
        shutdown::run(&self.node, &self.stop_callers, &mut self.callers_task).await;
        self.kill();
    }
}

/// Binds a listener and sets `address` to the address that was bound.
async fn listen(address: &mut std::net::SocketAddr) -> Result<TcpListener> {
    let configured = address.to_string();
    let listener = TcpListener::bind(*address).await.context(ListenSnafu { address: configured.clone() })?;
    *address = listener.local_addr().context(ListenSnafu { address: configured })?;
    Ok(listener)
}

/// Runs an entry with the settings file at `settings_path` until a signal asks it to stop.
/// A second signal ends it immediately.
pub async fn run(settings_path: &str) -> Result<()> {
    let settings = Settings::read(settings_path)?;
    let tokens = settings.tokens(settings_path)?;
    crate::util::logs::start(settings.log_level);
    let entry = Entry::start(settings, tokens).await?;
    signals::wait_for_stop().await;
    log::info!("event=stop_asked");
    tokio::select! {
        () = entry.stop() => log::info!("event=stopped"),
        () = signals::wait_for_stop() => log::warn!("event=stopped_at_once reason=second_signal"),
    }
    Ok(())
}
