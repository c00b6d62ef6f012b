//! Arguments of the subcommands.

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
use self::measure::load;
use self::measure::local;

/// A subcommand with its arguments.
///
/// Subcommands that run roles in this process, such as `local` and `load`, are variants of their
/// own and have a module beside those of the others.
#[derive(Clone, Debug)]
pub enum Command {
    /// Checks a directory of objects.
    Check(DirectoryOptions),
    /// Shows how a directory differs from the current set.
    Diff(PublishOptions),
    /// Writes the current set, or another one, as TOML.
    Export(PlatformOptions),
    /// Publishes a directory.
    Publish(PublishOptions),
    /// Shows which generation is in force where.
    Status(StatusOptions),
    /// Lists the open jobs.
    Jobs(PlatformOptions),
    /// Drains processes.
    Drain(StatusOptions),
    /// Shows the events of several processes in one order.
    Timeline(TimelineOptions),
    /// Runs a whole system in this process.
    Local(LocalOptions),
    /// Sends a load and reports latencies.
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
    /// Set that the edits started from, as `GENERATION` or `GENERATION-HASH`.
    pub base: Option<String>,
    /// Note that is kept with the pointer.
    pub note: String,
    /// Seconds after which the platform counts as unreachable.
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
    /// Seconds after which the platform counts as unreachable.
    pub timeout_s: u64,
    /// Whether to print JSON.
    pub json: bool,
}

/// Arguments of `status` and `drain`.
#[derive(Clone, Debug)]
pub struct StatusOptions {
    /// Operator ports.
    pub addrs: Vec<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Arguments of `timeline`.
#[derive(Clone, Debug)]
pub struct TimelineOptions {
    /// Operator ports.
    pub addrs: Vec<SocketAddr>,
    /// Request to follow.
    pub request: Option<String>,
    /// Whether to go on until interrupted.
    pub follow: bool,
    /// Whether to print JSON, one event a line.
    pub json: bool,
}

/// Creates the parser of the command line.
#[must_use]
pub fn options() -> OptionParser<Command> {
    let check = command(directory(), "check", "Check a directory of objects", Command::Check);
    let diff = command(
        publish(),
        "diff",
        "Show how a directory differs from the current set",
        Command::Diff,
    );
    let export = command(
        platform_with_base(),
        "export",
        "Write the current set, or the one named by --base, as TOML",
        Command::Export,
    );
    let publish = command(publish(), "publish", "Publish a directory", Command::Publish);
    let status = command(
        addresses("entry"),
        "status",
        "Show which generation is in force where, leaving flags and open jobs",
        Command::Status,
    );
    let jobs = command(platform_only(), "jobs", "List the open jobs", Command::Jobs);
    let drain = command(addresses("admin"), "drain", "Drain processes", Command::Drain);
    let timeline = command(
        timeline(),
        "timeline",
        "Show the events of several processes in one order",
        Command::Timeline,
    );
    let local = command(
        local(),
        "local",
        "Run all roles and stand-ins in this process, for developers",
        Command::Local,
    );
    let load = command(
        load(),
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

fn command<T: 'static>(
    parser: impl Parser<T> + 'static,
    name: &'static str,
    description: &'static str,
    wrap: fn(T) -> Command,
) -> impl Parser<Command> {
    parser.to_options().descr(description).command(name).map(wrap)
}

fn directory() -> impl Parser<DirectoryOptions> {
    let json = json();
    let dir = dir();
    construct!(DirectoryOptions { json, dir })
}

fn publish() -> impl Parser<PublishOptions> {
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

fn platform_with_base() -> impl Parser<PlatformOptions> {
    let platform = platform();
    let base = base();
    let timeout_s = timeout_s();
    let json = json();
    construct!(PlatformOptions { platform, base, timeout_s, json })
}

fn platform_only() -> impl Parser<PlatformOptions> {
    let platform = platform();
    let base = bpaf::pure(None);
    let timeout_s = timeout_s();
    let json = json();
    construct!(PlatformOptions { platform, base, timeout_s, json })
}

fn addresses(flag: &'static str) -> impl Parser<StatusOptions> {
    let json = json();
    let addrs = addrs(flag);
    construct!(StatusOptions { json, addrs })
}

fn timeline() -> impl Parser<TimelineOptions> {
    let request = long("request")
        .help("Show the events of this request only")
        .argument::<String>("ID")
        .guard(|id| is_request_id(id), "an id has letters, digits, '.', '_' and '-' only")
        .optional();
    let follow = long("follow").help("Go on until interrupted").switch();
    let json = json();
    let addrs = addrs("admin");
    construct!(TimelineOptions { request, follow, json, addrs })
}

/// Accepts `--flag A --flag B` and `--flag A B`.
fn addrs(flag: &'static str) -> impl Parser<Vec<SocketAddr>> {
    let first = long(flag)
        .help("Operator port of a process; may be given several times")
        .argument::<String>("IP:PORT")
        .parse(move |text| address(flag, &text))
        .some("an operator port is needed");
    let more = positional::<String>("IP:PORT")
        .help("More operator ports")
        .parse(move |text| address(flag, &text))
        .many();
    construct!(first, more).map(|(first, more)| [first, more].concat())
}

fn platform() -> impl Parser<SocketAddr> {
    long("platform")
        .env("DOGWOODTRAY_PLATFORM")
        .help("Address of the platform's object API")
        .argument::<String>("IP:PORT")
        .parse(|text| address("platform", &text))
}

/// Reads an address with a message that names the flag, which is not visible when the value comes
/// from the environment.
fn address(flag: &str, text: &str) -> Result<SocketAddr, String> {
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

/// Tells whether a request id needs no escape in a query.
fn is_request_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !id.is_empty() && id.bytes().all(allowed)
}
