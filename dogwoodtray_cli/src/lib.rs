//! Daemons of the fleet and the command line for operators.
//!
//! [`settings`] defines the settings of the daemons and [`command`] the subcommands for operators.
//! The programs in `src/bin` are thin wrappers around both.

pub mod command;
pub mod daemon;
pub mod local;
pub mod settings;

mod admin;
mod exit;
mod platform;

pub use crate::exit::Exit;
