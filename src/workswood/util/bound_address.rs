//! An address that a process has bound until it ends.
//!
//! A process that binds an address which an earlier one had bound so, in the same network stack, knows
//! that the earlier one has ended: the kernel frees the address when the last thread of the process is gone, and a
//! process that is stopped or frozen keeps it.

use std::os::fd::AsFd;

use tokio::net::TcpListener;

/// Identifies one boot of the kernel.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// Names the network namespace of the process.
const NETWORK_NAMESPACE: &str = "/proc/self/ns/net";

/// Keeps the address of a listener bound until the process ends. Returns the network stack in which it is
/// bound, the namespace of one boot of the kernel; `None` if that is not known, or the port was chosen by the system.
pub fn keep_until_exit(listener: &TcpListener, wanted_port: u16) -> Option<String> {
    if wanted_port == 0 {
        return None;
    }
    let boot = std::fs::read_to_string(BOOT_ID).ok()?;
    let namespace = std::fs::read_link(NETWORK_NAMESPACE).ok()?;
    let copy = listener.as_fd().try_clone_to_owned().ok()?;
    // The runtime closes its own one while other threads may still run.
    std::mem::forget(copy);
    Some(format!("{}/{}", boot.trim(), namespace.display()))
}
