//! The product-limit (Kaplan-Meier) estimate of an endpoint's call times. Mathematics only: nothing is
//! decided here.

use crate::api::Ms;

/// The distribution of an endpoint's call times as probability steps. Probability that is missing to 1 lies
/// after any deadline.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallTimeDistribution {
    /// Times in ascending order, each with the probability of an answer at that time.
    pub steps: Vec<(Ms, f64)>,
}

impl CallTimeDistribution {
    /// The product-limit estimate from samples `(time, answered)`. An attempt that was cut short is the
    /// censored sample `(time, false)`; a failure is `(∞, false)`.
    pub fn product_limit(samples: &[(Ms, bool)]) -> CallTimeDistribution {
        let mut sorted = samples.to_vec();
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        let mut left = 1.0;
        let mut steps = Vec::new();
        for (i, &(t, answered)) in sorted.iter().enumerate() {
            if answered {
                let mass = left / (sorted.len() - i) as f64;
                steps.push((t, mass));
                left -= mass;
            }
        }
        CallTimeDistribution { steps }
    }

    /// Probability that there is no answer by `t`.
    pub fn survival(&self, t: Ms) -> f64 {
        1.0 - self.steps.iter().take_while(|s| s.0 <= t).map(|s| s.1).sum::<f64>()
    }

    /// Time by which the share `q` of the answered calls was answered; `None` if there are none.
    pub fn quantile(&self, q: f64) -> Option<Ms> {
        let all: f64 = self.steps.iter().map(|s| s.1).sum();
        let mut sum = 0.0;
        for s in &self.steps {
            sum += s.1;
            if sum >= q * all - 1e-9 {
                return Some(s.0);
            }
        }
        None
    }

    /// Expected worth of a call sent now, where `worth(t)` is the worth of an answer after `t`.
    pub fn payoff(&self, worth: impl Fn(Ms) -> f64) -> f64 {
        self.steps.iter().map(|&(t, mass)| mass * worth(t)).sum()
    }
}
