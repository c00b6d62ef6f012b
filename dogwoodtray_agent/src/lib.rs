//! Agent that runs beside each endpoint and admits its work.
