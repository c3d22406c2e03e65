//! The replicated log over a simulated network, clock and disk.

#![allow(clippy::unwrap_used)]

mod history;
mod host;
mod plan;
mod world;

use std::{
    env,
    time::{Duration, Instant},
};

use bolero::check;

use crate::{plan::Plan, world::World};

/// Seeds that failed, or that fail when a rule is left out.
const FOUND: [u64; 4] = [
    // A swap decided by the new voters alone changes a committed entry.
    4_019_316_004_203_234_550,
    // A removed leader held the only copy of the entry that removes it.
    15_423_537_064_105_318_382,
    // The answer to an old term's heartbeat confirmed a round of the new term.
    1_589_476_646_435_484_686,
    // A learner went on believing in a leader that was gone.
    17_122_394_114_338_087_592,
];

fn run(seed: u64) {
    let mut world = World::new(seed, Plan::draw(seed));
    world.run();
    world.heal();
}

/// `BOLERO_RANDOM_SEED` and `BOLERO_RANDOM_ITERATIONS` fix the seeds.
#[test]
fn random_faults_break_no_promise() {
    check!().with_type::<u64>().for_each(|seed| run(*seed));
}

#[test]
fn known_seeds_break_no_promise() {
    (0..64).chain(FOUND).for_each(run);
}

/// The same faults where learners take the places of silent voters by themselves.
#[test]
fn promotion_breaks_no_promise() {
    for seed in 0..96 {
        let mut world = World::new(seed, Plan::draw(seed)).with_promotion();
        world.run();
        world.heal();
    }
}

/// A VM of the core is gone for good, and an empty one comes at another address.
#[test]
fn a_newcomer_takes_the_place_of_a_lost_voter() {
    for seed in 0..10 {
        World::new(seed, Plan::calm_with_spares(3, 1))
            .with_promotion()
            .lose_a_voter();
    }
}

#[test]
fn a_leader_that_hears_nobody_gives_way() {
    for seed in 0..10 {
        World::new(seed, Plan::calm(3)).deafen_leader();
    }
}

/// Fails where a replica asks for votes again before a disk has taken the last vote, or where a
/// write under way holds back the answers to heartbeats.
#[test]
fn slow_disks_do_not_keep_a_leader_away() {
    for seed in 0..20 {
        World::new(seed, Plan::slow_disks(3)).deafen_leader();
    }
}

/// Where all lost power together nobody leads, and nobody has to be waited for. The aim is that
/// nine in ten groups have a leader before the shortest wait for a silent one is over.
#[test]
fn a_group_that_starts_together_has_a_leader_soon() {
    let waits = (0..40).map(|seed| World::new(seed, Plan::calm(5)).lose_power());
    let late = waits.filter(|wait| *wait > world::ELECTION).count();
    assert!(late <= 4, "{late} of 40 groups waited longer");
}

/// Runs new seeds for `SOAK_SECONDS`, or the one in `SOAK_SEED`. Without either it runs one.
#[test]
fn soak() {
    let number = |name| {
        env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    if let Some(seed) = number("SOAK_SEED") {
        return run(seed);
    }
    let limit = Duration::from_secs(number("SOAK_SECONDS").unwrap_or_default());
    let started = Instant::now();
    let mut count = 0u64;
    loop {
        let seed = rand::random();
        // The test's output names the seed if it fails.
        println!("seed {seed}");
        run(seed);
        count += 1;
        if started.elapsed() >= limit {
            break;
        }
    }
    println!("{count} seeds in {:?}", started.elapsed());
}
