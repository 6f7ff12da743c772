//! The tool for a sidecar's files: writes, checks, explains and renders them, and imports HAProxy's.
//!
//! What is wrong with files is found by the package `lilacbank-settings`; here files are opened and reports printed.

mod cell;
pub mod cli;

pub mod haproxy;
mod moves;

use crate::config::{self, Mqtt};
use crate::disk::Disk;
use cli::{App, Cli, Command, Config, ConfigOverrides, Format, NewApplicationArgs, Record, ReportOptions};
use lilacbank_settings::check::{check, AssumeUsable, Folders};
use lilacbank_settings::compose::{compose, NewApplication};
use lilacbank_settings::finding::{refused, render_findings, Finding};
use lilacbank_settings::served::{Class, EndpointList, Limits, Served, Tenant};
use lilacbank_settings::set::{resolve_path, ApplicationFile, FileSet};
use lilacbank_settings::{explain, render, schema};
use std::collections::BTreeMap;
use std::fmt;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Why the tool did not do it.
#[derive(Debug)]
pub enum ToolError {
    /// A file cannot be read or written.
    File(PathBuf, std::io::Error),
    /// Faults were found, and have been reported.
    FaultsFound,
    /// A dispatcher refuses.
    Refused(String),
    /// It could not be done, and may be tried again.
    Failed(String),
    /// What was read says something else than what was written: a fault of the tool.
    Config(config::ConfigError),
}

impl fmt::Display for ToolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ToolError::File(path, e) => write!(f, "{}: {e}", path.display()),
            ToolError::FaultsFound => f.write_str("faults were found; nothing was done"),
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
            ExitCode::from(if matches!(e, ToolError::FaultsFound | ToolError::Refused(_)) { 1 } else { 2 })
        }
    }
}

fn read(path: &Path) -> Result<String, ToolError> {
    std::fs::read_to_string(path).map_err(|e| ToolError::File(path.into(), e))
}

/// Writes a file in one step: what was there stays until all of the new one is.
fn write(path: &Path, text: &str) -> ToolResult {
    let new = PathBuf::from(format!("{}.new-{}", path.display(), std::process::id()));
    let done = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path));
    done.map_err(|e| {
        let _ = std::fs::remove_file(&new);
        ToolError::File(path.into(), e)
    })
}

fn write_output(output: Option<&Path>, text: &str) -> ToolResult {
    match output {
        Some(path) => write(path, text),
        None => {
            print!("{text}");
            Ok(())
        }
    }
}

fn report(found: &[Finding], texts: &BTreeMap<String, String>, how: ReportOptions) -> ToolResult {
    match how.format {
        Format::Text => eprint!("{}", render_findings(found, texts, std::io::stderr().is_terminal())),
        Format::Json => {
            found.iter().for_each(|f| println!("{}", serde_json::to_string(f).unwrap_or_default()))
        }
    }
    if refused(found) {
        Err(ToolError::FaultsFound)
    } else {
        Ok(())
    }
}

fn folders(how: ReportOptions) -> &'static dyn Folders {
    if how.elsewhere {
        &AssumeUsable
    } else {
        &Disk
    }
}

/// Reads and checks files together, and reports what is wrong.
fn load(files: &[String], how: ReportOptions) -> Result<FileSet, ToolError> {
    // A file that was named here and cannot be read is not a fault of the files.
    for file in files {
        read(Path::new(file))?;
    }
    let mut found = Vec::new();
    let set = FileSet::load(files, &|f| std::fs::read_to_string(f), &mut found);
    found.extend(check(&set, folders(how)));
    report(&found, &set.texts(), how)?;
    Ok(set)
}

fn first_application(set: &FileSet) -> Result<&ApplicationFile, ToolError> {
    set.apps.first().ok_or_else(|| {
        eprintln!("the file is an agreement; name an application's file");
        ToolError::FaultsFound
    })
}

