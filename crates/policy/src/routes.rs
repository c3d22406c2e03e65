//! Selects the route of a request by its host, then by the longest path prefix.
//!
//! Clones share the routes, because the view of the state is replaced on each change. A host's
//! routes are copied once when the first of them changes, not for each change.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use domain::routing::Route;

/// The routes of one host by their prefix, longest first.
type Host = BTreeMap<(Reverse<usize>, Arc<str>), Arc<Route>>;

/// Routes by host.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: HashMap<Arc<str>, Arc<Host>>,
}

impl Routes {
    /// Returns the route for a path on a host, which is given without its port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts
            .get(host)?
            .values()
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(|routes| routes.values())
    }

    /// Inserts a route. It replaces one with the same host and prefix.
    pub fn insert(&mut self, route: Arc<Route>) {
        let host = self.hosts.entry(route.host.clone()).or_default();
        let key = (Reverse(route.prefix.len()), route.prefix.clone());
        Arc::make_mut(host).insert(key, route);
    }

    /// Removes a route, given as its host followed by its prefix.
    pub fn remove(&mut self, key: &str) {
        let Some(host) = key.split_once('/').map(|(host, _)| host) else {
            return;
        };
        let Some(known) = self.hosts.get_mut(host) else {
            return;
        };
        let prefix = &key[host.len()..];
        Arc::make_mut(known).remove(&(Reverse(prefix.len()), Arc::from(prefix)));
        if known.is_empty() {
            self.hosts.remove(host);
        }
    }
}
