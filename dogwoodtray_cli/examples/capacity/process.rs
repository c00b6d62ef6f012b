//! Daemons as child processes and their resource usage.

use std::error::Error;
use std::fmt;
use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

const MAX_START_ATTEMPTS: u32 = 5;
const START_TIMEOUT: Duration = Duration::from_secs(5);

const KB_PER_MB: f64 = 1024.0;

/// Resource usage of a process, either cumulative or per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) cpu_percent: f64,
    pub(crate) rss_mb: f64,
    pub(crate) control_bytes_out: f64,
    pub(crate) control_bytes_in: f64,
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { cpu_percent, rss_mb, control_bytes_out, control_bytes_in } = self;
        write!(f, "{cpu_percent:6.3} {rss_mb:6.2} {control_bytes_out:8.0} {control_bytes_in:8.0}")
    }
}

/// Returns the mean usage of the processes between two readings, per second.
pub(crate) fn mean_usage(before: &[Usage], after: &[Usage], elapsed: Duration) -> Usage {
    let n = before.len() as f64;
    let seconds = elapsed.as_secs_f64();
    let mean_rate = |read: fn(&Usage) -> f64| {
        let used: f64 = after.iter().zip(before).map(|(a, b)| read(a) - read(b)).sum();
        used / n / seconds
    };
    Usage {
        cpu_percent: mean_rate(|u| u.cpu_percent),
        rss_mb: after.iter().map(|u| u.rss_mb).sum::<f64>() / n,
        control_bytes_out: mean_rate(|u| u.control_bytes_out),
        control_bytes_in: mean_rate(|u| u.control_bytes_in),
    }
}

/// A daemon that is killed when it is dropped.
pub(crate) struct Daemon {
    child: Child,
    pub(crate) node: String,
    pub(crate) listen: SocketAddr,
    pub(crate) peer: SocketAddr,
    admin: SocketAddr,
}

impl Daemon {
    /// Starts a daemon and waits until it responds.
    ///
    /// Retries with other ports, because another process may bind one of the ports first.
    pub(crate) fn start(
        spawn: impl Fn() -> Result<Self, Box<dyn Error>>,
    ) -> Result<Self, Box<dyn Error>> {
        for _ in 0..MAX_START_ATTEMPTS {
            let mut daemon = spawn()?;
            let deadline = Instant::now() + START_TIMEOUT;
            while daemon.child.try_wait()?.is_none() && Instant::now() < deadline {
                if daemon.status().is_some() {
                    return Ok(daemon);
                }
                sleep(Duration::from_millis(10));
            }
        }
        Err("a daemon did not start".into())
    }

    pub(crate) fn entry(index: usize, platform: SocketAddr) -> Result<Self, Box<dyn Error>> {
        let node = format!("entry-{index}");
        let (listen, peer, admin) = (free_addr()?, free_addr()?, free_addr()?);
        let child = program("dogwoodtray-entry")?
            .args(["--node", &node, "--data-centre", "dc-a", "--region", "region"])
            .args(["--listen", &listen.to_string(), "--peer", &peer.to_string()])
            .args(["--admin", &admin.to_string(), "--platform", &platform.to_string()])
            .spawn()?;
        Ok(Self { child, node, listen, peer, admin })
    }

    pub(crate) fn agent(index: usize, endpoint: SocketAddr) -> Result<Self, Box<dyn Error>> {
        let node = format!("agent-{index}");
        let (peer, admin) = (free_addr()?, free_addr()?);
        let child = program("dogwoodtray-agent")?
            .args(["--node", &node, "--data-centre", "dc-a"])
            .args(["--peer", &peer.to_string(), "--admin", &admin.to_string()])
            .args(["--endpoint", &endpoint.to_string(), "--endpoint-kind", "engine"])
            .args(["--models", "standin"])
            .spawn()?;
        Ok(Self { child, node, listen: peer, peer, admin })
    }

    pub(crate) fn usage(&self) -> Result<Usage, Box<dyn Error>> {
        let metrics = get(self.admin, "/metrics")?;
        let link_bytes = |direction: &str| -> f64 {
            let name = format!(
                "dogwoodtray_link_bytes_total{{direction=\"{direction}\",class=\"control\"}} "
            );
            let line = metrics.lines().find_map(|line| line.strip_prefix(name.as_str()));
            line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
        };
        Ok(Usage {
            cpu_percent: cpu_seconds(self.child.id())? * 100.0,
            rss_mb: rss_mb(self.child.id())?,
            control_bytes_out: link_bytes("out"),
            control_bytes_in: link_bytes("in"),
        })
    }

    /// Returns the number of agents that an entry is linked to.
    pub(crate) fn links(&self) -> usize {
        let Some(status) = self.status() else { return 0 };
        let peers = status["peers"].as_array().cloned().unwrap_or_default();
        let is_agent =
            |peer: &&Value| peer["node"].as_str().is_some_and(|n| n.starts_with("agent"));
        peers.iter().filter(is_agent).count()
    }

    pub(crate) fn generation(&self) -> u64 {
        self.status().and_then(|status| status["generation"].as_u64()).unwrap_or(0)
    }

    fn status(&self) -> Option<Value> {
        serde_json::from_str(&get(self.admin, "/status").ok()?).ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Errors are ignored, because the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Publishes an object set with one route, whose default deadline depends on `change`.
pub(crate) fn publish(platform: SocketAddr, change: u64) -> Result<(), Box<dyn Error>> {
    let dir = std::env::temp_dir().join(format!("dogwoodtray-capacity-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    let objects = format!(
        "[[model]]\nname = \"standin\"\ncontext_tokens = 4096\nmax_output_tokens = 1024\n\n\
         [[version]]\nname = \"standin-1\"\nmodel = \"standin\"\nweights = \"standin/1\"\n\
         accelerators = 1\n\n[[route]]\nname = \"standin\"\nmodel = \"standin\"\nversion = \"standin-1\"\n\
         default_deadline_ms = {}\norganisations = [\"*\"]\n",
        1_000 + change
    );
    fs::write(dir.join("objects.toml"), objects)?;
    let mut publish = program("dogwoodtray")?;
    publish.arg("publish").arg(&dir).args(["--platform", &platform.to_string()]);
    if change > 1 {
        publish.args(["--base", &(change - 1).to_string()]);
    }
    let output = publish.stdout(Stdio::piped()).stderr(Stdio::piped()).output()?;
    if output.status.success() {
        return Ok(());
    }
    let text = [output.stdout, output.stderr].concat();
    Err(String::from_utf8_lossy(&text).into_owned().into())
}

fn program(name: &str) -> Result<Command, Box<dyn Error>> {
    let examples: PathBuf = std::env::current_exe()?;
    let dir = examples.parent().and_then(|dir| dir.parent()).ok_or("no program directory")?;
    let mut command = Command::new(dir.join(name));
    command.stdout(Stdio::null()).stderr(Stdio::null()).env("RUST_LOG", "warn");
    Ok(command)
}

fn free_addr() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn get(addr: SocketAddr, path: &str) -> Result<String, Box<dyn Error>> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
    body.ok_or_else(|| "no body".into())
}

fn cpu_seconds(pid: u32) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit(')').next().ok_or("no process name")?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

fn rss_mb(pid: u32) -> Result<f64, Box<dyn Error>> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse::<f64>()? / KB_PER_MB)
}
