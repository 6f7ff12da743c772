//! Metrics for the operators' `vars`: counted where each event happens, from 0 at the start of the process.

use std::collections::BTreeMap;

/// How a message ended, as its client learned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientOutcome {
    /// Delivered.
    Completed,
    /// Rejected, or returned after it was accepted.
    Rejected,
    /// Failed: given up, or rejected for good.
    Failed,
}

/// Counts by class, and of attempts written whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metrics {
    /// The numbers of completed, rejected and failed messages, by the name of the class.
    classes: BTreeMap<String, [u64; 3]>,
    /// The number of rejected messages, by reason.
    not_taken: BTreeMap<&'static str, u64>,
    /// Attempts written whole to endpoints, each counted once.
    pub attempts_written: u64,
    /// How far the process has come since its start.
    pub start: StartProgress,
    /// What is held of the memory limit: see [`crate::memory::MemoryLedger::json`].
    pub memory: serde_json::Value,
}

/// Metrics that are computed from the core when they are read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Messages accepted and not yet ended.
    pub pending: usize,
    /// Endpoints on the list.
    pub members: usize,
    /// Endpoints on the list that are avoided now, by an operator block or by the decision module.
    pub unavailable: usize,
    /// Repeated submissions of at-most-once messages that were answered without an attempt.
    pub unproven: u64,
    /// Refusals and violations of the rules on sending and closing: see [`crate::guard::Counts`].
    pub guard: serde_json::Value,
    /// What is known of the other dispatchers; null where replication is disabled.
    pub replication: serde_json::Value,
    /// Sizes of the journal and of the space reserved for it in bytes, and its compactions since the start.
    pub journal: serde_json::Value,
}

/// How far a process has come since its start, and what it started from.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StartProgress {
    /// `read`, `recovering` or `serving`.
    pub stage: &'static str,
    /// The state of its folder at the start: see [`crate::recovery::FolderState::name`].
    pub folder: &'static str,
    /// The incarnation of the state folder, from 1.
    pub life: u64,
    /// The age of the cached endpoint list in milliseconds; `None` if there was none, or its age is unknown.
    pub kept_age_ms: Option<u64>,
    /// Endpoint lists that were refused because their revision was older than that of the cached list.
    pub older_lists: u64,
}

impl Metrics {
    /// Counts a message of a configured class that ended.
    pub fn count(&mut self, class: &str, tally: ClientOutcome) {
        // Only configured classes are counted, which bounds the size of the map.
        let counts = self.classes.entry(class.to_string()).or_default();
        counts[tally as usize] += 1;
    }

    /// Counts a rejected message by its reason.
    pub fn count_rejection(&mut self, why: &'static str) {
        *self.not_taken.entry(why).or_default() += 1;
    }

    /// The number of messages of a class that ended in this way.
    pub fn count_of(&self, class: &str, tally: ClientOutcome) -> u64 {
        self.classes.get(class).map_or(0, |c| c[tally as usize])
    }

    /// The metrics as one line of JSON. Every configured class appears, also if nothing was counted for it.
    pub fn json(&self, classes: &[String], now: Snapshot) -> String {
        let by = |tally: ClientOutcome| {
            let all = classes.iter().map(|c| (c.clone(), serde_json::Value::from(self.count_of(c, tally))));
            serde_json::Value::Object(all.collect())
        };
        serde_json::json!({
            "completed": by(ClientOutcome::Completed),
            "rejected": by(ClientOutcome::Rejected),
            "failed": by(ClientOutcome::Failed),
            "not_taken": self.not_taken,
            "upstream_requests": self.attempts_written,
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
            "journal": now.journal,
            "memory": self.memory,
        })
        .to_string()
    }
}

#[cfg(test)]
mod tests;
