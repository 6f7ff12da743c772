//! `lilacbank-rig`: plays a scenario of many dispatchers with faults between them, and reports what the rules say.

use clap::{Parser, Subcommand};
use lilacbank_rig::scenario::{Scenario, DEFAULT};
use std::path::PathBuf;
use std::process::ExitCode;

/// A fault rig that starts real processes of the dispatcher on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Do,
}

#[derive(Subcommand)]
enum Do {
    /// Play a scenario (the embedded default without FILE) and print its report as JSON; exit 1 if a rule broke.
    Run {
        /// The scenario, TOML.
        file: Option<PathBuf>,
        /// The dispatcher's program; by default `lilacbank` beside this one.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Also write the report here.
        #[arg(long)]
        report: Option<PathBuf>,
        /// Play it so many times, with seeds from the file's on, and print the sum instead of each report.
        #[arg(long, default_value_t = 1)]
        trials: u32,
        /// Draw the delivered share, the calls per member and the dispatchers serving into this SVG file (one play).
        #[arg(long)]
        plot: Option<PathBuf>,
        /// Play it with the dispatchers' recovery on, whatever the file says.
        #[arg(long)]
        recovery: bool,
        /// Play it with copies at other dispatchers, whatever the file says.
        #[arg(long)]
        replication: bool,
        /// Keep the folders and logs of the processes, under the system's folder for temporary files.
        #[arg(long)]
        keep: bool,
    },
    /// Check a scenario and say what is wrong, with file, line and key.
    Check {
        /// The scenario, TOML.
        file: PathBuf,
    },
    /// Print the embedded default scenario, a start for one's own.
    Default,
}

fn read(file: Option<&PathBuf>) -> Result<Scenario, String> {
    match file {
        Some(path) => Scenario::read(path),
        None => Scenario::parse("(default)", DEFAULT),
    }
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Do::Default => {
            print!("{DEFAULT}");
            ExitCode::SUCCESS
        }
        Do::Check { file } => match read(Some(&file)) {
            Ok(s) => {
                println!(
                    "{}: {} dispatchers, {} steps; it reads",
                    file.display(),
                    s.dispatchers,
                    s.steps.len()
                );
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("{e}");
                ExitCode::from(2)
            }
        },
        Do::Run { file, program, report, trials, plot, recovery, replication, keep } => {
            let scenario = match read(file.as_ref()) {
                Ok(s) => s,
                Err(e) => {
                    eprintln!("{e}");
                    return ExitCode::from(2);
                }
            };
            let beside = std::env::current_exe().ok().and_then(|p| p.parent().map(|d| d.join("lilacbank")));
            let Some(program) = program.or(beside).filter(|p| p.is_file()) else {
                eprintln!("the dispatcher's program is not beside this one; build it (cargo build --release) or give --program");
                return ExitCode::from(2);
            };
            let mut reports = Vec::new();
            for n in 0..trials.max(1) {
                let this = Scenario {
                    seed: scenario.seed + u64::from(n),
                    recovery: scenario.recovery || recovery,
                    replication: scenario.replication || replication,
                    ..scenario.clone()
                };
                match lilacbank_rig::run::play(&this, &program, &std::env::temp_dir(), keep) {
                    Ok(r) => reports.push(r),
                    Err(e) => {
                        eprintln!("the rig could not be set up: {e}");
                        return ExitCode::from(2);
                    }
                }
            }
            if let (Some(path), Some(one)) = (&plot, reports.last()) {
                if let Err(e) = lilacbank_rig::plot::draw(one, path) {
                    eprintln!("{e}");
                    return ExitCode::from(2);
                }
            }
            let text = match reports.as_slice() {
                [one] => serde_json::to_string_pretty(one),
                all => serde_json::to_string_pretty(&lilacbank_rig::report::Trials::of(all)),
            };
            let text = text.unwrap_or_default();
            println!("{text}");
            if let Some(path) = report {
                if let Err(e) = std::fs::write(&path, &text) {
                    eprintln!("{}: {e}", path.display());
                    return ExitCode::from(2);
                }
            }
            if reports.iter().all(lilacbank_rig::report::Report::clean) {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(1)
            }
        }
    }
}
