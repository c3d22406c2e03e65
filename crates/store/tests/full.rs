//! A disk without room: nothing that was acknowledged is lost, and the same batch can be saved once
//! there is room again.

#![allow(clippy::unwrap_used)]

use std::{
    fs::{File, OpenOptions},
    io,
    os::unix::fs::FileExt,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
};

use domain::replica::{Entry, Identity, Payload};
use policy::replica::{Batch, HardState, Saved};
use redb::{BackendError, Database, DatabaseError, StorageBackend};
use store::{Error, Medium, Opened, Store};
use tempfile::TempDir;

const OWN: Identity = Identity(7);
/// Writes without an end to the room.
const ENDLESS: i64 = i64::MAX;

/// A file whose disk is full after so many writes; a full disk refuses each of them.
#[derive(Debug)]
struct Limited {
    file: File,
    room: Arc<AtomicI64>,
}

impl Limited {
    fn take(&self) -> Result<(), BackendError> {
        match self.room.fetch_sub(1, Ordering::Relaxed) {
            1.. => Ok(()),
            _ => Err(io::Error::from(io::ErrorKind::StorageFull).into()),
        }
    }
}

impl StorageBackend for Limited {
    fn len(&self) -> Result<u64, BackendError> {
        Ok(self.file.metadata()?.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), BackendError> {
        Ok(self.file.read_exact_at(out, offset)?)
    }

    fn set_len(&self, len: u64) -> Result<(), BackendError> {
        self.take()?;
        Ok(self.file.set_len(len)?)
    }

    fn sync_data(&self) -> Result<(), BackendError> {
        Ok(self.file.sync_data()?)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), BackendError> {
        self.take()?;
        Ok(self.file.write_all_at(data, offset)?)
    }
}

fn medium(room: &Arc<AtomicI64>) -> Medium {
    let room = room.clone();
    Arc::new(move |path: &Path| -> Result<Database, DatabaseError> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(|error| DatabaseError::Storage(error.into()))?;
        let room = room.clone();
        Database::builder().create_with_backend(Limited { file, room })
    })
}

fn batch(index: u64) -> Batch {
    Batch {
        hard: HardState {
            term: index,
            vote: Some(OWN),
            group: 5,
            commit: index - 1,
        },
        truncate_from: Some(index),
        entries: vec![Entry {
            term: index,
            index,
            payload: Payload::Command(vec![7; 3_000]),
        }],
        ..Batch::default()
    }
}

/// The disk is full after any number of writes of the second batch, its opening included.
#[test]
fn a_batch_waits_for_room_and_loses_nothing() {
    let mut failed = 0;
    for writes in 0..40 {
        let folder = TempDir::new().unwrap();
        let room = Arc::new(AtomicI64::new(ENDLESS));
        let opened = Store::open_on(medium(&room), folder.path(), OWN);
        let Opened { mut store, .. } = opened.unwrap();
        let mut saved = Saved::default();
        store.save(&batch(1)).unwrap();
        saved.apply(&batch(1));
        room.store(writes, Ordering::Relaxed);
        for _ in 0..3 {
            match store.save(&batch(2)) {
                Ok(()) => break,
                Err(error) => {
                    failed += 1;
                    assert!(error.is_full(), "after {writes} writes: {error}");
                }
            }
        }
        room.store(ENDLESS, Ordering::Relaxed);
        store.save(&batch(2)).unwrap();
        saved.apply(&batch(2));
        store.save(&batch(3)).unwrap();
        saved.apply(&batch(3));
        drop(store);
        let found = Store::open(folder.path(), Identity(8)).unwrap();
        assert_eq!(
            (found.identity, found.saved),
            (OWN, saved),
            "after {writes} writes"
        );
    }
    assert!(failed > 0, "the disk was full at least once");
}

/// A process that starts on a full disk says so, keeps its file, and can open it later.
#[test]
fn a_full_disk_at_the_start_is_no_damage() {
    let folder = TempDir::new().unwrap();
    let room = Arc::new(AtomicI64::new(ENDLESS));
    let opened = Store::open_on(medium(&room), folder.path(), OWN).unwrap();
    let mut store = opened.store;
    store.save(&batch(1)).unwrap();
    // It ends without closing its file in order.
    std::mem::forget(store);
    for writes in 0..6 {
        room.store(writes, Ordering::Relaxed);
        match Store::open_on(medium(&room), folder.path(), Identity(8)) {
            Ok(opened) => assert_eq!(opened.identity, OWN),
            Err(error @ Error::Damaged { .. }) => panic!("after {writes} writes: {error}"),
            Err(error) => assert!(error.is_full(), "after {writes} writes: {error}"),
        }
    }
    room.store(ENDLESS, Ordering::Relaxed);
    let opened = Store::open_on(medium(&room), folder.path(), Identity(8)).unwrap();
    let mut saved = Saved::default();
    saved.apply(&batch(1));
    assert_eq!((opened.identity, opened.saved), (OWN, saved));
}
