//! `lilacbank-rig`: plays a scenario of many dispatchers with faults between them, and reports what the rules say.

use clap::builder::RangedU64ValueParser;
use clap::{Parser, Subcommand};
use lilacbank_rig::scenario::{Scenario, DEFAULT};
use lilacbank_rig::soak::Spec;
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
    /// Play scenarios drawn from seeds, in which troubles of many kinds overlap; exit 1 if an invariant broke.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many plays, with seeds from the first one on, 1 to 1000.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        plays: u64,
        /// Processes of the dispatcher, 1 to 128.
        #[arg(long, default_value_t = 24, value_parser = RangedU64ValueParser::<usize>::new().range(1..=128))]
        dispatchers: usize,
        /// Milliseconds of load, 5000 to 600000.
        #[arg(long, default_value_t = 15_000, value_parser = clap::value_parser!(u64).range(5_000..=600_000))]
        run_ms: u64,
        /// Troubles at once, on average, 0.1 to 20.
        #[arg(long, default_value_t = 2.5, value_parser = troubles)]
        at_once: f64,
        /// The dispatcher's program; by default `lilacbank` beside this one.
        #[arg(long)]
        program: Option<PathBuf>,
        /// The library of `crates/faults`; by default beside this program.
        #[arg(long)]
        library: Option<PathBuf>,
        /// Keep the folders and logs of plays in which an invariant broke.
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

fn troubles(text: &str) -> Result<f64, String> {
    let number = text.parse().ok().filter(|n| (0.1..=20.0).contains(n));
    number.ok_or_else(|| "no number from 0.1 to 20; give how many troubles are on at a time".to_string())
}

/// The file that was given, or the one of this name beside this program.
fn beside(given: Option<PathBuf>, name: &str) -> Option<PathBuf> {
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join(name));
    given.or_else(beside).filter(|p| p.is_file())
}

fn not_beside(what: &str, option: &str) -> ExitCode {
    eprintln!("{what} is not beside this one; build it (cargo build --release --workspace) or give {option}");
    ExitCode::from(2)
}

/// Plays the soak of each seed and prints a line for each; what broke is printed whole.
fn soak(specs: impl Iterator<Item = Spec>, program: &std::path::Path, keep: bool) -> ExitCode {
    let (mut plays, mut broken) = (0, Vec::new());
    for spec in specs {
        let scenario = lilacbank_rig::soak::scenario(&spec);
        let report = match lilacbank_rig::run::play(&scenario, program, &std::env::temp_dir(), keep) {
            Ok(report) => report,
            Err(e) => {
                eprintln!("the rig could not be set up: {e}");
                return ExitCode::from(2);
            }
        };
        plays += 1;
        println!(
            "seed {}: {} handed in, {} taken, {} delivered, {} told; {} lost, {} late, {} hanging, {} over their disk, {} doubled, {} overlapping, {} told twice, \
             {} violations, {} panics, {} failed starts",
            spec.seed,
            report.handed,
            report.taken,
            report.delivered,
            report.told,
            report.lost.len(),
            report.late.len(),
            report.hanging.len(),
            report.over_disk.len(),
            report.doubled.len(),
            report.overlapping.len(),
            report.told_twice.len(),
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
                &report.doubled,
                &report.overlapping,
                &report.told_twice,
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
        Do::Soak { seed, plays, dispatchers, run_ms, at_once, program, library, keep } => {
            let (program, library) =
                (beside(program, "lilacbank"), beside(library, "liblilacbank_faults.so"));
            let Some(program) = program else { return not_beside("the dispatcher's program", "--program") };
            if library.is_none() {
                return not_beside("the library of crates/faults", "--library");
            }
            let specs = (seed..seed.saturating_add(plays)).map(|seed| Spec {
                seed,
                dispatchers,
                run_ms,
                at_once,
                library: library.clone(),
            });
            soak(specs, &program, keep)
        }
        Do::Run { file, program, report, trials, plot, recovery, replication, keep } => {
            let scenario = match read(file.as_ref()) {
                Ok(s) => s,
                Err(e) => {
                    eprintln!("{e}");
                    return ExitCode::from(2);
                }
            };
            let Some(program) = beside(program, "lilacbank") else {
                return not_beside("the dispatcher's program", "--program");
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
