//! Limits of a listener, and how they follow from what the host gives the process.

/// Descriptors that the host keeps for files.
const FILE_FDS: u64 = 200;
/// Part of the other descriptors that is kept for the store, workers, peers and probes.
const FD_SHARES: u64 = 2;
/// Part of the memory that callers may hold. The rest is for the state of jobs, for encoding what is
/// stored, and for what the allocator and the network stack keep beside what callers hold.
const MEMORY_SHARES: u64 = 6;
/// Bytes of a megabyte.
const MB: u64 = 1_000_000;
/// Limits of a listener whose process is not told what the host gives it.
const DEFAULT_MAX_CONNECTIONS: usize = 16_384;
const DEFAULT_MAX_BYTES: usize = 1 << 30;
/// Sizes of the receive buffer of a connection, in bytes.
const MIN_RECEIVE_BUFFER: usize = 12 * 1024;
const MAX_RECEIVE_BUFFER: usize = 64 * 1024;
/// Number of bodies whose rest may be discarded at the same time.
const MAX_DISCARDS: usize = 16;
/// Connections of a listener for probes: at most, and as a part of the descriptors.
const MAX_PROBE_CONNECTIONS: u64 = 64;
const PROBE_FD_SHARES: u64 = 16;
/// Memory of a listener for probes, in bytes.
const PROBE_BYTES: usize = 2 * 1024 * 1024;

/// Limits of all connections of a listener together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of bytes that they and their requests hold.
    pub max_bytes: usize,
    /// Maximum number of bodies whose rest is discarded at the same time.
    pub max_discards: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: DEFAULT_MAX_CONNECTIONS,
            max_bytes: DEFAULT_MAX_BYTES,
            max_discards: MAX_DISCARDS,
        }
    }
}

impl Limits {
    /// Limits of the listener for callers of a process with so much memory and so many descriptors.
    pub fn for_callers(memory_mb: u64, max_fds: u64) -> Limits {
        Limits {
            max_connections: share(max_fds, FD_SHARES) as usize,
            max_bytes: (memory_mb * MB / MEMORY_SHARES) as usize,
            max_discards: MAX_DISCARDS,
        }
    }

    /// Limits of a listener for probes.
    pub fn for_probes(max_fds: u64) -> Limits {
        Limits {
            max_connections: share(max_fds, PROBE_FD_SHARES).min(MAX_PROBE_CONNECTIONS) as usize,
            max_bytes: PROBE_BYTES,
            max_discards: MAX_DISCARDS,
        }
    }

    /// Size of the receive buffer of a connection, in bytes: all of them together hold about half as
    /// much as callers may hold in the process.
    pub fn receive_buffer(&self) -> u32 {
        // Linux doubles the size that it is given.
        let size = self.max_bytes / self.max_connections.max(1) / 4;
        size.clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER) as u32
    }
}

/// One of so many equal shares of the descriptors that are not for files; at least 1.
fn share(max_fds: u64, shares: u64) -> u64 {
    (max_fds.saturating_sub(FILE_FDS) / shares).max(1)
}
