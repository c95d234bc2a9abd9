//! A role on a current-thread runtime of its own, so that its processor time can be read.

use crate::process_usage::thread_time;
use std::future::Future;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Longest name of a thread that the kernel keeps.
const NAME_LIMIT: usize = 15;

/// A thread that runs a current-thread runtime until it is dropped.
#[derive(Debug)]
pub struct RoleThread {
    name: String,
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl RoleThread {
    /// Starts the thread; `name` is cut to 15 bytes and must be unique to be measured.
    pub fn start(name: &str) -> std::io::Result<Self> {
        let name: String = name.chars().take(NAME_LIMIT).collect();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            // Blocking calls, such as syncs of files, count for the role as well.
            .thread_name(name.clone())
            .build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name(name.clone()).spawn(move || {
            runtime.block_on(async {
                let _ = stopped.await;
            });
            runtime.shutdown_background();
        })?;
        Ok(Self { name, handle, stop: Some(stop), thread: Some(thread) })
    }

    /// Runs a task on the thread and waits for its result.
    pub async fn run<F>(&self, task: F) -> std::io::Result<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.handle.spawn(task).await.map_err(std::io::Error::other)
    }

    /// Starts a task on the thread.
    pub fn spawn<F>(&self, task: F) -> JoinHandle<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.handle.spawn(task)
    }

    /// Processor time of the thread and of its runtime's blocking threads.
    pub fn processor_time(&self) -> std::io::Result<Duration> {
        thread_time(&self.name)
    }
}

impl Drop for RoleThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
