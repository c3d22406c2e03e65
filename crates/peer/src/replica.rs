//! Replicas of control as they use each other.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use domain::{command, record, replica};

use crate::{
    connection::{Connection, Dialer},
    control::{Answer, read_batch, read_cursor, write_batch, write_cursor},
    error::{Error, Step},
    pack,
    wire_capnp::replica as wire,
};

/// Who a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The identity on its disk.
    pub identity: replica::Identity,
    /// The group that it belongs to, or zero.
    pub group: u64,
    /// Whether its disk holds no log.
    pub is_empty: bool,
    /// The address under which it is a member.
    pub address: SocketAddr,
}

/// A leader's word that a quorum confirmed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The leader's term.
    pub term: u64,
    /// Its commit index.
    pub commit: u64,
    /// How long ago, at most, that index was the newest one, in milliseconds.
    pub age_ms: u64,
}

/// What a replica offers to the others.
pub trait Service {
    /// Who this replica is.
    fn hello(&self) -> Hello;
    /// Takes a message of the replication protocol. Losing one is harmless.
    fn step(&self, message: replica::Message);
    /// The leader's confirmation, or an error from any other replica.
    fn confirm(&self) -> Answer<Confirmation>;
    /// Submits a command on behalf of a follower.
    fn forward(&self, command: command::Command) -> Answer<command::Reply>;
    /// Changes of the VMs whose sessions this replica keeps.
    fn vms(&self, cursor: record::Cursor, wait: Duration) -> Answer<record::Batch>;
    /// Asks the leader to admit a replica with a new identity, in the place of the given voter or
    /// of the one that was at its address.
    fn admit(
        &self,
        identity: replica::Identity,
        address: SocketAddr,
        replaces: Option<replica::Identity>,
    ) -> Answer<()>;
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

impl wire::Server for Adapter {
    async fn hello(
        self: Rc<Self>,
        _: wire::HelloParams,
        mut results: wire::HelloResults,
    ) -> capnp::Result<()> {
        let hello = self.service.hello();
        let mut results = results.get();
        results.set_identity(hello.identity.0);
        results.set_group(hello.group);
        results.set_is_empty(hello.is_empty);
        results.set_address(hello.address.to_string().as_str());
        Ok(())
    }

    async fn step(
        self: Rc<Self>,
        params: wire::StepParams,
        _: wire::StepResults,
    ) -> capnp::Result<()> {
        self.service
            .step(pack::decode(params.get()?.get_message_pack()?)?);
        Ok(())
    }

    async fn confirm(
        self: Rc<Self>,
        _: wire::ConfirmParams,
        mut results: wire::ConfirmResults,
    ) -> capnp::Result<()> {
        let confirmation = self.service.confirm().await?;
        let mut results = results.get();
        results.set_term(confirmation.term);
        results.set_commit(confirmation.commit);
        results.set_age_ms(confirmation.age_ms);
        Ok(())
    }

    async fn forward(
        self: Rc<Self>,
        params: wire::ForwardParams,
        mut results: wire::ForwardResults,
    ) -> capnp::Result<()> {
        let command = pack::decode(params.get()?.get_command_pack()?)?;
        let reply = self.service.forward(command).await?;
        results.get().set_reply_pack(&pack::encode(&reply)?);
        Ok(())
    }

    async fn vms(
        self: Rc<Self>,
        params: wire::VmsParams,
        mut results: wire::VmsResults,
    ) -> capnp::Result<()> {
        let (cursor, wait) = {
            let params = params.get()?;
            let wait = Duration::from_millis(params.get_wait_ms().into());
            (read_cursor(params.get_cursor()?), wait)
        };
        let answer = self.service.vms(cursor, wait).await?;
        write_batch(&answer, results.get().init_batch())
    }

