//! The dispatcher. Without arguments it serves; `lilacbank config` works on configuration.
#![forbid(unsafe_code)]

use lilacbank::config::{environment, Config, ConfigError, Mqtt};
use lilacbank::net::Server;
use lilacbank::tool;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    match arguments.next() {
        None => serve(),
        Some(word) if word == "config" => match tool::run(arguments) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("lilacbank: {e}");
                ExitCode::from(2)
            }
        },
        Some(word) if word == "--help" || word == "-h" => {
            print!("{}", tool::USAGE);
            ExitCode::SUCCESS
        }
        Some(word) => {
            eprintln!("lilacbank: '{}' is not understood\n\n{}", word.to_string_lossy(), tool::USAGE);
            ExitCode::from(2)
        }
    }
}

fn serve() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let read = || Ok((Config::read(&environment)?, Mqtt::read(&environment)?));
    let (config, mqtt) = match read() {
        Ok(both) => both,
        Err::<_, ConfigError>(e) => {
            log::error!("configuration: {e}");
            return ExitCode::from(2);
        }
    };
    match Server::start(config, mqtt).and_then(Server::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
