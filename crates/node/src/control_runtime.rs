//! Runtime for control traffic, on a thread of its own.
//!
//! On a shared event loop every step of an exchange waits until all requests that are ready had
//! their turn. A flood of callers' requests then delays a router's grants past the queue time of the
//! requests that they are for, and a flood of reports delays the heartbeats of a leading controller
//! past its lease.

use std::io;
use tokio::runtime::{Builder, Handle, Runtime};

/// A runtime with one thread; dropping it ends its tasks.
///
/// ```
/// use baobabfall_node::control_runtime::ControlRuntime;
/// let control = ControlRuntime::start().unwrap();
/// let task = control.handle().spawn(async { 7 });
/// assert_eq!(control.handle().block_on(task).unwrap(), 7);
/// ```
#[derive(Debug)]
pub struct ControlRuntime {
    /// `None` once the runtime is being dropped.
    runtime: Option<Runtime>,
}

impl ControlRuntime {
    /// Starts the thread.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("control")
            .enable_all()
            .build()?;
        Ok(Self { runtime: Some(runtime) })
    }

    /// Handle with which tasks are spawned on the thread.
    pub fn handle(&self) -> &Handle {
        self.runtime.as_ref().expect("the runtime is taken only by drop").handle()
    }
}

impl Drop for ControlRuntime {
    fn drop(&mut self) {
        // Waiting for the thread would block the runtime in which this is dropped.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
