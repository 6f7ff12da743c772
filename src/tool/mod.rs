//! The command line tool for settings files: writes, checks, explains and renders them, and imports
//! HAProxy's.
//!
//! The checks are in the package `lilacbank-settings`; this module opens files and prints reports.

mod cell;
pub mod cli;

pub mod haproxy;
mod moves;

use crate::config::{self, MqttSettings};
use crate::disk::Disk;
use cli::{App, Cli, Command, Config, ConfigOverrides, Format, NewApplicationArgs, Record, ReportOptions};
use lilacbank_settings::check::{check, AssumeUsable, FolderInspector};
use lilacbank_settings::compose::{compose, NewApplication};
use lilacbank_settings::finding::{has_errors, render_findings, Finding};
use lilacbank_settings::served::{Class, DispatcherConfig, EndpointList, Limits, Tenant};
use lilacbank_settings::set::{resolve_path, ApplicationFile, FileSet};
use lilacbank_settings::{explain, render, schema};
use std::collections::BTreeMap;
use std::fmt;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Why a command failed.
#[derive(Debug)]
pub enum ToolError {
    /// A file cannot be read or written.
    File(PathBuf, std::io::Error),
    /// The check found errors, which have been reported.
    ErrorsFound,
    /// A dispatcher refused the command, or no dispatcher is in the state that the command needs.
    Refused(String),
    /// A dispatcher or its control interface gave no usable answer, or a wait ended; the command may be
    /// repeated.
    Failed(String),
    /// A dispatcher would reject the configuration at startup, although it passed the check.
    Config(config::ConfigError),
}

impl fmt::Display for ToolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ToolError::File(path, e) => write!(f, "{}: {e}", path.display()),
            ToolError::ErrorsFound => f.write_str("errors were found; nothing was done"),
            ToolError::Config(e) => e.fmt(f),
            ToolError::Refused(why) | ToolError::Failed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for ToolError {}

impl From<config::ConfigError> for ToolError {
    fn from(e: config::ConfigError) -> Self {
        ToolError::Config(e)
    }
}

type ToolResult = Result<(), ToolError>;

/// Runs a command other than `serve`.
pub fn run(command: Command) -> ExitCode {
    let done = match command {
        Command::App(app) => run_app(app),
        Command::Cell(command) => cell::run(command),
        Command::Config(config) => run_config(*config),
        Command::Schema { record, cue } => {
            let schema = match record {
                Record::Agreement => schema::agreement(),
                Record::Application => schema::application(),
                Record::Cells => schema::cells(),
            };
            match cue {
                true => print!("{}", schema::cue(&schema)),
                false => println!("{}", serde_json::to_string_pretty(&schema).unwrap_or_default()),
            }
            Ok(())
        }
        Command::Control { at, line } => control(at, &line.join(" ")),
        Command::Completions { shell } => {
            let mut command = <Cli as clap::CommandFactory>::command();
            clap_complete::generate(shell, &mut command, "lilacbank", &mut std::io::stdout());
            Ok(())
        }
        Command::Serve(_) => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lilacbank: {e}");
            ExitCode::from(if matches!(e, ToolError::ErrorsFound | ToolError::Refused(_)) { 1 } else { 2 })
        }
    }
}

fn read(path: &Path) -> Result<String, ToolError> {
    std::fs::read_to_string(path).map_err(|e| ToolError::File(path.into(), e))
}

/// Writes a file atomically: the old content stays until the new one is complete.
fn write(path: &Path, text: &str) -> ToolResult {
    let new = PathBuf::from(format!("{}.new-{}", path.display(), std::process::id()));
    let done = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path));
    done.map_err(|e| {
        let _ = std::fs::remove_file(&new);
        ToolError::File(path.into(), e)
    })
}

/// Writes to a file, or to standard output without one.
fn write_output(output: Option<&Path>, text: &str) -> ToolResult {
    match output {
        Some(path) => write(path, text),
        None => {
            print!("{text}");
            Ok(())
        }
    }
}

