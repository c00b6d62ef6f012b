//! Object sets for tests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::fs;
use std::path::Path;

use dogwoodtray_config::ObjectSet;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::parse_file;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Parses all files of a directory below `examples/`.
pub(crate) fn example_set(name: &str) -> ObjectSet {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name);
    let mut set = ObjectSet::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        set.append(parse_file("example", &fs::read_to_string(path).unwrap()).unwrap());
    }
    set
}

/// Parses the text of a file.
pub(crate) fn parse_set(text: &str) -> ObjectSet {
    parse_file("test.toml", text).unwrap()
}

/// Returns a valid set with one model for each pair of a name and a context size in tokens.
pub(crate) fn models(contexts: &[(&str, u32)]) -> ObjectSet {
    let model = |(name, context): &(&str, u32)| {
        format!("[[model]]\nname = '{name}'\ncontext_tokens = {context}\nmax_output_tokens = 1\n")
    };
    parse_set(&contexts.iter().map(model).collect::<String>())
}

/// Creates the generation that follows `snapshot`.
pub(crate) fn next(snapshot: &Snapshot, set: ObjectSet) -> Snapshot {
    snapshot.next(snapshot.encode().unwrap().hash, set)
}

/// A small valid set with few variants, so that random edits often change the same objects.
#[derive(Clone, Debug)]
pub(crate) struct SmallSet(pub(crate) ObjectSet);

impl Arbitrary for SmallSet {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut text = String::new();
        for name in ["a", "b", "c", "d"] {
            if u8::arbitrary(g) % 4 == 0 {
                continue;
            }
            let variant = 1 + u8::arbitrary(g) % 3;
            text += &format!(
                "[[model]]\nname = '{name}'\ncontext_tokens = {variant}\nmax_output_tokens = 1\n\
                 [[route]]\nname = '{name}'\nservice = 's{variant}'\norganisations = ['*']\n\
                 default_deadline_ms = {variant}\n"
            );
        }
        Self(parse_set(&text))
    }
}
