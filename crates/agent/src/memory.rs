//! What an agent remembers over its own restarts: its incarnation and the highest fencing number.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use domain::order::Fence;
use serde::{Deserialize, Serialize};

const FILE_NAME: &str = "agent.json";

/// What is remembered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// The number of the running start.
    pub incarnation: u64,
    /// The highest fencing number of an order given.
    pub fence: Fence,
}

/// The file under the spool, if the agent has one.
#[derive(Debug)]
pub struct Memory {
    path: Option<PathBuf>,
    content: Content,
}

impl Memory {
    /// Reads what is remembered and begins a new incarnation.
    ///
    /// The number is the wall clock's milliseconds, or one more than the last one if that is
    /// higher. So it also grows when the spool, which is only a cache, was lost, and when the
    /// clock was set back.
    ///
    /// # Errors
    ///
    /// If the folder can't be written. A file that can't be read counts as lost.
    pub fn open(folder: Option<&Path>, wall_ms: u64) -> io::Result<Self> {
        let path = folder.map(|folder| folder.join(FILE_NAME));
        let last = path
            .as_ref()
            .and_then(|path| fs::read(path).ok())
            .and_then(|bytes| serde_json::from_slice::<Content>(&bytes).ok())
            .unwrap_or_default();
        let mut memory = Self {
            path,
            content: Content {
                incarnation: wall_ms.max(last.incarnation + 1),
                fence: last.fence,
            },
        };
        memory.save()?;
        Ok(memory)
    }

    /// What is remembered.
    pub fn content(&self) -> Content {
        self.content
    }

    /// Remembers a fencing number before an order with it is given.
    ///
    /// # Errors
    ///
    /// If it can't be written.
    pub fn remember(&mut self, fence: Fence) -> io::Result<()> {
        if fence <= self.content.fence {
            return Ok(());
        }
        self.content.fence = fence;
        self.save()
    }

    fn save(&mut self) -> io::Result<()> {
        let Some(path) = &self.path else {
            return Ok(());
        };
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder)?;
        }
        let fresh = path.with_extension("new");
        let mut file = File::create(&fresh)?;
        file.write_all(&serde_json::to_vec(&self.content)?)?;
        file.sync_all()?;
        fs::rename(&fresh, path)
    }
}