fn run_app(app: App) -> ToolResult {
    match app {
        App::New(new) => run_new(*new),
        App::Check { files, how } => {
            let set = load(&files, how)?;
            if how.format == Format::Text {
                println!("good: {} applications, {} agreements", set.apps.len(), set.agreements.len());
            }
            Ok(())
        }
        App::Render { file, output, how } => {
            let set = load(&[file], how)?;
            let text = render::render(&set, first_application(&set)?).to_json();
            check_served("the rendered file", &text, ReportOptions { elsewhere: true, ..how })?;
            write_output(output.as_deref(), &text)
        }
        App::Explain { file, how } => {
            let set = load(&[file], how)?;
            let lines = explain::explain(&set, first_application(&set)?);
            match how.format {
                Format::Json => {
                    lines.iter().for_each(|l| println!("{}", serde_json::to_string(l).unwrap_or_default()));
                }
                Format::Text => {
                    let wide = |f: fn(&explain::EffectiveValue) -> &str| {
                        lines.iter().map(|l| f(l).chars().count()).max().unwrap_or(0).min(48)
                    };
                    let (key, value) = (wide(|l| &l.key), wide(|l| &l.value));
                    lines.iter().for_each(|l| println!("{:key$}  {:value$}  {}", l.key, l.value, l.from));
                }
            }
            Ok(())
        }
    }
}

