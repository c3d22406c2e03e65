//! Which route a request takes: its host decides, then the longest path prefix.
//!
//! Clones share the routes, because a view of the state is replaced with each change of it.

use std::{collections::HashMap, sync::Arc};

use domain::routing::Route;

/// Routes by host.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: HashMap<Arc<str>, Arc<[Arc<Route>]>>,
}

impl Routes {
    /// The route for a host, given without its port, and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // The longest prefixes come first.
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// Sets a route in the place of one with the same host and prefix.
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

    /// Removes the route with the given host and prefix.
    pub fn remove(&mut self, place: &str) {
        let Some(host) = place.split_once('/').map(|(host, _)| host) else {
            return;
        };
        let Some(known) = self.hosts.get(host) else {
            return;
        };
        let prefix = &place[host.len()..];
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
