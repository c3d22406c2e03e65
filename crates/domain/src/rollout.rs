//! Rollouts, which bring one version of an artifact into service across the fleet in waves.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{artifact, digest::Digest, manifest::Pin, name, order::Fence};

/// The full width of a rollout, in thousandths: all upstreams load the version.
pub const FULL_WIDTH: u32 = 1_000;

/// The stage of a rollout.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Upstreams fetch the chunks of the version. None loads it yet.
    #[display("prefetch")]
    Prefetch,
    /// Upstreams whose [`rank`] is below `width` load the version.
    #[display("wave {width}")]
    Wave {
        /// The fraction of each zone that loads the version, in thousandths.
        width: u32,
    },
    /// Enough warm capacity serves the version. Plans that prefer it use it.
    #[display("ready")]
    Ready,
    /// A health check failed. No further upstream loads the version until an operator resumes the
    /// rollout.
    #[display("halted: {reason}")]
    Halted {
        /// The reason for the halt.
        reason: String,
        /// The width at which the rollout stopped.
        width: u32,
    },
}

impl Stage {
    /// The fraction of each zone that may load the version, in thousandths.
    pub fn width(&self) -> u32 {
        match self {
            Self::Prefetch => 0,
            Self::Wave { width } | Self::Halted { width, .. } => *width,
            Self::Ready => FULL_WIDTH,
        }
    }
}

/// The committed state of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Rollout {
    /// The artifact that is rolled out.
    pub artifact: artifact::Id,
    /// The summary of the manifest at the time when the edit was accepted.
    pub pin: Pin,
    /// The stage of the rollout.
    pub stage: Stage,
    /// The fencing token of the orders that follow from this state.
    pub fence: Fence,
}

/// The rank of a VM in the waves of a version, in thousandths.
///
/// The rank is derived from a hash, so control commits one number per version and never a list of
/// VMs.
/// See `docs/DECISIONS.md`, "Waves".
pub fn rank(vm: &name::Vm, artifact: &artifact::Id) -> u32 {
    let digest = Digest::of(format!("{vm}/{artifact}").as_bytes());
    let [a, b, c, d, ..] = *digest.as_bytes();
    u32::from_le_bytes([a, b, c, d]) % FULL_WIDTH
}
