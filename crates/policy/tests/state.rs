//! The replicated state machine: outcomes of edits, expiry, rollouts and convergence of replicas.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, sync::Arc};

use domain::{
    artifact,
    command::{Command, Reply},
    digest::Digest,
    edit::{Change, Edit, Outcome, Pins, Revision},
    lists::{Customer, Grant, Lists, Plan},
    manifest::Pin,
    record::{Batch, Cursor, Delta},
    rollout::Stage,
    violation::Violation,
};
use policy::{state::State, view::View};

fn lists(versions: &[&str]) -> Lists {
    let grant = Grant {
        model: "draft".into(),
        versions: versions.iter().map(|version| (*version).into()).collect(),
        adapters: Vec::new(),
    };
    Lists {
        customers: vec![Customer {
            name: "skipper".into(),
            plan: "gold".into(),
            key_digests: vec![Digest::of(b"key")],
        }],
        plans: vec![Plan {
            name: "gold".into(),
            share: 10,
            models: vec![grant],
            services: Vec::new(),
        }],
    }
}

fn pins(lists: &Lists) -> Pins {
    let pin = Pin {
        digest: Digest::of(b"manifest"),
        total_bytes: 10,
        chunks: 2,
    };
    let ids = lists.artifacts().into_iter();
    ids.map(|id| (id.to_string(), pin)).collect()
}

fn edit(id: &str, base: Option<u64>, change: Change) -> Edit {
    Edit {
        id: id.into(),
        base: base.map(Revision),
        change,
        allow_outage: false,
        author: None,
    }
}

fn command(edit: Edit) -> Command {
    command_from(edit, None)
}

/// The command of a replica whose state was at the given revision.
fn command_from(edit: Edit, seen: Option<Revision>) -> Command {
    let pins = match &edit.change {
        Change::Lists(lists) => pins(lists),
        _ => Pins::new(),
    };
    Command::Edit {
        edit,
        pins,
        objections: Vec::new(),
        at_ms: 5,
        seen,
    }
}

fn submit(state: &mut State, index: u64, command: Command) -> Outcome {
    match state.apply(1, index, command).reply {
        Reply::Edit(answer) => answer,
        reply => panic!("{reply:?}"),
    }
}

fn zone(in_service: bool) -> Change {
    Change::Zone {
        zone: "durban".into(),
        in_service,
    }
}

fn accepted(revision: u64) -> Outcome {
    Outcome::Accepted {
        revision: Revision(revision),
    }
}

fn paths(answer: &Outcome) -> Vec<&str> {
    match answer {
        Outcome::Refused { violations } => violations.iter().map(|v| v.path.as_str()).collect(),
        _ => Vec::new(),
    }
}

fn advance(state: &mut State, index: u64, id: &str, to: Stage) {
    let id = artifact::Id::parse(id).unwrap();
    let from = state.rollouts()[&id].stage.clone();
    let artifact = id;
    state.apply(1, index, Command::Advance { artifact, from, to });
}

#[test]
fn only_one_edit_per_base_revision_is_accepted() {
    let mut state = State::new();
    let first = command(edit("a", Some(0), Change::Lists(lists(&["1"]))));
    let second = command(edit("b", Some(0), Change::Lists(lists(&["2"]))));
    assert_eq!(submit(&mut state, 1, first), accepted(1));
    let conflict = Outcome::Conflict {
        revision: Revision(1),
        winner: "a".into(),
    };
    assert_eq!(submit(&mut state, 2, second.clone()), conflict);
    assert_eq!(state.lists(), &lists(&["1"]));
    submit(&mut state, 3, command(edit("c", None, zone(false))));
    assert_eq!(
        submit(&mut state, 4, second),
        conflict,
        "resent after another edit"
    );
}

