//! A whole system as separate processes on loopback, in a temporary folder.
//!
//! Each VM has an IP number of its own in 127.0.0.0/8, so that fleets running side by side never
//! share a port.

pub mod address;
pub mod ctl;
pub mod layout;
pub mod lists;
pub mod plan;
pub mod process;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use tempfile::TempDir;

use crate::{
    error::Error,
    fleet::{
        address::Network,
        ctl::Ctl,
        layout::Layout,
        plan::{Member, Plan},
        process::Process,
    },
};

/// How long a started fleet may take to become ready.
pub const START_LIMIT: Duration = Duration::from_secs(60);

/// A running system with its stand-ins.
pub struct Fleet {
    /// Replicas of control.
    pub control: Vec<Process>,
    /// Entries.
    pub entries: Vec<Process>,
    /// Agents, in the order of the layout: engines first, then services.
    pub agents: Vec<Process>,
    /// Engines and services, in the order of their agents.
    pub upstreams: Vec<Process>,
    /// The origin of weights.
    pub origin: Process,
    plan: Plan,
    folder: TempDir,
}

/// Lines of each log that a failed test shows: enough for one fault, few enough to be read.
const TAIL_LINES: usize = 12;

impl Fleet {
    /// Starts everything and waits until control has a leader and every VM is announced.
    ///
    /// # Errors
    ///
    /// If something could not be started or did not become ready within [`START_LIMIT`].
    pub fn start(layout: &Layout) -> Result<Self, Error> {
        let folder = TempDir::new().map_err(Error::step("make a temporary folder"))?;
        let plan = Plan::new(layout, Network::draw(), folder.path());
        plan.write()?;
        let fleet = Self {
            origin: plan.origin.spawn()?,
            control: spawn_all(&plan.control)?,
            upstreams: spawn_all(&plan.upstreams)?,
            agents: spawn_all(&plan.agents)?,
            entries: spawn_all(&plan.entries)?,
            plan,
            folder,
        };
        fleet.ctl().wait_for_leader(START_LIMIT)?;
        fleet
            .ctl()
            .wait_for_upstreams(fleet.agents.len(), START_LIMIT)?;
        Ok(fleet)
    }

    /// The temporary folder with settings, data and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Keeps the folder after the end, for a look at the logs.
    pub fn keep_folder(&mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_owned()
    }

    /// The operators' command line, set up for this fleet.
    pub fn ctl(&self) -> Ctl {
        Ctl::new(self.plan.operator_addrs(), self.plan.operator_key_file())
    }

    /// Where callers connect, one address per entry.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.plan.caller_addrs()
    }

    /// The plan from which the fleet was started.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }
}

/// A test that fails leaves no folder behind, so the ends of the logs go with its message.
impl Drop for Fleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let groups = [&self.control, &self.upstreams, &self.agents, &self.entries];
        for process in groups.into_iter().flatten() {
            eprintln!("{}:\n{}", process.name(), tail(&process.log()));
        }
    }
}

fn tail(log: &str) -> String {
    let lines: Vec<_> = log.lines().collect();
    lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
}

fn spawn_all(members: &[Member]) -> Result<Vec<Process>, Error> {
    members.iter().map(Member::spawn).collect()
}
