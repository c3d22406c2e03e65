//! A log of one replica in memory, for tests of everything above it.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use domain::{
    command::{Command, Reply},
    replica::{Identity, Members},
};
use futures::{FutureExt, future::LocalBoxFuture};

use crate::log::{Error, Log, Machine, Role, Standing};

/// The only replica of its group. It forgets everything at its end.
pub struct Single {
    machine: RefCell<Box<dyn Machine>>,
    index: RefCell<u64>,
    age: RefCell<Option<Duration>>,
    address: SocketAddr,
}

impl Single {
    const IDENTITY: Identity = Identity(1);
    const TERM: u64 = 1;

    /// A log that drives the given machine.
    pub fn new(machine: impl Machine + 'static, address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            machine: RefCell::new(Box::new(machine)),
            index: RefCell::new(0),
            age: RefCell::new(Some(Duration::ZERO)),
            address,
        })
    }

    /// Sets the age of the state, or that no quorum has confirmed it.
    pub fn set_age(&self, age: Option<Duration>) {
        self.age.replace(age);
    }
}

impl Log for Single {
    fn submit(&self, command: Command) -> LocalBoxFuture<'static, Result<Reply, Error>> {
        if self.age.borrow().is_none() {
            return std::future::ready(Err(Error::NoQuorum { millis: 0 })).boxed_local();
        }
        let index = *self.index.borrow() + 1;
        self.index.replace(index);
        let reply = self.machine.borrow_mut().apply(Self::TERM, index, command);
        std::future::ready(Ok(reply)).boxed_local()
    }

    fn age(&self) -> Option<Duration> {
        *self.age.borrow()
    }

    fn standing(&self) -> Standing {
        let index = *self.index.borrow();
        Standing {
            identity: Self::IDENTITY,
            term: Self::TERM,
            leader: Some(Self::IDENTITY),
            commit: index,
            applied: index,
            members: Members {
                voters: BTreeMap::from([(Self::IDENTITY, self.address)]),
                ..Members::default()
            },
            role: Role::Leader,
        }
    }

    fn peers(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn replace(&self, _: Identity, _: SocketAddr) -> LocalBoxFuture<'static, Result<(), Error>> {
        std::future::ready(Err(Error::NotFormed)).boxed_local()
    }
}