/// Prints findings; fails if any of them is an error.
fn report(findings: &[Finding], texts: &BTreeMap<String, String>, options: ReportOptions) -> ToolResult {
    match options.format {
        Format::Text => eprint!("{}", render_findings(findings, texts, std::io::stderr().is_terminal())),
        Format::Json => {
            findings.iter().for_each(|f| println!("{}", serde_json::to_string(f).unwrap_or_default()))
        }
    }
    if has_errors(findings) {
        Err(ToolError::ErrorsFound)
    } else {
        Ok(())
    }
}

/// The folders to check: those of this machine, or none.
fn folders(options: ReportOptions) -> &'static dyn FolderInspector {
    if options.elsewhere {
        &AssumeUsable
    } else {
        &Disk
    }
}

/// Reads and checks files together, and prints the findings.
fn load(files: &[String], options: ReportOptions) -> Result<FileSet, ToolError> {
    // A file on the command line that cannot be read is an error of the command, not a finding.
    for file in files {
        read(Path::new(file))?;
    }
    let mut findings = Vec::new();
    let set = FileSet::load(files, &|f| std::fs::read_to_string(f), &mut findings);
    findings.extend(check(&set, folders(options)));
    report(&findings, &set.texts(), options)?;
    Ok(set)
}

/// The first application of the set; an error if there is none.
fn first_application(set: &FileSet) -> Result<&ApplicationFile, ToolError> {
    set.apps.first().ok_or_else(|| {
        eprintln!("the file is an agreement; give the settings file of an application");
        ToolError::ErrorsFound
    })
}

/// Runs an `app` command.
fn run_app(app: App) -> ToolResult {
    match app {
        App::New(new) => run_new(*new),
        App::Check { files, options } => {
            let set = load(&files, options)?;
            if options.format == Format::Text {
                println!("good: {} applications, {} agreements", set.apps.len(), set.agreements.len());
            }
            Ok(())
        }
        App::Render { file, output, options } => {
            let set = load(&[file], options)?;
            let text = render::render(&set, first_application(&set)?).to_json();
            check_served("the rendered file", &text, ReportOptions { elsewhere: true, ..options })?;
            write_output(output.as_deref(), &text)
        }
        App::Explain { file, options } => {
            let set = load(&[file], options)?;
            let lines = explain::explain(&set, first_application(&set)?);
            match options.format {
                Format::Json => {
                    lines.iter().for_each(|l| println!("{}", serde_json::to_string(l).unwrap_or_default()));
                }
                Format::Text => {
                    let column_width = |f: fn(&explain::EffectiveValue) -> &str| {
                        lines.iter().map(|l| f(l).chars().count()).max().unwrap_or(0).min(48)
                    };
                    let (key, value) = (column_width(|l| &l.key), column_width(|l| &l.value));
                    lines.iter().for_each(|l| println!("{:key$}  {:value$}  {}", l.key, l.value, l.from));
                }
            }
            Ok(())
        }
    }
}

/// Runs `app new`.
fn run_new(new: NewApplicationArgs) -> ToolResult {
    let options = ReportOptions { elsewhere: true, ..ReportOptions::default() };
    let set = load(&new.agreements, options)?;
    let output = new.output.as_ref().map_or("application.toml".into(), |o| o.display().to_string());
    let mut agreements = Vec::new();
    for file in &new.agreements {
        let Some(agreement) = set.agreements.get(file) else {
            eprintln!("{file}: the file is an application; give agreements");
            return Err(ToolError::ErrorsFound);
        };
        agreements.push((relative_path(&output, file), agreement));
    }
    let text = compose(
        &NewApplication {
            state: new.state.unwrap_or_else(|| format!("/var/lib/lilacbank/{}", new.name)),
            name: new.name,
            resp: new.resp,
            mqtt: new.mqtt,
            share: new.share,
            building: new.building,
            discovery: new.discovery,
            notices: new.notices,
            tenants: new.tenants,
        },
        &agreements,
    );
    // The text must pass the check under its final path before it is written.
    let mut findings = Vec::new();
    let open = |f: &str| if f == output { Ok(text.clone()) } else { std::fs::read_to_string(f) };
    let set = FileSet::load(std::slice::from_ref(&output), &open, &mut findings);
    findings.extend(check(&set, &AssumeUsable));
    report(&findings, &set.texts(), options)?;
    write_output(new.output.as_deref(), &text)
}