#[test]
fn resend_returns_the_first_outcome_and_changes_nothing() {
    let mut state = State::new();
    let out = edit("out", None, zone(false));
    assert_eq!(submit(&mut state, 1, command(out.clone())), accepted(1));
    let back = command(edit("back", None, zone(true)));
    assert_eq!(submit(&mut state, 2, back), accepted(2));
    assert_eq!(submit(&mut state, 3, command(out.clone())), accepted(1));
    assert!(state.zones_out().is_empty(), "the resend was applied again");
    let rebased = Edit {
        base: Some(Revision(2)),
        ..out.clone()
    };
    assert_eq!(submit(&mut state, 4, command(rebased)), accepted(1));
    let other = Edit {
        change: zone(true),
        ..out
    };
    assert_eq!(paths(&submit(&mut state, 5, command(other))), ["$.id"]);
    assert_eq!(state.revision(), Revision(2));
}

fn seen(revision: u64, id: &str, change: Change) -> Command {
    command_from(edit(id, None, change), Some(Revision(revision)))
}

fn drain(is_draining: bool) -> Change {
    Change::Drain {
        vm: "vm-1".into(),
        is_draining,
    }
}

/// Guards against an edit that a partition held up undoing a later edit that was acknowledged.
#[test]
fn edit_that_was_held_up_does_not_undo_a_later_one() {
    for (set, unset) in [(zone(false), zone(true)), (drain(true), drain(false))] {
        let mut state = State::new();
        assert_eq!(
            submit(&mut state, 1, seen(0, "out", set.clone())),
            accepted(1)
        );
        let held_up = seen(1, "held up", unset.clone());
        let resent = seen(1, "resent", unset.clone());
        assert_eq!(submit(&mut state, 2, resent), accepted(2));
        assert_eq!(
            submit(&mut state, 3, seen(2, "out again", set.clone())),
            accepted(3)
        );
        let conflict = Outcome::Conflict {
            revision: Revision(3),
            winner: "out again".into(),
        };
        let before = state.clone();
        assert_eq!(submit(&mut state, 4, held_up), conflict, "{unset:?}");
        assert_eq!(state, before);
        // The operator has read what is in force, and decides again.
        let again = seen(3, "held up", unset.clone());
        assert_eq!(submit(&mut state, 5, again), accepted(4));
    }
}

#[test]
fn edits_that_came_late_and_change_nothing_are_accepted() {
    let mut state = State::new();
    assert_eq!(
        submit(&mut state, 1, seen(0, "out", zone(false))),
        accepted(1)
    );
    assert_eq!(
        submit(&mut state, 2, seen(0, "out too", zone(false))),
        accepted(2),
        "the zone is out"
    );
    let conflict = Outcome::Conflict {
        revision: Revision(2),
        winner: "out too".into(),
    };
    assert_eq!(
        submit(&mut state, 3, seen(1, "in", zone(true))),
        conflict,
        "an edit that sets what is in force counts as the latest"
    );
    assert_eq!(
        submit(&mut state, 4, seen(0, "drain", drain(true))),
        accepted(3),
        "edits of another subject are no conflict"
    );
    assert_eq!(
        submit(&mut state, 5, seen(1, "out", zone(false))),
        accepted(1),
        "a resend gets the first outcome"
    );
}

#[test]
fn invalid_edit_is_refused_with_all_paths() {
    let mut wrong = lists(&["1", "1"]);
    wrong.plans[0].share = 0;
    wrong.customers[0].plan = "silver".into();
    let cases: Vec<(Edit, Vec<&str>)> = vec![
        (
            edit("a", Some(0), Change::Lists(wrong)),
            vec![
                "$.customers[0].plan",
                "$.plans[0].share",
                "$.plans[0].models[0].versions[1]",
            ],
        ),
        (
            edit("b", None, Change::Lists(lists(&["1"]))),
            vec!["$.base"],
        ),
        (edit("", None, zone(false)), vec!["$.id"]),
        (
            edit(
                "c",
                None,
                Change::Zone {
                    zone: "a b".into(),
                    in_service: false,
                },
            ),
            vec!["$.change.zone.zone"],
        ),
        (
            edit(
                "d",
                None,
                Change::Resume {
                    artifact: artifact::Id::new("draft", "1"),
                },
            ),
            vec!["$.change.resume.artifact"],
        ),
    ];
    let mut state = State::new();
    for (i, (edit, expected)) in (1..).zip(cases) {
        let answer = submit(&mut state, i, command(edit));
        assert_eq!(paths(&answer), expected);
    }
    assert_eq!(state.revision(), Revision(0));
    assert_eq!(state.lists(), &Lists::default());
}

