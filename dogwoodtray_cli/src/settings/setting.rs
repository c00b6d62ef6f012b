//! Definitions of the settings and the parser of their flags.

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

use super::values::Values;

/// Definition of a setting.
#[derive(Debug)]
pub(super) struct Setting {
    /// Name of the flag, without dashes.
    pub(super) flag: &'static str,
    /// Name of the environment variable.
    pub(super) env: &'static str,
    /// Placeholder of the value in the help.
    pub(super) metavar: &'static str,
    /// Description in the help.
    pub(super) help: &'static str,
    /// Value if neither the flag nor the variable is set; `None` if the setting is required.
    pub(super) default: Option<&'static str>,
}

/// Defines settings as constants. `$env` is the name of the variable without its prefix.
macro_rules! settings {
    ($($name:ident: $flag:literal, $env:literal, $metavar:literal, $help:literal $(, $default:literal)?;)*) => {
        $(
            pub(super) const $name: Setting = Setting {
                flag: $flag,
                env: concat!("DOGWOODTRAY_", $env),
                metavar: $metavar,
                help: $help,
                default: settings!(@default $($default)?),
            };
        )*
    };
    (@default) => { None };
    (@default $default:literal) => { Some($default) };
}

settings! {
    NODE: "node", "NODE", "NAME", "Name of this node, unique in the fleet";
    DATA_CENTRE: "data-centre", "DATA_CENTRE", "NAME", "Data centre that the node stands in";
    REGION: "region", "REGION", "NAME", "Region of the data centre";
    LISTEN: "listen", "LISTEN", "IP:PORT", "Address for callers";
    PEER: "peer", "PEER", "IP:PORT", "Address for other processes of the fleet, as they dial it";
    ADMIN: "admin", "ADMIN", "IP:PORT", "Address of the operator port";
    PLATFORM: "platform", "PLATFORM", "IP:PORT", "Address of the platform's object API";
    READINESS: "readiness", "READINESS", "IP:PORT", "Address of the balancer's readiness checks";
    GRACE_S: "grace-s", "GRACE_S", "SECONDS",
        "Time between the request to stop and the kill", "8";
    RESULTS_KEPT_S: "results-kept-s", "RESULTS_KEPT_S", "SECONDS",
        "Time after submission for which the results of a job stay readable", "120";
    MEMORY_MB: "memory-mb", "MEMORY_MB", "MIB",
        "Memory of the process, a quarter of which it uses for buffers of requests", "128";
    REVOKE_MS: "revoke-ms", "REVOKE_MS", "MILLISECONDS",
        "Time after a key is taken away after which it is refused; empty for none", "";
    STRICT_REVOKE: "strict-revoke", "STRICT_REVOKE", "BOOL",
        "Whether that time holds at a VM that is cut off; empty for false", "";
    CONFIG_APPLY_MS: "config-apply-ms", "CONFIG_APPLY_MS", "MILLISECONDS",
        "Time within which a configuration is in force at connected processes", "3000";
    QUOTA_WINDOW_S: "quota-window-s", "QUOTA_WINDOW_S", "SECONDS",
        "Window over which limits of organisations are checked; empty for 5 s", "";
    QUOTA_OVERRUN: "quota-overrun", "QUOTA_OVERRUN", "SHARE",
        "Share by which a limit may be exceeded; empty for 0.1", "";
    QUOTA_SLACK: "quota-slack", "QUOTA_SLACK", "COUNT",
        "Requests by which a limit may be exceeded in addition; empty for none", "";
    ROUTE_POLICY: "route-policy", "ROUTE_POLICY", "NAME",
        "Routing: adaptive, round-robin or least-outstanding", "adaptive";
    ORG_REQUESTS_PER_S: "org-requests-per-s", "ORG_REQUESTS_PER_S", "COUNT",
        "Requests a second of one organisation at this entry", "1000";
    ORG_OPEN_REQUESTS: "org-open-requests", "ORG_OPEN_REQUESTS", "COUNT",
        "Open requests of one organisation at this entry", "2000";
    PLATFORM_READS_PER_MIN: "platform-reads-per-min", "PLATFORM_READS_PER_MIN", "COUNT",
        "Reads a minute of the platform that this entry may use", "6000";
    PLATFORM_WRITES_PER_MIN: "platform-writes-per-min", "PLATFORM_WRITES_PER_MIN", "COUNT",
        "Writes a minute of the platform that this entry may use", "3000";
    DRAIN_TIMEOUT_S: "drain-timeout-s", "DRAIN_TIMEOUT_S", "SECONDS",
        "Longest wait for open requests after a drain began", "30";
    ENDPOINT: "endpoint", "ENDPOINT", "IP:PORT", "Address of the engine or plain service";
    ENDPOINT_KIND: "endpoint-kind", "ENDPOINT_KIND", "KIND",
        "Kind of the endpoint: engine or service";
    MODELS: "models", "MODELS", "NAMES",
        "Models of the engine, or name of the plain service, separated by commas";
    ENDPOINT_CHECKS_FENCE: "endpoint-checks-fence", "ENDPOINT_CHECKS_FENCE", "BOOL",
        "Whether the endpoint refuses old fencing tokens: true or false", "false";
    ADMISSION_POLICY: "admission-policy", "ADMISSION_POLICY", "NAME",
        "Admission: adaptive, fixed-limit or fifo", "adaptive";
    MAX_PLACES: "max-places", "MAX_PLACES", "COUNT",
        "Most requests inside the endpoint at a time", "256";
    STEP_MS: "step-ms", "STEP_MS", "MS",
        "Milliseconds of one engine step or one service call", "10";
    READS_PER_S: "reads-per-s", "READS_PER_S", "COUNT",
        "Reads a second that the platform serves", "2000";
    WRITES_PER_S: "writes-per-s", "WRITES_PER_S", "COUNT",
        "Writes a second that the platform serves", "400";
}

/// Creates a parser of the given settings, with `--help` and `--version`.
pub(super) fn option_parser(
    settings: &[&'static Setting],
    description: &'static str,
) -> OptionParser<Values> {
    settings
        .iter()
        .fold(bpaf::pure(Values::default()).boxed(), |values, setting| add_flag(values, setting))
        .to_options()
        .descr(description)
        .version(env!("CARGO_PKG_VERSION"))
}

fn add_flag(values: Box<dyn Parser<Values>>, setting: &'static Setting) -> Box<dyn Parser<Values>> {
    let help = match setting.default {
        None => format!("{} [required]", setting.help),
        Some("") => format!("{} [default: none]", setting.help),
        Some(default) => format!("{} [default: {default}]", setting.help),
    };
    let value = long(setting.flag)
        .env(setting.env)
        .help(help.as_str())
        .argument::<String>(setting.metavar)
        .optional();
    let set = move |(mut values, value): (Values, Option<String>)| {
        values.set(setting, value);
        values
    };
    construct!(values, value).map(set).boxed()
}
