//! The tool for a sidecar's configuration: writes one for an application, checks one, imports HAProxy's.

pub mod application;
pub mod haproxy;

use crate::config::{self, ConfigError, Mqtt};
use application::{class, Application};
use lexopt::prelude::*;
use std::ffi::OsString;
use std::path::{Path, PathBuf};

/// How the tool is called.
pub const USAGE: &str = "\
usage:
  lilacbank                                  serve, as ROUTER_* and LILACBANK_MQTT say
  lilacbank config write OPTIONS             write an application's configuration
  lilacbank config check FILE [--mqtt FILE]  check one, and the MQTT front's file
  lilacbank config import-haproxy FILE OPTIONS
                                             make one of HAProxy's; what has no counterpart is reported

options of write and import-haproxy:
  --name NAME          the dispatcher's name
  --listen ADDR:PORT   where clients connect
  --discovery ADDR:PORT  the registry
  --state DIR          the folder that lasts
  --class NAME,EFFECT,PROMISE,DEADLINE[,WINDOW][,ordered]
                       a class of messages; EFFECT is idempotent, deduplicated or at_most_once, the times are
                       milliseconds; may be given several times
  --zones A,B          the zones; the first one is the dispatcher's own
  --kinds A,B          the kinds of destination
  --tenants A,B        the tenants
  --slots N            calls out at once
  --max-open N         messages held at once
  --output FILE        where to; without it, standard output
  --mqtt ADDR:PORT     also write FILE.mqtt.toml, by which MQTT clients are served there (needs --output)
";

/// Why the tool did not do it.
#[derive(Debug)]
pub enum ToolError {
    /// The arguments make no sense.
    Usage(String),
    /// A file cannot be read or written.
    File(PathBuf, std::io::Error),
    /// A configuration has a fault.
    Config(ConfigError),
}

