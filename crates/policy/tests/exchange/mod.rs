//! Simulates swarms that exchange chunks over a network, with a clock that the test advances.
#![allow(dead_code)]

use std::{collections::BTreeMap, time::Duration};

use domain::{clock::Instant, digest::Digest, manifest::Chunk};
use policy::{
    owner::Member,
    swarm::{Bitmap, Config, Fetch, Offer, Outcome, Source, Swarm, upload},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub(crate) const CHUNK_BYTES: u32 = 1_000;
const STEP: Duration = Duration::from_millis(50);
const UPLOAD_PERCENT: u32 = 110;

/// The behaviour of an agent towards its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Honest,
    /// Answers no requests.
    Dead,
    /// Offers every chunk, whatever it holds.
    Liar,
    /// Sends corrupt bytes.
    Corrupter,
}

pub(crate) struct Agent {
    pub(crate) member: Member,
    pub(crate) swarm: Swarm,
    pub(crate) uploads: upload::Budget,
    pub(crate) behaviour: Behaviour,
    pub(crate) verified: BTreeMap<Digest, bool>,
}

struct Transfer {
    agent: usize,
    fetch: Fetch,
    due: Instant,
}

pub(crate) struct Exchange {
    pub(crate) agents: Vec<Agent>,
    pub(crate) now: Instant,
    pub(crate) manifest: Digest,
    pub(crate) chunks: Vec<Chunk>,
    pub(crate) origin_fetches: Vec<u32>,
    pub(crate) is_origin_up: bool,
    pub(crate) corrupt_fetches: u32,
    /// Whether agents reach only agents of their own region.
    pub(crate) is_partitioned: bool,
    transfers: Vec<Transfer>,
    rng: StdRng,
}

pub(crate) fn member(index: usize, regions: usize) -> Member {
    Member {
        vm: format!("vm{index}").as_str().into(),
        zone: format!("r{}-{}", index % regions, index % 2)
            .as_str()
            .into(),
        region: format!("r{}", index % regions).as_str().into(),
    }
}

pub(crate) fn config(me: Member) -> Config {
    Config {
        me,
        neighbours: 6,
        pipeline: 4,
        has_store: false,
        origin_percent_max: 115,
        upload_percent: UPLOAD_PERCENT,
        stall_after: Duration::from_secs(3),
        region_bytes_per_s: 1_000_000,
    }
}

pub(crate) fn chunks(count: usize) -> Vec<Chunk> {
    (0..count)
        .map(|index| Chunk {
            digest: Digest::of(&index.to_le_bytes()),
            bytes: CHUNK_BYTES,
        })
        .collect()
}

impl Exchange {
    pub(crate) fn new(agents: usize, regions: usize, chunk_count: usize, seed: u64) -> Self {
        let members: Vec<_> = (0..agents).map(|index| member(index, regions)).collect();
        let chunks = chunks(chunk_count);
        let manifest = Digest::of(&seed.to_le_bytes());
        let mut exchange = Self {
            agents: Vec::new(),
            now: Instant::from_millis(1_000_000),
            manifest,
            origin_fetches: vec![0; chunk_count],
            chunks,
            is_origin_up: true,
            corrupt_fetches: 0,
            is_partitioned: false,
            transfers: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        for member in &members {
            let agent = exchange.agent(member.clone(), &members);
            exchange.agents.push(agent);
        }
        exchange
    }

    fn agent(&mut self, member: Member, members: &[Member]) -> Agent {
        let rng = StdRng::seed_from_u64(self.rng.random());
        let mut swarm = Swarm::new(config(member.clone()), rng);
        swarm.set_members(members.to_vec(), self.now);
        let held = Bitmap::new(self.chunks.len());
        swarm.want(self.manifest, self.chunks.clone(), held, 1, self.now);
        let mut uploads = upload::Budget::new(UPLOAD_PERCENT);
        uploads.open(
            self.manifest,
            u64::from(CHUNK_BYTES) * self.chunks.len() as u64,
        );
        Agent {
            member,
            swarm,
            uploads,
            behaviour: Behaviour::Honest,
            verified: BTreeMap::new(),
        }
    }

    /// Advances time by at most `limit` until all agents that are not dead hold every chunk, and
    /// returns whether they do.
    pub(crate) fn run(&mut self, limit: Duration) -> bool {
        let end = self.now + limit;
        while self.now < end && !self.is_done() {
            self.step();
        }
        self.is_done()
    }

    pub(crate) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.agents
            .iter()
            .filter(|agent| agent.behaviour != Behaviour::Dead)
            .all(|agent| {
                agent
                    .swarm
                    .held(&self.manifest)
                    .is_some_and(Bitmap::is_full)
            })
    }

