//! Processes of the system, started with the commands of the deploy file.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// A process of the system.
pub struct Process {
    pub name: String,
    program: &'static str,
    flags: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    /// Address for callers; of a gateway only.
    pub listen: SocketAddr,
    readiness: SocketAddr,
}

/// Folder for the logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("dogwoodtray-review-{}", process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns a loopback address that was free a moment ago.
pub fn free_addr() -> SocketAddr {
    http::bind().local_addr().expect("a bound address")
}

impl Process {
    /// Starts a gateway. `platform` is the address of the store.
    pub fn gateway(name: &str, zone: &str, platform: SocketAddr, folder: &Folder) -> Self {
        let (listen, readiness) = (free_addr(), free_addr());
        let extra = [format!("--listen={listen}"), format!("--readiness={readiness}")];
        let mut process =
            Self::new("dogwoodtray-gateway", name, zone, free_addr(), platform, folder);
        process.flags.splice(2..2, extra);
        (process.listen, process.readiness) = (listen, readiness);
        process.start();
        process
    }

    /// Starts a driver that accepts links at `peer`.
    pub fn driver(
        name: &str,
        zone: &str,
        peer: SocketAddr,
        platform: SocketAddr,
        folder: &Folder,
    ) -> Self {
        let mut process = Self::new("dogwoodtray-driver", name, zone, peer, platform, folder);
        process.start();
        process
    }

    fn new(
        program: &'static str,
        name: &str,
        zone: &str,
        peer: SocketAddr,
        platform: SocketAddr,
        folder: &Folder,
    ) -> Self {
        let flags = vec![
            format!("--node={name}"),
            format!("--data-centre={zone}"),
            format!("--peer={peer}"),
            format!("--admin={}", free_addr()),
            format!("--platform={platform}"),
            "--grace-s=8".to_owned(),
            "--results-kept-s=120".to_owned(),
        ];
        let log = folder.0.join(format!("{name}.out"));
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        let name = name.to_owned();
        Self { name, program, flags, log, child: None, listen: none, readiness: none }
    }

    /// Starts the process, or starts it again.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(format!("target/release/{}", self.program))
            .args(&self.flags)
            .env_clear()
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file is built"));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns what the process wrote so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until a gateway is ready. Fails if it does not get so.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let limit = Duration::from_secs(1);
            let response = http::call(self.readiness, "GET", "/api/ready", "", "", limit);
            if http::status(&response) == 200 {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("{} does not get ready", self.name);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
