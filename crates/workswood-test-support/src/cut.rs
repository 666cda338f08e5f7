//! A TCP relay that can be cut, silenced, delayed or broken off.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes that are relayed at a time.
const CHUNK: usize = 16 * 1024;

/// What a relay does with bytes and connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Lets all pass.
    #[default]
    None,
    /// Closes all connections and new ones.
    Closed,
    /// Closes all connections once; new ones pass.
    Broken,
    /// Holds bytes back in both directions until the fault ends.
    Silent,
    /// Holds back only what the far side answers.
    AnswersHeld,
    /// Passes nothing more on the connections that are open now, and never closes
    /// them; new ones pass.
    HalfOpen,
    /// Lets each chunk pass after this time.
    Slow(Duration),
}

/// A relay to one address.
pub struct Cut {
    /// Where to connect.
    pub address: String,
    fault: Arc<watch::Sender<Fault>>,
    task: JoinHandle<()>,
}

impl Drop for Cut {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Cut {
    /// Starts a relay on a free port of the loopback.
    pub async fn start(to: &str) -> Cut {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let fault = Arc::new(watch::channel(Fault::None).0);
        let (to, rx) = (to.to_string(), fault.subscribe());
        let task = tokio::spawn(async move {
            loop {
                let Ok((a, _)) = listener.accept().await else { continue };
                tokio::spawn(relay(a, to.clone(), rx.clone()));
            }
        });
        Cut { address, fault, task }
    }

    /// Cuts all connections and refuses new ones, or lets them pass again.
    pub fn cut(&self, cut: bool) {
        self.set(if cut { Fault::Closed } else { Fault::None });
    }

    /// Changes what it does.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn relay(a: TcpStream, to: String, mut fault: watch::Receiver<Fault>) {
    if *fault.borrow_and_update() == Fault::Closed {
        return;
    }
    let Ok(b) = TcpStream::connect(to).await else { return };
    let (a_in, a_out) = a.into_split();
    let (b_in, b_out) = b.into_split();
    let there = pump(a_in, b_out, fault.clone(), |f| f == Fault::Silent);
    let back = pump(b_in, a_out, fault.clone(), |f| matches!(f, Fault::Silent | Fault::AnswersHeld));
    let mut pumps = std::pin::pin!(async { tokio::join!(there, back) });
    let stays_open = tokio::select! {
        // A change goes before bytes that came at the same moment.
        biased;
        stays_open = ended(&mut fault) => stays_open,
        _ = &mut pumps => false,
    };
    if stays_open {
        // The sockets stay open as long as the pumps are there, until the relay ends.
        while fault.changed().await.is_ok() {}
    }
}

/// Waits until an open connection passes nothing more; returns whether it stays
/// open. What counts is a change to such a fault, not that it stands.
async fn ended(fault: &mut watch::Receiver<Fault>) -> bool {
    while fault.changed().await.is_ok() {
        match *fault.borrow_and_update() {
            Fault::HalfOpen => return true,
            Fault::Closed | Fault::Broken => return false,
            Fault::None | Fault::Silent | Fault::AnswersHeld | Fault::Slow(_) => {}
        }
    }
    false
}

/// Copies one direction until its end, holding bytes back while `held` says so.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<Fault>,
    held: fn(Fault) -> bool,
) {
    let mut buf = vec![0; CHUNK];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        if fault.wait_for(|f| !held(*f)).await.is_err() {
            break;
        }
        let now = *fault.borrow();
        if let Fault::Slow(by) = now {
            tokio::time::sleep(by).await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    // The other direction may go on after this one has ended.
    let _ = to.shutdown().await;
}
