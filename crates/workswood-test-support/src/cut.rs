//! A TCP relay that can be cut.

use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A relay to one address.
pub struct Cut {
    /// Where to connect.
    pub address: String,
    cut: Arc<watch::Sender<bool>>,
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
        let cut = Arc::new(watch::channel(false).0);
        let (to, rx) = (to.to_string(), cut.subscribe());
        let task = tokio::spawn(async move {
            loop {
                let Ok((a, _)) = listener.accept().await else { continue };
                tokio::spawn(relay(a, to.clone(), rx.clone()));
            }
        });
        Cut { address, cut, task }
    }

    /// Cuts all connections and refuses new ones, or lets them pass again.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn relay(mut a: TcpStream, to: String, mut cut: watch::Receiver<bool>) {
    if *cut.borrow() {
        return;
    }
    let Ok(mut b) = TcpStream::connect(to).await else { return };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut a, &mut b) => {}
        _ = cut.wait_for(|c| *c) => {}
    }
}
