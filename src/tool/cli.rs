//! The command line.

use crate::config::environment;
use clap::{Args, Parser, Subcommand, ValueEnum};
use lilacbank_settings::units::{Address, Name, Share};
use std::path::PathBuf;

/// Delivers messages to many outside destinations, beside one application or on a platform.
#[derive(Debug, Parser)]
#[command(name = "lilacbank", version, about, max_term_width = 110, after_help = AFTER)]
pub struct Cli {
    /// What to do; without it, serve.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// How to serve.
    #[command(flatten)]
    pub serve: Serve,
}

const AFTER: &str = "\
The configuration to serve on is the JSON file that ROUTER_CONFIG names; ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY \
and ROUTER_STATE win over its keys, ROUTER_CONTROL over `control` (the operators' door, see `lilacbank control`), and \
LILACBANK_MQTT names the MQTT front's own file. RUST_LOG says what is logged.

Exit status: 0 good, 1 faults were found or serving failed, 2 it could not be done.";

/// How to serve.
#[derive(Debug, Clone, Default, Args)]
pub struct Serve {
    /// The configuration, a JSON file; wins over ROUTER_CONFIG.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The form of the log; wins over the file's.
    #[arg(long, value_name = "FORM")]
    pub log_format: Option<LogFormat>,
}

impl Serve {
    /// The environment, with what the command line says in front of it.
    pub fn environment(&self) -> impl Fn(&str) -> Option<String> + use<> {
        let config = self.config.as_ref().map(|c| c.display().to_string());
        move |name| match name {
            "ROUTER_CONFIG" => config.clone().or_else(|| environment(name)),
            _ => environment(name),
        }
    }
}

/// Forms of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve (as without any command).
    Serve(Serve),
    /// Write, check, explain and render an application's file.
    #[command(subcommand)]
    App(App),
    /// Check a cell map, tell who lives where, and move tenants between dispatchers.
    #[command(subcommand)]
    Cell(Cell),
    /// Print the record of a file.
    Schema {
        /// Which record.
        record: Record,
        /// As CUE definitions, not as JSON Schema.
        #[arg(long)]
        cue: bool,
    },
    /// Work on the JSON that a dispatcher reads.
    #[command(subcommand)]
    Config(Box<Config>),
    /// Ask a running dispatcher's door: check, vars, set-down ID, set-up ID, drain-on, drain-off.
    #[command(after_help = "Exit status: 0 the door said 200, 1 it said 400, 2 it could not be reached.")]
    Control {
        /// The door's address; ROUTER_CONTROL without it.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<String>,
        /// The command and its id, as one line.
        #[arg(required = true, num_args = 1..=2, value_name = "COMMAND")]
        line: Vec<String>,
    },
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// The records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Record {
    /// A member firm's.
    Agreement,
    /// An application's.
    Application,
    /// A cell map.
    Cells,
}

/// Forms of a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people: each fault with its line.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Work on an application's file.
#[derive(Debug, Subcommand)]
pub enum App {
    /// Write a commented application from agreements; it passes the check as it stands.
    New(Box<NewApplicationArgs>),
    /// Check files together: applications of one machine or member, and agreements.
    #[command(
        after_help = "Codes and remedies: docs/operators/sidecar.md. Exit status: 0 good, 1 faults, 2 could not."
    )]
    Check {
        /// Applications and agreements; the agreements that applications name are read by themselves.
        #[arg(required = true)]
        files: Vec<String>,
        /// How it is checked and reported on.
        #[command(flatten)]
        how: ReportOptions,
    },
    /// Write the JSON that `serve` reads, once the file passes the check.
    Render {
        /// The application.
        file: String,
        /// Where to; without it, standard output.
        #[arg(short, long, value_name = "FILE")]
        output: Option<PathBuf>,
        /// How it is checked and reported on.
        #[command(flatten)]
        how: ReportOptions,
    },
    /// Tell every value in force and where it comes from.
    Explain {
        /// The application.
        file: String,
        /// How it is checked and reported on.
        #[command(flatten)]
        how: ReportOptions,
    },
}

