//! One agent beside one engine, with an origin that goes down and spoils chunks, in time that the
//! tests set.

#![allow(clippy::unwrap_used)]

mod common;

use bytes::Bytes;
use domain::load::{self, Content};
use peer::load::Node;
use stager::load::Reporter;
use tokio::time;

use common::{CHUNKS, LIMIT, Step, Suspension, entry, run, run_beside, run_with_load};

#[test]
fn a_version_that_is_named_is_served_in_time() {
    run(async |world| {
        world.target.set(2);
        time::sleep(LIMIT).await;
        assert_eq!(*world.loads.borrow(), [2]);
    });
}

#[test]
fn an_overtaken_version_is_passed_over_when_the_next_one_comes_in_time() {
    run(async |world| {
        world.target.set(2);
        world.after(800).await;
        world.target.set(3);
        time::sleep(LIMIT).await;
        assert_eq!(*world.loads.borrow(), [3]);
    });
}

#[test]
fn chunks_that_turn_bad_beside_the_engine_are_staged_again() {
    run(async |world| {
        world.target.set(2);
        world.after(2_000).await;
        for index in 0..CHUNKS {
            world
                .staged
                .borrow_mut()
                .insert(index, Bytes::from_static(b"rot"));
        }
        // Its turn comes 2.56 s after it was named.
        world.after(1_300).await;
        assert_eq!(*world.loads.borrow(), [2]);
    });
}

/// Guards against an engine that serves chunks which turned bad while the VM was suspended between
/// the reading of the chunks and their loading.
#[test]
fn chunks_that_turn_bad_while_the_vm_is_suspended_are_not_served() {
    let steps = [
        Step::Read(0),
        Step::Read(2),
        Step::Read(4),
        Step::Read(CHUNKS - 1),
        Step::Notice,
        Step::Order,
        Step::Answer,
        Step::Load,
    ];
    for step in steps {
        for is_answer_lost in [false, true] {
            run(async |world| {
                // The engine's turn comes 2.56 s after the version was named.
                world.target.set(2);
                world.after(2_000).await;
                world.may_load_spoilt.set(true);
                world.suspension.set(Some(Suspension {
                    step,
                    is_answer_lost,
                }));
                let mut in_use_for = 0;
                for tick in 0..1_600 {
                    world.after(5).await;
                    if step == Step::Load && world.serving.get() == 2 {
                        world.reach(Step::Load);
                    }
                    let case = format!("{step:?}, lost {is_answer_lost}, {tick}");
                    assert!(world.is_sound(), "{case}");
                    in_use_for += u32::from(world.is_in_use(2));
                }
                assert!(world.suspension.get().is_none(), "{step:?} did not come");
                assert!(in_use_for > 400, "{step:?}: {in_use_for}");
            });
        }
    }
}

/// Guards against an agent that trusts what its engine was loading when the agent started.
#[test]
fn layers_that_an_earlier_agent_ordered_are_loaded_anew() {
    run_beside(true, async |world, _| {
        world.layers.borrow_mut().insert(0, false);
        assert!(world.is_sound());
        world.is_busy.set(false);
        for _ in 0..400 {
            world.after(5).await;
            assert!(world.is_sound());
        }
        assert!(world.is_in_use(1));
    });
}

#[test]
fn chunks_that_the_origin_spoils_are_drawn_again() {
    run(async |world| {
        world.spoils.borrow_mut().extend([0, 3, 7]);
        world.target.set(2);
        time::sleep(LIMIT).await;
        assert_eq!(*world.loads.borrow(), [2]);
    });
}

#[test]
fn an_origin_that_is_back_is_asked_soon() {
    run(async |world| {
        world.target.set(2);
        world.after(300).await;
        world.is_origin_up.set(false);
        world.after(4_350).await;
        world.is_origin_up.set(true);
        world.after(1_600).await;
        assert_eq!(*world.loads.borrow(), [2]);
    });
}

/// The newest report that the agent would send now.
fn reported(reporter: &Reporter) -> Option<load::Engine> {
    let sent = reporter.take().pop()?;
    assert_eq!(sent.receivers, [entry().announcement.chunk_addr]);
    match sent.report.content {
        Content::Engine(engine) => Some(engine),
        other => panic!("{other:?}"),
    }
}

/// Guards against reads of the engine and reports in deployments that don't share by priority, and
/// against reports of old figures while the engine can't be read.
#[test]
fn engine_is_read_and_reported_only_while_its_service_is_shared() {
    run_with_load(async |world, reporter| {
        assert_eq!((world.reads.get(), reported(&reporter)), (0, None));
        world.is_shared.set(true);
        world.after(1_000).await;
        let expected = load::Engine {
            address: ([127, 0, 0, 1], 3).into(),
            active: 5,
            queued: 2,
            pace_percent: 125,
            memory_percent: 75,
            moves_in_ms: None,
        };
        assert_eq!(reported(&reporter), Some(expected));
        assert_eq!(reported(&reporter), None, "it is not due yet");
        world.has_figures.set(false);
        world.after(1_000).await;
        assert_eq!(reported(&reporter), None, "there are no figures");
        world.is_shared.set(false);
        let reads = world.reads.get();
        world.after(1_000).await;
        assert!(world.reads.get() <= reads + 1);
    });
}

/// Guards against entries that learn of a switch of versions only when the engine refuses.
#[test]
fn switch_of_versions_is_announced_before_it_comes() {
    run_with_load(async |world, reporter| {
        world.is_shared.set(true);
        world.target.set(2);
        let mut announced = Vec::new();
        while world.loads.borrow().is_empty() {
            world.after(100).await;
            let engine = reported(&reporter);
            announced.extend(engine.and_then(|engine| engine.moves_in_ms));
        }
        assert!(announced.len() > 5, "{announced:?}");
        assert!(announced.is_sorted_by(|a, b| a >= b), "{announced:?}");
        assert_eq!(announced.last(), Some(&0));
        world.after(1_000).await;
        let engine = reported(&reporter).unwrap();
        assert_eq!(engine.moves_in_ms, None, "it is over");
    });
}
