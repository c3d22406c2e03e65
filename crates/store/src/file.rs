//! The file and its tables.

use std::{
    fs,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
    sync::Arc,
};

use domain::replica::{Entry, Identity, Position, Snapshot};
use policy::replica::{Batch, HardState, Saved};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    codec,
    error::{CommitSnafu, DamagedSnafu, Error, IoSnafu},
};

const FILE: &str = "replica.redb";
/// The state is held in memory anyway; the cache only serves commits.
const CACHE_BYTES: usize = 16 * 1024 * 1024;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const HEAD: &str = "head";
const SNAPSHOT: &str = "snapshot";

/// What changes with every commit.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Head {
    identity: Identity,
    hard: HardState,
    base: Position,
    /// The last entry, so that a log that lost its end is noticed.
    last: u64,
}

/// Opens the database at a path, or creates it.
pub type Medium = Arc<dyn Fn(&Path) -> Result<Database, DatabaseError> + Send + Sync>;

/// The durable state of a replica. While it is open no other process can open the folder.
pub struct Store {
    path: PathBuf,
    medium: Medium,
    /// Nothing after a commit that failed: the database takes no more until it is opened again.
    database: Option<Database>,
    head: Head,
}

/// An open store with what it held.
pub struct Opened {
    /// The store.
    pub store: Store,
    /// The identity that is bound to the file.
    pub identity: Identity,
    /// Everything that was made durable.
    pub saved: Saved,
}

impl Store {
    /// Opens the store of a data folder. In a folder without one, `fresh` becomes its identity.
    ///
    /// # Errors
    ///
    /// [`Error::Damaged`] if the file does not hold what was last made durable.
    pub fn open(folder: &Path, fresh: Identity) -> Result<Opened, Error> {
        Self::open_on(Arc::new(open_file), folder, fresh)
    }

    /// Opens the store as [`Store::open`] does, with its file on another medium.
    ///
    /// # Errors
    ///
    /// See [`Store::open`].
    pub fn open_on(medium: Medium, folder: &Path, fresh: Identity) -> Result<Opened, Error> {
        fs::create_dir_all(folder).context(IoSnafu {
            step: "create the folder",
            path: folder,
        })?;
        let path = folder.join(FILE);
        // Debug builds of the database panic on some kinds of damage.
        match catch_unwind(AssertUnwindSafe(|| open(medium, &path, fresh))) {
            Ok(Ok(opened)) => {
                sync_folder(folder)?;
                Ok(opened)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => DamagedSnafu {
                path,
                detail: "the database gave up on it",
            }
            .fail(),
        }
    }

    /// Moves a damaged file aside, so that the folder counts as empty, and says where it went.
    ///
    /// # Errors
    ///
    /// If the file could not be renamed.
    pub fn set_aside(folder: &Path) -> Result<PathBuf, Error> {
        let from = folder.join(FILE);
        let to = (1..)
            .map(|number: u64| folder.join(format!("{FILE}.damaged-{number}")))
            .find(|path| !path.exists())
            .unwrap_or_else(|| folder.join("damaged"));
        fs::rename(&from, &to).context(IoSnafu {
            step: "move the damaged file aside",
            path: from,
        })?;
        sync_folder(folder)?;
        Ok(to)
    }

    /// Makes a batch durable, whole or not at all.
    ///
    /// # Errors
    ///
    /// If the disk failed. The caller must not promise anything after that, unless the same batch
    /// is saved later: where [`Error::is_full`] holds, that may succeed.
    pub fn save(&mut self, batch: &Batch) -> Result<(), Error> {
        let path = &self.path;
        let database = match self.database.take() {
            Some(database) => database,
            None => {
                let (database, head) = reopen(&self.medium, path, self.head.identity)?;
                // A commit may have reached the disk although it failed at its end.
                self.head = head;
                database
            }
        };
        self.head = commit(&database, self.head, batch).context(CommitSnafu { path })?;
        self.database = Some(database);
        Ok(())
    }

    /// The bytes that the file takes on the disk.
    ///
    /// # Errors
    ///
    /// If the file could not be read.
    pub fn bytes(&self) -> Result<u64, Error> {
        let path = &self.path;
        let step = "read the size";
        Ok(fs::metadata(path).context(IoSnafu { step, path })?.len())
    }
}

fn open_file(path: &Path) -> Result<Database, DatabaseError> {
    Database::builder()
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true)
        .create(path)
}

/// Opens the database again that has the given identity.
fn reopen(medium: &Medium, path: &Path, identity: Identity) -> Result<(Database, Head), Error> {
    let damaged = |detail: String| DamagedSnafu { path, detail }.build();
    let database = medium(path).map_err(|error| opening(path, error))?;
    match load(&database).map_err(damaged)? {
        Some((head, ..)) if head.identity == identity => Ok((database, head)),
        _ => Err(damaged("it was replaced while it was in use".to_owned())),
    }
}

