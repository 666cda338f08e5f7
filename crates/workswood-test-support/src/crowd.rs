//! Clients that send at once, stop short of the end and keep their connections open.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::process_usage::accept_queue_len;

/// A crowd counts as settled if it could send nothing for this long.
const STALLED_AFTER: Duration = Duration::from_millis(1000);
/// Clients that connect at once: fewer than the queue of a listener holds, since the kernel forgets some of those beyond.
const GROUP: usize = 64;
/// A listener that accepts nothing for this long is taken for full.
const FULL_AFTER: Duration = Duration::from_millis(200);
/// Time between two looks at a crowd.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two pieces of a client that goes on slowly.
const SLOW_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a client comes back.
const BACK_AFTER: Duration = Duration::from_millis(100);

/// What each client of a crowd sends.
#[derive(Clone, Debug)]
pub struct Sent {
    /// What comes first.
    pub head: Bytes,
    /// What follows, so many times.
    pub piece: Bytes,
    /// How many times.
    pub pieces: usize,
    /// What each client goes on to send, slowly; empty if it falls silent.
    pub then: Bytes,
    /// What each client sends once it may end.
    pub last: Bytes,
    /// Whether each client opens another connection when the other side has ended one.
    pub comes_back: bool,
}

impl Sent {
    /// A head and nothing else.
    pub fn head(head: impl Into<Bytes>) -> Sent {
        Sent {
            head: head.into(),
            piece: Bytes::new(),
            pieces: 0,
            then: Bytes::new(),
            last: Bytes::new(),
            comes_back: false,
        }
    }

    /// Adds pieces.
    pub fn with_pieces(self, piece: impl Into<Bytes>, pieces: usize) -> Sent {
        Sent { piece: piece.into(), pieces, ..self }
    }

    /// Adds what each client goes on to send.
    pub fn then_slowly(self, then: impl Into<Bytes>) -> Sent {
        Sent { then: then.into(), ..self }
    }

    /// Adds what each client sends once it may end.
    pub fn with_last(self, last: impl Into<Bytes>) -> Sent {
        Sent { last: last.into(), ..self }
    }

    /// Has each client come back when the other side has ended its connection.
    pub fn coming_back(self) -> Sent {
        Sent { comes_back: true, ..self }
    }
}

/// What became of the clients of a crowd so far.
#[derive(Debug, Default)]
struct Progress {
    bytes: AtomicU64,
    /// Clients that are connected or failed to.
    connected: AtomicUsize,
    /// Clients that have sent all, or whose connection has ended before.
    settled: AtomicUsize,
    /// Clients whose first connection the other side has ended.
    ended: AtomicUsize,
    /// Further connections of clients that come back.
    returns: AtomicUsize,
    answers: Mutex<BTreeMap<usize, String>>,
}

