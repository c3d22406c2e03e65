//! What all strategies share: the origin, the live calls and the clock of a run.

use std::{net::SocketAddr, time::Duration};

use domain::{artifact, manifest::Pin};
use fakes::origin::{Config, Origin, Spec};
use tokio::time;

use super::{
    live::{Counters, Load},
    plan::Plan,
};
use crate::{error::Error, fleet::address::Network};

/// How many VMs get live calls.
const CALLED_VMS: usize = 12;
/// How long calls run without a transfer, for comparison.
const QUIET: Duration = Duration::from_secs(3);
/// The port of live calls.
const CALL_PORT: u16 = 4_000;
/// The port of the origin.
const ORIGIN_PORT: u16 = 4_001;

/// A version and what control would pin.
pub(super) struct Version {
    pub(super) spec: Spec,
    pub(super) pin: Pin,
}

impl Version {
    pub(super) fn artifact(&self) -> artifact::Id {
        self.spec.artifact.clone()
    }
}

/// The origin and the versions of a run.
pub(super) struct Site {
    pub(super) network: Network,
    pub(super) origin: Origin,
    pub(super) versions: Vec<Version>,
}

impl Site {
    pub(super) async fn start(plan: &Plan) -> Result<Self, Error> {
        let network = Network::draw();
        let config = Config {
            bytes_per_s: Some(plan.origin_rate),
            ..Config::default()
        };
        let origin = Origin::start(network.addr(0, ORIGIN_PORT), config)
            .await
            .map_err(Error::step("start the origin"))?;
        let versions = plan
            .specs()
            .into_iter()
            .map(|spec| Version {
                pin: origin.add(&spec),
                spec,
            })
            .collect();
        Ok(Self {
            network,
            origin,
            versions,
        })
    }

    /// Starts live calls and lets them run for a while without a transfer.
    pub(super) async fn start_load(
        &self,
        plan: &Plan,
        counters: Vec<Counters>,
    ) -> Result<Load, Error> {
        let step = counters.len().div_ceil(CALLED_VMS).max(1);
        let called = counters.into_iter().step_by(step).collect();
        let addr: SocketAddr = self.network.addr(0, CALL_PORT);
        let load = Load::start(addr, plan.link_rate, called).await?;
        time::sleep(QUIET).await;
        load.begin_rollout();
        Ok(load)
    }
}

/// The processor time of this process so far.
pub(super) fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
