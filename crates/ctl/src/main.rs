//! Entry point of `baobabctl`, which prints errors to standard error and sets the exit code.

use baobabctl::cli::Baobabctl;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match baobabctl::run(Baobabctl::from_env_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}
