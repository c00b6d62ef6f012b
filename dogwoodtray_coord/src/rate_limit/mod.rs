//! Limits on the requests of organizations over all processes.

mod tolerance;

pub use self::tolerance::LimitTolerance;
