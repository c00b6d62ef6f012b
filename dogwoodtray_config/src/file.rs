//! TOML files of configuration objects.

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

/// Tables of a file, before they are parsed as objects.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InputFile {
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

/// Parses the objects of a TOML file.
///
/// # Errors
///
/// Returns one error for each table that is not a valid object of its kind, or a single error if
/// the file is not valid TOML or contains a table of an unknown kind.
///
/// # Examples
///
/// ```
/// let file = "[[model]]\nname = 'kegtalk'\ncontext_tokens = 8192\nmax_output_tokens = 512\n";
/// let set = dogwoodtray_config::parse_file("models.toml", file).unwrap();
/// assert_eq!(set.models().next().unwrap().context_tokens, 8192);
/// ```
pub fn parse_file(file: &str, text: &str) -> Result<ObjectSet, Vec<FileError>> {
    let raw: InputFile = toml::from_str(text).map_err(|err| {
        let line = err.span().map_or(1, |span| line_number(text, span.start));
        vec![FileError { file: file.to_owned(), line, message: err.message().to_owned() }]
    })?;
    let mut parser = Parser { file, text, objects: Vec::new(), errors: Vec::new() };
    parser.parse_tables::<Model>(Kind::Model, raw.model, Object::Model);
    parser.parse_tables::<ModelVersion>(Kind::Version, raw.version, Object::Version);
    parser.parse_tables::<Adapter>(Kind::Adapter, raw.adapter, Object::Adapter);
    parser.parse_tables::<Route>(Kind::Route, raw.route, Object::Route);
    parser.parse_tables::<BatchPolicy>(Kind::BatchPolicy, raw.batch_policy, Object::BatchPolicy);
    parser.parse_tables::<RetirementPlan>(
        Kind::RetirementPlan,
        raw.retirement_plan,
        Object::RetirementPlan,
    );
    if parser.errors.is_empty() {
        Ok(ObjectSet::from_iter(parser.objects))
    } else {
        Err(parser.errors)
    }
}

struct Parser<'a> {
    file: &'a str,
    text: &'a str,
    objects: Vec<Object>,
    errors: Vec<FileError>,
}

impl Parser<'_> {
    fn parse_tables<T: DeserializeOwned>(
        &mut self,
        kind: Kind,
        tables: Vec<Spanned<Table>>,
        wrap: fn(T) -> Object,
    ) {
        for table in tables {
            let start = table.span().start;
            let table = table.into_inner();
            let label = table_label(kind, &table);
            match table.try_into::<T>() {
                Ok(object) => self.objects.push(wrap(object)),
                Err(err) => self.errors.push(FileError {
                    file: self.file.to_owned(),
                    line: line_number(self.text, start),
                    message: format!("{label}: {}", err.message()),
                }),
            }
        }
    }
}

fn table_label(kind: Kind, table: &Table) -> String {
    match table.get("name").and_then(|name| name.as_str()) {
        Some(name) => format!("{kind} {name}"),
        None => format!("{kind} without a name"),
    }
}

fn line_number(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().get(..offset).unwrap_or_default();
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Objects of a file, grouped by kind for serialization.
#[derive(Default, Serialize)]
struct OutputFile<'a> {
    model: Vec<&'a Model>,
    version: Vec<&'a ModelVersion>,
    adapter: Vec<&'a Adapter>,
    route: Vec<&'a Route>,
    batch_policy: Vec<&'a BatchPolicy>,
    retirement_plan: Vec<&'a RetirementPlan>,
}

/// Serializes a set as the text of a TOML file that [`parse_file`] can parse.
///
/// # Errors
///
/// Returns an error if a value cannot be represented in TOML.
pub fn write_file(set: &ObjectSet) -> Result<String, toml::ser::Error> {
    toml::to_string(&OutputFile {
        model: set.models().collect(),
        version: set.versions().collect(),
        adapter: set.adapters().collect(),
        route: set.routes().collect(),
        batch_policy: set.batch_policies().collect(),
        retirement_plan: set.retirement_plans().collect(),
    })
}
