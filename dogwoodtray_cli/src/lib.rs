//! Daemons and the operators' command line.
