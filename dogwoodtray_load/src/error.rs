//! Errors.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why a load or a report could not be made.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum LoadError {
        /// A setting is not valid.
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