/// The path of `file` relative to the folder of `output`.
fn relative_path(output: &str, file: &str) -> String {
    let absolute = |p: &str| std::path::absolute(p).unwrap_or_else(|_| p.into());
    let (to, from) = (absolute(&resolve_path("", file)), absolute(&resolve_path("", output)));
    let folder: Vec<_> = from.parent().unwrap_or(Path::new("/")).components().collect();
    let parts: Vec<_> = to.components().collect();
    let same = folder.iter().zip(&parts).take_while(|(a, b)| a == b).count();
    let up = folder[same..].iter().map(|_| std::ffi::OsStr::new(".."));
    let path: PathBuf = up.chain(parts[same..].iter().map(|p| p.as_os_str())).collect();
    path.display().to_string()
}

/// Checks a dispatcher's JSON configuration: first with all checks, then by parsing it as a dispatcher does
/// at startup.
fn check_served(name: &str, text: &str, options: ReportOptions) -> Result<DispatcherConfig, ToolError> {
    let mut findings = Vec::new();
    let (_, served) = DispatcherConfig::read_and_check(name, text, folders(options), &mut findings);
    report(&findings, &BTreeMap::from([(name.to_string(), text.to_string())]), options)?;
    config::Config::from_json(text, &|_| None)?;
    Ok(served)
}

/// Parses a class given as `NAME,EFFECT,PROMISE,DEADLINE[,WINDOW][,ordered]`.
pub fn parse_class(text: &str) -> Result<Class, String> {
    let mut parts: Vec<&str> = text.split(',').collect();
    let ordered = parts.last() == Some(&"ordered");
    if ordered {
        parts.pop();
    }
    let (name, effect, times) = match parts[..] {
        [name, effect, ref times @ ..] if (2..=3).contains(&times.len()) => (name, effect, times),
        _ => return Err("expected NAME,EFFECT,PROMISE,DEADLINE[,WINDOW][,ordered]".into()),
    };
    let times: Vec<f64> = times
        .iter()
        .map(|t| t.parse().map_err(|_| format!("'{t}' is not a number of milliseconds")))
        .collect::<Result<_, _>>()?;
    let window = times.get(2).copied().unwrap_or(times[1]);
    Ok(Class {
        name: name.into(),
        effect: effect.into(),
        promise: Some(times[0]),
        deadline: times[1],
        window,
        in_order: ordered,
        ..Class::default()
    })
}

/// The configuration that `config write` and imports start from.
pub(crate) fn default_config() -> DispatcherConfig {
    let mut s = DispatcherConfig {
        name: "lilacbank".into(),
        listen: Some("127.0.0.1:6379".into()),
        discovery: Some("127.0.0.1:8500".into()),
        state: Some("state".into()),
        limits: Limits::default(),
        known: EndpointList { all: true, ..EndpointList::default() },
        ..DispatcherConfig::default()
    };
    s.settings.classes = vec![Class {
        name: "message".into(),
        promise: Some(3_000.0),
        deadline: 20_000.0,
        window: 20_000.0,
        ..Class::default()
    }];
    (s.settings.zones, s.settings.kinds) = (vec!["default".into()], vec!["default".into()]);
    s
}

impl ConfigOverrides {
    /// Overrides values of a configuration by those given on the command line.
    fn apply_to(&self, s: &mut DispatcherConfig) {
        let set = &mut s.settings;
        self.name.iter().for_each(|n| s.name.clone_from(n));
        s.listen = self.listen.clone().or(s.listen.take());
        s.discovery = self.discovery.clone().or(s.discovery.take());
        s.state = self.state.clone().or(s.state.take());
        let list = |from: &[String], to: &mut Vec<String>| {
            if !from.is_empty() {
                *to = from.to_vec();
            }
        };
        list(&self.zones, &mut set.zones);
        list(&self.kinds, &mut set.kinds);
        if !self.tenants.is_empty() {
            let tenant = |name: &String| Tenant { name: name.clone(), quota_per_s: 1e6 };
            set.tenants = self.tenants.iter().map(tenant).collect();
        }
        if !self.classes.is_empty() {
            set.classes.clone_from(&self.classes);
        }
        set.family_info.slots = self.slots.unwrap_or(set.family_info.slots);
        set.ceilings.max_open = self.max_open.unwrap_or(set.ceilings.max_open);
        set.family_info.kind_apart = vec![true; set.kinds.len()];
        set.zone = set.zones.first().cloned().unwrap_or_default();
        s.known.targets.iter_mut().for_each(|t| t.az.clone_from(&set.zone));
    }

