//! Faults of peers and of the origin: the exchange still finishes, and the origin never sends more
//! than four copies.
#![allow(clippy::unwrap_used)]

mod exchange;

use std::time::Duration;

use bolero::check;
use exchange::{Exchange, Manner};
use policy::owner::{Owners, origin_quota};

const LIMIT: Duration = Duration::from_secs(240);
/// What the origin may send in any case, in copies.
const MAX_COPIES: f64 = 4.0;

struct Case {
    name: &'static str,
    agents: usize,
    regions: usize,
    /// How the first agents behave.
    manners: &'static [Manner],
    corrupt_draws: u32,
}

#[test]
fn bad_peers_and_a_corrupting_origin_do_not_stop_the_exchange() {
    let case = |name, agents, regions, manners, corrupt_draws| Case {
        name,
        agents,
        regions,
        manners,
        corrupt_draws,
    };
    let cases = [
        case("one dead", 9, 3, &[Manner::Dead][..], 0),
        case("two dead", 9, 3, &[Manner::Dead, Manner::Dead][..], 0),
        case("a liar", 9, 3, &[Manner::Liar][..], 0),
        case("two liars", 12, 3, &[Manner::Liar, Manner::Liar][..], 0),
        case("a corrupter", 9, 3, &[Manner::Corrupter][..], 0),
        case("corrupt draws", 9, 3, &[][..], 6),
        case(
            "a dead and a corrupter",
            15,
            3,
            &[Manner::Dead, Manner::Corrupter][..],
            3,
        ),
        case("one region, a liar", 6, 1, &[Manner::Liar][..], 0),
    ];
    for case in &cases {
        for seed in 0..10 {
            let mut exchange = Exchange::new(case.agents, case.regions, 24, seed);
            for (agent, manner) in exchange.agents.iter_mut().zip(case.manners) {
                agent.manner = *manner;
            }
            exchange.corrupt_draws = case.corrupt_draws;
            assert!(exchange.run(LIMIT), "{}, seed {seed}: stuck", case.name);
            let copies = exchange.copies();
            assert!(copies <= 2.0, "{}, seed {seed}: {copies} copies", case.name);
        }
    }
}

#[test]
fn an_owner_that_dies_in_the_middle_is_replaced() {
    for seed in 0..10 {
        for victim in 0..9 {
            let mut exchange = Exchange::new(9, 3, 24, seed);
            exchange.run_for(Duration::from_millis(1_500));
            exchange.agents[victim].manner = Manner::Dead;
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
fn regions_that_are_cut_apart_draw_a_copy_each_and_no_more() {
    for seed in 0..10 {
        let mut exchange = Exchange::new(12, 3, 24, seed);
        exchange.is_cut = true;
        assert!(exchange.run(LIMIT), "seed {seed}: stuck while cut");
        let copies = exchange.copies();
        assert!(copies <= MAX_COPIES, "seed {seed}: {copies} copies");
    }
}

#[test]
fn more_regions_than_copies_wait_until_they_are_joined() {
    for seed in 0..5 {
        let mut exchange = Exchange::new(10, 5, 24, seed);
        exchange.is_cut = true;
        exchange.run_for(Duration::from_secs(120));
        assert!(
            !exchange.is_done(),
            "seed {seed}: five regions got a copy each"
        );
        assert!(exchange.copies() <= MAX_COPIES, "seed {seed}");
        exchange.is_cut = false;
        assert!(exchange.run(LIMIT), "seed {seed}: stuck after the join");
        assert!(exchange.copies() <= MAX_COPIES, "seed {seed}");
    }
}

#[test]
fn an_origin_that_is_down_at_first_is_asked_again() {
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
fn an_origin_that_always_corrupts_sends_four_copies_at_most() {
    let mut exchange = Exchange::new(9, 3, 12, 1);
    exchange.corrupt_draws = u32::MAX;
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
fn draws_of_a_chunk_sum_to_four_over_all_agents() {
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
        assert_eq!(regions.len(), 3, "those that may draw stand in one region");
    }
}

#[test]
fn the_exchange_finishes_whenever_every_chunk_stays_reachable() {
    check!()
        .with_type::<(u8, u8, u8, u64, [u8; 3], u8)>()
        .for_each(|(agents, regions, chunks, seed, faults, at)| {
            let agents = 4 + usize::from(agents % 12);
            let regions = 1 + usize::from(regions % 4);
            let chunks = 1 + usize::from(chunks % 30);
            let mut exchange = Exchange::new(agents, regions, chunks, *seed);
            exchange.run_for(Duration::from_millis(u64::from(*at) * 20));
            // Three agents may draw a chunk, so at most two bad agents and corrupt draws together
            // leave a good draw.
            let bad = usize::from(faults[2] % 3);
            for fault in &faults[..bad] {
                let victim = usize::from(*fault) % agents;
                exchange.agents[victim].manner = match fault % 4 {
                    0 => Manner::Dead,
                    1 => Manner::Liar,
                    2 => Manner::Corrupter,
                    _ => Manner::Honest,
                };
            }
            exchange.corrupt_draws = 2 - u32::from(faults[2] % 3);
            assert!(exchange.run(LIMIT), "stuck");
            assert!(exchange.copies() <= MAX_COPIES);
        });
}
