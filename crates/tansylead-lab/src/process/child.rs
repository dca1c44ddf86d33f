//! One child process.
//!
//! Invariants: a child is signalled only through the handle that started it, never after it has
//! been reaped; dropping the handle kills and reaps it, also when it is frozen.

use crate::standin::ReadyLine;
use eyre::WrapErr;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Pause between two looks at whether a child has ended.
const EXIT_POLL_PERIOD: Duration = Duration::from_millis(10);

/// A process started by the lab.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    exit: Option<ExitStatus>,
}

impl ChildProcess {
    /// Starts a command; what it prints goes to a log file.
    pub fn start(name: &str, command: Command, log_file: &Path) -> eyre::Result<Self> {
        let log = open_log(log_file)?;
        Self::spawn(name, command, Stdio::from(log.try_clone()?), log)
    }

    /// Starts a stand-in and waits for its ready line.
    pub fn start_standin(
        name: &str,
        command: Command,
        log_file: &Path,
    ) -> eyre::Result<(Self, SocketAddr)> {
        let log = open_log(log_file)?;
        let mut process = Self::spawn(name, command, Stdio::piped(), log)?;
        let address = process
            .read_ready_line()
            .wrap_err_with(|| format!("start {name}, see {}", log_file.display()))?;
        Ok((process, address))
    }

    fn spawn(name: &str, mut command: Command, output: Stdio, log: File) -> eyre::Result<Self> {
        let child = command
            .stdin(Stdio::piped())
            .stdout(output)
            .stderr(Stdio::from(log))
            .spawn()
            .wrap_err_with(|| format!("start {name}"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            exit: None,
        })
    }

    fn read_ready_line(&mut self) -> eyre::Result<SocketAddr> {
        let output = self
            .child
            .stdout
            .take()
            .ok_or_else(|| eyre::eyre!("standard output is not piped"))?;
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .wrap_err("read the ready line")?;
        let ready: ReadyLine = serde_json::from_str(&line)
            .wrap_err_with(|| format!("`{}` is not a ready line", line.trim()))?;
        Ok(ready.address)
    }

    /// Name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it and waits until it is gone.
    pub fn kill(&mut self) -> eyre::Result<ExitStatus> {
        self.signal(Signal::KILL)?;
        let status = self.child.wait().wrap_err("wait for a killed process")?;
        self.exit = Some(status);
        Ok(status)
    }

    /// Freezes it (SIGSTOP).
    pub fn freeze(&mut self) -> eyre::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on after a freeze (SIGCONT).
    pub fn resume(&mut self) -> eyre::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to end (SIGTERM).
    pub fn terminate(&mut self) -> eyre::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Its exit status, if it has ended.
    pub fn exited(&mut self) -> eyre::Result<Option<ExitStatus>> {
        if self.exit.is_none() {
            self.exit = self.child.try_wait().wrap_err("look at a process")?;
        }
        Ok(self.exit)
    }

    /// Waits for its end; none if it still runs after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> eyre::Result<Option<ExitStatus>> {
        let give_up = Instant::now() + limit;
        loop {
            if let Some(status) = self.exited()? {
                return Ok(Some(status));
            }
            if Instant::now() >= give_up {
                return Ok(None);
            }
            tokio::time::sleep(EXIT_POLL_PERIOD).await;
        }
    }

    fn signal(&mut self, signal: Signal) -> eyre::Result<()> {
        if self.exited()?.is_some() {
            return Ok(());
        }
        let raw = i32::try_from(self.child.id()).wrap_err("process id out of range")?;
        let id = Pid::from_raw(raw).ok_or_else(|| eyre::eyre!("process id 0"))?;
        kill_process(id, signal).wrap_err_with(|| format!("signal {} ({raw})", self.name))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let is_running = matches!(self.exited(), Ok(None));
        if is_running {
            // Nothing is left to do about a process that cannot be killed.
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

fn open_log(log_file: &Path) -> eyre::Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(log_file)
        .wrap_err_with(|| format!("open {}", log_file.display()))
}
