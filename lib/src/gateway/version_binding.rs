//! To which version of servers a stream is bound.
//!
//! Pure: no I/O. What two versions write does not fit together, so a stream whose caller
//! has an event goes on only at servers of the version that wrote it.

use std::collections::BTreeSet;

use crate::gateway::backend_set::BackendSet;
use crate::gateway::rollout_exposure::VersionRule;
use crate::gateway::stream_versions::StreamVersion;
use crate::id::ServerVersion;
use crate::id::ServiceName;

/// Versions of servers; `None` is that of servers without a known version.
pub type VersionSet = BTreeSet<Option<ServerVersion>>;

/// What this entry and the keepers that it asked know of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAnswer {
    /// At least one of them knows it.
    Known(StreamVersion),
    /// None of those that replied does.
    Unknown {
        /// How many replied that know all versions that served a short time ago.
        replies: usize,
        /// The versions of servers that they have or had listed.
        listed: VersionSet,
    },
}

/// Which versions of servers may go on with a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionBinding {
    /// Any: its caller has no event yet.
    #[default]
    Free,
    /// Only this one, or only servers without a known version.
    Bound(Option<ServerVersion>),
}

impl VersionBinding {
    /// Returns the binding of a request that takes a stream up, or `None` if the version that
    /// began the stream is not certain. `listed` are the versions of the service that this
    /// entry has or had listed, and `knows_versions` tells whether it certainly knows all.
    pub fn of_stream(
        answer: KeeperAnswer,
        listed: VersionSet,
        knows_versions: bool,
    ) -> Option<Self> {
        match answer {
            KeeperAnswer::Known(StreamVersion::Known(version)) => Some(Self::Bound(version)),
            KeeperAnswer::Known(StreamVersion::Conflicting) => None,
            KeeperAnswer::Unknown {
                replies,
                listed: others,
            } => {
                // While one version serves, streams are not announced.
                let is_certain = replies > 0 || knows_versions;
                Self::of_only(listed.into_iter().chain(others).collect()).filter(|_| is_certain)
            }
        }
    }

    /// Returns the binding to the only one of some versions, or `None` if there are several.
    pub fn of_only(versions: VersionSet) -> Option<Self> {
        let mut versions = versions.into_iter();
        match (versions.next(), versions.next()) {
            (None, _) => Some(Self::Free),
            (Some(version), None) => Some(Self::Bound(version)),
            (Some(_), Some(_)) => None,
        }
    }

    /// Returns which servers may get a bound request, or `None` if it is free. Two servers
    /// without a known version may run different ones if any of the service has a version.
    pub fn rule(&self, backends: &BackendSet, service: &ServiceName) -> Option<VersionRule> {
        let Self::Bound(version) = self else {
            return None;
        };
        let mut servers = backends.of_service(service);
        let is_ambiguous =
            version.is_none() && servers.any(|server| server.record.version.is_some());
        Some(match is_ambiguous {
            true => VersionRule::Nothing,
            false => VersionRule::Same(version.clone()),
        })
    }
}
