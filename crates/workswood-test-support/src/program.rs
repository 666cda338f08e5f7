//! A program that a test runs as a process of its own, and signals to it.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

/// A process that this test started; it is killed when this is dropped.
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
    /// Starts a command.
    pub fn start(mut command: Command) -> Program {
        Program { child: command.stderr(Stdio::null()).spawn().expect("it starts") }
    }

    /// Starts a command that writes its log to the end of a file.
    pub fn start_logged(mut command: Command, log: &Path) -> Program {
        let file = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = file.try_clone().expect("a second handle");
        Program { child: command.stdout(file).stderr(errors).spawn().expect("it starts") }
    }

    /// Sends a signal, named as for `kill`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits until it has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }
}

/// Ports that were free a moment ago, on an address that no other test uses.
pub fn free_ports(address: &str, n: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind((address, 0)).expect("a port");
    let held: Vec<TcpListener> = (0..n).map(bind).collect();
    held.iter().map(|l| l.local_addr().expect("an address")).collect()
}
