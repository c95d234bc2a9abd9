//! Slows a role down to a share of a core.

use baobabfall_node::thread_clock::thread_time;
use std::time::Duration;

/// Time between two pauses. A pause lasts some milliseconds, as a turn of the scheduler does.
const PAUSE_INTERVAL: Duration = Duration::from_millis(1);

/// Blocks the thread of a current-thread runtime so that its tasks get `share` of a core, as on
/// a host whose core is that much slower. Runs until the task is dropped.
pub async fn limit_share(share: f64) {
    let mut used_before = thread_time();
    loop {
        tokio::time::sleep(PAUSE_INTERVAL).await;
        let used = thread_time().saturating_sub(used_before);
        std::thread::sleep(used.mul_f64(1.0 / share - 1.0));
        used_before = thread_time();
    }
}