impl std::fmt::Display for ToolError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ToolError::Usage(what) => write!(f, "{what}\n\n{USAGE}"),
            ToolError::File(path, e) => write!(f, "{}: {e}", path.display()),
            ToolError::Config(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ToolError {}

impl From<lexopt::Error> for ToolError {
    fn from(e: lexopt::Error) -> Self {
        ToolError::Usage(e.to_string())
    }
}

impl From<ConfigError> for ToolError {
    fn from(e: ConfigError) -> Self {
        ToolError::Config(e)
    }
}

/// What the arguments ask for.
#[derive(Debug, Default)]
struct Asked {
    files: Vec<PathBuf>,
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    state: Option<String>,
    classes: Vec<application::Class>,
    zones: Vec<String>,
    kinds: Vec<String>,
    tenants: Vec<String>,
    slots: Option<u32>,
    max_open: Option<u32>,
    output: Option<PathBuf>,
    mqtt: Option<String>,
}

fn ask(parser: &mut lexopt::Parser) -> Result<Asked, ToolError> {
    let mut a = Asked::default();
    let list = |v: OsString| -> Result<Vec<String>, ToolError> {
        Ok(v.string()?.split(',').filter(|p| !p.is_empty()).map(String::from).collect())
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Value(file) => a.files.push(file.into()),
            Long("name") => a.name = Some(parser.value()?.string()?),
            Long("listen") => a.listen = Some(parser.value()?.string()?),
            Long("discovery") => a.discovery = Some(parser.value()?.string()?),
            Long("state") => a.state = Some(parser.value()?.string()?),
            Long("class") => {
                let text = parser.value()?.string()?;
                a.classes.push(class(&text).map_err(|e| ToolError::Usage(format!("--class '{text}': {e}")))?);
            }
            Long("zones") => a.zones = list(parser.value()?)?,
            Long("kinds") => a.kinds = list(parser.value()?)?,
            Long("tenants") => a.tenants = list(parser.value()?)?,
            Long("slots") => a.slots = Some(parser.value()?.parse()?),
            Long("max-open") => a.max_open = Some(parser.value()?.parse()?),
            Long("output") | Short('o') => a.output = Some(parser.value()?.into()),
            Long("mqtt") => a.mqtt = Some(parser.value()?.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(a)
}

impl Asked {
    /// What the arguments say wins over what the application has so far.
    fn settle(&mut self, app: &mut Application) {
        let text = |from: &mut Option<String>, to: &mut String| from.take().into_iter().for_each(|t| *to = t);
        text(&mut self.name, &mut app.name);
        text(&mut self.listen, &mut app.listen);
        text(&mut self.discovery, &mut app.discovery);
        text(&mut self.state, &mut app.state);
        let list = |from: &mut Vec<String>, to: &mut Vec<String>| {
            if !from.is_empty() {
                *to = std::mem::take(from);
            }
        };
        list(&mut self.zones, &mut app.zones);
        list(&mut self.kinds, &mut app.kinds);
        list(&mut self.tenants, &mut app.tenants);
        if !self.classes.is_empty() {
            app.classes = std::mem::take(&mut self.classes);
        }
        app.slots = self.slots.unwrap_or(app.slots);
        app.max_open = self.max_open.unwrap_or(app.max_open);
    }
}

fn read(path: &Path) -> Result<String, ToolError> {
    std::fs::read_to_string(path).map_err(|e| ToolError::File(path.into(), e))
}

fn write(path: &Path, text: &str) -> Result<(), ToolError> {
    std::fs::write(path, text).map_err(|e| ToolError::File(path.into(), e))
}

/// Writes an application's configuration, once it passes the check.
fn put(app: &Application, asked: &Asked) -> Result<(), ToolError> {
    let text = app.text();
    config::check(&text)?;
    let mqtt = asked.mqtt.as_ref().map(|to| format!("[acceptor]\nenabled = true\nlisten = \"{to}\"\n"));
    mqtt.iter().try_for_each(|t| Mqtt::from_toml(t).map(drop))?;
    let Some(path) = &asked.output else {
        if mqtt.is_some() {
            return Err(ToolError::Usage("--mqtt needs --output".into()));
        }
        print!("{text}");
        return Ok(());
    };
    write(path, &text)?;
    let beside = PathBuf::from(format!("{}.mqtt.toml", path.display()));
    mqtt.iter().try_for_each(|t| write(&beside, t))
}

/// Runs `lilacbank config ...`; the arguments start after `config`.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> Result<(), ToolError> {
    let mut arguments = arguments.into_iter();
    let command = arguments.next().unwrap_or_default();
    let mut asked = ask(&mut lexopt::Parser::from_args(arguments))?;
    let one = |asked: &Asked| match &asked.files[..] {
        [file] => Ok(file.clone()),
        _ => Err(ToolError::Usage("one file was expected".into())),
    };
    match command.to_str() {
        Some("write") if asked.files.is_empty() => {
            let mut app = Application::default();
            asked.settle(&mut app);
            put(&app, &asked)
        }
        Some("check") => {
            let file = one(&asked)?;
            let c = config::check(&read(&file)?)?;
            println!(
                "{}: good: {} classes, {} workers",
                file.display(),
                c.names.classes.len(),
                c.known.workers.len()
            );
            if let Some(file) = asked.mqtt.take().map(PathBuf::from) {
                let on = Mqtt::from_toml(&read(&file)?)?.listen;
                let on = on.map_or("off".to_string(), |a| format!("on, at {a}"));
                println!("{}: good: the MQTT front is {on}", file.display());
            }
            Ok(())
        }
        Some("import-haproxy") => {
            let file = one(&asked)?;
            let (mut app, skipped) = haproxy::import(&read(&file)?);
            asked.settle(&mut app);
            for s in skipped {
                eprintln!("{}:{}: {}", file.display(), s.line, s.why);
            }
            put(&app, &asked)
        }
        _ => Err(ToolError::Usage(format!("'{}' is not understood", command.to_string_lossy()))),
    }
}
