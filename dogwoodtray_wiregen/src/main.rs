//! Generates the message types of `dogwoodtray_wire` from `messages.proto`.
//!
//! Run it from the root of the workspace after a change of the schema:
//! `cargo run -p dogwoodtray_wiregen`. The output is committed, so a normal build needs no
//! generator.

use std::io;
use std::path::Path;

const SCHEMA: &str = "dogwoodtray_wire/messages.proto";
const INCLUDE: &str = "dogwoodtray_wire";
const OUTPUT: &str = "dogwoodtray_wire/src/generated";

fn main() -> io::Result<()> {
    let descriptors = protox::compile([SCHEMA], [INCLUDE]).map_err(io::Error::other)?;
    let mut cfg = prost_build::Config::new();
    cfg.bytes(["."]);
    cfg.out_dir(Path::new(OUTPUT));
    cfg.compile_fds(descriptors)
}
