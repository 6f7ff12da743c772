//! Figures for the operators' `vars`: counted where each event happens, from 0 at the start of the process.

use std::collections::BTreeMap;

/// How a message ended, as its client heard it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tally {
    /// Delivered.
    Completed,
    /// Refused at the door or handed back.
    Rejected,
    /// Failed: given up, or not taken and not wanted again.
    Failed,
}

/// Counts by class, and of delegations written whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    /// Completed, rejected and failed, by the name of the class.
    classes: BTreeMap<String, [u64; 3]>,
    /// Messages that were not taken on, by the reason.
    not_taken: BTreeMap<&'static str, u64>,
    /// Messages written whole to endpoints, each attempt once.
    pub upstream: u64,
    /// How far the process has come since its start.
    pub start: Start,
}

/// What a look at the core adds to the counts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Now {
    /// Messages taken and not yet ended.
    pub pending: usize,
    /// Endpoints in the list.
    pub members: usize,
    /// Endpoints of the list that are avoided now, by hand or by choice.
    pub unavailable: usize,
    /// Unsafe messages handed in again that were answered without a call.
    pub unproven: u64,
    /// What the rules on sending and closing did not allow: see [`crate::guard::Counts`].
    pub guard: serde_json::Value,
    /// What is known of the other dispatchers; null where nothing is copied.
    pub replication: serde_json::Value,
}

/// How far a process has come since its start, and from what it began.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Start {
    /// `read`, `recovering` or `serving`.
    pub stage: &'static str,
    /// What its folder was: see [`crate::recovery::Life::name`].
    pub folder: &'static str,
    /// Which life of the folder it is, from 1.
    pub life: u64,
    /// How old the kept list was, in milliseconds; none: there was none, or nobody can tell.
    pub kept_age_ms: Option<u64>,
    /// Lists that were refused for an older revision than the kept one's.
    pub older_lists: u64,
}

impl Figures {
    /// One more message of a known class ended so.
    pub fn count(&mut self, class: &str, tally: Tally) {
        // Only classes of the settings come here: the map stays as small as they are.
        let counts = self.classes.entry(class.to_string()).or_default();
        counts[tally as usize] += 1;
    }

    /// One more message was not taken on, for this reason.
    pub fn not_taken(&mut self, why: &'static str) {
        *self.not_taken.entry(why).or_default() += 1;
    }

    /// So many of a class ended so.
    pub fn of(&self, class: &str, tally: Tally) -> u64 {
        self.classes.get(class).map_or(0, |c| c[tally as usize])
    }

    /// The figures as one line of JSON; every class of the settings is there, also with nothing counted.
    pub fn json(&self, classes: &[String], now: Now) -> String {
        let by = |tally: Tally| {
            let all = classes.iter().map(|c| (c.clone(), serde_json::Value::from(self.of(c, tally))));
            serde_json::Value::Object(all.collect())
        };
        serde_json::json!({
            "completed": by(Tally::Completed),
            "rejected": by(Tally::Rejected),
            "failed": by(Tally::Failed),
            "not_taken": self.not_taken,
            "upstream_requests": self.upstream,
            "pending": now.pending,
            "members": now.members,
            "members_unavailable": now.unavailable,
            "stage": self.start.stage,
            "folder": self.start.folder,
            "life": self.start.life,
            "kept_age_ms": self.start.kept_age_ms,
            "older_lists": self.start.older_lists,
            "unproven": now.unproven,
            "guard": now.guard,
            "replication": now.replication,
        })
        .to_string()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_class_is_shown_and_each_count_is_its_own() {
        let mut f = Figures::default();
        f.count("a", Tally::Completed);
        f.count("a", Tally::Completed);
        f.count("b", Tally::Failed);
        f.upstream = 3;
        let text = f.json(
            &["a".into(), "b".into()],
            Now { pending: 4, members: 5, unavailable: 1, unproven: 2, ..Now::default() },
        );
        let v: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert_eq!(v["completed"]["a"], 2);
        assert_eq!(v["completed"]["b"], 0);
        assert_eq!(v["failed"]["b"], 1);
        assert_eq!(v["rejected"]["a"], 0);
        assert_eq!((v["upstream_requests"].clone(), v["pending"].clone()), (3.into(), 4.into()));
        assert_eq!((v["members"].clone(), v["members_unavailable"].clone()), (5.into(), 1.into()));
        assert!(!text.contains('\n'));
    }
}
