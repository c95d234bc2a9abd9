//! Tests of the processes that a run starts and ends.

#![allow(clippy::unwrap_used)]

use baobabfall_soak::role_process::RoleProcess;
use rustix::process::Signal;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::Mutex;

const LIMIT: Duration = Duration::from_secs(20);
/// A process that one test starts inherits the file that another one writes,
/// until it runs its program; a program that is open for writing cannot start.
static ALONE: Mutex<()> = Mutex::const_new(());

fn script(folder: &Path, line: &str) -> PathBuf {
    let path = folder.join("program");
    fs::write(&path, format!("#!/bin/sh\n{line}\n")).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o700)).unwrap();
    path
}

fn start(folder: &Path, line: &str) -> RoleProcess {
    let program = script(folder, line);
    RoleProcess::start("role", &program, &folder.join("settings"), &folder.join("log")).unwrap()
}

/// Guards against a crash that nobody notices because a fault restarts the
/// process later.
#[tokio::test]
async fn process_crash_is_reported_once() {
    let _alone = ALONE.lock().await;
    let folder = tempfile::tempdir().unwrap();
    let mut role = start(folder.path(), "exit 3");
    assert!(role.ended(LIMIT).await);
    assert_eq!(role.take_unasked_end().unwrap().code(), Some(3));
    assert!(role.take_unasked_end().is_none());
    role.start_again().unwrap();
    assert!(role.ended(LIMIT).await);
    assert!(role.take_unasked_end().is_some(), "the next start is watched again");
}

/// Guards against ends that the run itself asked for and reports as crashes.
#[tokio::test]
async fn process_asked_to_end_is_not_reported() {
    let _alone = ALONE.lock().await;
    let folder = tempfile::tempdir().unwrap();
    let mut stopped = start(folder.path(), "exec sleep 60");
    stopped.signal(Signal::TERM);
    assert!(stopped.ended(LIMIT).await);
    assert!(stopped.take_unasked_end().is_none());
    let mut killed = start(folder.path(), "exec sleep 60");
    killed.kill().await;
    assert!(killed.take_unasked_end().is_none());
}
