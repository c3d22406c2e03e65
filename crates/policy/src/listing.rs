//! Where an agent gets the list of a version's chunks from.
//!
//! All agents need the list as soon as a version is named. A few in each region read it from the
//! origin, and the others ask those: the origin accepts few connections, and a list for each agent
//! would delay the chunks themselves. An agent that gets no list in time asks the origin too, so
//! that no failed reader holds a region up. See `docs/DECISIONS.md`, "The list of chunks".

use std::time::Duration;

use domain::{clock::Instant, digest::Digest, name};

use crate::owner::{Member, key_of, mix, text_key};

/// How many agents of a region read the list from the origin.
pub const READERS: usize = 3;
/// How long another agent relies on them.
const PATIENCE: Duration = Duration::from_millis(900);
/// The time over which agents that got no list turn to the origin.
const SPREAD: Duration = Duration::from_millis(600);

/// Whom to ask for the list.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Source {
    /// The origin.
    #[display("the origin")]
    Origin,
    /// Another agent.
    #[display("{_0}")]
    Agent(name::Vm),
}

/// The questions of one agent for one version's list.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The readers of the region, without this agent; none if it is one of them.
    readers: Vec<name::Vm>,
    asked: usize,
    /// From when on the origin is asked too.
    origin_at: Instant,
}

impl Listing {
    /// Begins to look for the list of a version.
    pub fn new(me: &Member, members: &[Member], version: &Digest, now: Instant) -> Self {
        let version = key_of(version);
        let rank = |vm: &name::Vm| mix(version, text_key(vm.as_str()));
        let own = rank(&me.vm);
        let others = members
            .iter()
            .filter(|other| other.region == me.region && other.vm != me.vm);
        let mut ranked: Vec<_> = others.map(|other| (rank(&other.vm), &other.vm)).collect();
        ranked.sort();
        let is_reader = ranked.iter().filter(|(rank, _)| *rank < own).count() < READERS;
        let readers = match is_reader {
            true => Vec::new(),
            false => ranked
                .iter()
                .take(READERS)
                .map(|(_, vm)| (*vm).clone())
                .collect(),
        };
        let part = (own % 1_000) as f64 / 1_000.0;
        let patience = match readers.is_empty() {
            true => Duration::ZERO,
            false => PATIENCE + SPREAD.mul_f64(part),
        };
        Self {
            // Each agent begins with another reader.
            asked: (own % READERS as u64) as usize,
            readers,
            origin_at: now + patience,
        }
    }

    /// The source to ask next. After the patience every second question goes to the origin.
    pub fn next_source(&mut self, now: Instant) -> Source {
        self.asked += 1;
        let is_origins_turn = now >= self.origin_at && !self.asked.is_multiple_of(2);
        let reader = match self.readers.len() {
            0 => None,
            count => self.readers.get(self.asked % count),
        };
        match reader {
            Some(vm) if !is_origins_turn => Source::Agent(vm.clone()),
            _ => Source::Origin,
        }
    }
}
