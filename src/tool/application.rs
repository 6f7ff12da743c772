//! An application's configuration as the tool holds it, and as the dispatcher reads it.

use std::collections::HashMap;
use tinyjson::JsonValue;

/// A class of messages.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// `idempotent`, `deduplicated` or `at_most_once`.
    pub effect: String,
    /// Wanted within so many milliseconds.
    pub promise: f64,
    /// Given up after so many.
    pub deadline: f64,
    /// How long repeats are dropped, where they are.
    pub window: f64,
    /// Messages of one key go in order.
    pub ordered: bool,
}

/// Reads `NAME,EFFECT,PROMISE,DEADLINE[,WINDOW][,ordered]`.
pub fn class(text: &str) -> Result<Class, String> {
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
    let (promise, deadline) = (times[0], times[1]);
    let window = times.get(2).copied().unwrap_or(deadline);
    Ok(Class { name: name.into(), effect: effect.into(), promise, deadline, window, ordered })
}

/// A worker that the application knows from the start.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// Its id.
    pub uid: String,
    /// Where it is reached.
    pub endpoint: String,
    /// Its destination's number.
    pub dest: u32,
    /// Its destination's kind.
    pub kind: String,
}

/// All that is written for an application. The defaults are ours.
#[derive(Debug, Clone, PartialEq)]
pub struct Application {
    /// The dispatcher's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// The registry.
    pub discovery: String,
    /// The folder that lasts.
    pub state: String,
    /// The classes.
    pub classes: Vec<Class>,
    /// The zones, the own one first.
    pub zones: Vec<String>,
    /// The kinds of destination.
    pub kinds: Vec<String>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// Calls out at once.
    pub slots: u32,
    /// Messages held at once.
    pub max_open: u32,
    /// Attempts for a message.
    pub most_tries: u32,
    /// A connection not made within so many milliseconds is given up.
    pub connect_timeout: f64,
    /// Idle connections are closed after so many.
    pub keepalive: f64,
    /// Workers may be probed.
    pub probes: bool,
    /// Workers known from the start.
    pub workers: Vec<Worker>,
}

impl Default for Application {
    fn default() -> Application {
        Application {
            name: "lilacbank".into(),
            listen: "127.0.0.1:6379".into(),
            discovery: "127.0.0.1:8500".into(),
            state: "state".into(),
            classes: vec![Class {
                name: "message".into(),
                effect: "at_most_once".into(),
                promise: 3_000.0,
                deadline: 20_000.0,
                window: 20_000.0,
                ordered: false,
            }],
            zones: vec!["default".into()],
            kinds: vec!["default".into()],
            tenants: Vec::new(),
            slots: 32,
            max_open: 1_000,
            most_tries: 8,
            connect_timeout: 1_000.0,
            keepalive: 10_000.0,
            probes: true,
            workers: Vec::new(),
        }
    }
}

fn object<const N: usize>(pairs: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(HashMap::from(pairs.map(|(k, v)| (k.to_string(), v))))
}

fn text(t: &str) -> JsonValue {
    JsonValue::String(t.to_string())
}

fn number(n: impl Into<f64>) -> JsonValue {
    JsonValue::Number(n.into())
}

fn list<T>(items: &[T], one: impl Fn(&T) -> JsonValue) -> JsonValue {
    JsonValue::Array(items.iter().map(one).collect())
}

impl Application {
    /// The JSON text that `ROUTER_CONFIG` may name.
    pub fn text(&self) -> String {
        let class = |c: &Class| {
            object([
                ("name", text(&c.name)),
                ("effect", text(&c.effect)),
                ("group", text("zone")),
                ("promise", number(c.promise)),
                ("deadline", number(c.deadline)),
                ("window", number(c.window)),
                ("in_order", JsonValue::Boolean(c.ordered)),
                ("worth", number(1)),
            ])
        };
        let worker = |w: &Worker| {
            object([
                ("uid", text(&w.uid)),
                ("endpoint", text(&w.endpoint)),
                ("az", text(self.zones.first().map_or("", |z| z))),
                ("model", text(&w.kind)),
                ("pod_group", number(w.dest)),
                ("state", text("in_service")),
            ])
        };
        let ceilings = object([
            ("cancel", JsonValue::Boolean(true)),
            ("probes", JsonValue::Boolean(self.probes)),
            ("retry_after", JsonValue::Boolean(true)),
            ("max_retry_after", number(2_000)),
            ("connect_timeout", number(self.connect_timeout)),
            ("keepalive", number(self.keepalive)),
            ("max_open", number(self.max_open)),
            ("most_tries", number(self.most_tries)),
        ]);
        let guarantees = object([
            ("answer_slack", number(20)),
            ("drain_grace", number(2_000)),
            ("key_quiet", number(100)),
            ("overload_factor", number(2)),
            ("overload_for", number(2_000)),
            ("cold_from", number(0.22)),
            ("cold", number(13_000)),
        ]);
        let family = object([
            ("slots", number(self.slots)),
            ("kind_apart", list(&self.kinds, |_| JsonValue::Boolean(true))),
        ]);
        let settings = object([
            ("balancers", number(1)),
            ("round", number(1)),
            ("classes", list(&self.classes, class)),
            ("ceilings", ceilings),
            ("guarantees", guarantees),
            ("family_info", family),
            ("kinds", list(&self.kinds, |k| text(k))),
            ("zones", list(&self.zones, |z| text(z))),
            ("zone", text(self.zones.first().map_or("", |z| z))),
            ("tenants", list(&self.tenants, |t| object([("name", text(t)), ("quota_per_s", number(1e6))]))),
        ]);
        let known = object([
            ("rev", number(0)),
            ("all", JsonValue::Boolean(true)),
            ("targets", list(&self.workers, worker)),
        ]);
        let all = object([
            ("name", text(&self.name)),
            ("listen", text(&self.listen)),
            ("discovery", text(&self.discovery)),
            ("state", text(&self.state)),
            (
                "limits",
                object([("sockets", number(1024)), ("disk_mb", number(3)), ("memory_mb", number(192))]),
            ),
            ("known", known),
            ("settings", settings),
        ]);
        // Every number here is finite, which is all that writing could fail for.
        all.format().unwrap_or_default() + "\n"
    }
}
