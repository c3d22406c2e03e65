//! Smooth weighted round robin: in any sequence of requests each service gets its share by weight,
//! to within one request.

use domain::{name, routing::Share};

/// The weighted round robin over the services of one route.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    shares: Vec<Share>,
    credits: Vec<i64>,
}

impl RoundRobin {
    /// Returns the service for the next request, or `None` if no weight is above zero.
    ///
    /// The cycle restarts when the weights change.
    pub fn next(&mut self, shares: &[Share]) -> Option<name::Service> {
        if self.shares != shares {
            self.shares = shares.to_vec();
            self.credits = vec![0; shares.len()];
        }
        let total: i64 = shares.iter().map(|share| i64::from(share.weight)).sum();
        for (credit, share) in self.credits.iter_mut().zip(shares) {
            *credit += i64::from(share.weight);
        }
        let chosen = (0..shares.len())
            .filter(|index| shares[*index].weight > 0)
            .max_by_key(|index| (self.credits[*index], std::cmp::Reverse(*index)))?;
        self.credits[chosen] -= total;
        Some(shares[chosen].service.clone())
    }
}
