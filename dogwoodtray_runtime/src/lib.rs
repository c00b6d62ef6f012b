//! Kernel, links, event log and operators' port shared by the daemons.