/// Clients with open connections; these are closed when it is dropped.
pub struct Crowd {
    clients: usize,
    progress: Arc<Progress>,
    may_end: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Crowd {
    /// Starts a client for each item, in groups that fit into the queue of the listener.
    pub async fn start(to: SocketAddr, sent: impl IntoIterator<Item = Sent>) -> Crowd {
        let (may_end, _) = watch::channel(false);
        let mut crowd = Crowd { clients: 0, progress: Arc::default(), may_end, tasks: JoinSet::new() };
        for sent in sent {
            let (progress, may_end) = (crowd.progress.clone(), crowd.may_end.subscribe());
            let client = Client { number: crowd.clients, sent, progress, may_end };
            crowd.tasks.spawn(client.run(to));
            crowd.clients += 1;
            if crowd.clients.is_multiple_of(GROUP) {
                crowd.accepted(to).await;
            }
        }
        crowd
    }

    /// Waits until all clients so far are accepted, or until the listener may be taken for full.
    async fn accepted(&self, to: SocketAddr) {
        let since = Instant::now();
        let connecting = || self.progress.connected.load(Ordering::Relaxed) < self.clients;
        while (connecting() || accept_queue_len(to) > 0) && since.elapsed() < FULL_AFTER {
            tokio::time::sleep(LOOK_INTERVAL / 5).await;
        }
    }

    /// Waits until each client has sent all or was cut off, or until they can send no more.
    pub async fn settled(&self) {
        let (mut seen, mut since) = (0, Instant::now());
        while self.progress.settled.load(Ordering::Relaxed) < self.clients && since.elapsed() < STALLED_AFTER
        {
            tokio::time::sleep(LOOK_INTERVAL).await;
            let bytes = self.progress.bytes.load(Ordering::Relaxed);
            if bytes != seen {
                (seen, since) = (bytes, Instant::now());
            }
        }
    }

    /// Has the clients send their last bytes, and waits until the other side has ended the first connection of each.
    pub async fn end(&self) {
        self.may_end.send_replace(true);
        while self.open() > 0 {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Number of further connections of clients that come back.
    pub fn returns(&self) -> usize {
        self.progress.returns.load(Ordering::Relaxed)
    }

    /// Number of clients whose first connection the other side has not ended.
    pub fn open(&self) -> usize {
        self.clients - self.progress.ended.load(Ordering::Relaxed)
    }

    /// Bytes sent so far.
    pub fn bytes(&self) -> u64 {
        self.progress.bytes.load(Ordering::Relaxed)
    }

    /// The answers on connections that have ended, by the number of the client.
    pub fn answers(&self) -> BTreeMap<usize, String> {
        self.progress.answers.lock().clone()
    }
}

/// One client of a crowd.
struct Client {
    number: usize,
    sent: Sent,
    progress: Arc<Progress>,
    may_end: watch::Receiver<bool>,
}

impl Client {
    /// Sends until the other side ends the connection; comes back if it is such a client.
    async fn run(self, to: SocketAddr) {
        self.run_once(to).await;
        if !self.sent.comes_back {
            return;
        }
        loop {
            tokio::time::sleep(BACK_AFTER).await;
            self.progress.returns.fetch_add(1, Ordering::Relaxed);
            self.connect_and_send(to, &AtomicBool::new(true)).await;
        }
    }

    async fn run_once(&self, to: SocketAddr) {
        let has_settled = AtomicBool::new(false);
        let answer = self.connect_and_send(to, &has_settled).await;
        if !answer.is_empty() {
            self.progress.answers.lock().insert(self.number, answer);
        }
        self.settle(&has_settled);
        self.progress.ended.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the client as settled, once.
    fn settle(&self, has_settled: &AtomicBool) {
        if !has_settled.swap(true, Ordering::Relaxed) {
            self.progress.settled.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends on a connection until the other side ends it, and returns the answer.
    async fn connect_and_send(&self, to: SocketAddr, has_settled: &AtomicBool) -> String {
        let stream = TcpStream::connect(to).await;
        self.progress.connected.fetch_add(1, Ordering::Relaxed);
        let Ok(stream) = stream else { return String::new() };
        let (rx, mut tx) = stream.into_split();
        let sending = async {
            // An error means that the connection has ended, which the reading half sees as well.
            let _ = self.send(&mut tx, has_settled).await;
            std::future::pending().await
        };
        tokio::select! {
            answer = read_answer(rx) => answer,
            answer = sending => answer,
        }
    }

    /// Sends all.
    async fn send(&self, tx: &mut OwnedWriteHalf, has_settled: &AtomicBool) -> std::io::Result<()> {
        self.send_most(tx).await?;
        self.settle(has_settled);
        let mut may_end = self.may_end.clone();
        // The crowd drops its clients with the sender, so that waiting does not fail.
        let may_end = async move { may_end.wait_for(|may| *may).await.is_ok() };
        tokio::pin!(may_end);
        loop {
            tokio::select! {
                _ = &mut may_end => break,
                () = tokio::time::sleep(SLOW_INTERVAL), if !self.sent.then.is_empty() => {
                    tx.write_all(&self.sent.then).await?;
                }
            }
        }
        tx.write_all(&self.sent.last).await
    }

    /// Sends all that a client sends at once.
    async fn send_most(&self, tx: &mut OwnedWriteHalf) -> std::io::Result<()> {
        let sent = &self.sent;
        for piece in std::iter::once(&sent.head).chain(std::iter::repeat_n(&sent.piece, sent.pieces)) {
            tx.write_all(piece).await?;
            self.progress.bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Reads until the other side ends the connection.
async fn read_answer(mut rx: OwnedReadHalf) -> String {
    let mut buf = Vec::new();
    // A reset ends the connection too; what came before it counts.
    let _ = rx.read_to_end(&mut buf).await;
    String::from_utf8_lossy(&buf).into_owned()
}
