//! Simulation of endpoints in virtual time, shared by the measurements.
#![allow(dead_code, reason = "each test file uses a part of the simulation")]

pub(crate) mod agent;
pub(crate) mod engine;
pub(crate) mod fleet;
pub(crate) mod workload;

/// Returns a quantile of the values and sorts them in place.
pub(crate) fn quantile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * quantile).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}
