//! What control does for operators, carried from the HTTP threads to the replica's thread.

use std::{collections::BTreeMap, future::Future, rc::Rc, time::Duration};

use domain::{
    artifact,
    edit::{Edit, Event, Outcome},
    lists, name,
    replica::Identity,
    rollout::Rollout,
    violation::Violation,
    vm::{Holding, Upstream, Vm},
};
use futures::FutureExt;
use operator::{
    api,
    service::{Answer, Failure, Service},
};
use origin::Client;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{core::Core, edits, util::as_millis_up};

/// Requests beyond this many wait for their turn.
const QUEUE: usize = 256;
/// How long a request may take on the replica's thread.
const LIMIT: Duration = Duration::from_millis(4_500);

/// Work for the replica's thread.
type Job = Box<dyn FnOnce(Rc<Core>) + Send>;

/// The HTTP threads' end.
#[derive(Clone)]
pub struct Desk {
    jobs: mpsc::Sender<Job>,
    origin: Client,
}

/// The replica's end.
pub struct Inbox {
    jobs: mpsc::Receiver<Job>,
}

/// Both ends.
pub fn pair(origin: Client) -> (Desk, Inbox) {
    let (sender, jobs) = mpsc::channel(QUEUE);
    let desk = Desk {
        jobs: sender,
        origin,
    };
    (desk, Inbox { jobs })
}

impl Inbox {
    /// Does what the HTTP threads ask for, until they are gone.
    pub async fn run(mut self, core: Rc<Core>) {
        while let Some(job) = self.jobs.recv().await {
            job(core.clone());
        }
    }
}

impl Desk {
    fn run<T, F>(&self, work: impl FnOnce(Rc<Core>) -> F + Send + 'static) -> Answer<T>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, Failure>> + 'static,
    {
        let (sender, answer) = oneshot::channel();
        let job: Job = Box::new(move |core| {
            tokio::task::spawn_local(async move {
                // A receiver that is gone has passed its own limit.
                let _ = sender.send(work(core).await);
            });
        });
        let jobs = self.jobs.clone();
        let late = |detail: &str| Failure::Unknown {
            detail: detail.to_owned(),
        };
        async move {
            let exchange = async {
                jobs.send(job).await.ok()?;
                answer.await.ok()
            };
            match time::timeout(LIMIT, exchange).await {
                Ok(Some(answer)) => answer,
                Ok(None) => Err(late("the replica shuts down")),
                Err(_) => Err(late("no reply from the replicated log in time")),
            }
        }
        .boxed()
    }

    /// Reads from the tables, unless they are too old to be shown.
    fn read<T: Send + 'static>(
        &self,
        look: impl FnOnce(&Core) -> Result<T, Failure> + Send + 'static,
    ) -> Answer<T> {
        self.run(
            async move |core: Rc<Core>| match core.obstacles().into_iter().next() {
                Some(detail) => Err(Failure::Unavailable { detail }),
                None => look(&core),
            },
        )
    }
}

impl Service for Desk {
    fn lists(&self) -> Answer<api::Lists> {
        self.read(|core| {
            let state = core.state();
            Ok(api::Lists {
                revision: state.revision(),
                lists: state.lists().clone(),
            })
        })
    }

    fn check(&self, lists: lists::Lists) -> Answer<Vec<Violation>> {
        let origin = self.origin.clone();
        self.run(async move |core: Rc<Core>| Ok(edits::check(&core, &origin, lists).await))
    }

    fn edit(&self, edit: Edit) -> Answer<Outcome> {
        let origin = self.origin.clone();
        self.run(move |core| edits::run(core, origin, edit))
    }

    fn history(&self) -> Answer<Vec<Event>> {
        self.read(|core| Ok(core.state().history().rev().cloned().collect()))
    }

    fn zones(&self) -> Answer<Vec<api::Zone>> {
        self.read(|core| Ok(zones(core)))
    }

    fn upstreams(&self) -> Answer<Vec<api::Upstream>> {
        self.read(|core| {
            let table = core.table();
            let vms = table.all();
            Ok(vms.into_iter().map(|vm| upstream(core, vm)).collect())
        })
    }

    fn upstream(&self, vm: name::Vm) -> Answer<api::Upstream> {
        self.read(move |core| {
            let table = core.table();
            let known = table.alive(&vm).ok_or_else(|| Failure::Absent {
                kind: "upstream",
                name: vm.to_string(),
            })?;
            Ok(upstream(core, known))
        })
    }

    fn rollouts(&self) -> Answer<Vec<api::Rollout>> {
        self.read(|core| {
            let state = core.state();
            let table = core.table();
            let vms = table.all();
            let rollouts = state.rollouts().values();
            Ok(rollouts.map(|rollout| progress(rollout, &vms)).collect())
        })
    }