    /// The average number of fetches of a chunk from the origin.
    pub(crate) fn copies(&self) -> f64 {
        f64::from(self.origin_fetches.iter().sum::<u32>()) / self.origin_fetches.len() as f64
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.agents[from], &self.agents[to]);
        b.behaviour != Behaviour::Dead
            && (!self.is_partitioned || a.member.region == b.member.region)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.finish_due();
        for index in 0..self.agents.len() {
            if self.agents[index].behaviour != Behaviour::Dead {
                self.watch(index);
                self.start(index);
            }
        }
    }

    fn watch(&mut self, index: usize) {
        let now = self.now;
        for watch in self.agents[index].swarm.watches(now) {
            let other = self
                .agents
                .iter()
                .position(|agent| agent.member.vm == watch.vm);
            match other {
                Some(other) if self.is_reachable(index, other) => {
                    let offer = self.offer(other);
                    self.agents[index].swarm.set_offer(&watch, offer, now);
                }
                _ => self.agents[index].swarm.disconnect(&watch.vm, now),
            }
        }
    }

    fn offer(&self, index: usize) -> Option<Offer> {
        let agent = &self.agents[index];
        let held = match agent.behaviour {
            Behaviour::Liar => {
                Bitmap::from_bytes(&vec![0xff; self.chunks.len()], self.chunks.len())
            }
            _ => agent.swarm.held(&self.manifest)?.clone(),
        };
        let sent_bytes = agent.uploads.sent(&self.manifest);
        Some(Offer { held, sent_bytes })
    }

    fn start(&mut self, index: usize) {
        for fetch in self.agents[index].swarm.poll(self.now) {
            let due = self.now + Duration::from_millis(self.rng.random_range(10..200));
            self.transfers.push(Transfer {
                agent: index,
                fetch,
                due,
            });
        }
    }

    fn finish_due(&mut self) {
        let now = self.now;
        let transfers = std::mem::take(&mut self.transfers);
        let (due, pending): (Vec<_>, Vec<_>) = transfers
            .into_iter()
            .partition(|transfer| transfer.due <= now);
        self.transfers = pending;
        for transfer in due {
            let outcome = self.outcome(&transfer);
            let agent = &mut self.agents[transfer.agent];
            if outcome == Outcome::Verified {
                agent.verified.insert(transfer.fetch.chunk.digest, true);
            }
            agent.swarm.finish(transfer.fetch.id, outcome, now);
        }
    }

    fn outcome(&mut self, transfer: &Transfer) -> Outcome {
        match &transfer.fetch.source {
            Source::Store => Outcome::Refused,
            Source::Origin => self.fetch_origin(&transfer.fetch.chunk.digest),
            Source::Peer(vm) => {
                let other = self.agents.iter().position(|agent| agent.member.vm == *vm);
                match other {
                    Some(other) if self.is_reachable(transfer.agent, other) => {
                        self.serve(other, &transfer.fetch)
                    }
                    _ => Outcome::Failed,
                }
            }
        }
    }

    fn fetch_origin(&mut self, digest: &Digest) -> Outcome {
        if !self.is_origin_up {
            return Outcome::Refused;
        }
        let place = self
            .chunks
            .iter()
            .position(|chunk| chunk.digest == *digest)
            .unwrap();
        self.origin_fetches[place] += 1;
        if self.corrupt_fetches > 0 {
            self.corrupt_fetches -= 1;
            return Outcome::Corrupt;
        }
        Outcome::Verified
    }

    fn serve(&mut self, index: usize, fetch: &Fetch) -> Outcome {
        let manifest = self.manifest;
        let agent = &mut self.agents[index];
        if agent.behaviour == Behaviour::Corrupter {
            return Outcome::Corrupt;
        }
        if !agent.swarm.holds(&fetch.chunk.digest) {
            return Outcome::NotHeld;
        }
        // An agent must not send chunks that it has not verified.
        assert!(agent.verified.contains_key(&fetch.chunk.digest));
        let answer = agent.uploads.request(
            &manifest,
            fetch.chunk.bytes.into(),
            fetch.is_spare_only,
            Duration::ZERO,
            Duration::ZERO,
        );
        match answer {
            upload::Answer::Send => Outcome::Verified,
            upload::Answer::Busy(retry) => Outcome::Busy(retry),
        }
    }
}
