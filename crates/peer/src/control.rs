//! Control as entries and agents use it.

use std::{rc::Rc, time::Duration};

use domain::{edit::Revision, ledger, name, quarantine, record, vm};
use futures::future::LocalBoxFuture;

use crate::{
    connection::{Connection, Dialer},
    error::{Error, Step},
    pack,
    wire_capnp::{Scope as WireScope, batch, control, cursor},
};

/// How much of the state a subscriber needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All records.
    Entry,
    /// All but the progress of VMs' holdings, which only entries act on.
    Agent,
}

/// A subscriber's question.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    /// How far the subscriber has come.
    pub cursor: record::Cursor,
    /// How much it needs.
    pub scope: Scope,
    /// How long the answer may wait for a change.
    pub wait: Duration,
}

/// A future bound to the thread of its session.
pub type Answer<T> = LocalBoxFuture<'static, capnp::Result<T>>;

/// What control offers to entries and agents.
pub trait Service {
    /// The changes since the cursor, with the age of what they add up to.
    fn poll(&self, poll: Poll) -> Answer<record::Batch>;
    /// Opens or renews the session of a VM.
    fn announce(&self, announcement: vm::Announcement, status: vm::Status) -> Answer<()>;
    /// Keeps a session alive. The answer says whether the session is known.
    fn heartbeat(&self, vm: name::Vm, incarnation: u64) -> Answer<bool>;
    /// Ends a session.
    fn leave(&self, vm: name::Vm, incarnation: u64) -> Answer<()>;
    /// Writes to the ledger.
    fn ledger(&self, write: ledger::Write) -> Answer<ledger::Reply>;
    /// Writes to the quarantine.
    fn quarantine(&self, write: quarantine::Write) -> Answer<quarantine::Reply>;
}

/// Serves a [`Service`] over the wire.
pub(crate) struct Adapter {
    service: Rc<dyn Service>,
}

impl Adapter {
    pub(crate) fn new(service: Rc<dyn Service>) -> Self {
        Self { service }
    }
}

impl control::Server for Adapter {
    async fn poll(
        self: Rc<Self>,
        params: control::PollParams,
        mut results: control::PollResults,
    ) -> capnp::Result<()> {
        let poll = {
            let params = params.get()?;
            let scope = match params.get_scope()? {
                WireScope::Entry => Scope::Entry,
                WireScope::Agent => Scope::Agent,
            };
            let wait = Duration::from_millis(params.get_wait_ms().into());
            Poll {
                cursor: read_cursor(params.get_cursor()?),
                scope,
                wait,
            }
        };
        let answer = self.service.poll(poll).await?;
        write_batch(&answer, results.get().init_batch())
    }

    async fn announce(
        self: Rc<Self>,
        params: control::AnnounceParams,
        _: control::AnnounceResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let announcement = pack::decode(params.get_announcement_pack()?)?;
        let status = pack::decode(params.get_status_pack()?)?;
        self.service.announce(announcement, status).await
    }

    async fn heartbeat(
        self: Rc<Self>,
        params: control::HeartbeatParams,
        mut results: control::HeartbeatResults,
    ) -> capnp::Result<()> {
        let (vm, incarnation) = {
            let params = params.get()?;
            (
                name::Vm::from(params.get_vm()?.to_str()?),
                params.get_incarnation(),
            )
        };
        let is_known = self.service.heartbeat(vm, incarnation).await?;
        results.get().set_is_known(is_known);
        Ok(())
    }

    async fn leave(
        self: Rc<Self>,
        params: control::LeaveParams,
        _: control::LeaveResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let vm = name::Vm::from(params.get_vm()?.to_str()?);
        self.service.leave(vm, params.get_incarnation()).await
    }

    async fn ledger(
        self: Rc<Self>,
        params: control::LedgerParams,
        mut results: control::LedgerResults,
    ) -> capnp::Result<()> {
        let write = pack::decode(params.get()?.get_write_pack()?)?;
        let reply = self.service.ledger(write).await?;
        results.get().set_reply_pack(&pack::encode(&reply)?);
        Ok(())
    }

    async fn quarantine(
        self: Rc<Self>,
        params: control::QuarantineParams,
        mut results: control::QuarantineResults,
    ) -> capnp::Result<()> {
        let write = pack::decode(params.get()?.get_write_pack()?)?;
        let reply = self.service.quarantine(write).await?;
        results.get().set_reply_pack(&pack::encode(&reply)?);
        Ok(())
    }
}

/// A session with control, bound to one connection and one thread.
pub struct Session {
    connection: Connection,
    control: control::Client,
}

impl Session {
    /// Opens a connection and logs in.
    pub async fn open(dialer: &Dialer, peer: std::net::SocketAddr) -> Result<Self, Error> {
        let connection = dialer.dial(peer).await?;
        let mut request = connection.login.control_request();
        request.get().set_secret(dialer.secret());
        let answer = async { request.send().promise.await?.get()?.get_control() };
        let control = connection.login(answer).await?;
        Ok(Self {
            connection,
            control,
        })
    }

