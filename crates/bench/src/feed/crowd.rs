//! Many subscribers in this process, each with a link of its own to control.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use domain::{
    artifact,
    edit::Revision,
    vm::{Announcement, Holding, Lifecycle, Status, Upstream, Vm},
};
use host::clock::Boot;
use peer::{
    connection::Dialer,
    control::Scope,
    seeds::Seeds,
    uplink::{Client, Config},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::error::Error;

/// How long a condition is waited for.
const LIMIT: Duration = Duration::from_secs(60);

/// One subscriber and, for an agent, what it tells of itself.
struct Member {
    client: Client,
    presence: Option<watch::Sender<Option<Arc<Vm>>>>,
}

/// Entries and agents that follow the feed.
pub struct Crowd {
    members: Vec<Member>,
}

impl Crowd {
    /// Starts the given numbers of entries and agents.
    ///
    /// # Errors
    ///
    /// If a thread could not be started.
    pub fn start(
        control: &[SocketAddr],
        secret: &[u8],
        entries: usize,
        agents: usize,
    ) -> Result<Self, Error> {
        let kinds = std::iter::repeat_n(Scope::Entry, entries)
            .chain(std::iter::repeat_n(Scope::Agent, agents));
        let members = kinds.enumerate().map(|(n, scope)| {
            let config = Config {
                vm: format!("vm-{n}").as_str().into(),
                zone: "zone".into(),
                control: Seeds::new(control),
                dialer: Dialer::new(secret),
                scope,
                logger: telemetry::log::discard(),
            };
            let presence = (scope == Scope::Agent).then(|| watch::channel(Some(vm(n))));
            let (sender, receiver) = presence.unzip();
            let client = Client::new(config, Arc::new(Boot), receiver)
                .map_err(Error::step("start a subscriber"))?;
            Ok(Member {
                client,
                presence: sender,
            })
        });
        let members = members.collect::<Result<_, Error>>()?;
        Ok(Self { members })
    }

    /// How many subscribers there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no subscriber.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Waits until every subscriber knows of so many VMs.
    ///
    /// # Errors
    ///
    /// If that takes too long.
    pub async fn wait_for_vms(&self, count: usize) -> Result<(), Error> {
        let all = async {
            for member in &self.members {
                while member.client.feed().view.vms.len() < count {
                    sleep(Duration::from_millis(10)).await;
                }
            }
        };
        timeout(LIMIT, all)
            .await
            .map_err(Error::step("wait until all VMs are known everywhere"))
    }

    /// When each subscriber had the revision in force. Call it before the edit is sent.
    pub fn watch(&self, revision: Revision) -> Vec<tokio::task::JoinHandle<Instant>> {
        let members = self.members.iter();
        let watches = members.map(|member| {
            let client = member.client.clone();
            let mut changes = client.changes();
            tokio::spawn(async move {
                while client.feed().view.revision < revision {
                    if changes.changed().await.is_err() {
                        break;
                    }
                }
                Instant::now()
            })
        });
        watches.collect()
    }

    /// Lets every agent say that it serves another version.
    pub fn report(&self, version: usize) {
        let reporting = self.members.iter().filter_map(|m| m.presence.as_ref());
        for presence in reporting {
            presence.send_modify(|vm| {
                let next = vm.as_deref().map(|vm| serving(vm, version));
                *vm = next.map(Arc::new);
            });
        }
    }
}

fn vm(n: usize) -> Arc<Vm> {
    let zone = n % 3;
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    Arc::new(Vm {
        announcement: Announcement {
            vm: format!("vm-{n}").as_str().into(),
            zone: format!("zone-{zone}").as_str().into(),
            region: format!("region-{zone}").as_str().into(),
            incarnation: 1,
            call_addr: addr(1),
            chunk_addr: addr(2),
            upstream: Upstream::Engine {
                checks_fencing: true,
            },
        },
        status: Status {
            lifecycle: Lifecycle::Warm,
            holdings: Default::default(),
            fence: Default::default(),
            limit: 32,
        },
    })
}

fn serving(vm: &Vm, version: usize) -> Vm {
    let id = artifact::Id::new("draft", version.to_string().as_str());
    Vm {
        announcement: vm.announcement.clone(),
        status: Status {
            holdings: [(id, Holding::Serving)].into(),
            ..vm.status.clone()
        },
    }
}
