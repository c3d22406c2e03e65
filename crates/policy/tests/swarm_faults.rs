//! The exchange of chunks with faulty peers and a faulty origin: it still completes, and the origin
//! never sends more than four copies.
#![allow(clippy::unwrap_used)]

mod exchange;

use std::time::Duration;

use bolero::check;
use exchange::{Behaviour, Exchange};
use policy::owner::{Owners, origin_quota};

const LIMIT: Duration = Duration::from_secs(240);
/// The most copies that the origin may send in any case.
const MAX_COPIES: f64 = 4.0;

struct Case {
    name: &'static str,
    agents: usize,
    regions: usize,
    /// The behaviours of the first agents.
    behaviours: &'static [Behaviour],
    corrupt_fetches: u32,
}

#[test]
fn exchange_completes_with_bad_peers_and_corrupt_origin_fetches() {
    let case = |name, agents, regions, behaviours, corrupt_fetches| Case {
        name,
        agents,
        regions,
        behaviours,
        corrupt_fetches,
    };
    let cases = [
        case("one dead", 9, 3, &[Behaviour::Dead][..], 0),
        case("two dead", 9, 3, &[Behaviour::Dead, Behaviour::Dead][..], 0),
        case("a liar", 9, 3, &[Behaviour::Liar][..], 0),
        case(
            "two liars",
            12,
            3,
            &[Behaviour::Liar, Behaviour::Liar][..],
            0,
        ),
        case("a corrupter", 9, 3, &[Behaviour::Corrupter][..], 0),
        case("corrupt origin fetches", 9, 3, &[][..], 6),
        case(
            "a dead agent and a corrupter",
            15,
            3,
            &[Behaviour::Dead, Behaviour::Corrupter][..],
            3,
        ),
        case("one region, a liar", 6, 1, &[Behaviour::Liar][..], 0),
    ];
    for case in &cases {
        for seed in 0..10 {
            let mut exchange = Exchange::new(case.agents, case.regions, 24, seed);
            for (agent, behaviour) in exchange.agents.iter_mut().zip(case.behaviours) {
                agent.behaviour = *behaviour;
            }
            exchange.corrupt_fetches = case.corrupt_fetches;
            assert!(exchange.run(LIMIT), "{}, seed {seed}: stuck", case.name);
            let copies = exchange.copies();
            assert!(copies <= 2.0, "{}, seed {seed}: {copies} copies", case.name);
        }
    }
}

#[test]
fn owner_that_dies_during_the_exchange_is_replaced() {
    for seed in 0..10 {
        for victim in 0..9 {
            let mut exchange = Exchange::new(9, 3, 24, seed);
            exchange.run_for(Duration::from_millis(1_500));
            exchange.agents[victim].behaviour = Behaviour::Dead;
            assert!(exchange.run(LIMIT), "seed {seed}, victim {victim}: stuck");
            let copies = exchange.copies();
            assert!(
                copies <= 2.0,
                "seed {seed}, victim {victim}: {copies} copies"
            );
        }
    }
}

#[test]
fn each_partitioned_region_fetches_its_own_copy() {
    for seed in 0..10 {
        let mut exchange = Exchange::new(12, 3, 24, seed);
        exchange.is_partitioned = true;
        assert!(exchange.run(LIMIT), "seed {seed}: stuck while partitioned");
        let copies = exchange.copies();
        assert!(copies <= MAX_COPIES, "seed {seed}: {copies} copies");
    }
}

#[test]
fn partitioned_regions_beyond_the_copy_limit_wait_for_the_link() {
    for seed in 0..5 {
        let mut exchange = Exchange::new(10, 5, 24, seed);
        exchange.is_partitioned = true;
        exchange.run_for(Duration::from_secs(120));
        assert!(
            !exchange.is_done(),
            "seed {seed}: five regions got a copy each"
        );
        assert!(exchange.copies() <= MAX_COPIES, "seed {seed}");
        exchange.is_partitioned = false;
        assert!(
            exchange.run(LIMIT),
            "seed {seed}: stuck after the partition healed"
        );
        assert!(exchange.copies() <= MAX_COPIES, "seed {seed}");
    }
}

#[test]
fn origin_that_is_down_at_first_is_retried() {
    let mut exchange = Exchange::new(9, 3, 24, 1);
    exchange.is_origin_up = false;
    exchange.run_for(Duration::from_secs(60));
    assert!(!exchange.is_done());
    assert!(exchange.copies() < f64::EPSILON);
    exchange.is_origin_up = true;
    assert!(exchange.run(LIMIT), "stuck after the origin came back");
    assert!(exchange.copies() <= 1.5);
}

#[test]
fn corrupt_origin_sends_at_most_four_copies() {
    let mut exchange = Exchange::new(9, 3, 12, 1);
    exchange.corrupt_fetches = u32::MAX;
    exchange.run_for(Duration::from_secs(300));
    assert!(!exchange.is_done());
    assert!(exchange.copies() <= MAX_COPIES, "{}", exchange.copies());
    let holders = exchange
        .agents
        .iter()
        .filter(|agent| agent.swarm.held(&exchange.manifest).unwrap().count() > 0);
    assert_eq!(holders.count(), 0, "an unverified chunk counts as held");
}

#[test]
fn origin_quotas_of_a_chunk_sum_to_four() {
    let members: Vec<_> = (0..200).map(|index| exchange::member(index, 5)).collect();
    for chunk in exchange::chunks(50) {
        let owners = Owners::new(&chunk.digest, &members);
        let order = owners.global(&chunk.digest);
        let sum: u32 = (0..order.len()).map(origin_quota).sum();
        assert_eq!(sum, 4);
        let regions: std::collections::BTreeSet<_> = order[..3]
            .iter()
            .filter_map(|vm| members.iter().find(|member| member.vm == **vm))
            .map(|member| &member.region)
            .collect();
        assert_eq!(
            regions.len(),
            3,
            "agents that may fetch from the origin share a region"
        );
    }
}

#[test]
fn exchange_completes_while_every_chunk_is_reachable() {
    check!()
        .with_type::<(u8, u8, u8, u64, [u8; 3], u8)>()
        .for_each(|(agents, regions, chunks, seed, faults, at)| {
            let agents = 4 + usize::from(agents % 12);
            let regions = 1 + usize::from(regions % 4);
            let chunks = 1 + usize::from(chunks % 30);
            let mut exchange = Exchange::new(agents, regions, chunks, *seed);
            exchange.run_for(Duration::from_millis(u64::from(*at) * 20));
            // Three agents may fetch a chunk from the origin, so with at most two bad agents and
            // corrupt fetches in total one good fetch is left.
            let bad = usize::from(faults[2] % 3);
            for fault in &faults[..bad] {
                let victim = usize::from(*fault) % agents;
                exchange.agents[victim].behaviour = match fault % 4 {
                    0 => Behaviour::Dead,
                    1 => Behaviour::Liar,
                    2 => Behaviour::Corrupter,
                    _ => Behaviour::Honest,
                };
            }
            exchange.corrupt_fetches = 2 - u32::from(faults[2] % 3);
            assert!(exchange.run(LIMIT), "stuck");
            assert!(exchange.copies() <= MAX_COPIES);
        });
}
