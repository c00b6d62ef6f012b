//! Files of operators.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::Table;

use crate::error::FileError;
use crate::objects::Adapter;
use crate::objects::BatchPolicy;
use crate::objects::Kind;
use crate::objects::Model;
use crate::objects::ModelVersion;
use crate::objects::Object;
use crate::objects::RetirementPlan;
use crate::objects::Route;
use crate::set::ObjectSet;

/// Tables of a file before their fields are read.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    #[serde(default)]
    model: Vec<Spanned<Table>>,
    #[serde(default)]
    version: Vec<Spanned<Table>>,
    #[serde(default)]
    adapter: Vec<Spanned<Table>>,
    #[serde(default)]
    route: Vec<Spanned<Table>>,
    #[serde(default)]
    batch_policy: Vec<Spanned<Table>>,
    #[serde(default)]
    retirement_plan: Vec<Spanned<Table>>,
}

/// Reads the objects of one TOML file.
///
/// # Errors
///
/// Returns one error for each table that is not an object of its kind, or one error if the file is
/// not TOML or has a table of an unknown kind.
///
/// # Examples
///
/// ```
/// let file = "[[model]]\nname = 'kegtalk'\ncontext_tokens = 8192\nmax_output_tokens = 512\n";
/// let set = dogwoodtray_config::parse_file("models.toml", file).unwrap();
/// assert_eq!(set.models().next().unwrap().context_tokens, 8192);
/// ```
pub fn parse_file(file: &str, text: &str) -> Result<ObjectSet, Vec<FileError>> {
    let raw: RawFile = toml::from_str(text).map_err(|err| {
        let line = err.span().map_or(1, |span| line_at(text, span.start));
        vec![FileError { file: file.to_owned(), line, message: err.message().to_owned() }]
    })?;
    let mut reader = Reader { file, text, objects: Vec::new(), errors: Vec::new() };
    reader.read::<Model>(Kind::Model, raw.model, Object::Model);
    reader.read::<ModelVersion>(Kind::Version, raw.version, Object::Version);
    reader.read::<Adapter>(Kind::Adapter, raw.adapter, Object::Adapter);
    reader.read::<Route>(Kind::Route, raw.route, Object::Route);
    reader.read::<BatchPolicy>(Kind::BatchPolicy, raw.batch_policy, Object::BatchPolicy);
    reader.read::<RetirementPlan>(
        Kind::RetirementPlan,
        raw.retirement_plan,
        Object::RetirementPlan,
    );
    if reader.errors.is_empty() {
        Ok(ObjectSet::from_iter(reader.objects))
    } else {
        Err(reader.errors)
    }
}

struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    objects: Vec<Object>,
    errors: Vec<FileError>,
}

impl Reader<'_> {
    fn read<T: DeserializeOwned>(
        &mut self,
        kind: Kind,
        tables: Vec<Spanned<Table>>,
        wrap: fn(T) -> Object,
    ) {
        for table in tables {
            let start = table.span().start;
            let table = table.into_inner();
            let label = label_of(kind, &table);
            match table.try_into::<T>() {
                Ok(object) => self.objects.push(wrap(object)),
                Err(err) => self.errors.push(FileError {
                    file: self.file.to_owned(),
                    line: line_at(self.text, start),
                    message: format!("{label}: {}", err.message()),
                }),
            }
        }
    }
}

fn label_of(kind: Kind, table: &Table) -> String {
    match table.get("name").and_then(|name| name.as_str()) {
        Some(name) => format!("{kind} {name}"),
        None => format!("{kind} without a name"),
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().get(..offset).unwrap_or_default();
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Objects of a file by kind, for writing.
#[derive(Default, Serialize)]
struct SortedFile<'a> {
    model: Vec<&'a Model>,
    version: Vec<&'a ModelVersion>,
    adapter: Vec<&'a Adapter>,
    route: Vec<&'a Route>,
    batch_policy: Vec<&'a BatchPolicy>,
    retirement_plan: Vec<&'a RetirementPlan>,
}

/// Writes a set as the text of one TOML file, which [`parse_file`] reads back.
///
/// # Errors
///
/// Returns an error if a value has no TOML form.
pub fn write_file(set: &ObjectSet) -> Result<String, toml::ser::Error> {
    toml::to_string(&SortedFile {
        model: set.models().collect(),
        version: set.versions().collect(),
        adapter: set.adapters().collect(),
        route: set.routes().collect(),
        batch_policy: set.batch_policies().collect(),
        retirement_plan: set.retirement_plans().collect(),
    })
}
