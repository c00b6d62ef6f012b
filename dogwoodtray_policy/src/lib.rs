//! Routing, admission and batch scheduling policies.
