//! Stand-ins for what surrounds workswood: the platform and the endpoints of
//! services. `workswood dev` and the test suite run against them; both can
//! inject the failures that the real ones have.

mod endpoint;
mod hosts;
mod platform;

pub use endpoint::{Behaviour, EndpointStandin, Ledger};
pub use hosts::HostSim;
pub use platform::{Counters, Faults, PlatformStandin};
