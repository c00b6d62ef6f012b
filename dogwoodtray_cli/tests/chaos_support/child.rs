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

/// A process that can be killed and started again with the same arguments.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    program: &'static str,
    args: Vec<String>,
    dir: PathBuf,
    starts: AtomicUsize,
    child: Mutex<Option<Child>>,
    paused: AtomicBool,
}

impl Process {
    /// Starts a process; what it prints goes to a file in `dir`.
    pub(crate) fn start(name: &str, program: &'static str, args: Vec<String>, dir: &Path) -> Self {
        let process = Self {
            name: name.to_owned(),
            program,
            args,
            dir: dir.to_owned(),
            starts: AtomicUsize::new(0),
            child: Mutex::new(None),
            paused: AtomicBool::new(false),
        };
        process.restart();
        process
    }

    /// Starts the process again. Another fault may have started it meanwhile, and two of them could
    /// not share their ports.
    pub(crate) fn restart(&self) {
        let mut slot = self.child.lock().unwrap();
        end(slot.take());
        self.paused.store(false, SeqCst);
        let number = self.starts.fetch_add(1, SeqCst);
        let log = File::create(self.dir.join(format!("{}.{number}.log", self.name))).unwrap();
        let printed = log.try_clone().unwrap();
        let child = Command::new(self.program)
            .args(&self.args)
            .env("RUST_LOG", "warn,dogwoodtray_runtime=debug")
            .stdin(Stdio::null())
            .stdout(printed)
            .stderr(log)
            .spawn()
            .unwrap();
        *slot = Some(child);
    }

    /// Names the newest start of the process.
    pub(crate) fn start_name(&self) -> String {
        format!("{}.{}", self.name, self.starts.load(SeqCst))
    }

    /// Returns the id of the process.
    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Kills the process.
    pub(crate) fn kill(&self) {
        end(self.child.lock().unwrap().take());
        self.paused.store(false, SeqCst);
    }

    /// Stops the process for a time.
    pub(crate) fn pause(&self) {
        self.paused.store(true, SeqCst);
        self.signal(Signal::STOP);
    }

    /// Lets a stopped process go on.
    pub(crate) fn wake(&self) {
        self.signal(Signal::CONT);
        self.paused.store(false, SeqCst);
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.paused.load(SeqCst)
    }

    /// Asks the process to stop in good order.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether the process runs, or was paused or killed from here.
    pub(crate) fn runs_or_was_killed(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|child| child.try_wait().unwrap().is_none())
    }

    fn signal(&self, signal: Signal) {
        // The id of a process that has ended may belong to another one.
        let mut slot = self.child.lock().unwrap();
        let Some(child) = slot.as_mut() else { return };
        if child.try_wait().unwrap().is_none() {
            kill_process(Pid::from_child(child), signal).unwrap();
        }
    }

    /// Waits until the process ends by itself and returns its exit code.
    pub(crate) fn wait(&self, bound: Duration) -> Option<i32> {
        let deadline = Instant::now() + bound;
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

    /// Returns the log of the newest start.
    pub(crate) fn log(&self) -> String {
        let number = self.starts.load(SeqCst) - 1;
        fs::read_to_string(self.dir.join(format!("{}.{number}.log", self.name))).unwrap()
    }
}

fn end(child: Option<Child>) {
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

/// Returns the lines of all logs that tell of a panic.
pub(crate) fn panics(dir: &Path) -> Vec<String> {
    let mut found = Vec::new();
    for file in fs::read_dir(dir).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let text = String::from_utf8_lossy(&fs::read(&path).unwrap()).into_owned();
            let lines = text.lines().filter(|line| line.contains("panicked at"));
            found.extend(lines.map(|line| format!("{}: {line}", path.display())));
        }
    }
    found
}
