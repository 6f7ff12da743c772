//! The dispatcher. Without arguments it serves; `lilacbank config` works on configuration.
#![forbid(unsafe_code)]

use lilacbank::config::{environment, Config};
use lilacbank::net::Server;
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let config = match Config::read(&environment) {
        Ok(config) => config,
        Err(e) => {
            log::error!("configuration: {e}");
            return ExitCode::from(2);
        }
    };
    match Server::start(config).and_then(Server::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
