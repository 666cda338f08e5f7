//! Detection of connections that no longer pass bytes.
//!
//! A connection is half-open if a firewall or another device on the path has dropped its state:
//! nothing passes any more, and neither side sees it close. Only a missing reply reveals
//! this, and if each connection were judged by itself, each would cost one call its whole
//! timeout. Therefore
//! * [`AdaptiveTimeout`] decides when a reply is late, from how long earlier replies took,
//! * [`TimerLag`] measures delays of this process itself, which are not counted against
//!   its peers, and
//! * [`HalfOpenDetector`] shares what one user of connections has found out with all others.

mod adaptive_timeout;
mod half_open_detector;
mod timer_lag;

pub use adaptive_timeout::AdaptiveTimeout;
pub use half_open_detector::{HalfOpenConnection, HalfOpenCorrelator, HalfOpenDetector};
pub use timer_lag::TimerLag;
