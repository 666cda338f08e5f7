//! Whether connections still pass bytes, as a process finds out.
//!
//! A connection may be half-open: a firewall or a host on its way has forgotten it,
//! nothing passes any more and nobody closes it. Only an answer that does not come
//! tells, and each connection by itself would cost one call its whole time. So
//! * [`AdaptiveTimeout`] says when an answer is late, by how long answers take,
//! * [`TimerLag`] says how late the process itself is, which is not counted against others, and
//! * [`HalfOpenDetector`] tells all users of connections what one of them has found out.

mod adaptive_timeout;
mod half_open_detector;
mod timer_lag;

pub use adaptive_timeout::AdaptiveTimeout;
pub use half_open_detector::{HalfOpenConnection, HalfOpenCorrelator, HalfOpenDetector};
pub use timer_lag::TimerLag;