/// Work on a cell map.
#[derive(Debug, Subcommand)]
pub enum Cell {
    /// Check a map, and that it may follow the one in force.
    Check {
        /// The map.
        file: String,
        /// The map that is in force.
        #[arg(long, value_name = "FILE")]
        in_force: Option<String>,
        /// The form of the report.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Tell in which cell each tenant lives, and at which of its dispatchers.
    Place {
        /// The map.
        file: String,
        /// Tenants; or a file with one in each line, as @FILE.
        #[arg(required = true)]
        tenants: Vec<String>,
    },
    /// Tell which tenants a new map moves.
    Plan {
        /// The map in force.
        old: String,
        /// The new one.
        new: String,
        /// Tenants; or a file with one in each line, as @FILE.
        #[arg(required = true)]
        tenants: Vec<String>,
    },
    /// Tell which dispatcher serves a tenant, or all of them, and how far moves are.
    Status {
        /// The map.
        #[arg(long, value_name = "FILE")]
        map: String,
        /// The tenant; without it, all.
        tenant: Option<String>,
        /// The form of the report.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Move a tenant to another dispatcher, and wait until it is served there.
    #[command(after_help = MOVE)]
    Move {
        /// The map.
        #[arg(long, value_name = "FILE")]
        map: String,
        /// The tenant.
        tenant: String,
        /// The dispatcher that is to serve it.
        #[arg(long, value_name = "NAME")]
        to: String,
        /// Wait no longer than so many seconds; the move goes on without the tool.
        #[arg(long, value_name = "SECONDS", default_value_t = 30)]
        wait: u64,
    },
    /// Take a move back that has not been handed over yet.
    Abort {
        /// The map.
        #[arg(long, value_name = "FILE")]
        map: String,
        /// The tenant.
        tenant: String,
    },
    /// Take back what was handed over to a dispatcher that will never start again.
    #[command(after_help = RECLAIM)]
    Reclaim {
        /// The map.
        #[arg(long, value_name = "FILE")]
        map: String,
        /// The tenant.
        tenant: String,
        /// The dispatcher that is gone for good, with its state folder.
        #[arg(long, value_name = "NAME")]
        gone: String,
    },
}

const MOVE: &str = "\
Exit status: 0 it is served there, 1 refused or taken back, 2 no dispatcher answers or the time is up. A move that is under \
way outlasts the tool and restarts of both sides. Runbook for one that hangs: docs/operators/cells.md.";

const RECLAIM: &str = "\
Messages that the other dispatcher has begun to deliver would be delivered again: use it only when that dispatcher's folder \
is lost, so that it cannot have served them and never will.";

/// How files are checked and reported on.
#[derive(Debug, Clone, Copy, Default, Args)]
pub struct ReportOptions {
    /// The form of the report.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
    /// The files are meant for another machine: its folders are not looked at.
    #[arg(long)]
    pub elsewhere: bool,
}

/// A new application.
#[derive(Debug, Args)]
pub struct NewApplicationArgs {
    /// The agreements of the members that it uses.
    #[arg(required = true)]
    pub agreements: Vec<String>,
    /// Its name.
    #[arg(long)]
    pub name: Name,
    /// Where RESP2 clients connect.
    #[arg(long, value_name = "ADDRESS:PORT", default_value = "127.0.0.1:6379")]
    pub resp: Address,
    /// Where MQTT clients connect; without it that front is off.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub mqtt: Option<Address>,
    /// The folder that outlasts the process; without it, /var/lib/lilacbank/NAME.
    #[arg(long, value_name = "FOLDER")]
    pub state: Option<String>,
    /// The part of each member's limit and connections that it promises to keep within.
    #[arg(long, default_value = "25%")]
    pub share: Share,
    /// Its building; without it, the first of the first member.
    #[arg(long)]
    pub building: Option<Name>,
    /// The registry; without it the agreements' endpoints are all there are.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub discovery: Option<Address>,
    /// Where ends of undelivered messages are told: ADDRESS:PORT or log.
    #[arg(long)]
    pub notices: Option<String>,
    /// A tenant; may be given several times.
    #[arg(long = "tenant", value_name = "NAME")]
    pub tenants: Vec<Name>,
    /// Where to; without it, standard output.
    #[arg(short, long, value_name = "FILE")]
    pub output: Option<PathBuf>,
}

/// Work on the JSON that a dispatcher reads.
#[derive(Debug, Subcommand)]
pub enum Config {
    /// Write one without agreements.
    Write(ConfigOverrides),
    /// Check one, more strictly than a platform's start does.
    Check {
        /// The JSON file.
        file: PathBuf,
        /// The MQTT front's file.
        #[arg(long, value_name = "FILE")]
        mqtt: Option<PathBuf>,
        /// How it is checked and reported on.
        #[command(flatten)]
        how: ReportOptions,
    },
    /// Make one of HAProxy's; what has no counterpart is reported with its line.
    ImportHaproxy {
        /// HAProxy's file.
        file: PathBuf,
        /// What wins over what is imported.
        #[command(flatten)]
        wanted: ConfigOverrides,
    },
}

/// What is written, or wins over what is imported.
#[derive(Debug, Default, Args)]
pub struct ConfigOverrides {
    /// The dispatcher's name.
    #[arg(long)]
    pub name: Option<String>,
    /// Where clients connect.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub listen: Option<String>,
    /// The registry.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub discovery: Option<String>,
    /// The folder that lasts.
    #[arg(long, value_name = "FOLDER")]
    pub state: Option<String>,
    /// A class: NAME,EFFECT,PROMISE,DEADLINE[,WINDOW][,ordered]; EFFECT is idempotent, deduplicated or at_most_once,
    /// times are milliseconds; may be given several times.
    #[arg(long = "class", value_name = "CLASS", value_parser = super::parse_class)]
    pub classes: Vec<lilacbank_settings::served::Class>,
    /// The zones, the own one first.
    #[arg(long, value_delimiter = ',', value_name = "A,B")]
    pub zones: Vec<String>,
    /// The kinds of destination.
    #[arg(long, value_delimiter = ',', value_name = "A,B")]
    pub kinds: Vec<String>,
    /// The tenants.
    #[arg(long, value_delimiter = ',', value_name = "A,B")]
    pub tenants: Vec<String>,
    /// Calls out at once.
    #[arg(long)]
    pub slots: Option<u32>,
    /// Messages held at once.
    #[arg(long)]
    pub max_open: Option<u32>,
    /// Where to; without it, standard output.
    #[arg(short, long, value_name = "FILE")]
    pub output: Option<PathBuf>,
    /// Also write FILE.mqtt.toml, by which MQTT clients are served there.
    #[arg(long, value_name = "ADDRESS:PORT", requires = "output")]
    pub mqtt: Option<Address>,
}
