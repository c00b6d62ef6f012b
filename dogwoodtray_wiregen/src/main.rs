//! Generates the message types of `dogwoodtray_wire` from `messages.proto`.
//!
//! After a change to the schema, run `cargo run -p dogwoodtray_wiregen` in the root of the
//! workspace. The output is committed, so a normal build does not need the generator.

use std::io;
use std::path::Path;

const SCHEMA_PATH: &str = "dogwoodtray_wire/messages.proto";
const INCLUDE_DIR: &str = "dogwoodtray_wire";
const OUTPUT_DIR: &str = "dogwoodtray_wire/src/generated";

fn main() -> io::Result<()> {
    let descriptors = protox::compile([SCHEMA_PATH], [INCLUDE_DIR]).map_err(io::Error::other)?;
    let mut cfg = prost_build::Config::new();
    cfg.bytes(["."]);
    cfg.out_dir(Path::new(OUTPUT_DIR));
    cfg.compile_fds(descriptors)
}