#[test]
fn clock_jump_does_not_expire_edit_ids_early() {
    const HOUR_MS: u64 = 3_600_000;
    let at = |id: &str, at_ms| Command::Edit {
        edit: edit(id, None, zone(false)),
        pins: Pins::new(),
        objections: Vec::new(),
        at_ms,
        seen: None,
    };
    let expire = |before_ms| Command::Expire { before_ms };
    let mut state = State::new();
    state.apply(1, 1, expire(100 * HOUR_MS));
    assert_eq!(submit(&mut state, 2, at("a", 124 * HOUR_MS)), accepted(1));
    // The next edit comes from a replica whose clock is two days behind.
    assert_eq!(submit(&mut state, 3, at("b", 76 * HOUR_MS)), accepted(2));
    // For ten minutes, the leader's clock is two days ahead.
    for minute in 0..10 {
        state.apply(1, 4 + minute, expire(148 * HOUR_MS));
    }
    assert_eq!(submit(&mut state, 20, at("a", 125 * HOUR_MS)), accepted(1));
    assert_eq!(submit(&mut state, 21, at("b", 125 * HOUR_MS)), accepted(2));
    for step in 0..200 {
        state.apply(1, 22 + step, expire(148 * HOUR_MS));
    }
    let expired = submit(&mut state, 300, at("a", 149 * HOUR_MS));
    assert_eq!(expired, accepted(3), "the id has expired");
}

#[test]
fn edit_with_missing_manifest_or_objection_is_refused() {
    let mut state = State::new();
    let without_pin = Command::Edit {
        edit: edit("a", Some(0), Change::Lists(lists(&["1"]))),
        pins: Pins::new(),
        objections: Vec::new(),
        at_ms: 0,
        seen: None,
    };
    assert_eq!(paths(&submit(&mut state, 1, without_pin)), ["$.plans"]);
    let with_objection = Command::Edit {
        edit: edit("b", None, zone(false)),
        pins: Pins::new(),
        objections: vec![Violation::new("$.change.zone.zone", "nothing left")],
        at_ms: 0,
        seen: None,
    };
    let answer = submit(&mut state, 2, with_objection);
    assert_eq!(paths(&answer), ["$.change.zone.zone"]);
    let resent = command(edit("b", None, zone(false)));
    assert_eq!(
        submit(&mut state, 3, resent),
        answer,
        "a resend gets the refusal"
    );
}

#[test]
fn outage_is_refused_unless_allowed() {
    let mut state = State::new();
    submit(
        &mut state,
        1,
        command(edit("a", Some(0), Change::Lists(lists(&["1"])))),
    );
    // No version is in service yet, so this edit causes no outage.
    submit(
        &mut state,
        2,
        command(edit("b", Some(1), Change::Lists(lists(&["2", "1"])))),
    );
    advance(&mut state, 3, "draft@1", Stage::Ready);
    let only_new = edit("c", Some(2), Change::Lists(lists(&["2"])));
    let answer = submit(&mut state, 4, command(only_new.clone()));
    assert_eq!(paths(&answer), ["$.plans[0].models"]);
    let allowed = Edit {
        id: "d".into(),
        allow_outage: true,
        ..only_new
    };
    assert_eq!(submit(&mut state, 5, command(allowed)), accepted(3));
    let left: Vec<_> = state.rollouts().keys().map(ToString::to_string).collect();
    assert_eq!(left, ["draft@2"]);
}

