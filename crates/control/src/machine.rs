//! The replicated state as the log drives it.

use std::rc::Rc;

use domain::command::{Command, Reply};
use policy::state::State;

use crate::{core::Core, log};

/// Applies committed commands to the tables of this replica.
pub struct Machine {
    core: Rc<Core>,
}

impl Machine {
    /// A machine over the given tables.
    pub fn new(core: Rc<Core>) -> Self {
        Self { core }
    }
}

impl log::Machine for Machine {
    fn apply(&mut self, term: u64, index: u64, command: Command) -> Reply {
        self.core.apply(term, index, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        // Coding into memory fails for no value of the state's types.
        rmp_serde::to_vec_named(&*self.core.state()).unwrap_or_default()
    }

    fn restore(&mut self, index: u64, snapshot: &[u8]) -> Result<(), rmp_serde::decode::Error> {
        let state: State = rmp_serde::from_slice(snapshot)?;
        self.core.restore(index, state);
        Ok(())
    }
}
