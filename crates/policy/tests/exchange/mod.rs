//! Swarms that exchange chunks over a pretended network, with time that the test moves.
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

/// How an agent treats others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    Honest,
    /// Answers nothing.
    Dead,
    /// Says that it holds everything and holds nothing.
    Liar,
    /// Sends wrong bytes.
    Corrupter,
}

pub(crate) struct Agent {
    pub(crate) member: Member,
    pub(crate) swarm: Swarm,
    pub(crate) uploads: upload::Budget,
    pub(crate) manner: Manner,
    pub(crate) verified: BTreeMap<Digest, bool>,
}

struct Flight {
    agent: usize,
    fetch: Fetch,
    due: Instant,
}

pub(crate) struct Exchange {
    pub(crate) agents: Vec<Agent>,
    pub(crate) now: Instant,
    pub(crate) manifest: Digest,
    pub(crate) chunks: Vec<Chunk>,
    pub(crate) drawn: Vec<u32>,
    pub(crate) is_origin_up: bool,
    pub(crate) corrupt_draws: u32,
    pub(crate) is_cut: bool,
    flights: Vec<Flight>,
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
            drawn: vec![0; chunk_count],
            chunks,
            is_origin_up: true,
            corrupt_draws: 0,
            is_cut: false,
            flights: Vec::new(),
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
            manner: Manner::Honest,
            verified: BTreeMap::new(),
        }
    }

    /// Moves time until every honest agent holds everything, and says whether that came to pass.
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
            .filter(|agent| agent.manner != Manner::Dead)
            .all(|agent| {
                agent
                    .swarm
                    .held(&self.manifest)
                    .is_some_and(Bitmap::is_full)
            })
    }

    pub(crate) fn copies(&self) -> f64 {
        f64::from(self.drawn.iter().sum::<u32>()) / self.drawn.len() as f64
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.agents[from], &self.agents[to]);
        b.manner != Manner::Dead && (!self.is_cut || a.member.region == b.member.region)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.land();
        for index in 0..self.agents.len() {
            if self.agents[index].manner != Manner::Dead {
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
        let held = match agent.manner {
            Manner::Liar => Bitmap::from_bytes(&vec![0xff; self.chunks.len()], self.chunks.len()),
            _ => agent.swarm.held(&self.manifest)?.clone(),
        };
        let sent_bytes = agent.uploads.sent(&self.manifest);
        Some(Offer { held, sent_bytes })
    }

    fn start(&mut self, index: usize) {
        for fetch in self.agents[index].swarm.poll(self.now) {
            let due = self.now + Duration::from_millis(self.rng.random_range(10..200));
            self.flights.push(Flight {
                agent: index,
                fetch,
                due,
            });
        }
    }

    fn land(&mut self) {
        let now = self.now;
        let flights = std::mem::take(&mut self.flights);
        let (landed, flying): (Vec<_>, Vec<_>) =
            flights.into_iter().partition(|flight| flight.due <= now);
        self.flights = flying;
        for flight in landed {
            let outcome = self.outcome(&flight);
            let agent = &mut self.agents[flight.agent];
            if outcome == Outcome::Verified {
                agent.verified.insert(flight.fetch.chunk.digest, true);
            }
            agent.swarm.finish(flight.fetch.id, outcome, now);
        }
    }

    fn outcome(&mut self, flight: &Flight) -> Outcome {
        match &flight.fetch.source {
            Source::Store => Outcome::Refused,
            Source::Origin => self.draw(&flight.fetch.chunk.digest),
            Source::Peer(vm) => {
                let other = self.agents.iter().position(|agent| agent.member.vm == *vm);
                match other {
                    Some(other) if self.is_reachable(flight.agent, other) => {
                        self.serve(other, &flight.fetch)
                    }
                    _ => Outcome::Failed,
                }
            }
        }
    }

    fn draw(&mut self, digest: &Digest) -> Outcome {
        if !self.is_origin_up {
            return Outcome::Refused;
        }
        let place = self
            .chunks
            .iter()
            .position(|chunk| chunk.digest == *digest)
            .unwrap();
        self.drawn[place] += 1;
        if self.corrupt_draws > 0 {
            self.corrupt_draws -= 1;
            return Outcome::Corrupt;
        }
        Outcome::Verified
    }

    fn serve(&mut self, index: usize, fetch: &Fetch) -> Outcome {
        let manifest = self.manifest;
        let agent = &mut self.agents[index];
        if agent.manner == Manner::Corrupter {
            return Outcome::Corrupt;
        }
        if !agent.swarm.holds(&fetch.chunk.digest) {
            return Outcome::NotHeld;
        }
        // Nothing may leave an agent that it has not verified itself.
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
