//! To which version of servers a stream is bound.
//!
//! Pure: no I/O. What two versions write does not fit together, so a stream whose caller
//! has an event goes on only at servers of the version that wrote it.

use crate::gateway::backend_set::BackendSet;
use crate::gateway::rollout_exposure::VersionRule;
use crate::id::ServerVersion;
use crate::id::ServiceName;

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
