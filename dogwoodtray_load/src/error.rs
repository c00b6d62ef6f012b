//! Errors of the load generator.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Error of a load run or of its report.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum LoadError {
        /// A setting is invalid.
        Config(message: String) {
            display("setting: {message}")
        }
        /// A histogram could not be created.
        Histogram(err: hdrhistogram::CreationError) {
            display("histogram: {err}")
            source(err)
            from()
        }
        /// A chart could not be drawn.
        Chart(message: String) {
            display("chart: {message}")
        }
        /// A file could not be written.
        Io(err: io::Error) {
            display("file: {err}")
            source(err)
            from()
        }
    }
}
