//! Exact weighted turns: of any run of requests each service gets its weight's part, to within one.

use domain::{name, routing::Share};

/// The turns of one route.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    shares: Vec<Share>,
    credits: Vec<i64>,
}

impl RoundRobin {
    /// The service whose turn it is, or nothing if no weight is above zero.
    ///
    /// The cycle starts anew when the weights change.
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
            .filter(|place| shares[*place].weight > 0)
            .max_by_key(|place| (self.credits[*place], std::cmp::Reverse(*place)))?;
        self.credits[chosen] -= total;
        Some(shares[chosen].service.clone())
    }
}