fn open(medium: Medium, path: &Path, fresh: Identity) -> Result<Opened, Error> {
    let database = medium(path).map_err(|error| opening(path, error))?;
    let damaged = |detail: String| DamagedSnafu { path, detail }.build();
    let found = load(&database).map_err(damaged)?;
    let (head, snapshot, entries) = match found {
        Some(found) => found,
        None => {
            let head = Head {
                identity: fresh,
                hard: HardState::default(),
                base: Position::default(),
                last: 0,
            };
            let head = commit(&database, head, &Batch::default()).context(CommitSnafu { path })?;
            (head, None, Vec::new())
        }
    };
    let store = Store {
        path: path.to_owned(),
        medium,
        database: Some(database),
        head,
    };
    Ok(Opened {
        store,
        identity: head.identity,
        saved: Saved {
            hard: head.hard,
            base: head.base,
            snapshot,
            entries,
        },
    })
}

fn opening(path: &Path, error: DatabaseError) -> Error {
    let path = path.to_owned();
    match error {
        DatabaseError::DatabaseAlreadyOpen | DatabaseError::LockProtocolMismatch => {
            Error::Locked { path }
        }
        DatabaseError::Storage(redb::StorageError::Io(source))
            if source.kind() != std::io::ErrorKind::InvalidData
                && source.kind() != std::io::ErrorKind::UnexpectedEof =>
        {
            let step = "open the file";
            Error::Io { step, path, source }
        }
        error => Error::Damaged {
            path,
            detail: error.to_string(),
        },
    }
}

type Found = (Head, Option<Arc<Snapshot>>, Vec<Entry>);

fn load(database: &Database) -> Result<Option<Found>, String> {
    let text = |error: redb::Error| error.to_string();
    let read = database.begin_read().map_err(|error| text(error.into()))?;
    let meta = match read.open_table(META) {
        Ok(meta) => meta,
        // Nothing was ever committed, so nothing was ever promised.
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(text(error.into())),
    };
    let log = read.open_table(LOG).map_err(|error| text(error.into()))?;
    let head = meta.get(HEAD).map_err(|error| text(error.into()))?;
    let head: Head = codec::decode(head.ok_or("the head is missing")?.value())?;
    let snapshot = meta.get(SNAPSHOT).map_err(|error| text(error.into()))?;
    let snapshot = snapshot
        .map(|bytes| codec::decode(bytes.value()).map(Arc::new))
        .transpose()?;
    let mut entries = Vec::new();
    for row in log.iter().map_err(|error| text(error.into()))? {
        let (index, bytes) = row.map_err(|error| text(error.into()))?;
        let entry: Entry = codec::decode(bytes.value())?;
        if entry.index != index.value() {
            return Err(format!("entry {} stands at {}", entry.index, index.value()));
        }
        entries.push(entry);
    }
    check(&head, &entries)?;
    Ok(Some((head, snapshot, entries)))
}

fn check(head: &Head, entries: &[Entry]) -> Result<(), String> {
    let indices = entries.iter().map(|entry| entry.index);
    match indices.eq(head.base.index + 1..=head.last) {
        true => Ok(()),
        false => Err(format!(
            "the log is not whole from {} to {}",
            head.base.index + 1,
            head.last
        )),
    }
}

fn commit(database: &Database, head: Head, batch: &Batch) -> Result<Head, redb::Error> {
    let mut write = database.begin_write()?;
    // With one phase a damaged last commit would be taken for one that a crash cut short, and
    // undone on opening.
    write.set_two_phase_commit(true);
    let mut head = Head {
        hard: batch.hard,
        ..head
    };
    {
        let mut log = write.open_table(LOG)?;
        if let Some(from) = batch.truncate_from {
            log.retain_in(from.., |_, _| false)?;
            head.last = head.last.min(from.saturating_sub(1));
        }
        for entry in &batch.entries {
            log.insert(entry.index, encode(entry)?.as_slice())?;
            head.last = entry.index;
        }
        if let Some(base) = batch.base {
            log.retain_in(..=base.index, |_, _| false)?;
            head.base = base;
            head.last = head.last.max(base.index);
        }
        let mut meta = write.open_table(META)?;
        if let Some(snapshot) = &batch.snapshot {
            meta.insert(SNAPSHOT, encode(snapshot.as_ref())?.as_slice())?;
        }
        meta.insert(HEAD, encode(&head)?.as_slice())?;
    }
    write.commit()?;
    Ok(head)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, redb::Error> {
    codec::encode(value).map_err(|error| redb::Error::Io(std::io::Error::other(error)))
}

fn sync_folder(folder: &Path) -> Result<(), Error> {
    let path = folder;
    let step = "sync the folder";
    let file = fs::File::open(folder).context(IoSnafu { step, path })?;
    file.sync_all().context(IoSnafu { step, path })
}
