//! Configuration objects, their checks and their publication format.
