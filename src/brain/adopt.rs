//! Takes changed settings over while messages are held. Nothing is decided here.

use super::Brain;
use crate::api::Settings;
use crate::state::Bucket;

impl Brain {
    /// From now on these settings hold. Classes, zones, kinds and tenants keep their numbers; new ones come behind.
    pub fn adopt(&mut self, s: Settings) {
        self.quota.resize(s.tenant_quota.len().max(self.quota.len()), Bucket::default());
        // What messages are worth on average is learned again from here on, by the new worths.
        let worth =
            |s: &Settings| s.classes.iter().map(|c| c.worth).sum::<f64>() / s.classes.len().max(1) as f64;
        self.mean_worth *= worth(&s) / worth(&self.s).max(f64::MIN_POSITIVE);
        self.s = Settings { seed: self.s.seed, ..s };
    }
}

impl Brain {
    /// From now on so many calls may be out and so many messages held.
    pub fn allow(&mut self, slots: usize, held: usize) {
        (self.s.slots, self.s.max_held) = (slots, held);
    }
}
