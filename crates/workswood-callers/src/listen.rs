//! Binds a listener for callers.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use crate::Limits;

/// Length of the queue of connections that have yet to be accepted.
const BACKLOG: u32 = 1024;

/// Binds a listener whose connections hold no more unread bytes in the network stack than the limits
/// allow.
pub fn listen(address: SocketAddr, limits: &Limits) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Accepted connections have the size that is set here.
    if let Err(e) = socket.set_recv_buffer_size(limits.receive_buffer()) {
        log::info!("event=receive_buffer_not_set error={e:?}");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
