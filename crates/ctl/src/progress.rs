//! Progress display of commands that wait.

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::io::IsTerminal;

/// Progress line on standard error, hidden if that is not a terminal and cleared on drop.
#[derive(Debug)]
pub struct Progress(ProgressBar);

impl Progress {
    /// Creates a progress line that shows `label` next to the numbers.
    pub fn new(label: &'static str) -> Self {
        let target = if std::io::stderr().is_terminal() {
            ProgressDrawTarget::stderr()
        } else {
            ProgressDrawTarget::hidden()
        };
        let bar = ProgressBar::with_draw_target(Some(0), target);
        if let Ok(style) = ProgressStyle::with_template("{pos}/{len} {msg} {elapsed}") {
            bar.set_style(style);
        }
        bar.set_message(label);
        Self(bar)
    }

    /// Updates the displayed numbers.
    pub fn show(&self, done: usize, total: usize) {
        self.0.set_length(total.try_into().unwrap_or(u64::MAX));
        self.0.set_position(done.try_into().unwrap_or(u64::MAX));
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.0.finish_and_clear();
    }
}
