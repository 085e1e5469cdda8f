//! Traffic splitting by weight.

/// Smooth weighted round robin: the part with the most requests due takes the next
/// one, so that each part gets its share in an even order.
#[derive(Clone, Debug, Default)]
pub struct Split {
    /// Requests due to each part, minus those that it took.
    due: Vec<f64>,
}

impl Split {
    /// Index of the part that takes the next request; `None` when there are no
    /// parts. If all weights are 0, the parts are equal. `draw` returns random
    /// numbers from 0 to 1 for the initial state, so that different nodes do not
    /// all begin with the same part.
    pub fn choose(
        &mut self,
        weights: impl Iterator<Item = u32> + Clone,
        draw: impl FnMut() -> f64,
    ) -> Option<usize> {
        let total: f64 = weights.clone().map(f64::from).sum();
        let count = weights.clone().count();
        let share = |weight: u32| {
            if total > 0.0 {
                f64::from(weight) / total
            } else {
                1.0
            }
        };
        if self.due.len() != count {
            self.due = std::iter::repeat_with(draw).take(count).collect();
        }
        for (due, weight) in self.due.iter_mut().zip(weights.clone()) {
            *due += share(weight);
        }
        let usable = weights.map(|weight| total == 0.0 || weight > 0);
        let best = self.due.iter().zip(usable).enumerate();
        let best = best.filter(|(_, (_, usable))| *usable);
        let (index, _) = best.max_by(|(_, (left, _)), (_, (right, _))| left.total_cmp(right))?;
        self.due[index] -= 1.0;
        Some(index)
    }
}
