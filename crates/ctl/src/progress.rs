//! Progress of commands that wait: shown on a terminal, silent in a pipe.

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::io::IsTerminal;

/// A bar on standard error.
#[derive(Debug)]
pub struct Progress(ProgressBar);

impl Progress {
    /// A bar with a label.
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

    /// Shows how much is done.
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
