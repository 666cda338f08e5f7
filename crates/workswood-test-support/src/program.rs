//! Child processes that a test starts and signals.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time between two looks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A child process; it is killed when dropped.
pub struct Program {
    child: Child,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    /// Starts a command and discards its standard error.
    pub fn start(mut command: Command) -> Program {
        Program { child: command.stderr(Stdio::null()).spawn().expect("the process starts") }
    }

    /// Starts a command whose output is appended to a file.
    pub fn start_logged(mut command: Command, log: &Path) -> Program {
        let file = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = file.try_clone().expect("a second handle");
        Program { child: command.stdout(file).stderr(errors).spawn().expect("the process starts") }
    }

    /// The identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the state of the process").is_none()
    }

    /// Sends a signal; `name` is an option of `kill`, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits until the process has ended; `None` if it has not within this time.
    pub fn wait_within(&mut self, time: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + time;
        while self.is_running() {
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Some(self.wait())
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }
}

/// Returns ports of an address that are currently free. They are released again, so no other test
/// may use the address.
pub fn free_ports(address: &str, n: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind((address, 0)).expect("a port");
    let listeners: Vec<TcpListener> = (0..n).map(bind).collect();
    listeners.iter().map(|l| l.local_addr().expect("an address")).collect()
}
