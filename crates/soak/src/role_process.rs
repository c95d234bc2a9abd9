//! Controller and router processes that a run starts, signals and restarts.

use crate::error::SoakError;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};

/// A controller or router process with its settings, running or exited. Dropping it kills the
/// process.
#[derive(Debug)]
pub struct RoleProcess {
    name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// True once the process was told to exit or its unexpected exit was reported.
    exit_expected: bool,
}

impl RoleProcess {
    /// Starts `program` with the settings file `settings`; standard output and standard error are
    /// appended to `log`.
    pub fn start(
        name: &str,
        program: &Path,
        settings: &Path,
        log: &Path,
    ) -> Result<Self, SoakError> {
        let mut process = Self {
            name: name.to_owned(),
            program: program.to_owned(),
            settings: settings.to_owned(),
            log: log.to_owned(),
            child: None,
            exit_expected: false,
        };
        process.spawn()?;
        Ok(process)
    }

    /// Name of the node, such as `router-1`, as in its settings.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Starts the program; also used to restart it after it exited.
    pub fn spawn(&mut self) -> Result<(), SoakError> {
        let log: File = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| SoakError::Program { path: self.program.clone(), error })?;
        self.child = Some(child);
        self.exit_expected = false;
        Ok(())
    }

    /// Sends a signal to the process, or does nothing if it has exited.
    pub fn signal(&mut self, signal: Signal) {
        self.exit_expected |= signal == Signal::TERM;
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may exit at any moment; the next wait or status check notices it.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the exit status if the process exited without being told to. Each exit is
    /// returned only once.
    pub fn take_unexpected_exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        (!std::mem::replace(&mut self.exit_expected, true)).then_some(status)
    }

    /// Waits until the process has exited; returns false if it did not within `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let Some(child) = self.child.as_mut() else { return true };
        tokio::time::timeout(limit, child.wait()).await.is_ok()
    }

    /// Kills the process and waits for its exit.
    pub async fn kill(&mut self) {
        self.exit_expected = true;
        if let Some(child) = self.child.as_mut() {
            let _ = child.kill().await;
        }
    }
}
