//! Adopts changed settings while messages are held. Nothing is decided here.

use super::DecisionModule;
use crate::api::Settings;
use crate::state::TokenBucket;

impl DecisionModule {
    /// Replaces the settings, except for the seed. Classes, zones, kinds and tenants keep their indices; new
    /// ones are appended.
    pub fn update_settings(&mut self, settings: Settings) {
        self.quota.resize(settings.tenant_quota.len().max(self.quota.len()), TokenBucket::default());
        // The learned mean worth is scaled to the new worths, and learned further from there.
        let worth =
            |s: &Settings| s.classes.iter().map(|c| c.worth).sum::<f64>() / s.classes.len().max(1) as f64;
        self.mean_worth *= worth(&settings) / worth(&self.settings).max(f64::MIN_POSITIVE);
        self.settings = Settings { seed: self.settings.seed, ..settings };
    }
}

impl DecisionModule {
    /// Sets how many calls may be outstanding and how many messages may be held.
    pub fn set_capacity(&mut self, slots: usize, held: usize) {
        (self.settings.slots, self.settings.max_held) = (slots, held);
    }
}
