//! Memory and descriptors of a process, as Linux reports them.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::task::JoinHandle;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// A process counts as being at rest after this time without a change.
const REST: Duration = Duration::from_millis(1000);
/// Longest wait for that.
const MAX_WAIT_FOR_REST: Duration = Duration::from_secs(6);
/// The state of a listening socket in the kernel's table of connections.
const LISTENING: &str = "0A";
/// Unit of sums of memory, in bytes.
pub const MIB: u64 = 1024 * 1024;

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Memory of the process, in bytes.
    pub resident: u64,
    /// Bytes that have arrived on its connections and were not read.
    pub unread: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Memory of the process and what waits for it, in units of [`MIB`].
    pub fn memory_mb(&self) -> u64 {
        (self.resident + self.unread).div_ceil(MIB)
    }

    /// The highest of each figure.
    fn max(self, other: Usage) -> Usage {
        Usage {
            resident: self.resident.max(other.resident),
            unread: self.unread.max(other.unread),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Highest figures so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Each figure by itself. The one for the memory of the process is the kernel's, between samples too.
    pub each: Usage,
    /// Memory of the process and what waits for it, in units of [`MIB`].
    pub memory_mb: u64,
}

/// Samples the usage of a process until it is dropped.
pub struct UsageWatch {
    sampler: Arc<Sampler>,
    task: JoinHandle<()>,
}

struct Sampler {
    process: u32,
    listeners: Vec<SocketAddr>,
    peak: Mutex<Peak>,
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl UsageWatch {
    /// Starts sampling; `listeners` are those of the process.
    pub fn start(process: u32, listeners: &[SocketAddr]) -> UsageWatch {
        let sampler = Sampler { process, listeners: listeners.to_vec(), peak: Mutex::default() };
        let sampler = Arc::new(sampler);
        let samples = sampler.clone();
        let task = tokio::spawn(async move {
            loop {
                samples.sample();
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        UsageWatch { sampler, task }
    }

    /// What the process uses now; all figures are 0 if it has ended.
    pub fn now(&self) -> Usage {
        self.sampler.sample()
    }

    /// Waits until the process has taken all that came: until its descriptors and what waits on its connections stay as they
    /// are, or until [`MAX_WAIT_FOR_REST`].
    pub async fn at_rest(&self) {
        let begun = Instant::now();
        let (mut seen, mut since) = ((0, 0), begun);
        while since.elapsed() < REST && begun.elapsed() < MAX_WAIT_FOR_REST {
            let waiting = waiting(self.sampler.process, &self.sampler.listeners);
            let now = (self.now().descriptors, waiting.unread + waiting.unsent);
            if now != seen {
                (seen, since) = (now, Instant::now());
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// The highest figures so far.
    pub fn peak(&self) -> Peak {
        *self.sampler.peak.lock()
    }
}

impl Sampler {
    fn sample(&self) -> Usage {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.process)).map_or(0, Iterator::count);
        let resident = memory(self.process, "VmRSS:");
        let now = Usage { resident, unread: waiting(self.process, &self.listeners).unread, descriptors };
        let highest = Usage { resident: memory(self.process, "VmHWM:"), unread: 0, descriptors: 0 };
        let mut peak = self.peak.lock();
        peak.each = peak.each.max(now).max(highest);
        peak.memory_mb = peak.memory_mb.max(now.memory_mb()).max(highest.memory_mb());
        now
    }
}

/// A figure of the process status, in bytes.
fn memory(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix(field)).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse::<u64>().map_or(0, |kib| kib * 1024)
}

/// Bytes that wait on connections to some listeners.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    /// Those that have arrived and were not read.
    unread: u64,
    /// Those that wait at the senders, on this host.
    unsent: u64,
}

/// Bytes that wait on connections to the listeners of a process.
fn waiting(process: u32, listeners: &[SocketAddr]) -> Waiting {
    let names: HashSet<String> = listeners.iter().map(kernel_name).collect();
    let table = std::fs::read_to_string(format!("/proc/{process}/net/tcp")).unwrap_or_default();
    let mut sum = Waiting::default();
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, state, queues, ..] = fields[..] else { continue };
        let Some((unsent, unread)) = queues.split_once(':') else { continue };
        if state != LISTENING && names.contains(local) {
            sum.unread += u64::from_str_radix(unread, 16).unwrap_or(0);
        } else if names.contains(remote) {
            sum.unsent += u64::from_str_radix(unsent, 16).unwrap_or(0);
        }
    }
    sum
}

/// Number of connections to a listener on this host that were not accepted yet.
pub(crate) fn accept_queue_len(listener: SocketAddr) -> u64 {
    let name = kernel_name(&listener);
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
    let len = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, LISTENING, queues, ..] = fields[..] else { return None };
        (local == name).then(|| queues.split_once(':').and_then(|(_, len)| u64::from_str_radix(len, 16).ok()))
    });
    len.flatten().unwrap_or(0)
}

/// An address as it is written in the kernel's table of connections.
fn kernel_name(address: &SocketAddr) -> String {
    match address.ip() {
        IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port()),
        IpAddr::V6(_) => String::new(),
    }
}