    fn rollout(&self, artifact: artifact::Id) -> Answer<api::Rollout> {
        self.read(move |core| {
            let state = core.state();
            let rollout = state
                .rollouts()
                .get(&artifact)
                .ok_or_else(|| Failure::Absent {
                    kind: "rollout",
                    name: artifact.to_string(),
                })?;
            Ok(progress(rollout, &core.table().all()))
        })
    }

    fn status(&self) -> Answer<api::Status> {
        self.run(async move |core: Rc<Core>| status(&core))
    }

    fn members(&self) -> Answer<Vec<api::Member>> {
        self.run(async move |core: Rc<Core>| members(&core))
    }

    fn replace(&self, replace: api::Replace) -> Answer<()> {
        self.run(async move |core: Rc<Core>| {
            let invalid = || Failure::Invalid {
                detail: format!(
                    "not an identity of 16 hexadecimal digits: {}",
                    replace.identity
                ),
            };
            let old = u64::from_str_radix(&replace.identity, 16).map_err(|_| invalid())?;
            let log = core.log().ok_or_else(not_formed)?;
            log.replace(Identity(old), replace.address)
                .await
                .map_err(|error| edits::failure(&error))
        })
    }
}

fn not_formed() -> Failure {
    Failure::Unavailable {
        detail: "the replica starts".to_owned(),
    }
}

fn zones(core: &Core) -> Vec<api::Zone> {
    let state = core.state();
    let empty = |zone: &name::AvailabilityZone| api::Zone {
        zone: zone.clone(),
        in_service: !state.zones_out().contains(zone),
        vms: 0,
        serving: 0,
    };
    let mut zones: BTreeMap<name::AvailabilityZone, api::Zone> = state
        .zones_out()
        .iter()
        .map(|zone| (zone.clone(), empty(zone)))
        .collect();
    for vm in core.table().all() {
        let name = &vm.announcement.zone;
        let zone = zones.entry(name.clone()).or_insert_with(|| empty(name));
        zone.vms += 1;
        zone.serving += usize::from(vm.status.lifecycle.is_serving());
    }
    zones.into_values().collect()
}

fn upstream(core: &Core, vm: &Vm) -> api::Upstream {
    let state = core.state();
    let who = &vm.announcement;
    let is_draining = state.drains().contains(&who.vm);
    api::Upstream {
        announcement: who.clone(),
        status: vm.status.clone(),
        is_draining,
        in_service: !is_draining
            && !state.zones_out().contains(&who.zone)
            && vm.status.lifecycle.is_serving(),
    }
}

fn progress(rollout: &Rollout, vms: &[&Vm]) -> api::Rollout {
    let engines: Vec<_> = vms
        .iter()
        .filter(|vm| matches!(vm.announcement.upstream, Upstream::Engine { .. }))
        .collect();
    let all = u64::from(rollout.pin.chunks);
    let mut seen = api::Rollout {
        artifact: rollout.artifact.clone(),
        pin: rollout.pin,
        stage: rollout.stage.clone(),
        fence: rollout.fence,
        engines: engines.len(),
        held: 0,
        serving: 0,
        failed: 0,
        chunks: 0,
        chunks_total: all * engines.len() as u64,
    };
    for vm in engines {
        match vm.status.holdings.get(&rollout.artifact) {
            None => {}
            Some(Holding::Fetching { chunks }) => seen.chunks += u64::from(*chunks),
            Some(Holding::Failed { .. }) => seen.failed += 1,
            Some(Holding::Held | Holding::Loading) => {
                seen.held += 1;
                seen.chunks += all;
            }
            Some(Holding::Serving) => {
                seen.held += 1;
                seen.serving += 1;
                seen.chunks += all;
            }
        }
    }
    seen
}

fn status(core: &Core) -> Result<api::Status, Failure> {
    let standing = core.log().ok_or_else(not_formed)?.standing();
    let state = core.state();
    Ok(api::Status {
        vm: core.vm().clone(),
        identity: standing.identity.to_string(),
        role: standing.role.to_string(),
        leader: standing.leader.map(|leader| leader.to_string()),
        term: standing.term,
        commit: standing.commit,
        applied: standing.applied,
        revision: state.revision(),
        age_ms: core.age().map(as_millis_up),
        vms: core.vm_count(),
        ledger_entries: state.ledger().len(),
        ledger_started: state.ledger().started(),
        obstacles: core.obstacles(),
    })
}

fn members(core: &Core) -> Result<Vec<api::Member>, Failure> {
    let standing = core.log().ok_or_else(not_formed)?.standing();
    let leader = standing.leader;
    let member = |(identity, address): (&Identity, &std::net::SocketAddr), is_voter| api::Member {
        identity: identity.to_string(),
        address: *address,
        is_voter,
        is_leader: leader == Some(*identity),
    };
    let members = &standing.members;
    let voters = members.voters.iter().map(|entry| member(entry, true));
    let learners = members.learners.iter().map(|entry| member(entry, false));
    Ok(voters.chain(learners).collect())
}