    /// The connection under the session.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// See [`Service::poll`].
    pub async fn poll(&self, poll: Poll) -> Result<record::Batch, Error> {
        let mut request = self.control.poll_request();
        let mut params = request.get();
        write_cursor(poll.cursor, params.reborrow().init_cursor());
        params.set_scope(match poll.scope {
            Scope::Entry => WireScope::Entry,
            Scope::Agent => WireScope::Agent,
        });
        params.set_wait_ms(u32::try_from(poll.wait.as_millis()).unwrap_or(u32::MAX));
        let answer = async { read_batch(request.send().promise.await?.get()?.get_batch()?) };
        self.connection
            .call(Step::Call("poll"), poll.wait, answer)
            .await
    }

    /// See [`Service::announce`].
    pub async fn announce(
        &self,
        announcement: &vm::Announcement,
        status: &vm::Status,
    ) -> Result<(), Error> {
        let answer = async {
            let mut request = self.control.announce_request();
            request
                .get()
                .set_announcement_pack(&pack::encode(announcement)?);
            request.get().set_status_pack(&pack::encode(status)?);
            request.send().promise.await.map(|_| ())
        };
        self.connection
            .call(Step::Call("announce"), Duration::ZERO, answer)
            .await
    }

    /// See [`Service::heartbeat`].
    pub async fn heartbeat(&self, vm: &name::Vm, incarnation: u64) -> Result<bool, Error> {
        let mut request = self.control.heartbeat_request();
        request.get().set_vm(vm.as_str());
        request.get().set_incarnation(incarnation);
        let answer = async { Ok(request.send().promise.await?.get()?.get_is_known()) };
        self.connection
            .call(Step::Call("heartbeat"), Duration::ZERO, answer)
            .await
    }

    /// See [`Service::leave`].
    pub async fn leave(&self, vm: &name::Vm, incarnation: u64) -> Result<(), Error> {
        let mut request = self.control.leave_request();
        request.get().set_vm(vm.as_str());
        request.get().set_incarnation(incarnation);
        let answer = async { request.send().promise.await.map(|_| ()) };
        self.connection
            .call(Step::Call("leave"), Duration::ZERO, answer)
            .await
    }

    /// See [`Service::ledger`].
    pub async fn ledger(&self, write: &ledger::Write) -> Result<ledger::Reply, Error> {
        let answer = async {
            let mut request = self.control.ledger_request();
            request.get().set_write_pack(&pack::encode(write)?);
            pack::decode(request.send().promise.await?.get()?.get_reply_pack()?)
        };
        self.connection
            .call(Step::Call("ledger"), Duration::ZERO, answer)
            .await
    }

    /// See [`Service::quarantine`].
    pub async fn quarantine(&self, write: &quarantine::Write) -> Result<quarantine::Reply, Error> {
        let answer = async {
            let mut request = self.control.quarantine_request();
            request.get().set_write_pack(&pack::encode(write)?);
            pack::decode(request.send().promise.await?.get()?.get_reply_pack()?)
        };
        self.connection
            .call(Step::Call("quarantine"), Duration::ZERO, answer)
            .await
    }
}

pub(crate) fn read_cursor(reader: cursor::Reader<'_>) -> record::Cursor {
    record::Cursor {
        epoch: reader.get_epoch(),
        sequence: reader.get_sequence(),
    }
}

pub(crate) fn write_cursor(cursor: record::Cursor, mut builder: cursor::Builder<'_>) {
    builder.set_epoch(cursor.epoch);
    builder.set_sequence(cursor.sequence);
}

pub(crate) fn read_batch(reader: batch::Reader<'_>) -> capnp::Result<record::Batch> {
    let packs = reader.get_delta_packs()?;
    let deltas = packs
        .iter()
        .map(|pack| pack::decode(pack?))
        .collect::<capnp::Result<_>>()?;
    Ok(record::Batch {
        is_snapshot: reader.get_is_snapshot(),
        deltas,
        revision: Revision(reader.get_revision()),
        cursor: read_cursor(reader.get_cursor()?),
        age_ms: reader.get_age_ms(),
        held_ms: reader.get_held_ms(),
        commit: reader.get_commit(),
    })
}

pub(crate) fn write_batch(
    answer: &record::Batch,
    mut builder: batch::Builder<'_>,
) -> capnp::Result<()> {
    builder.set_is_snapshot(answer.is_snapshot);
    builder.set_revision(answer.revision.0);
    builder.set_age_ms(answer.age_ms);
    builder.set_held_ms(answer.held_ms);
    builder.set_commit(answer.commit);
    write_cursor(answer.cursor, builder.reborrow().init_cursor());
    let len = u32::try_from(answer.deltas.len()).unwrap_or(u32::MAX);
    let mut packs = builder.init_delta_packs(len);
    for (i, delta) in (0..len).zip(&answer.deltas) {
        packs.set(i, &pack::encode(delta)?);
    }
    Ok(())
}
