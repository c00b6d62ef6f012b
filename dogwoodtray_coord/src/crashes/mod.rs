//! Endpoint crashes, and the contents of requests that cause them.

mod contents;

pub use self::contents::Contents;
