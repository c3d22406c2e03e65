//! Selects the route of a request by its host, then by the longest path prefix.
//!
//! Clones share the routes, because the view of the state is replaced on each change.

use std::{collections::HashMap, sync::Arc};

use domain::routing::Route;

/// Routes by host.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: HashMap<Arc<str>, Arc<[Arc<Route>]>>,
}

impl Routes {
    /// Returns the route for a path on a host, which is given without its port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // Routes are sorted by the length of their prefix, longest first.
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(|routes| routes.iter())
    }

    /// Inserts a route. It replaces one with the same host and prefix.
    pub fn insert(&mut self, route: Arc<Route>) {
        let host = route.host.clone();
        let known = self.hosts.get(&host).into_iter().flat_map(|all| all.iter());
        let mut routes: Vec<_> = known
            .filter(|other| other.prefix != route.prefix)
            .cloned()
            .collect();
        routes.push(route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        self.hosts.insert(host, routes.into());
    }

    /// Removes a route, given as its host followed by its prefix.
    pub fn remove(&mut self, key: &str) {
        let Some(host) = key.split_once('/').map(|(host, _)| host) else {
            return;
        };
        let Some(known) = self.hosts.get(host) else {
            return;
        };
        let prefix = &key[host.len()..];
        let kept: Vec<_> = known
            .iter()
            .filter(|route| &*route.prefix != prefix)
            .cloned()
            .collect();
        match kept.is_empty() {
            true => drop(self.hosts.remove(host)),
            false => drop(self.hosts.insert(host.into(), kept.into())),
        }
    }
}
