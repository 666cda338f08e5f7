//! The process of an entry host.
//!
//! A [`Node`] is what its tasks share. Each task lives in a module of its own:
//!
//! * [`follower`] reads the log, folds it and publishes what changed;
//! * [`appender`] writes to the log, many records an append;
//! * [`duties`] takes and renews leases, and plans and checkpoints while it
//!   holds them;
//! * [`gossip`] beats to peers and answers them;
//! * [`lanes`] hands out slots of endpoints, and borrows from peers;
//! * [`serve`] answers callers, [`keys`] those that may not be repeated, and
//!   [`deferred`] runs requests that wait in the log;
//! * [`operate`] answers operators;
//! * [`stop`] ends the process without cutting anything off.

mod appender;
mod deferred;
mod duties;
mod follower;
mod gossip;
mod keys;
mod lanes;
mod node;
mod operate;
mod serve;
mod stop;

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

/// A running entry process.
pub struct Entry {
    /// What its tasks share.
    pub node: Arc<Node>,
    tasks: Vec<JoinHandle<()>>,
    callers: JoinHandle<()>,
    stop_callers: watch::Sender<bool>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Entry {
    /// Starts all tasks. Ports given as 0 are replaced by those bound.
    pub async fn start(mut settings: Settings, tokens: Tokens) -> Result<Entry> {
        let callers = listen(&mut settings.callers).await?;
        let operators = listen(&mut settings.operators).await?;
        let peers = listen(&mut settings.peers).await?;
        let half_open = HalfOpenDetector::default();
        let platform =
            HttpPlatform::with_half_open_detector(&settings.platform.to_string(), half_open.clone());
        let (node, appends) = Node::new(settings, tokens, Arc::new(platform), half_open);
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
                peers,
                node.tokens.peers.clone(),
                gossip::handler(node.clone()),
            )),
            tokio::spawn(follower::run(node.clone())),
            tokio::spawn(appender::run(node.clone(), appends)),
            tokio::spawn(gossip::run(node.clone())),
            tokio::spawn(duties::lease(node.clone())),
            tokio::spawn(duties::plan(node.clone())),
            tokio::spawn(duties::checkpoint(node.clone())),
            tokio::spawn(lanes::tick(node.clone())),
            tokio::spawn(lanes::borrow(node.clone())),
            tokio::spawn(deferred::run(node.clone())),
            tokio::spawn(workswood_operators::serve(operators, node.tokens.operators.clone(), node.clone())),
        ];
        let (stop_callers, stopped) = watch::channel(false);
        let callers = tokio::spawn(workswood_callers::serve(callers, serve::handler(node.clone()), stopped));
        Ok(Entry { node, tasks, callers, stop_callers })
    }

    /// Ends the process at once, as a crash would.
    pub fn kill(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.callers.abort();
        self.node.kill();
    }

    /// Ends the process as planned: nothing in progress is cut off.
    pub async fn stop(mut self) {
        stop::run(&self.node, &self.stop_callers, &mut self.callers).await;
        self.kill();
    }
}

async fn listen(address: &mut std::net::SocketAddr) -> Result<TcpListener> {
    let shown = address.to_string();
    let listener = TcpListener::bind(*address).await.context(ListenSnafu { address: shown.clone() })?;
    *address = listener.local_addr().context(ListenSnafu { address: shown })?;
    Ok(listener)
}

/// Runs an entry process until it is told to stop by a signal. A second
/// signal ends it at once.
pub async fn run(path: &str) -> Result<()> {
    let settings = Settings::read(path)?;
    let tokens = settings.tokens(path)?;
    crate::util::logs::start(settings.log_level);
    let entry = Entry::start(settings, tokens).await?;
    signals::stop().await;
    log::info!("event=stop_asked");
    tokio::select! {
        () = entry.stop() => log::info!("event=stopped"),
        () = signals::stop() => log::warn!("event=stopped_at_once reason=second_signal"),
    }
    Ok(())
}
