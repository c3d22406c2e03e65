//! What is measured, and the least time that any strategy needs for it.

use clap::ArgMatches;
use derive_more::Display;
use domain::artifact;
use fakes::origin::Spec;
use serde::Serialize;

/// How chunks travel.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Strategy {
    /// The product's way.
    #[display("swarm")]
    Swarm,
    /// Every agent draws every chunk from the origin.
    #[display("origin")]
    Origin,
    /// Each agent takes every chunk from the one before it.
    #[display("chain")]
    Chain,
}

/// One measurement.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) strategy: Strategy,
    pub(super) replicas: usize,
    pub(super) regions: usize,
    pub(super) bytes: u64,
    pub(super) chunk_bytes: u32,
    pub(super) burst: u64,
    pub(super) neighbours: usize,
    pub(super) pipeline: usize,
    pub(super) origin_rate: u64,
    pub(super) link_rate: u64,
    pub(super) region_rate: u64,
    pub(super) origin_percent: u32,
    pub(super) restarts: usize,
    pub(super) has_slopes: bool,
}

impl Plan {
    pub(super) fn new(matches: &ArgMatches) -> Self {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
        let small = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
        let strategy = match matches.get_one::<String>("strategy").map(String::as_str) {
            Some("origin") => Strategy::Origin,
            Some("chain") => Strategy::Chain,
            _ => Strategy::Swarm,
        };
        Self {
            strategy,
            replicas: small("replicas"),
            regions: small("regions"),
            bytes: number("bytes"),
            chunk_bytes: u32::try_from(number("chunk-bytes")).unwrap_or(u32::MAX),
            burst: number("burst"),
            neighbours: small("neighbours"),
            pipeline: small("pipeline"),
            origin_rate: number("origin-rate"),
            link_rate: number("link-rate"),
            region_rate: number("region-rate"),
            origin_percent: u32::try_from(number("origin-percent")).unwrap_or(u32::MAX),
            restarts: small("restarts"),
            has_slopes: matches.get_flag("slopes"),
        }
    }

    /// The versions that come at once.
    pub(super) fn specs(&self) -> Vec<Spec> {
        (0..self.burst)
            .map(|index| {
                let artifact = artifact::Id::new("finish", format!("v{index}").as_str());
                Spec::new(artifact, self.bytes).with_chunk_bytes(self.chunk_bytes)
            })
            .collect()
    }

    /// Bytes of all versions.
    pub(super) fn total_bytes(&self) -> u64 {
        self.bytes * self.burst
    }

    /// The region of an agent.
    pub(super) fn region_of(&self, index: usize) -> usize {
        index * self.regions / self.replicas.max(1)
    }

    /// The least time that the links allow, whatever the strategy, in seconds.
    ///
    /// Every VM takes one copy over its link, the origin sends at least one, and all regions
    /// together get a copy each from the origin and over the links between them.
    pub(super) fn bound_seconds(&self) -> f64 {
        let bytes = self.total_bytes() as f64;
        let regions = self.regions.min(self.replicas) as f64;
        let links = regions * (regions - 1.0);
        let into_regions = self.origin_rate as f64 + links * self.region_rate as f64;
        [
            bytes / self.origin_rate as f64,
            bytes / self.link_rate as f64,
            regions * bytes / into_regions,
        ]
        .into_iter()
        .fold(0.0, f64::max)
    }
}
