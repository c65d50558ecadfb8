//! Load reports of replicas, and status queries.

use base::Name;
use kameo::message::{Context, Message};
use route::{Event, replica};
use serde::Serialize;

use super::Traffic;
use super::replica::Identity;
use crate::platform::load::Source;

/// Load report of a replica.
#[derive(Clone, Debug)]
pub struct Report {
    /// VM incarnation of the replica.
    pub identity: Identity,
    /// The reported load.
    pub report: replica::Report,
}

impl Message<Report> for Traffic {
    type Reply = ();

    async fn handle(&mut self, report: Report, _context: &mut Context<Self, Self::Reply>) {
        let key = self
            .replicas
            .get(&report.identity)
            .and_then(|replica| replica.key);
        if let Some(replica) = key {
            self.step(Event::Report {
                replica,
                report: report.report,
            });
        }
    }
}

/// Queries the replicas from which to read load reports.
#[derive(Clone, Copy, Debug)]
pub struct Sources;

impl Message<Sources> for Traffic {
    type Reply = Vec<Source>;

    async fn handle(&mut self, _sources: Sources, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let sources = self
            .replicas
            .values()
            .filter(|replica| replica.key.is_some() && !replica.leaving);
        let source = |replica: &super::Replica| Source {
            identity: replica.identity.clone(),
            url: format!("http://{}", replica.address),
        };
        sources.map(source).collect()
    }
}

/// Queries the replicas as seen by this node.
#[derive(Clone, Copy, Debug)]
pub struct Status;

/// A replica as seen by this node.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaView {
    /// Name of the VM.
    pub vm: Name,
    /// Endpoint that it serves.
    pub endpoint: Name,
    /// Availability zone.
    pub zone: Name,
    /// Version that it runs.
    pub version: Name,
    /// Address on which it listens.
    pub address: std::net::SocketAddr,
    /// `live`, `leaving` or `ejected`.
    pub state: &'static str,
    /// Number of this node's dispatches in progress to it.
    pub in_flight: u32,
    /// This node's current concurrency limit for it.
    pub limit: f32,
}

impl Message<Status> for Traffic {
    type Reply = Vec<ReplicaView>;

    async fn handle(&mut self, _status: Status, _context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.replicas.values().map(|replica| self.view(replica)).collect()
    }
}

impl Traffic {
    fn view(&self, replica: &super::Replica) -> ReplicaView {
        let view = replica.key.and_then(|key| self.router.replica(key));
        let ejected = view.is_some_and(|view| view.ejected);
        let state = match (replica.leaving, ejected) {
            (true, _) => "leaving",
            (false, true) => "ejected",
            (false, false) => "live",
        };
        ReplicaView {
            vm: replica.identity.vm.clone(),
            endpoint: replica.endpoint.clone(),
            zone: replica.zone.clone(),
            version: replica.version.clone(),
            address: replica.address,
            state,
            in_flight: view.map_or(0, |view| view.in_flight),
            limit: view.map_or(0.0, |view| view.limit),
        }
    }
}

/// Queries the number of open requests at this node.
#[derive(Clone, Copy, Debug)]
pub struct OpenRequests;

impl Message<OpenRequests> for Traffic {
    type Reply = usize;

    async fn handle(
        &mut self,
        _open: OpenRequests,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.calls.len()
    }
}
