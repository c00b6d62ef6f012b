//! Command-line parser of the subcommands.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;

mod measure;

pub use self::measure::LoadFault;
pub use self::measure::LoadOptions;
pub use self::measure::LocalOptions;
pub use self::measure::PolicyPair;
use self::measure::load_options;
use self::measure::local_options;

/// Subcommand with its arguments.
///
/// The subcommands that run roles in this process, such as `local` and `load`, have variants and
/// modules of their own.
#[derive(Clone, Debug)]
pub enum Command {
    /// Checks a directory of objects.
    Check(DirectoryOptions),
    /// Shows the differences between a directory and a published set.
    Diff(PublishOptions),
    /// Writes a published set as TOML.
    Export(PlatformOptions),
    /// Publishes the objects of a directory.
    Publish(PublishOptions),
    /// Shows the state and the active generation of processes.
    Status(ProcessOptions),
    /// Lists the open jobs.
    Jobs(PlatformOptions),
    /// Requests that processes drain.
    Drain(ProcessOptions),
    /// Shows the events of several processes in the order of their clocks.
    Timeline(TimelineOptions),
    /// Runs a whole fleet in this process.
    Local(LocalOptions),
    /// Sends an open-loop load and reports the latencies.
    Load(LoadOptions),
}

impl Command {
    pub(super) const fn json(&self) -> bool {
        match self {
            Self::Check(options) => options.json,
            Self::Diff(options) | Self::Publish(options) => options.json,
            Self::Export(options) | Self::Jobs(options) => options.json,
            Self::Status(options) | Self::Drain(options) => options.json,
            Self::Timeline(options) => options.json,
            Self::Local(options) => options.json,
            Self::Load(options) => options.json,
        }
    }
}

/// Arguments of `check`.
#[derive(Clone, Debug)]
pub struct DirectoryOptions {
    /// Directory of TOML files.
    pub dir: PathBuf,
    /// Whether to print JSON.
    pub json: bool,
}

/// Arguments of `diff` and `publish`.
#[derive(Clone, Debug)]
pub struct PublishOptions {
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Set that the edits are based on, as `GENERATION` or `GENERATION-HASH`.
    pub base: Option<String>,
    /// Note that is stored with the pointer to the set.
    pub note: String,
    /// Seconds after which the platform is considered unreachable.
    pub timeout_s: u64,
    /// Whether to print JSON.
    pub json: bool,
    /// Directory of TOML files.
    pub dir: PathBuf,
}

/// Arguments of `export` and `jobs`.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Set to write instead of the current one, as `GENERATION` or `GENERATION-HASH`.
    pub base: Option<String>,
    /// Seconds after which the platform is considered unreachable.
    pub timeout_s: u64,
    /// Whether to print JSON.
    pub json: bool,
}

/// Arguments of `status` and `drain`.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// Addresses of operator ports.
    pub addrs: Vec<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Arguments of `timeline`.
#[derive(Clone, Debug)]
pub struct TimelineOptions {
    /// Addresses of operator ports.
    pub addrs: Vec<SocketAddr>,
    /// Id of the only request whose events are shown.
    pub request: Option<String>,
    /// Whether to show new events until interrupted.
    pub follow: bool,
    /// Whether to print JSON, one event per line.
    pub json: bool,
}

