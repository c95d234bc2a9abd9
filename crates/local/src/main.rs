//! Entry point of `baobabfall-local`.

use baobabfall_local::cli::BaobabfallLocal;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    match baobabfall_local::run(BaobabfallLocal::from_env_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}
