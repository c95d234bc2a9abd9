//! A program of the system as a process of its own.

use crate::error::SoakError;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};

/// A program with its settings, running or not. Dropping it kills the process.
#[derive(Debug)]
pub struct RoleProcess {
    name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// True once the process was asked to end, or its end was reported.
    end_known: bool,
}

impl RoleProcess {
    /// Starts `program` with `settings`; both outputs are appended to `log`.
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
            end_known: false,
        };
        process.start_again()?;
        Ok(process)
    }

    /// Name of the node.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Starts the program again after it ended.
    pub fn start_again(&mut self) -> Result<(), SoakError> {
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
        self.end_known = false;
        Ok(())
    }

    /// Sends a signal; a process that has ended gets none.
    pub fn signal(&mut self, signal: Signal) {
        self.end_known |= signal == Signal::TERM;
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may end at any moment; the next wait tells.
            let _ = kill_process(pid, signal);
        }
    }

    /// How the process ended, once, if nothing asked it to end.
    pub fn take_unasked_end(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        (!std::mem::replace(&mut self.end_known, true)).then_some(status)
    }

    /// Waits until the process has ended; false when it did not in time.
    pub async fn ended(&mut self, limit: Duration) -> bool {
        let Some(child) = self.child.as_mut() else { return true };
        tokio::time::timeout(limit, child.wait()).await.is_ok()
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        self.end_known = true;
        if let Some(child) = self.child.as_mut() {
            let _ = child.kill().await;
        }
    }
}