    async fn admit(
        self: Rc<Self>,
        params: wire::AdmitParams,
        _: wire::AdmitResults,
    ) -> capnp::Result<()> {
        let (identity, address, replaces) = {
            let params = params.get()?;
            let replaces = Some(params.get_replaces()).filter(|id| *id != 0);
            let address = read_address(params.get_address()?)?;
            (params.get_identity(), address, replaces)
        };
        self.service
            .admit(identity.into(), address, replaces.map(Into::into))
            .await
    }
}

/// A session with another replica, bound to one connection and one thread.
pub struct Session {
    connection: Connection,
    replica: wire::Client,
}

impl Session {
    /// Opens a connection and logs in.
    pub async fn open(dialer: &Dialer, peer: SocketAddr) -> Result<Self, Error> {
        let connection = dialer.dial(peer).await?;
        let mut request = connection.login.replica_request();
        request.get().set_secret(dialer.secret());
        let answer = async { request.send().promise.await?.get()?.get_replica() };
        let replica = connection.login(answer).await?;
        Ok(Self {
            connection,
            replica,
        })
    }

    /// The connection under the session.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// See [`Service::hello`].
    pub async fn hello(&self) -> Result<Hello, Error> {
        let answer = async {
            let response = self.replica.hello_request().send().promise.await?;
            let hello = response.get()?;
            Ok(Hello {
                identity: hello.get_identity().into(),
                group: hello.get_group(),
                is_empty: hello.get_is_empty(),
                address: read_address(hello.get_address()?)?,
            })
        };
        self.connection
            .call(Step::Call("hello"), Duration::ZERO, answer)
            .await
    }

    /// See [`Service::step`].
    pub async fn step(&self, message: &replica::Message) -> Result<(), Error> {
        let answer = async {
            let mut request = self.replica.step_request();
            request.get().set_message_pack(&pack::encode(message)?);
            request.send().promise.await.map(|_| ())
        };
        self.connection
            .call(Step::Call("step"), Duration::ZERO, answer)
            .await
    }

    /// See [`Service::confirm`].
    pub async fn confirm(&self) -> Result<Confirmation, Error> {
        let answer = async {
            let response = self.replica.confirm_request().send().promise.await?;
            let confirmation = response.get()?;
            Ok(Confirmation {
                term: confirmation.get_term(),
                commit: confirmation.get_commit(),
                age_ms: confirmation.get_age_ms(),
            })
        };
        self.connection
            .call(Step::Call("confirm"), Duration::ZERO, answer)
            .await
    }

    /// See [`Service::forward`].
    pub async fn forward(&self, command: &command::Command) -> Result<command::Reply, Error> {
        let answer = async {
            let mut request = self.replica.forward_request();
            request.get().set_command_pack(&pack::encode(command)?);
            pack::decode(request.send().promise.await?.get()?.get_reply_pack()?)
        };
        self.connection
            .call(Step::Call("forward"), Duration::ZERO, answer)
            .await
    }

    /// See [`Service::vms`].
    pub async fn vms(
        &self,
        cursor: record::Cursor,
        wait: Duration,
    ) -> Result<record::Batch, Error> {
        let mut request = self.replica.vms_request();
        write_cursor(cursor, request.get().init_cursor());
        request
            .get()
            .set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        let answer = async { read_batch(request.send().promise.await?.get()?.get_batch()?) };
        self.connection.call(Step::Call("vms"), wait, answer).await
    }

    /// See [`Service::admit`].
    pub async fn admit(
        &self,
        identity: replica::Identity,
        address: SocketAddr,
        replaces: Option<replica::Identity>,
    ) -> Result<(), Error> {
        let mut request = self.replica.admit_request();
        request.get().set_replaces(replaces.map_or(0, |id| id.0));
        request.get().set_identity(identity.0);
        request.get().set_address(address.to_string().as_str());
        let answer = async { request.send().promise.await.map(|_| ()) };
        self.connection
            .call(Step::Call("admit"), Duration::ZERO, answer)
            .await
    }
}

fn read_address(text: capnp::text::Reader<'_>) -> capnp::Result<SocketAddr> {
    let text = text.to_str()?;
    text.parse()
        .map_err(|_| capnp::Error::failed(format!("not an address: {text}")))
}
