//! What the store holds after restarts, crashes and damage.

#![allow(clippy::unwrap_used)]

use std::{fs, path::Path, sync::Arc};

use bolero::check;
use domain::replica::{Entry, Identity, Members, Payload, Position, Snapshot};
use policy::replica::{Batch, HardState, Saved};
use store::{Error, Opened, Store};
use tempfile::TempDir;

const FILE: &str = "replica.redb";
const OWN: Identity = Identity(7);
const FRESH: Identity = Identity(8);

fn hard(term: u64) -> HardState {
    HardState {
        term,
        vote: Some(OWN),
        group: 5,
        commit: term,
    }
}

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Command(vec![7; usize::try_from(index * 31 % 600).unwrap()]),
    }
}

fn append(from: u64, count: u64, term: u64) -> Batch {
    Batch {
        hard: hard(term),
        truncate_from: Some(from),
        entries: (from..from + count)
            .map(|index| entry(term, index))
            .collect(),
        ..Batch::default()
    }
}

fn snapshot(mark: Position, term: u64) -> Batch {
    Batch {
        hard: hard(term),
        base: Some(mark),
        snapshot: Some(Arc::new(Snapshot {
            mark,
            members: Members::default(),
            state: vec![3; 5_000],
        })),
        ..Batch::default()
    }
}

/// A store with a snapshot, a cut log and a tail, and what it must hold.
fn filled(folder: &Path) -> Saved {
    fill(folder).1
}

fn fill(folder: &Path) -> (Store, Saved) {
    let mut store = Store::open(folder, OWN).unwrap().store;
    let mut saved = Saved::default();
    let mark = Position { index: 10, term: 1 };
    for batch in [
        append(1, 20, 1),
        snapshot(mark, 1),
        append(15, 10, 2),
        append(25, 3, 3),
    ] {
        store.save(&batch).unwrap();
        saved.apply(&batch);
    }
    (store, saved)
}

#[test]
fn any_sequence_of_batches_is_there_after_a_restart() {
    check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .with_iterations(60)
        .for_each(|steps| {
            let folder = TempDir::new().unwrap();
            let mut saved = Saved::default();
            for (place, (from, count, is_snapshot)) in steps.iter().take(12).enumerate() {
                let Opened {
                    mut store,
                    saved: found,
                    identity,
                } = Store::open(folder.path(), OWN).unwrap();
                assert_eq!((identity, &found), (OWN, &saved), "before step {place}");
                let last = saved.base.index + saved.entries.len() as u64;
                let first = saved.base.index + 1;
                let term = place as u64 + 1;
                let batch = match saved.entries.last() {
                    Some(entry) if *is_snapshot => {
                        let Entry {
                            term: of, index, ..
                        } = *entry;
                        snapshot(Position { index, term: of }, term)
                    }
                    _ => append(
                        first + u64::from(*from) % (last + 2 - first),
                        (count % 9).into(),
                        term,
                    ),
                };
                store.save(&batch).unwrap();
                saved.apply(&batch);
            }
        });
}

#[test]
fn the_folder_is_locked() {
    let folder = TempDir::new().unwrap();
    let first = Store::open(folder.path(), OWN).unwrap();
    let second = Store::open(folder.path(), FRESH);
    assert!(matches!(second, Err(Error::Locked { .. })));
    drop(first);
    assert_eq!(Store::open(folder.path(), FRESH).unwrap().identity, OWN);
}

#[test]
fn a_crash_at_any_moment_leaves_the_last_commit() {
    let (live, copy) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    let mut store = Store::open(live.path(), OWN).unwrap().store;
    let mut saved = Saved::default();
    for step in 0..20 {
        let batch = append(step * 3 + 1, 3, step + 1);
        store.save(&batch).unwrap();
        saved.apply(&batch);
        // The file of a process that is killed now, with the store still open.
        fs::copy(live.path().join(FILE), copy.path().join(FILE)).unwrap();
        let opened = Store::open(copy.path(), FRESH).unwrap();
        assert_eq!(
            (opened.identity, &opened.saved),
            (OWN, &saved),
            "after {step}"
        );
    }
}

/// Whether the damaged bytes are refused, or yield exactly what was made durable.
fn is_safe(bytes: &[u8], saved: &Saved) -> bool {
    let folder = TempDir::new().unwrap();
    fs::write(folder.path().join(FILE), bytes).unwrap();
    match Store::open(folder.path(), FRESH) {
        Err(Error::Damaged { path, .. }) => path == folder.path().join(FILE),
        Err(error) => panic!("another error: {error}"),
        Ok(opened) => (opened.identity, &opened.saved) == (OWN, saved),
    }
}

#[test]
fn a_file_cut_short_is_refused() {
    let folder = TempDir::new().unwrap();
    let saved = filled(folder.path());
    let bytes = fs::read(folder.path().join(FILE)).unwrap();
    let lengths = (1..64)
        .map(|part| bytes.len() * part / 64)
        .chain([1, 100, bytes.len() - 1]);
    for length in lengths {
        assert!(is_safe(&bytes[..length], &saved), "cut to {length}");
    }
}

#[test]
fn an_emptied_file_is_a_new_replica() {
    let folder = TempDir::new().unwrap();
    filled(folder.path());
    fs::write(folder.path().join(FILE), []).unwrap();
    let opened = Store::open(folder.path(), FRESH).unwrap();
    assert_eq!((opened.identity, opened.saved), (FRESH, Saved::default()));
}

#[test]
fn a_flipped_bit_is_refused_or_harmless() {
    let folder = TempDir::new().unwrap();
    let saved = filled(folder.path());
    let bytes = fs::read(folder.path().join(FILE)).unwrap();
    // Every bit of the file's first bytes, which name the newest commit; then samples of the
    // commits' heads and of the rest.
    let first = 0..64 * 8;
    let heads = (64 * 8..400 * 8).step_by(11);
    let rest = (400 * 8..bytes.len() * 8).step_by(bytes.len() * 8 / 300 + 1);
    let mut unsafe_bits = Vec::new();
    for bit in first.chain(heads).chain(rest) {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        if !is_safe(&damaged, &saved) {
            unsafe_bits.push(bit);
        }
    }
    assert_eq!(unsafe_bits, Vec::<usize>::new());
}

#[test]
fn a_flipped_bit_after_a_crash_undoes_no_commit() {
    let folder = TempDir::new().unwrap();
    let (_open, saved) = fill(folder.path());
    let bytes = fs::read(folder.path().join(FILE)).unwrap();
    for bit in (0..bytes.len() * 8).step_by(bytes.len() * 8 / 600 + 1) {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert!(is_safe(&damaged, &saved), "bit {bit}");
    }
}

#[test]
fn a_damaged_file_is_moved_aside() {
    let folder = TempDir::new().unwrap();
    for number in 1..3 {
        fs::write(folder.path().join(FILE), [1; 9_000]).unwrap();
        let error = Store::open(folder.path(), OWN).err().unwrap();
        assert!(error.to_string().contains(FILE), "{error}");
        let path = Store::set_aside(folder.path()).unwrap();
        assert!(path.ends_with(format!("{FILE}.damaged-{number}")));
        assert_eq!(Store::open(folder.path(), FRESH).unwrap().identity, FRESH);
    }
}
