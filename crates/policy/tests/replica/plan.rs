//! The size of a simulated group and the faults of a run.

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// The hosts of a run and its faults. Probabilities apply to each host in each step, those of
/// `drop` and `duplicate` to each message, that of `partition` to each step.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) voters: usize,
    pub(crate) spares: usize,
    pub(crate) steps: usize,
    pub(crate) drop: f64,
    pub(crate) duplicate: f64,
    pub(crate) max_delay_ms: u64,
    pub(crate) min_write_ms: u64,
    pub(crate) max_write_ms: u64,
    pub(crate) crash: f64,
    pub(crate) lose_disk: f64,
    pub(crate) freeze: f64,
    pub(crate) fill_disk: f64,
    pub(crate) partition: f64,
    pub(crate) replace: f64,
    pub(crate) propose: f64,
    pub(crate) snapshot_entries: u64,
}

impl Plan {
    /// No faults.
    pub(crate) fn calm(voters: usize) -> Self {
        Self {
            voters,
            spares: 0,
            steps: 0,
            drop: 0.0,
            duplicate: 0.0,
            max_delay_ms: 5,
            min_write_ms: 0,
            max_write_ms: 5,
            crash: 0.0,
            lose_disk: 0.0,
            freeze: 0.0,
            fill_disk: 0.0,
            partition: 0.0,
            replace: 0.0,
            propose: 0.0,
            snapshot_entries: 1_000,
        }
    }

    /// No faults, and empty hosts in addition to the initial voters.
    pub(crate) fn calm_with_spares(voters: usize, spares: usize) -> Self {
        Self {
            spares,
            ..Self::calm(voters)
        }
    }

    /// Each write takes longer than the longest election timeout, as it may while other programs
    /// sync the same disk.
    pub(crate) fn slow_disks(voters: usize) -> Self {
        Self {
            min_write_ms: 700,
            max_write_ms: 1_200,
            ..Self::calm(voters)
        }
    }

    /// A random plan in which disks are full from time to time.
    pub(crate) fn draw_with_full_disks(seed: u64) -> Self {
        Self {
            fill_disk: [0.002, 0.01][usize::from(seed.is_multiple_of(2))],
            ..Self::draw(seed)
        }
    }

    /// A random plan.
    pub(crate) fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x9e37_79b9_7f4a_7c15);
        let pick = |rng: &mut StdRng, rates: [f64; 3]| rates[rng.random_range(0..3)];
        Self {
            voters: [1, 3, 3, 3, 4, 5][rng.random_range(0..6)],
            spares: rng.random_range(0..3),
            steps: 2_500,
            drop: pick(&mut rng, [0.0, 0.02, 0.2]),
            duplicate: pick(&mut rng, [0.0, 0.02, 0.2]),
            max_delay_ms: [2, 20, 300][rng.random_range(0..3)],
            min_write_ms: 0,
            max_write_ms: [1, 10, 200][rng.random_range(0..3)],
            crash: pick(&mut rng, [0.0, 0.002, 0.01]),
            lose_disk: pick(&mut rng, [0.0, 0.001, 0.005]),
            freeze: pick(&mut rng, [0.0, 0.002, 0.01]),
            fill_disk: 0.0,
            partition: pick(&mut rng, [0.0, 0.005, 0.02]),
            replace: pick(&mut rng, [0.0, 0.005, 0.02]),
            propose: pick(&mut rng, [0.05, 0.2, 0.8]),
            snapshot_entries: [5, 20, 1_000][rng.random_range(0..3)],
        }
    }
}