/// Creates the command-line parser.
#[must_use]
pub fn options() -> OptionParser<Command> {
    let check =
        subcommand(directory_options(), "check", "Check a directory of objects", Command::Check);
    let diff = subcommand(
        publish_options(),
        "diff",
        "Show how a directory differs from the current set",
        Command::Diff,
    );
    let export = subcommand(
        platform_options_with_base(),
        "export",
        "Write the current set, or the one named by --base, as TOML",
        Command::Export,
    );
    let publish = subcommand(publish_options(), "publish", "Publish a directory", Command::Publish);
    let status = subcommand(
        process_options("entry"),
        "status",
        "Show which generation is in force where, leaving flags and open jobs",
        Command::Status,
    );
    let jobs = subcommand(platform_options(), "jobs", "List the open jobs", Command::Jobs);
    let drain = subcommand(process_options("admin"), "drain", "Drain processes", Command::Drain);
    let timeline = subcommand(
        timeline_options(),
        "timeline",
        "Show the events of several processes in one order",
        Command::Timeline,
    );
    let local = subcommand(
        local_options(),
        "local",
        "Run all roles and stand-ins in this process, for developers",
        Command::Local,
    );
    let load = subcommand(
        load_options(),
        "load",
        "Send an open-loop load to entries, or to fleets in this process, and report",
        Command::Load,
    );
    construct!([check, diff, export, publish, status, jobs, drain, timeline, local, load])
        .to_options()
        .descr("Operates a fleet of dogwoodtray")
        .footer(
            "Exit codes: 0 done, 1 findings or a conflict, 2 wrong arguments, \
             3 the platform or a process did not answer",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

fn subcommand<T: 'static>(
    parser: impl Parser<T> + 'static,
    name: &'static str,
    description: &'static str,
    variant: fn(T) -> Command,
) -> impl Parser<Command> {
    parser.to_options().descr(description).command(name).map(variant)
}

fn directory_options() -> impl Parser<DirectoryOptions> {
    let json = json();
    let dir = dir();
    construct!(DirectoryOptions { json, dir })
}

fn publish_options() -> impl Parser<PublishOptions> {
    let platform = platform();
    let base = base();
    let note = long("note")
        .help("Note that is kept with the pointer")
        .argument::<String>("TEXT")
        .fallback(String::new());
    let timeout_s = timeout_s();
    let json = json();
    let dir = dir();
    construct!(PublishOptions { platform, base, note, timeout_s, json, dir })
}

fn platform_options_with_base() -> impl Parser<PlatformOptions> {
    let platform = platform();
    let base = base();
    let timeout_s = timeout_s();
    let json = json();
    construct!(PlatformOptions { platform, base, timeout_s, json })
}

fn platform_options() -> impl Parser<PlatformOptions> {
    let platform = platform();
    let base = bpaf::pure(None);
    let timeout_s = timeout_s();
    let json = json();
    construct!(PlatformOptions { platform, base, timeout_s, json })
}

fn process_options(flag: &'static str) -> impl Parser<ProcessOptions> {
    let json = json();
    let addrs = operator_ports(flag);
    construct!(ProcessOptions { json, addrs })
}

fn timeline_options() -> impl Parser<TimelineOptions> {
    let request = long("request")
        .help("Show the events of this request only")
        .argument::<String>("ID")
        .guard(|id| is_query_safe(id), "an id has letters, digits, '.', '_' and '-' only")
        .optional();
    let follow = long("follow").help("Go on until interrupted").switch();
    let json = json();
    let addrs = operator_ports("admin");
    construct!(TimelineOptions { request, follow, json, addrs })
}

/// Creates a parser that accepts both `--flag A --flag B` and `--flag A B`.
fn operator_ports(flag: &'static str) -> impl Parser<Vec<SocketAddr>> {
    let first = long(flag)
        .help("Operator port of a process; may be given several times")
        .argument::<String>("IP:PORT")
        .parse(move |text| parse_address(flag, &text))
        .some("an operator port is needed");
    let rest = positional::<String>("IP:PORT")
        .help("More operator ports")
        .parse(move |text| parse_address(flag, &text))
        .many();
    construct!(first, rest).map(|(first, rest)| [first, rest].concat())
}

fn platform() -> impl Parser<SocketAddr> {
    long("platform")
        .env("DOGWOODTRAY_PLATFORM")
        .help("Address of the platform's object API")
        .argument::<String>("IP:PORT")
        .parse(|text| parse_address("platform", &text))
}

/// Parses an address. The error message names the flag, which is otherwise not shown if the value
/// comes from the environment.
fn parse_address(flag: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| {
        format!(
            "--{flag}: {text:?} is not allowed; allowed is an IP address and a port, \
             such as 10.0.0.7:8080"
        )
    })
}

fn base() -> impl Parser<Option<String>> {
    long("base")
        .help("Set that the edits started from, as GENERATION or GENERATION-HASH")
        .argument("SET")
        .optional()
}

fn timeout_s() -> impl Parser<u64> {
    long("timeout-s")
        .help("Seconds after which the platform counts as unreachable")
        .argument("SECONDS")
        .guard(|seconds| (1..=3600).contains(seconds), "allowed are 1 to 3600")
        .fallback(30)
        .display_fallback()
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

fn dir() -> impl Parser<PathBuf> {
    positional("DIR").help("Directory of TOML files")
}

/// Returns whether a request id can be used in a URL query without escaping.
fn is_query_safe(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !id.is_empty() && id.bytes().all(allowed)
}