    /// Applies the overrides, checks the configuration, and writes it if it is free of errors.
    fn write_checked(&self, mut served: DispatcherConfig) -> ToolResult {
        self.apply_to(&mut served);
        let text = served.to_json();
        check_served(
            "the configuration",
            &text,
            ReportOptions { elsewhere: true, ..ReportOptions::default() },
        )?;
        let mqtt = self.mqtt.map(|to| format!("[acceptor]\nenabled = true\nlisten = \"{to}\"\n"));
        mqtt.iter().try_for_each(|t| MqttSettings::from_toml(t).map(drop))?;
        write_output(self.output.as_deref(), &text)?;
        let mqtt_file = self.output.iter().map(|o| PathBuf::from(format!("{}.mqtt.toml", o.display())));
        mqtt_file.zip(mqtt).try_for_each(|(path, text)| write(&path, &text))
    }
}

/// Runs a `config` command.
fn run_config(command: Config) -> ToolResult {
    match command {
        Config::Write(overrides) => overrides.write_checked(default_config()),
        Config::Check { file, mqtt, options } => {
            let served = check_served(&file.display().to_string(), &read(&file)?, options)?;
            let (classes, endpoints) = (served.settings.classes.len(), served.known.targets.len());
            if options.format == Format::Text {
                println!("{}: good: {classes} classes, {endpoints} endpoints", file.display());
            }
            if let Some(file) = mqtt {
                let on = MqttSettings::from_toml(&read(&file)?)?.listen;
                let on = on.map_or("off".to_string(), |a| format!("on, at {a}"));
                println!("{}: good: the MQTT front end is {on}", file.display());
            }
            Ok(())
        }
        Config::ImportHaproxy { file, overrides } => {
            let (served, skipped) = haproxy::import(&read(&file)?);
            for s in skipped {
                eprintln!("{}:{}: {}", file.display(), s.line, s.why);
            }
            overrides.write_checked(served)
        }
    }
}

/// The longest answer that is read from a control interface, in bytes; `vars` with many classes fits.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Sends one line to a dispatcher's control interface and prints the answer.
fn control(at: Option<String>, line: &str) -> Result<(), ToolError> {
    use std::io::{Read, Write};
    let at = at.or_else(|| config::env_var("ROUTER_CONTROL")).filter(|a| !a.is_empty());
    let Some(at) = at else {
        return Err(ToolError::Failed(
            "no control interface is given; use --at ADDRESS or set ROUTER_CONTROL".into(),
        ));
    };
    let not_reached = |e: std::io::Error| {
        ToolError::Failed(format!("the control interface at {at} cannot be reached: {e}"))
    };
    let address: std::net::SocketAddr = at.parse().map_err(|_| {
        ToolError::Failed(format!("'{at}' is not an address with a port, such as 127.0.0.1:7001"))
    })?;
    let timeout = std::time::Duration::from_secs(5);
    let mut stream = std::net::TcpStream::connect_timeout(&address, timeout).map_err(not_reached)?;
    stream.set_read_timeout(Some(timeout)).map_err(not_reached)?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(not_reached)?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer).map_err(not_reached)?;
    print!("{answer}");
    match answer.split_whitespace().next() {
        Some("400") => Err(ToolError::Refused("the dispatcher rejected the command".into())),
        Some(_) => Ok(()),
        None => Err(ToolError::Failed(format!("the control interface at {at} sent no answer"))),
    }
}
