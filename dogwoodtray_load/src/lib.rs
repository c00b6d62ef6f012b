//! Open-loop load generator, experiments and reports.
