//! Simulated platform and service endpoints, with fault injection.
//!
//! `workswood dev` and the test suite run against them.

mod endpoint;
mod hosts;
mod platform;

pub use endpoint::{Behaviour, EndpointStandin, Ledger};
pub use hosts::HostSim;
pub use platform::{Counters, Faults, PlatformStandin};