fn run_new(new: NewApplicationArgs) -> ToolResult {
    let how = ReportOptions { elsewhere: true, ..ReportOptions::default() };
    let set = load(&new.agreements, how)?;
    let output = new.output.as_ref().map_or("application.toml".into(), |o| o.display().to_string());
    let mut agreements = Vec::new();
    for file in &new.agreements {
        let Some(agreement) = set.agreements.get(file) else {
            eprintln!("{file}: this is an application; name agreements");
            return Err(ToolError::FaultsFound);
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
    // What is written has passed the check, where it will stand.
    let mut found = Vec::new();
    let open = |f: &str| if f == output { Ok(text.clone()) } else { std::fs::read_to_string(f) };
    let set = FileSet::load(std::slice::from_ref(&output), &open, &mut found);
    found.extend(check(&set, &AssumeUsable));
    report(&found, &set.texts(), how)?;
    write_output(new.output.as_deref(), &text)
}

/// How a file is named from the folder of another one.
fn relative_path(output: &str, file: &str) -> String {
    let whole = |p: &str| std::path::absolute(p).unwrap_or_else(|_| p.into());
    let (to, from) = (whole(&resolve_path("", file)), whole(&resolve_path("", output)));
    let folder: Vec<_> = from.parent().unwrap_or(Path::new("/")).components().collect();
    let parts: Vec<_> = to.components().collect();
    let same = folder.iter().zip(&parts).take_while(|(a, b)| a == b).count();
    let up = folder[same..].iter().map(|_| std::ffi::OsStr::new(".."));
    let path: PathBuf = up.chain(parts[same..].iter().map(|p| p.as_os_str())).collect();
    path.display().to_string()
}

/// Checks the JSON that a dispatcher reads: first as strictly as can be, then as a start reads it.
fn check_served(name: &str, text: &str, how: ReportOptions) -> Result<Served, ToolError> {
    let mut found = Vec::new();
    let (_, served) = Served::read(name, text, folders(how), &mut found);
    report(&found, &BTreeMap::from([(name.to_string(), text.to_string())]), how)?;
    config::Config::from_json(text, &|_| None)?;
    Ok(served)
}

/// Reads `NAME,EFFECT,PROMISE,DEADLINE[,WINDOW][,ordered]`.
pub fn parse_class(text: &str) -> Result<Class, String> {
    let mut parts: Vec<&str> = text.split(',').collect();
    let ordered = parts.last() == Some(&"ordered");
    if ordered {
        parts.pop();
    }
    let (name, effect, times) = match parts[..] {
        [name, effect, ref times @ ..] if (2..=3).contains(&times.len()) => (name, effect, times),
        _ => return Err("NAME,EFFECT,PROMISE,DEADLINE[,WINDOW][,ordered] was expected".into()),
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

/// What is written where nothing else is said.
pub(crate) fn default_config() -> Served {
    let mut s = Served {
        name: "lilacbank".into(),
        listen: Some("127.0.0.1:6379".into()),
        discovery: Some("127.0.0.1:8500".into()),
        state: Some("state".into()),
        limits: Limits::default(),
        known: EndpointList { all: true, ..EndpointList::default() },
        ..Served::default()
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
    /// What the arguments say wins over what is there so far.
    fn apply_to(&self, s: &mut Served) {
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

    /// Writes what passes the check.
    fn write_checked(&self, mut served: Served) -> ToolResult {
        self.apply_to(&mut served);
        let text = served.to_json();
        check_served(
            "the configuration",
            &text,
            ReportOptions { elsewhere: true, ..ReportOptions::default() },
        )?;
        let mqtt = self.mqtt.map(|to| format!("[acceptor]\nenabled = true\nlisten = \"{to}\"\n"));
        mqtt.iter().try_for_each(|t| Mqtt::from_toml(t).map(drop))?;
        write_output(self.output.as_deref(), &text)?;
        let beside = self.output.iter().map(|o| PathBuf::from(format!("{}.mqtt.toml", o.display())));
        beside.zip(mqtt).try_for_each(|(path, text)| write(&path, &text))
    }
}

fn run_config(command: Config) -> ToolResult {
    match command {
        Config::Write(wanted) => wanted.write_checked(default_config()),
        Config::Check { file, mqtt, how } => {
            let served = check_served(&file.display().to_string(), &read(&file)?, how)?;
            let (classes, workers) = (served.settings.classes.len(), served.known.targets.len());
            if how.format == Format::Text {
                println!("{}: good: {classes} classes, {workers} workers", file.display());
            }
            if let Some(file) = mqtt {
                let on = Mqtt::from_toml(&read(&file)?)?.listen;
                let on = on.map_or("off".to_string(), |a| format!("on, at {a}"));
                println!("{}: good: the MQTT front is {on}", file.display());
            }
            Ok(())
        }
        Config::ImportHaproxy { file, wanted } => {
            let (served, skipped) = haproxy::import(&read(&file)?);
            for s in skipped {
                eprintln!("{}:{}: {}", file.display(), s.line, s.why);
            }
            wanted.write_checked(served)
        }
    }
}

/// Bytes of an answer of the door at most, `vars` of many classes included.
const ANSWER_MOST: u64 = 1 << 20;

/// Says one line to a dispatcher's door and prints the answer.
fn control(at: Option<String>, line: &str) -> Result<(), ToolError> {
    use std::io::{Read, Write};
    let at = at.or_else(|| config::environment("ROUTER_CONTROL")).filter(|a| !a.is_empty());
    let Some(at) = at else {
        return Err(ToolError::Failed("no door: give --at ADDRESS or set ROUTER_CONTROL".into()));
    };
    let unreached = |e: std::io::Error| ToolError::Failed(format!("the door at {at} cannot be reached: {e}"));
    let address: std::net::SocketAddr = at.parse().map_err(|_| {
        ToolError::Failed(format!("'{at}' is not an address with a port, such as 127.0.0.1:7001"))
    })?;
    let patience = std::time::Duration::from_secs(5);
    let mut stream = std::net::TcpStream::connect_timeout(&address, patience).map_err(unreached)?;
    stream.set_read_timeout(Some(patience)).map_err(unreached)?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(unreached)?;
    let mut answer = String::new();
    stream.take(ANSWER_MOST).read_to_string(&mut answer).map_err(unreached)?;
    print!("{answer}");
    match answer.split_whitespace().next() {
        Some("400") => Err(ToolError::Refused("the door said no".into())),
        Some(_) => Ok(()),
        None => Err(ToolError::Failed(format!("the door at {at} said nothing"))),
    }
}
