//! Which service of a split route gets a request.
//!
//! Load it answers: short stretches of few requests, in which independent draws would
//! stray from the weights. Each request goes to the part that is furthest behind.

use crate::state::routes::Part;

/// How far each part of a split is behind its share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Split {
    credits: Vec<f64>,
}

impl Split {
    /// Picks the part that is furthest behind its weight; `None` without parts or weights.
    pub fn choose(&mut self, parts: &[Part]) -> Option<usize> {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            return None;
        }
        // Another number of parts is another split: what was owed no longer holds.
        if self.credits.len() != parts.len() {
            self.credits = vec![0.0; parts.len()];
        }
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight / total;
        }
        let place = (0..parts.len())
            .max_by(|left, right| self.credits[*left].total_cmp(&self.credits[*right]))?;
        self.credits[place] -= 1.0;
        Some(place)
    }
}
