//! `lilacbank-rig`: runs scenarios of many dispatchers with injected faults, and reports broken invariants.

use clap::builder::RangedU64ValueParser;
use clap::{Parser, Subcommand};
use lilacbank_rig::scenario::{Scenario, DEFAULT};
use lilacbank_rig::soak::SoakSpec;
use std::path::PathBuf;
use std::process::ExitCode;

/// A fault rig that starts real processes of the dispatcher on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario (without FILE the embedded default) and print its report as JSON; exit with 1 if an invariant broke.
    Run {
        /// The scenario, a TOML file.
        file: Option<PathBuf>,
        /// The dispatcher's program; by default `lilacbank` in the folder of this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Also write the report to this file.
        #[arg(long)]
        report: Option<PathBuf>,
        /// Run the scenario this many times, with consecutive seeds from the file's on, and print a summary instead of the report.
        #[arg(long, default_value_t = 1)]
        trials: u32,
        /// Plot the delivered share, the calls at each endpoint and the dispatchers that serve to this SVG file (last run only).
        #[arg(long)]
        plot: Option<PathBuf>,
        /// Enable the dispatchers' recovery, whatever the file says.
        #[arg(long)]
        recovery: bool,
        /// Enable replication between the dispatchers, whatever the file says.
        #[arg(long)]
        replication: bool,
        /// Keep the folders and logs of the processes, in the system's temporary folder.
        #[arg(long)]
        keep: bool,
    },
    /// Run scenarios drawn from seeds, with overlapping faults of many kinds; exit with 1 if an invariant broke.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of runs, with consecutive seeds from the first one on, 1 to 1000.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        plays: u64,
        /// Number of dispatchers, 1 to 128.
        #[arg(long, default_value_t = 24, value_parser = RangedU64ValueParser::<usize>::new().range(1..=128))]
        dispatchers: usize,
        /// Duration of the load in milliseconds, 5000 to 600000.
        #[arg(long, default_value_t = 15_000, value_parser = clap::value_parser!(u64).range(5_000..=600_000))]
        run_ms: u64,
        /// Average number of faults at the same time, 0.1 to 20.
        #[arg(long, default_value_t = 2.5, value_parser = parse_at_once)]
        at_once: f64,
        /// The dispatcher's program; by default `lilacbank` in the folder of this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// The library of `crates/faults`; by default `liblilacbank_faults.so` in the folder of this program.
        #[arg(long)]
        library: Option<PathBuf>,
        /// Keep the folders and logs of runs in which an invariant broke.
        #[arg(long)]
        keep: bool,
    },
    /// Validate a scenario; report the first error with file, line and key.
    Check {
        /// The scenario, a TOML file.
        file: PathBuf,
    },
    /// Print the embedded default scenario, as a starting point for new ones.
    Default,
}

fn read(file: Option<&PathBuf>) -> Result<Scenario, String> {
    match file {
        Some(path) => Scenario::read(path),
        None => Scenario::parse("(default)", DEFAULT),
    }
}

fn parse_at_once(text: &str) -> Result<f64, String> {
    let number = text.parse().ok().filter(|n| (0.1..=20.0).contains(n));
    number.ok_or_else(|| {
        "must be a number from 0.1 to 20: the average number of faults at the same time".to_string()
    })
}

/// The given file, or the one of this name in the folder of this program; `None` if it does not exist.
fn find_file(given: Option<PathBuf>, name: &str) -> Option<PathBuf> {
    let default = || Some(std::env::current_exe().ok()?.parent()?.join(name));
    given.or_else(default).filter(|p| p.is_file())
}

fn report_missing(what: &str, option: &str) -> ExitCode {
    eprintln!("{what} not found; build it (cargo build --release --workspace) or set {option}");
    ExitCode::from(2)
}

/// Runs each soak scenario and prints a line for each; prints all details of broken invariants.
fn soak(specs: impl Iterator<Item = SoakSpec>, program: &std::path::Path, keep: bool) -> ExitCode {
    let (mut plays, mut broken) = (0, Vec::new());
    for spec in specs {
        let scenario = lilacbank_rig::soak::draw_scenario(&spec);
        let report = match lilacbank_rig::run::run_scenario(&scenario, program, &std::env::temp_dir(), keep) {
            Ok(report) => report,
            Err(e) => {
                eprintln!("cannot set up the rig: {e}");
                return ExitCode::from(2);
            }
        };
        plays += 1;
        println!(
            "seed {}: {} handed in, {} taken, {} delivered, {} told; {} lost, {} late, {} hanging, {} over their disk, {} over their memory, {} doubled, {} overlapping, {} told twice, \
             {} altered, {} violations, {} panics, {} failed starts",
            spec.seed,
            report.handed,
            report.taken,
            report.delivered,
            report.told,
            report.lost.len(),
            report.late.len(),
            report.hanging.len(),
            report.over_disk.len(),
            report.over_memory.len(),
            report.doubled.len(),
            report.overlapping.len(),
            report.told_twice.len(),
            report.altered.len(),
            report.violations.len(),
            report.panics.len(),
            report.failed_starts
        );
        if !report.clean() {
            broken.push(spec.seed);
            let lists = [
                &report.lost,
                &report.late,
                &report.hanging,
                &report.over_disk,
                &report.over_memory,
                &report.doubled,
                &report.overlapping,
                &report.told_twice,
                &report.altered,
            ];
            println!("  {:?}", lists);
            report.violations.iter().chain(&report.panics).for_each(|line| println!("  {line}"));
        }
    }
    println!("{plays} plays, {} broke an invariant: {broken:?}", broken.len());
    ExitCode::from(u8::from(!broken.is_empty()))
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Default => {
            print!("{DEFAULT}");
            ExitCode::SUCCESS
        }
        Command::Check { file } => match read(Some(&file)) {
            Ok(s) => {
                println!("{}: {} dispatchers, {} steps; valid", file.display(), s.dispatchers, s.steps.len());
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("{e}");
                ExitCode::from(2)
            }
        },
        Command::Soak { seed, plays, dispatchers, run_ms, at_once, program, library, keep } => {
            let (program, library) =
                (find_file(program, "lilacbank"), find_file(library, "liblilacbank_faults.so"));
            let Some(program) = program else {
                return report_missing("the dispatcher's program", "--program");
            };
            if library.is_none() {
                return report_missing("the library of crates/faults", "--library");
            }
            let specs = (seed..seed.saturating_add(plays)).map(|seed| SoakSpec {
                seed,
                dispatchers,
                run_ms,
                concurrent_faults: at_once,
                library: library.clone(),
            });
            soak(specs, &program, keep)
        }
        Command::Run { file, program, report, trials, plot, recovery, replication, keep } => {
            let scenario = match read(file.as_ref()) {
                Ok(s) => s,
                Err(e) => {
                    eprintln!("{e}");
                    return ExitCode::from(2);
                }
            };
            let Some(program) = find_file(program, "lilacbank") else {
                return report_missing("the dispatcher's program", "--program");
            };
            let mut reports = Vec::new();
            for n in 0..trials.max(1) {
                let scenario = Scenario {
                    seed: scenario.seed + u64::from(n),
                    recovery: scenario.recovery || recovery,
                    replication: scenario.replication || replication,
                    ..scenario.clone()
                };
                match lilacbank_rig::run::run_scenario(&scenario, &program, &std::env::temp_dir(), keep) {
                    Ok(r) => reports.push(r),
                    Err(e) => {
                        eprintln!("cannot set up the rig: {e}");
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
