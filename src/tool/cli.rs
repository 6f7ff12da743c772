//! Definition of the command line.

use crate::config::env_var;
use clap::{Args, Parser, Subcommand, ValueEnum};
use lilacbank_settings::units::{Address, Name, Share};
use std::path::PathBuf;

/// Delivers messages to many external destinations, as the sidecar of one application or on a platform.
#[derive(Debug, Parser)]
#[command(name = "lilacbank", version, about, max_term_width = 110, after_help = AFTER)]
pub struct Cli {
    /// The command; without one, the dispatcher serves.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Options for serving.
    #[command(flatten)]
    pub serve: Serve,
}

const AFTER: &str = "\
The dispatcher reads its configuration from the JSON file that ROUTER_CONFIG names. ROUTER_NAME, ROUTER_LISTEN, \
ROUTER_DISCOVERY and ROUTER_STATE override its keys, and ROUTER_CONTROL overrides `control`, the address of the control \
interface (see `lilacbank control`). LILACBANK_MQTT names the configuration file of the MQTT front end. RUST_LOG sets \
what is logged.

Exit status: 0 good, 1 errors were found or serving failed, 2 the command could not be carried out.";

/// Options for serving.
#[derive(Debug, Clone, Default, Args)]
pub struct Serve {
    /// The configuration, a JSON file; overrides ROUTER_CONFIG.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The format of the log; overrides the one in the configuration.
    #[arg(long, value_name = "FORMAT")]
    pub log_format: Option<LogFormat>,
}

impl Serve {
    /// Returns a lookup of environment variables in which command line options take precedence.
    pub fn environment_lookup(&self) -> impl Fn(&str) -> Option<String> + use<> {
        let config = self.config.as_ref().map(|c| c.display().to_string());
        move |name| match name {
            "ROUTER_CONFIG" => config.clone().or_else(|| env_var(name)),
            _ => env_var(name),
        }
    }
}

/// Formats of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines of text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve as a dispatcher (the default without a command).
    Serve(Serve),
    /// Write, check, explain and render settings files of applications.
    #[command(subcommand)]
    App(App),
    /// Check a cell map, show the placement of tenants, and move tenants between dispatchers.
    #[command(subcommand)]
    Cell(Cell),
    /// Print the schema of a settings file.
    Schema {
        /// The kind of file.
        record: Record,
        /// Print CUE definitions instead of JSON Schema.
        #[arg(long)]
        cue: bool,
    },
    /// Write, check and import the JSON configuration that a dispatcher reads.
    #[command(subcommand)]
    Config(Box<Config>),
    /// Send a command to a dispatcher's control interface: check, vars, set-down ID, set-up ID, drain-on,
    /// drain-off.
    #[command(
        after_help = "Exit status: 0 the answer was 200, 1 the answer was 400, 2 there was no answer."
    )]
    Control {
        /// The address of the control interface; without it, ROUTER_CONTROL is used.
        #[arg(long, value_name = "ADDRESS")]
        at: Option<String>,
        /// The command, and the endpoint's id for set-down and set-up.
        #[arg(required = true, num_args = 1..=2, value_name = "COMMAND")]
        line: Vec<String>,
    },
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Kinds of settings files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Record {
    /// The agreement of a destination.
    Agreement,
    /// The settings file of an application.
    Application,
    /// A cell map.
    Cells,
}

