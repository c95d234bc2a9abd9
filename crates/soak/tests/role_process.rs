//! Tests of starting, stopping and monitoring processes.

#![allow(clippy::unwrap_used)]

use baobabfall_soak::role_process::RoleProcess;
use rustix::process::Signal;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::Mutex;

const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Serializes the tests. Between fork and exec, a child inherits the file descriptors of
/// the test process; if another test is writing its script at that moment, the script
/// stays open for writing and cannot be executed (ETXTBSY).
static SPAWN_LOCK: Mutex<()> = Mutex::const_new(());

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

/// Guards against a crash that goes unnoticed because a scheduled fault restarts the
/// process later.
#[tokio::test]
async fn process_crash_is_reported_once() {
    let _guard = SPAWN_LOCK.lock().await;
    let folder = tempfile::tempdir().unwrap();
    let mut role = start(folder.path(), "exit 3");
    assert!(role.wait_for_exit(EXIT_TIMEOUT).await);
    assert_eq!(role.take_unexpected_exit().unwrap().code(), Some(3));
    assert!(role.take_unexpected_exit().is_none());
    role.spawn().unwrap();
    assert!(role.wait_for_exit(EXIT_TIMEOUT).await);
    assert!(
        role.take_unexpected_exit().is_some(),
        "the crash of the restarted process is reported again"
    );
}

/// Guards against exits that the run itself requested being reported as crashes.
#[tokio::test]
async fn process_requested_exit_is_not_reported() {
    let _guard = SPAWN_LOCK.lock().await;
    let folder = tempfile::tempdir().unwrap();
    let mut stopped = start(folder.path(), "exec sleep 60");
    stopped.signal(Signal::TERM);
    assert!(stopped.wait_for_exit(EXIT_TIMEOUT).await);
    assert!(stopped.take_unexpected_exit().is_none());
    let mut killed = start(folder.path(), "exec sleep 60");
    killed.kill().await;
    assert!(killed.take_unexpected_exit().is_none());
}