#[test]
fn rollout_advances_only_from_the_expected_stage() {
    let mut state = State::new();
    submit(
        &mut state,
        1,
        command(edit("a", Some(0), Change::Lists(lists(&["1"])))),
    );
    let id = artifact::Id::new("draft", "1");
    let first = state.rollouts()[&id].fence;
    let halted = Stage::Halted {
        reason: "vm-1: out of memory".to_owned(),
        width: 50,
    };
    advance(&mut state, 2, "draft@1", Stage::Wave { width: 50 });
    let stale = Command::Advance {
        artifact: id.clone(),
        from: Stage::Prefetch,
        to: Stage::Ready,
    };
    assert!(state.apply(1, 3, stale).deltas.is_empty());
    assert_eq!(state.rollouts()[&id].stage, Stage::Wave { width: 50 });
    advance(&mut state, 4, "draft@1", halted);
    let resume = Change::Resume {
        artifact: id.clone(),
    };
    assert_eq!(
        submit(&mut state, 5, command(edit("r", None, resume))),
        accepted(2)
    );
    assert_eq!(state.rollouts()[&id].stage, Stage::Wave { width: 50 });
    assert!(state.rollouts()[&id].fence > first);
}

/// Builds a command from four random bytes. Ids and base revisions collide often.
fn random_command([kind, id, base, what]: [u8; 4]) -> Command {
    let versions: [&[&str]; 4] = [&["1"], &["2", "1"], &["2"], &["3", "3"]];
    let versions = versions[usize::from(what % 4)];
    let artifact = artifact::Id::new("draft", ["1", "2"][usize::from(what % 2)]);
    let change = match kind % 8 {
        0..=3 => Change::Lists(lists(versions)),
        4 => zone(what.is_multiple_of(2)),
        5 => Change::Drain {
            vm: "vm-1".into(),
            is_draining: what.is_multiple_of(2),
        },
        6 => Change::Resume { artifact },
        _ => {
            let stages = [
                Stage::Prefetch,
                Stage::Wave { width: 50 },
                Stage::Ready,
                Stage::Halted {
                    reason: "failed".to_owned(),
                    width: 50,
                },
            ];
            return Command::Advance {
                artifact,
                from: stages[usize::from(id % 4)].clone(),
                to: stages[usize::from(base % 4)].clone(),
            };
        }
    };
    let base = (base < 200).then(|| u64::from(base % 6));
    command(edit(&format!("edit-{}", id % 24), base, change))
}

#[test]
fn replicas_converge_across_snapshots_and_resends_get_equal_outcomes() {
    bolero::check!()
        .with_type::<Vec<[u8; 4]>>()
        .for_each(|steps| {
            let mut leader = State::new();
            let mut follower = State::new();
            let mut view = View::default();
            let mut answers: BTreeMap<Arc<str>, (Change, Outcome)> = BTreeMap::new();
            for (index, step) in (1..).zip(steps) {
                let command = random_command(*step);
                let revision = leader.revision();
                let applied = leader.apply(1, index, command.clone());
                if step[3] > 200 {
                    let bytes = rmp_serde::to_vec_named(&follower).unwrap();
                    follower = rmp_serde::from_slice(&bytes).unwrap();
                }
                assert_eq!(applied, follower.apply(1, index, command.clone()));
                assert!(leader.revision() >= revision, "the revision decreased");
                feed(&mut view, &leader, index, applied.deltas);
                if let (Command::Edit { edit, .. }, Reply::Edit(answer)) = (command, applied.reply)
                {
                    let (change, first) = answers
                        .entry(edit.id)
                        .or_insert_with(|| (edit.change.clone(), answer.clone()));
                    if *change == edit.change {
                        assert_eq!(*first, answer, "a resend got a different outcome");
                    }
                }
            }
            assert_eq!(leader, follower);
            check_view(&view, &leader);
        });
}

fn feed(view: &mut View, state: &State, commit: u64, deltas: Vec<Delta>) {
    let batch = Batch {
        is_snapshot: false,
        deltas,
        revision: state.revision(),
        commit,
        cursor: Cursor::default(),
        age_ms: 0,
        held_ms: 0,
    };
    view.apply(batch).unwrap();
}

/// Checks that a view built from deltas equals one built from all records of the state.
fn check_view(view: &View, state: &State) {
    let mut fresh = View::default();
    let records = state.records().into_iter().map(Delta::Set).collect();
    feed(&mut fresh, state, view.commit, records);
    assert_eq!(view.customers, fresh.customers);
    assert_eq!(view.plans, fresh.plans);
    assert_eq!(view.rollouts, fresh.rollouts);
    assert_eq!(view.zones_out, fresh.zones_out);
    assert_eq!(view.drains, fresh.drains);
}
