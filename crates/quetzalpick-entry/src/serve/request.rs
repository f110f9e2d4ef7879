//! The state of an admitted request.

use bytes::Bytes;
use http::Version;
use http::request::Parts;
use quetzalpick_client::http::Trail;
use quetzalpick_core::id::{Artifact, Endpoint, Service, Workspace};
use quetzalpick_core::quarantine::Feature;
use quetzalpick_core::retry::Deadline;

use crate::config::{Kind, Route};
use crate::fleet::{Build, BuildChoice, Requirements};
use crate::metadata::Metadata;
use crate::serve::digest::{digest, host};

/// `Admitted` holds a request, the route and limits that apply to it, and its attempts so far.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) metadata: Metadata,
    /// Digest by which repeats of the request are recognized.
    pub(crate) digest: u64,
    pub(crate) route: Route,
    pub(crate) service: Service,
    /// Build at which its stream must go on, once its caller has an event.
    pub(crate) build: Option<Build>,
    pub(crate) workspace: Option<Workspace>,
    /// Units charged to the workspace.
    pub(crate) units: u64,
    /// Priority at the endpoint, 0 is highest.
    pub(crate) priority: u8,
    /// Time of its arrival, in ms.
    pub(crate) arrived_ms: u64,
    /// Deadline set by the caller.
    pub(crate) caller_deadline: Option<Deadline>,
    /// Deadline set by the route.
    pub(crate) route_deadline: Option<Deadline>,
    /// Time by which it is answered because this VM stops.
    pub(crate) stop_deadline: Option<Deadline>,
    /// Version of the configuration under which it was admitted.
    pub(crate) config_version: u64,
    /// Endpoints of all attempts.
    pub(crate) attempted: Vec<Endpoint>,
    /// Endpoints and addresses of all attempts, which decide whether an answer proves anything.
    pub(crate) trail: Trail,
    /// Number of these endpoints that may have run it.
    pub(crate) possible_runs: u32,
}

impl Admitted {
    /// Sets the body, once it was read, and the digest.
    pub(crate) fn set_body(&mut self, body: Bytes) {
        let workspace = self.workspace.as_ref();
        self.digest = digest(&self.head, host(&self.head), workspace, &body);
        self.body = body;
    }

    /// Returns the id of the caller's attempt, for the log.
    pub(crate) fn id(&self) -> &str {
        self.metadata.attempt.as_deref().unwrap_or("-")
    }

    /// Returns the features that other requests may share, which may be why endpoints crash: the parts of its prompt but for the last
    /// one, and the request itself, as it may be repeated.
    pub(crate) fn features(&self) -> impl Iterator<Item = Feature> + Clone {
        self.part_features().chain([self.repeat_feature()])
    }

    /// Returns the parts of its prompt that other requests may share.
    pub(crate) fn part_features(&self) -> impl Iterator<Item = Feature> + Clone {
        let parts = self.metadata.shared_parts().iter();
        parts.map(|part| Feature::Part(part.id))
    }

    /// Returns what only its repeats share with it.
    pub(crate) fn repeat_feature(&self) -> Feature {
        Feature::Request(self.digest)
    }

    /// Returns whether the caller can tell a complete answer of unknown length from an interrupted one.
    pub(crate) fn supports_chunks(&self) -> bool {
        self.head.version >= Version::HTTP_11
    }

    /// Returns whether its answer is a stream that another endpoint may resume.
    pub(crate) fn is_resumable(&self) -> bool {
        matches!(self.route.kind, Kind::Stream { resumable: true })
    }

    /// Returns the builds that may run it.
    pub(crate) fn build_choice(&self) -> BuildChoice<'_> {
        match &self.build {
            Some(build) => BuildChoice::Only(build),
            None if self.is_resumable() => BuildChoice::Settled,
            None => BuildChoice::Any,
        }
    }

    /// Returns the artifacts that an endpoint must hold.
    pub(crate) fn artifacts(&self) -> Vec<&Artifact> {
        self.metadata.artifacts().collect()
    }

    /// Returns the criteria by which its endpoint is selected; `artifacts` are those that the endpoint must hold.
    pub(crate) fn requirements<'a>(&'a self, artifacts: &'a [&'a Artifact]) -> Requirements<'a> {
        Requirements {
            service: &self.service,
            artifacts,
            attempted: &self.attempted,
            build: self.build_choice(),
            allows_limited: true,
            prompt_tokens: self.metadata.tokens.unwrap_or_default().prompt,
        }
    }

    /// Returns the time left for the answer, in ms.
    pub(crate) fn left_ms(&self, now_ms: u64) -> Option<u64> {
        let deadlines = [
            self.caller_deadline,
            self.route_deadline,
            self.stop_deadline,
        ];
        let ends = deadlines.into_iter().flatten();
        ends.min().map(|deadline| deadline.left_ms(now_ms))
    }

    /// Returns whether it may run at one more endpoint.
    pub(crate) fn has_runs_left(&self) -> bool {
        self.possible_runs < self.route.attempts.max(1)
    }
}
