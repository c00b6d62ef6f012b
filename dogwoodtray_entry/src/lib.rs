//! Entry that accepts requests and jobs from callers and routes them to agents.

pub mod jobs;
