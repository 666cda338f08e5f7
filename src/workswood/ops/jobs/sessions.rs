//! The lease holder's sessions with the relays that attend workers for it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use workswood_core::ids::{HostId, Term};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Action, Event, WorkerInfo};
use workswood_peers::relay as wire;
use workswood_peers::{Closed, DuplexRx, DuplexTx, Msg};

use super::limits::LeaseTimes;
use super::node::{Leading, Node};
use super::peers::TOKEN;
use super::relay::order::{Number, Order, StartTask};
use super::relay::serve::BEAT_EVERY;
use super::relay::{Relay, Sink, wire as form};

/// How long a relay may take until it takes orders: a few times the way there and back
/// on a busy host.
const OPEN_WITHIN: Duration = Duration::from_millis(500);
/// A relay that was not heard of for this long is lost: five heartbeats.
const RELAY_SILENT: Duration = BEAT_EVERY.saturating_mul(5);

/// Workers of one session by their numbers, with the tokens of their orders.
type Names = Arc<Mutex<HashMap<Number, (WorkerId, Term)>>>;

/// A session with a relay elsewhere.
struct Session {
    /// Orders that wait to be sent.
    waiting: Vec<(Number, Order)>,
    tx: mpsc::UnboundedSender<wire::RelayOrders>,
    names: Names,
    task: AbortHandle,
}

/// Where a worker is attended.
struct Attended {
    relay: HostId,
    number: Number,
    token: Term,
}

/// All sessions of a lease holder.
pub(super) struct Sessions {
    node: Arc<Node>,
    l: Arc<Leading>,
    own: Relay,
    sessions: HashMap<HostId, Session>,
    attended: HashMap<WorkerId, Attended>,
    next: Number,
    opened: u64,
}

impl Sessions {
    /// No sessions yet, but that of the holder with itself.
    pub(super) fn new(node: Arc<Node>, l: Arc<Leading>, tasks: &mut JoinSet<()>) -> Sessions {
        let own = Relay::new(node.clone(), l.grant.clone(), Sink::Here(l.tx.clone()));
        tasks.spawn(beat(node.settings.name.clone(), l.clone()));
        tasks.spawn(node.lag.clone().measure());
        let (sessions, attended) = (HashMap::new(), HashMap::new());
        Sessions { node, l, own, sessions, attended, next: 0, opened: 0 }
    }

    /// Takes an action that concerns a relay or a worker.
    pub(super) fn send(&mut self, action: Action, tasks: &mut JoinSet<()>) {
        match action {
            Action::OpenRelay(host) => self.open(host, tasks),
            Action::CloseRelay(host) => self.close(&host),
            Action::StartPolling { relay, info, token } => self.attend(relay, info, token),
            Action::StopPolling(id) => {
                if let Some(a) = self.attended.remove(&id) {
                    self.leave(&a);
                }
            }
            Action::ReportFigures(id, wanted) => self.order(&id, Order::Figures(wanted)),
            Action::Stop(id, task, attempt) => self.order(&id, Order::Stop { task, attempt }),
            Action::SetPace { worker: id, task, attempt, percent } => {
                self.order(&id, Order::Pace { task, attempt, percent });
            }
            Action::Start { worker, token, task, attempt, text, checkpoint, ticket } => {
                // Since a start was decided, its worker may have another relay. The first
                // report of that one says that it does not run, and it is decided anew.
                if self.attended.get(&worker).is_some_and(|a| a.token == token) {
                    let s = StartTask { task, attempt, text, checkpoint, ticket };
                    self.order(&worker, Order::Start(s));
                }
            }
            Action::Advise { .. } | Action::MaintainHost(..) | Action::MoveHost(..) => {}
        }
    }

    /// Lets a worker forget its ends up to a number.
    pub(super) fn forget(&mut self, id: &WorkerId, end: u64) {
        self.order(id, Order::Forget(end));
    }

    fn order(&mut self, id: &WorkerId, order: Order) {
        let Some(a) = self.attended.get(id) else { return };
        if a.relay == self.node.settings.name {
            self.own.take(a.number, order);
        } else if let Some(s) = self.sessions.get_mut(&a.relay) {
            s.waiting.push((a.number, order));
        }
    }

    fn attend(&mut self, relay: HostId, info: WorkerInfo, token: Term) {
        self.next += 1;
        let number = self.next;
        if let Some(s) = self.sessions.get(&relay) {
            s.names.lock().insert(number, (info.id.clone(), token));
        }
        let worker = info.worker_address();
        if let Some(before) = self.attended.insert(info.id.clone(), Attended { relay, number, token }) {
            self.leave(&before);
        }
        self.order(&info.id, Order::Attend { worker, token });
    }

    fn leave(&mut self, a: &Attended) {
        if a.relay == self.node.settings.name {
            self.own.take(a.number, Order::Leave);
        } else if let Some(s) = self.sessions.get_mut(&a.relay) {
            // Whatever is still told of it is not heard.
            s.names.lock().remove(&a.number);
            s.waiting.push((a.number, Order::Leave));
        }
    }

    /// Sends what waits.
    pub(super) fn flush(&mut self) {
        for s in self.sessions.values_mut().filter(|s| !s.waiting.is_empty()) {
            let orders = form::write_orders(std::mem::take(&mut s.waiting));
            // A session that has just ended is told of.
            let _ = s.tx.send(wire::RelayOrders { grant: None, orders });
        }
    }

