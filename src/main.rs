//! The dispatcher. Without a command or with `serve` it runs the server; the other commands are tools for
//! operators.
#![forbid(unsafe_code)]

use clap::Parser;
use lilacbank::config::{Config, ConfigError, MqttSettings};
use lilacbank::logging;
use lilacbank::net::{check_sidecar, Server};
use lilacbank::together::ResilienceSettings;
use lilacbank::tool;
use lilacbank::tool::cli::{Cli, Command, LogFormat, Serve};
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => serve(cli.serve),
        Some(Command::Serve(options)) => serve(options),
        Some(command) => tool::run(command),
    }
}

fn serve(options: Serve) -> ExitCode {
    let environment = options.environment_lookup();
    let file = environment("ROUTER_CONFIG").unwrap_or_default();
    let read = || -> Result<(Config, MqttSettings, ResilienceSettings), Vec<String>> {
        let without_line = |e: ConfigError| vec![e.to_string()];
        let text = Config::text(&environment).map_err(without_line)?;
        let with_line = |e: ConfigError| match e.line_in(&text) {
            Some(line) => vec![format!("{e} ({file}, line {line})")],
            None if e.key.starts_with("ROUTER_") => vec![e.to_string()],
            None => vec![format!("{e} ({file})")],
        };
        let config = Config::from_json(&text, &environment).map_err(with_line)?;
        check_sidecar(&config, &text)?;
        let mqtt = MqttSettings::read(&environment, config.sidecar.as_ref()).map_err(without_line)?;
        let together = ResilienceSettings::read(&environment).map_err(|e| vec![e])?;
        let moves = config.sidecar.as_ref().is_some_and(|s| s.cell_map.is_some());
        together.check(&config.name, moves).map_err(|e| vec![e])?;
        Ok((config, mqtt, together))
    };
    let read = read();
    let sidecar = read.as_ref().ok().and_then(|r| r.0.sidecar.as_ref());
    let json = options.log_format.map_or(sidecar.is_some_and(|s| s.log_json), |f| f == LogFormat::Json);
    logging::init(json, sidecar.map_or("", |s| &s.log_level));
    let (config, mqtt, together) = match read {
        Ok(all) => all,
        Err(errors) => {
            errors.iter().for_each(|e| log::error!("configuration: {e}"));
            return ExitCode::from(2);
        }
    };
    match Server::start(config, mqtt, together, Box::new(environment)).and_then(Server::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
