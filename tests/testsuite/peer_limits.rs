//! How many connections a listener for peers takes, and what they may send before they show the token.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use workswood_peers::{Frame, Handler, Hello, Msg, Ping, Pong, RelayHandler};
use workswood_traffic::Traffic;

const TOKEN: &str = "token";
/// Connections that the listener takes.
const MAX_CONNECTIONS: usize = 3;
/// Less than the time that the listener gives a connection to show the token.
const AT_ONCE: Duration = Duration::from_millis(1500);

async fn listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler: Handler = Arc::new(|_| async { None }.boxed());
    let relay: RelayHandler = Arc::new(|_, _, _| async {}.boxed());
    let serving = workswood_peers::serve_within(
        MAX_CONNECTIONS,
        listener,
        TOKEN.to_string(),
        handler,
        relay,
        Traffic::default(),
    );
    tokio::spawn(serving);
    address
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("a connection")
}

async fn send(stream: &mut TcpStream, msg: Msg) {
    let frame = Frame { call: 0, msg: Some(msg) }.encode_to_vec();
    let bytes = [&(frame.len() as u32).to_be_bytes()[..], &frame].concat();
    stream.write_all(&bytes).await.expect("bytes are taken");
}

fn hello(token: &str) -> Msg {
    Msg::Hello(Hello { version: 1, token: token.to_string(), incarnation: String::new() })
}

/// Pings; returns whether the listener answers.
async fn ping(stream: &mut TcpStream) -> bool {
    send(stream, Msg::Ping(Ping {})).await;
    let Ok(len) = stream.read_u32().await else { return false };
    let mut buf = vec![0; len as usize];
    stream.read_exact(&mut buf).await.expect("a frame");
    matches!(Frame::decode(&buf[..]), Ok(Frame { msg: Some(Msg::Pong(Pong {})), .. }))
}

/// A connection that has opened.
async fn opened(address: SocketAddr) -> TcpStream {
    let mut stream = connect(address).await;
    send(&mut stream, hello(TOKEN)).await;
    assert!(ping(&mut stream).await, "the listener answers");
    stream
}

/// Whether the listener closes the connection before it would give up waiting for the token.
async fn is_closed(stream: &mut TcpStream) -> bool {
    // A reset closes it as well.
    tokio::time::timeout(AT_ONCE, stream.read_u8()).await.is_ok_and(|read| read.is_err())
}

#[tokio::test]
async fn oldest_unopened_goes_first() {
    let address = listener().await;
    let mut peer = opened(address).await;
    let mut silent = Vec::new();
    for _ in 0..=MAX_CONNECTIONS {
        silent.push(connect(address).await);
    }
    assert!(is_closed(&mut silent[0]).await);
    assert!(ping(&mut peer).await, "a connection that has opened stays");
    send(&mut silent[MAX_CONNECTIONS], hello(TOKEN)).await;
    assert!(ping(&mut silent[MAX_CONNECTIONS]).await, "the newest may open");
}

#[tokio::test]
async fn too_many_are_closed() {
    let address = listener().await;
    let mut peers = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        peers.push(opened(address).await);
    }
    let mut late = connect(address).await;
    send(&mut late, hello(TOKEN)).await;
    send(&mut late, Msg::Ping(Ping {})).await;
    assert!(is_closed(&mut late).await);
    for peer in &mut peers {
        assert!(ping(peer).await);
    }
}

#[tokio::test]
async fn long_frame_needs_token() {
    let address = listener().await;
    let mut stream = connect(address).await;
    stream.write_all(&(16 * 1024u32).to_be_bytes()).await.expect("bytes are taken");
    assert!(is_closed(&mut stream).await, "it is not waited for");
    let mut wrong = connect(address).await;
    send(&mut wrong, hello("other")).await;
    assert!(is_closed(&mut wrong).await);
}
