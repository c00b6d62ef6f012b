//! Registry of agents and the links to them.

use std::collections::HashMap;

use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::EndpointKey;
use dogwoodtray_policy::RoutePolicy;

use super::LinkNo;
use super::PeerInfo;

/// Registered agent with its endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) key: EndpointKey,
    pub(super) incarnation: Incarnation,
    pub(super) link: Option<LinkNo>,
    pub(super) leaving: bool,
    models: Vec<Name>,
}

/// Identity of the agent process on a new link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AgentProcess {
    /// The process has the registered incarnation, so its attempts can be reattached.
    Known,
    /// The process is new; attempts of an earlier process of the same node are lost.
    New,
}

/// Registered agents by node, link and endpoint key.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    by_node: HashMap<Name, Endpoint>,
    by_link: HashMap<LinkNo, Name>,
    by_key: HashMap<EndpointKey, Name>,
}

impl Endpoints {
    pub(super) fn link_up(
        &mut self,
        router: &mut dyn RoutePolicy,
        link: LinkNo,
        peer: &PeerInfo,
    ) -> AgentProcess {
        self.by_link.insert(link, Name::clone(&peer.node));
        if let Some(known) = self.by_node.get_mut(&peer.node)
            && known.incarnation == peer.incarnation
        {
            known.link = Some(link);
            router.set_available(known.key, !known.leaving);
            return AgentProcess::Known;
        }
        self.remove(router, &peer.node);
        let key = router.add(&peer.models, &peer.data_centre);
        self.by_key.insert(key, Name::clone(&peer.node));
        let endpoint = Endpoint {
            key,
            incarnation: peer.incarnation,
            link: Some(link),
            leaving: false,
            models: peer.models.clone(),
        };
        self.by_node.insert(Name::clone(&peer.node), endpoint);
        AgentProcess::New
    }

    /// Removes a link. Returns the node of the agent if this was its current link.
    pub(super) fn link_down(&mut self, router: &mut dyn RoutePolicy, link: LinkNo) -> Option<Name> {
        let node = self.by_link.remove(&link)?;
        let endpoint = self.by_node.get_mut(&node)?;
        if endpoint.link != Some(link) {
            return None;
        }
        endpoint.link = None;
        router.set_available(endpoint.key, false);
        Some(node)
    }

    pub(super) fn set_leaving(
        &mut self,
        router: &mut dyn RoutePolicy,
        link: LinkNo,
        leaving: bool,
    ) -> Option<EndpointKey> {
        let endpoint = self.by_node.get_mut(self.by_link.get(&link)?)?;
        if leaving && !endpoint.leaving {
            endpoint.leaving = true;
            router.set_available(endpoint.key, false);
        }
        Some(endpoint.key)
    }

    pub(super) fn remove(&mut self, router: &mut dyn RoutePolicy, node: &str) {
        if let Some(endpoint) = self.by_node.remove(node) {
            router.remove(endpoint.key);
            self.by_key.remove(&endpoint.key);
        }
    }

    pub(super) fn get_by_key(&self, key: EndpointKey) -> Option<(&Name, &Endpoint)> {
        let node = self.by_key.get(&key)?;
        Some((node, self.by_node.get(node)?))
    }

    pub(super) fn get_by_link(&self, link: LinkNo) -> Option<(&Name, &Endpoint)> {
        let node = self.by_link.get(&link)?;
        Some((node, self.by_node.get(node)?))
    }

    pub(super) fn get_by_node(&self, node: &str) -> Option<&Endpoint> {
        self.by_node.get(node)
    }

    pub(super) fn connected_models(&self) -> impl Iterator<Item = &Name> {
        self.by_node.values().filter(|e| e.link.is_some()).flat_map(|e| &e.models)
    }

    pub(super) fn models_on_link(&self, link: LinkNo) -> Vec<Name> {
        self.get_by_link(link).map(|(_, endpoint)| endpoint.models.clone()).unwrap_or_default()
    }

    pub(super) fn connected_count(&self) -> usize {
        self.by_node.values().filter(|e| e.link.is_some()).count()
    }
}
