//! Labels of the metrics that are counted for each backend server.

use std::collections::BTreeSet;

use parking_lot::Mutex;

use crate::gateway::backend_record::BackendId;

/// The most backend servers that have a label of their own. The counters of ended
/// servers stay on the metrics page, so further servers share one label.
const MAX_LABELS: usize = 256;
/// The label that further backend servers share.
const SHARED_LABEL: &str = "others";

/// The gauge value of a server without a limit. It is negative because 0 is a limit.
pub const NO_LIMIT: f64 = -1.0;

/// The backend servers that have a label of their own.
#[derive(Debug, Default)]
pub struct ServerLabels {
    names: Mutex<BTreeSet<String>>,
}

impl ServerLabels {
    /// Returns the label of a backend server.
    pub fn label(&self, id: &BackendId) -> String {
        let mut names = self.names.lock();
        let name = &id.name.0;
        if !names.contains(name) {
            if names.len() >= MAX_LABELS {
                return SHARED_LABEL.to_owned();
            }
            names.insert(name.clone());
        }
        name.clone()
    }
}