/// Formats of a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Text for people, with an excerpt of the file for each finding.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Commands on settings files of applications.
#[derive(Debug, Subcommand)]
pub enum App {
    /// Write a settings file with comments from agreements; it passes the check without changes.
    New(Box<NewApplicationArgs>),
    /// Check files together: applications that share a machine or a destination, and agreements.
    #[command(
        after_help = "Codes and remedies: docs/operators/sidecar.md. Exit status: 0 good, 1 errors were found, 2 a file could not be read."
    )]
    Check {
        /// Applications and agreements; agreements that an application names are read automatically.
        #[arg(required = true)]
        files: Vec<String>,
        /// Options for the check and its report.
        #[command(flatten)]
        options: ReportOptions,
    },
    /// Check a file, and write the JSON configuration that `serve` reads.
    Render {
        /// The settings file of the application.
        file: String,
        /// The output file; without it, standard output.
        #[arg(short, long, value_name = "FILE")]
        output: Option<PathBuf>,
        /// Options for the check and its report.
        #[command(flatten)]
        options: ReportOptions,
    },
    /// List every value in force with its origin.
    Explain {
        /// The settings file of the application.
        file: String,
        /// Options for the check and its report.
        #[command(flatten)]
        options: ReportOptions,
    },
}

/// Commands on a cell map.
#[derive(Debug, Subcommand)]
pub enum Cell {
    /// Check a map, and whether it may replace the one in force.
    Check {
        /// The file of the map.
        file: String,
        /// The map that is in force, which this one replaces.
        #[arg(long, value_name = "FILE")]
        in_force: Option<String>,
        /// The format of the report.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Show the cell and the dispatcher of each tenant.
    Place {
        /// The file of the map.
        file: String,
        /// Names of tenants; @FILE reads them from a file, one per line.
        #[arg(required = true)]
        tenants: Vec<String>,
    },
    /// Show which tenants a new map moves.
    Plan {
        /// The map in force.
        old: String,
        /// The new map.
        new: String,
        /// Names of tenants; @FILE reads them from a file, one per line.
        #[arg(required = true)]
        tenants: Vec<String>,
    },
    /// Show which dispatcher serves a tenant, or each tenant, and the progress of moves.
    Status {
        /// The file of the map.
        #[arg(long, value_name = "FILE")]
        map: String,
        /// The tenant; without it, all tenants.
        tenant: Option<String>,
        /// The format of the report.
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Move a tenant to another dispatcher, and wait until it is served there.
    #[command(after_help = MOVE)]
    Move {
        /// The file of the map.
        #[arg(long, value_name = "FILE")]
        map: String,
        /// The tenant.
        tenant: String,
        /// The dispatcher that is to serve the tenant.
        #[arg(long, value_name = "NAME")]
        to: String,
        /// The longest wait in seconds; after it the move continues without the tool.
        #[arg(long, value_name = "SECONDS", default_value_t = 30)]
        wait: u64,
    },
    /// Abort a move whose handoff has not been committed yet.
    Abort {
        /// The file of the map.
        #[arg(long, value_name = "FILE")]
        map: String,
        /// The tenant.
        tenant: String,
    },
    /// Take back a tenant that was handed over to a dispatcher that will never start again.
    #[command(after_help = RECLAIM)]
    Reclaim {
        /// The file of the map.
        #[arg(long, value_name = "FILE")]
        map: String,
        /// The tenant.
        tenant: String,
        /// The dispatcher that is permanently lost, together with its state folder.
        #[arg(long, value_name = "NAME")]
        gone: String,
    },
}

const MOVE: &str = "\
Exit status: 0 the tenant is served there, 1 the move was refused or taken back, 2 a dispatcher did not answer or the wait \
ended. A move in progress continues when the tool ends or either dispatcher restarts. Runbook for a move that makes no \
progress: docs/operators/cells.md.";

const RECLAIM: &str = "\
Messages that the lost dispatcher has begun to deliver would be delivered again. Use this command only when the state \
folder of that dispatcher is lost, so that it cannot have delivered them and never will.";

/// Options for a check and its report.
#[derive(Debug, Clone, Copy, Default, Args)]
pub struct ReportOptions {
    /// The format of the report.
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
    /// The files are for another machine: do not check state folders on this one.
    #[arg(long)]
    pub elsewhere: bool,
}

/// Values for a new application.
#[derive(Debug, Args)]
pub struct NewApplicationArgs {
    /// The agreements of the destinations that the application uses.
    #[arg(required = true)]
    pub agreements: Vec<String>,
    /// The application's name.
    #[arg(long)]
    pub name: Name,
    /// The address for RESP2 clients.
    #[arg(long, value_name = "ADDRESS:PORT", default_value = "127.0.0.1:6379")]
    pub resp: Address,
    /// The address for MQTT clients; without it, the MQTT front end is off.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub mqtt: Option<Address>,
    /// The state folder; without it, /var/lib/lilacbank/NAME.
    #[arg(long, value_name = "FOLDER")]
    pub state: Option<String>,
    /// The share of each destination's limit and connections that the application promises to keep to.
    #[arg(long, default_value = "25%")]
    pub share: Share,
    /// The application's building; without it, the first building of the first agreement.
    #[arg(long)]
    pub building: Option<Name>,
    /// The address of the registry; without it, only the endpoints in the agreements are used.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub discovery: Option<Address>,
    /// The receiver of notices about undelivered messages: ADDRESS:PORT or log.
    #[arg(long)]
    pub notices: Option<String>,
    /// The name of a tenant; may be given several times.
    #[arg(long = "tenant", value_name = "NAME")]
    pub tenants: Vec<Name>,
    /// The output file; without it, standard output.
    #[arg(short, long, value_name = "FILE")]
    pub output: Option<PathBuf>,
}

/// Commands on the JSON configuration of a dispatcher.
#[derive(Debug, Subcommand)]
pub enum Config {
    /// Write a configuration without agreements.
    Write(ConfigOverrides),
    /// Check a configuration, more strictly than a dispatcher on a platform does at startup.
    Check {
        /// The JSON file.
        file: PathBuf,
        /// The configuration file of the MQTT front end.
        #[arg(long, value_name = "FILE")]
        mqtt: Option<PathBuf>,
        /// Options for the check and its report.
        #[command(flatten)]
        options: ReportOptions,
    },
    /// Convert an HAProxy configuration; directives without a counterpart are reported with their line.
    ImportHaproxy {
        /// The HAProxy configuration.
        file: PathBuf,
        /// Values that override imported ones.
        #[command(flatten)]
        overrides: ConfigOverrides,
    },
}

/// Values of a new configuration; for an import, they override imported values.
#[derive(Debug, Default, Args)]
pub struct ConfigOverrides {
    /// The dispatcher's name.
    #[arg(long)]
    pub name: Option<String>,
    /// The address for RESP2 clients.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub listen: Option<String>,
    /// The address of the registry.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub discovery: Option<String>,
    /// The state folder.
    #[arg(long, value_name = "FOLDER")]
    pub state: Option<String>,
    /// A class: NAME,EFFECT,PROMISE,DEADLINE[,WINDOW][,ordered]; EFFECT is idempotent, deduplicated or
    /// at_most_once, and times are in milliseconds; may be given several times.
    #[arg(long = "class", value_name = "CLASS", value_parser = super::parse_class)]
    pub classes: Vec<lilacbank_settings::served::Class>,
    /// The zones; the dispatcher's own zone comes first.
    #[arg(long, value_delimiter = ',', value_name = "A,B")]
    pub zones: Vec<String>,
    /// The kinds of destinations.
    #[arg(long, value_delimiter = ',', value_name = "A,B")]
    pub kinds: Vec<String>,
    /// The tenants.
    #[arg(long, value_delimiter = ',', value_name = "A,B")]
    pub tenants: Vec<String>,
    /// The most concurrent calls.
    #[arg(long)]
    pub slots: Option<u32>,
    /// The most messages held at once.
    #[arg(long)]
    pub max_open: Option<u32>,
    /// The output file; without it, standard output.
    #[arg(short, long, value_name = "FILE")]
    pub output: Option<PathBuf>,
    /// The address for MQTT clients; also writes FILE.mqtt.toml, the configuration of the MQTT front end.
    #[arg(long, value_name = "ADDRESS:PORT", requires = "output")]
    pub mqtt: Option<Address>,
}
