//! Daemons and the operators' command line.
//!
//! [`settings`] holds the settings of the daemons, and [`command`] the subcommands of the
//! operators. The programs in `src/bin` are thin shells around both.

pub mod command;
pub mod daemon;
pub mod local;
pub mod settings;

mod admin;
mod exit;
mod platform;

pub use crate::exit::Exit;
