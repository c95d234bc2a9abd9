//! Entry point of `baobabfall-controller`.

use baobabfall_controller::cli::BaobabfallController;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    match baobabfall_controller::run(BaobabfallController::from_env_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}