    fn open(&mut self, host: HostId, tasks: &mut JoinSet<()>) {
        self.close(&host);
        self.opened += 1;
        let (tx, rx) = mpsc::unbounded_channel();
        let names = Names::default();
        let talk = Talk {
            node: self.node.clone(),
            l: self.l.clone(),
            host: host.clone(),
            session: self.opened,
            names: names.clone(),
            granted: AtomicU64::new(0),
        };
        let task = tasks.spawn(talk.run(tx.clone(), rx));
        self.sessions.insert(host, Session { waiting: Vec::new(), tx, names, task });
        self.node.metrics.relays.set(self.sessions.len() as i64);
    }

    fn close(&mut self, host: &HostId) {
        if let Some(s) = self.sessions.remove(host) {
            s.task.abort();
            self.attended.retain(|_, a| a.relay != *host);
        }
        self.node.metrics.relays.set(self.sessions.len() as i64);
    }
}

/// Tells the scheduler that this process itself is well, as relays do.
async fn beat(own: HostId, l: Arc<Leading>) {
    loop {
        if l.tx.send(Event::RelayHeard(own.clone())).is_err() {
            return;
        }
        tokio::time::sleep(BEAT_EVERY).await;
    }
}

/// What speaks with one relay.
struct Talk {
    node: Arc<Node>,
    l: Arc<Leading>,
    host: HostId,
    session: u64,
    names: Names,
    /// Until when the relay may extend leases, in ms since the process started.
    granted: AtomicU64,
}

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It could not be opened.
    NotOpened,
    /// Its connection broke.
    Broken,
    /// The relay was not heard of for too long.
    Silent,
}

impl Talk {
    /// Runs the session, and tells the scheduler how it stands.
    async fn run(
        self,
        tx: mpsc::UnboundedSender<wire::RelayOrders>,
        rx: mpsc::UnboundedReceiver<wire::RelayOrders>,
    ) {
        let why = self.talk(tx, rx).await;
        let granted = Duration::from_millis(self.granted.load(Ordering::Acquire));
        let span = LeaseTimes::of(&self.node.settings).span();
        log::info!("event=relay_session_over relay={} reason={why:?}", self.host);
        self.tell(Event::RelayDown {
            entry: self.host.clone(),
            lease_end: granted + span,
            may_return: why == End::Broken,
        });
    }

    async fn talk(
        &self,
        tx: mpsc::UnboundedSender<wire::RelayOrders>,
        rx: mpsc::UnboundedReceiver<wire::RelayOrders>,
    ) -> End {
        let Some((out, news)) = self.connect().await else { return End::NotOpened };
        self.tell(Event::RelayUp(self.host.clone()));
        tokio::select! {
            _ = send_orders(out, rx) => End::Broken,
            why = self.hear(news, tx) => why,
        }
    }

    fn tell(&self, ev: Event) {
        // A scheduler that has just ended takes no more events.
        let _ = self.l.tx.send(ev);
    }

    async fn connect(&self) -> Option<(DuplexTx, DuplexRx)> {
        let address = self.node.peers.address_of(&self.host)?;
        let open = wire::RelayOpen {
            term: self.l.term,
            session: self.session,
            holder: self.node.settings.name.clone(),
        };
        let opening = async {
            let first = Msg::RelayOpen(open);
            let traffic = self.node.traffic.clone();
            let (out, mut news) =
                workswood_peers::connect(&address, TOKEN, &self.node.id, first, OPEN_WITHIN, traffic).await?;
            match news.next().await? {
                Msg::RelayReady(_) => Ok((out, news)),
                _ => Err(Closed),
            }
        };
        self.node.lag.timeout(OPEN_WITHIN, opening).await?.ok()
    }

    /// Hears the relay until it is lost.
    async fn hear(&self, mut news: DuplexRx, tx: mpsc::UnboundedSender<wire::RelayOrders>) -> End {
        let mut left = false;
        loop {
            let frame = match self.node.lag.timeout(RELAY_SILENT, news.next()).await {
                Some(Ok(Msg::RelayUpdate(frame))) => frame,
                Some(Ok(_) | Err(Closed)) => return End::Broken,
                None => return End::Silent,
            };
            if frame.heartbeat != 0 {
                self.tell(Event::RelayHeard(self.host.clone()));
                // Whoever sends it has ended if this fails.
                let _ = tx.send(self.grant(frame.heartbeat));
            }
            for item in frame.updates {
                self.take(item);
            }
            if frame.stopping && !std::mem::replace(&mut left, true) {
                self.tell(Event::RelayLeaving(self.host.clone()));
            }
        }
    }

    /// Answers a heartbeat with the right to extend leases that this process has.
    fn grant(&self, beat: u64) -> wire::RelayOrders {
        let until = self.l.grant.end();
        let left = until.saturating_sub(self.node.now());
        self.granted.fetch_max(until.as_millis() as u64, Ordering::AcqRel);
        let grant = wire::LeaseGrant { heartbeat: beat, duration_ms: left.as_millis() as u32 };
        wire::RelayOrders { grant: Some(grant), orders: Vec::new() }
    }

    fn take(&self, item: wire::WorkerUpdate) {
        let number = item.worker;
        let Some((id, token)) = self.names.lock().get(&number).cloned() else { return };
        match form::read_news(item) {
            Some((_, what)) => self.tell(what.event(id, token, self.node.now())),
            None => log::error!("event=relay_news_not_read code=203 relay={} worker={id}", self.host),
        }
    }
}

async fn send_orders(
    mut out: DuplexTx,
    mut rx: mpsc::UnboundedReceiver<wire::RelayOrders>,
) -> Result<(), Closed> {
    while let Some(frame) = rx.recv().await {
        out.send(Msg::RelayOrders(frame)).await?;
    }
    Ok(())
}
