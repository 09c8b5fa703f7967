//! Which service of a split route gets a request.
//!
//! Handles short periods with few requests, in which independent random choices would
//! deviate from the weights. Each request goes to the part that is furthest behind its
//! share.

use crate::state::routes::SplitService;

/// Number of requests by which each part of a split is behind its share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficSplit {
    credits: Vec<f64>,
}

impl TrafficSplit {
    /// Returns the index of the part that is furthest behind its weight; `None` without
    /// parts or weights.
    pub fn choose_service(&mut self, parts: &[SplitService]) -> Option<usize> {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        // A different number of parts is a different split: earlier credits do not apply.
        if self.credits.len() != parts.len() {
            self.credits = vec![0.0; parts.len()];
        }
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight / total;
        }
        let index = (0..parts.len())
            .max_by(|left, right| self.credits[*left].total_cmp(&self.credits[*right]))?;
        self.credits[index] -= 1.0;
        Some(index)
    }
}
