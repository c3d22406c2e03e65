//! Rollouts: how far one version has come towards serving the fleet.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{artifact, digest::Digest, manifest::Pin, name, order::Fence};

/// The sum of all waves: a rollout with this width loads everywhere.
pub const FULL_WIDTH: u32 = 1_000;

/// How far a rollout has come.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Upstreams fetch the chunks; none loads yet.
    #[display("prefetch")]
    Prefetch,
    /// Upstreams whose [`rank`] is below `width` load the version.
    #[display("wave {width}")]
    Wave {
        /// The part of each zone that loads, in thousandths.
        width: u32,
    },
    /// Enough warm capacity serves the version; plans that prefer it use it.
    #[display("ready")]
    Ready,
    /// A health check failed; nothing more loads until an operator acts.
    #[display("halted: {reason}")]
    Halted {
        /// What was seen.
        reason: String,
        /// The width at which the rollout stopped.
        width: u32,
    },
}

impl Stage {
    /// The part of each zone that may load the version, in thousandths.
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
    /// The version that is rolled out.
    pub artifact: artifact::Id,
    /// The manifest as it was when the edit was accepted.
    pub pin: Pin,
    /// How far it has come.
    pub stage: Stage,
    /// The fencing number of orders that follow from this state.
    pub fence: Fence,
}

/// The place of a VM in the waves of a version, in thousandths.
///
/// A hash decides it, so control commits one number per version and never a list of VMs.
/// See `docs/DECISIONS.md`, "Waves".
pub fn rank(vm: &name::Vm, artifact: &artifact::Id) -> u32 {
    let digest = Digest::of(format!("{vm}/{artifact}").as_bytes());
    let [a, b, c, d, ..] = *digest.as_bytes();
    u32::from_le_bytes([a, b, c, d]) % FULL_WIDTH
}
