//! A TCP proxy that can close, stall or delay connections.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// A fault that the proxy injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Forwards everything.
    #[default]
    None,
    /// Closes all open connections and every new one.
    Closed,
    /// Closes all open connections; new ones work.
    Broken,
    /// Holds bytes back in both directions while the fault is set.
    Silent,
    /// Holds back only bytes from the server to the client.
    AnswersHeld,
    /// Forwards nothing more on the open connections and never closes them; new ones work.
    HalfOpen,
    /// Delays each chunk by this time.
    Slow(Duration),
}

/// A proxy to one address; stops when dropped.
pub struct Cut {
    /// Address on which the proxy listens.
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
    /// Starts a proxy to `to` on a free port of the loopback interface.
    pub async fn start(to: &str) -> Cut {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let fault = Arc::new(watch::channel(Fault::None).0);
        let (to, rx) = (to.to_string(), fault.subscribe());
        let task = tokio::spawn(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else { continue };
                tokio::spawn(forward(client, to.clone(), rx.clone()));
            }
        });
        Cut { address, fault, task }
    }

    /// Closes all connections and every new one, or ends that fault.
    pub fn cut(&self, cut: bool) {
        self.set(if cut { Fault::Closed } else { Fault::None });
    }

    /// Sets the injected fault.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn forward(client: TcpStream, to: String, mut fault: watch::Receiver<Fault>) {
    if *fault.borrow_and_update() == Fault::Closed {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else { return };
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let requests = pump(client_in, server_out, fault.clone(), |f| f == Fault::Silent);
    let answers =
        pump(server_in, client_out, fault.clone(), |f| matches!(f, Fault::Silent | Fault::AnswersHeld));
    let mut pumps = std::pin::pin!(async { tokio::join!(requests, answers) });
    let stays_open = tokio::select! {
        // A change of the fault takes effect before bytes that arrive at the same time.
        biased;
        stays_open = wait_for_end(&mut fault) => stays_open,
        _ = &mut pumps => false,
    };
    if stays_open {
        // The pumps own the sockets; keeping them alive keeps the connection open until the proxy stops.
        while fault.changed().await.is_ok() {}
    }
}

/// Waits for a change to a fault that ends an open connection; returns whether its sockets stay
/// open. A fault that was set before the connection was opened does not count.
async fn wait_for_end(fault: &mut watch::Receiver<Fault>) -> bool {
    while fault.changed().await.is_ok() {
        match *fault.borrow_and_update() {
            Fault::HalfOpen => return true,
            Fault::Closed | Fault::Broken => return false,
            Fault::None | Fault::Silent | Fault::AnswersHeld | Fault::Slow(_) => {}
        }
    }
    false
}

/// Copies one direction until its end; holds bytes back while `held` is true of the fault.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<Fault>,
    held: fn(Fault) -> bool,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        if fault.wait_for(|f| !held(*f)).await.is_err() {
            break;
        }
        let current = *fault.borrow();
        if let Fault::Slow(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    // The other direction may continue after this one has ended.
    let _ = to.shutdown().await;
}
