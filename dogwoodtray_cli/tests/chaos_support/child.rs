//! Child processes.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// A child process that can be killed and restarted with the same arguments.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    program: &'static str,
    args: Vec<String>,
    dir: PathBuf,
    start_count: AtomicUsize,
    child: Mutex<Option<Child>>,
    paused: AtomicBool,
}

impl Process {
    /// Starts a process and redirects its output to a file in `dir`.
    pub(crate) fn start(name: &str, program: &'static str, args: Vec<String>, dir: &Path) -> Self {
        let process = Self {
            name: name.to_owned(),
            program,
            args,
            dir: dir.to_owned(),
            start_count: AtomicUsize::new(0),
            child: Mutex::new(None),
            paused: AtomicBool::new(false),
        };
        process.restart();
        process
    }

    /// Restarts the process. Kills it first if another fault has started it in the meantime,
    /// because two instances cannot bind the same ports.
    pub(crate) fn restart(&self) {
        let mut slot = self.child.lock().unwrap();
        kill_and_reap(slot.take());
        self.paused.store(false, SeqCst);
        let number = self.start_count.fetch_add(1, SeqCst);
        let log = File::create(self.dir.join(format!("{}.{number}.log", self.name))).unwrap();
        let stdout = log.try_clone().unwrap();
        let child = Command::new(self.program)
            .args(&self.args)
            .env("RUST_LOG", "warn,dogwoodtray_runtime=debug")
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(log)
            .spawn()
            .unwrap();
        *slot = Some(child);
    }

    /// Returns the name of the newest instance: the name of the process and the number of its
    /// starts.
    pub(crate) fn instance_name(&self) -> String {
        format!("{}.{}", self.name, self.start_count.load(SeqCst))
    }

    /// Returns the process id.
    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Kills the process.
    pub(crate) fn kill(&self) {
        kill_and_reap(self.child.lock().unwrap().take());
        self.paused.store(false, SeqCst);
    }

    /// Suspends the process with SIGSTOP.
    pub(crate) fn pause(&self) {
        self.paused.store(true, SeqCst);
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
        self.paused.store(false, SeqCst);
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.paused.load(SeqCst)
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns `false` if the process has exited without being killed by the test.
    pub(crate) fn is_running_or_killed(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|child| child.try_wait().unwrap().is_none())
    }

    fn signal(&self, signal: Signal) {
        // The id of a process that has exited may have been reused.
        let mut slot = self.child.lock().unwrap();
        let Some(child) = slot.as_mut() else { return };
        if child.try_wait().unwrap().is_none() {
            kill_process(Pid::from_child(child), signal).unwrap();
        }
    }

    /// Waits until the process exits and returns its exit code, or `None` after `timeout`.
    pub(crate) fn wait(&self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let mut child = self.child.lock().unwrap();
            if let Some(status) = child.as_mut()?.try_wait().unwrap() {
                *child = None;
                return status.code();
            }
            drop(child);
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Returns the log of the newest instance.
    pub(crate) fn log(&self) -> String {
        let number = self.start_count.load(SeqCst) - 1;
        fs::read_to_string(self.dir.join(format!("{}.{number}.log", self.name))).unwrap()
    }
}

fn kill_and_reap(child: Option<Child>) {
    if let Some(mut child) = child {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the lines of all logs that report a panic.
pub(crate) fn panics(dir: &Path) -> Vec<String> {
    lines_with(dir, "panicked at")
}

/// Returns the ids of the requests that entries ran as trials of blocked contents.
pub(crate) fn trials(dir: &Path) -> Vec<String> {
    let ids = lines_with(dir, "DT2018").into_iter();
    ids.filter_map(|line| Some(line.rsplit_once("request=")?.1.to_owned())).collect()
}

/// Returns the lines of all logs that contain a text, each with the path of its log.
fn lines_with(dir: &Path, text: &str) -> Vec<String> {
    let mut found = Vec::new();
    for file in fs::read_dir(dir).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let log = String::from_utf8_lossy(&fs::read(&path).unwrap()).into_owned();
            let lines = log.lines().filter(|line| line.contains(text));
            found.extend(lines.map(|line| format!("{}: {line}", path.display())));
        }
    }
    found
}
