//! What several requests may have in common: the whole request, if it is repeated, and the
//! parts of its prompt that other requests may share.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use twox_hash::XxHash64;

use crate::gateway::call_digest::CallDigest;
use crate::gateway::call_head::PromptBlock;
use crate::id::ServiceName;

/// The most parts of a prompt that count. Of more, those with the lowest hashes count, so that
/// they are the same ones in each request.
const MAX_PARTS: usize = 128;
/// The most features of a request that are remembered as present together.
const MAX_TAGS: usize = 16;
/// How a part begins in its textual form.
const PART_PREFIX: &str = "part-";

/// A part of a prompt, for the model of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPart {
    /// The identifier that callers use.
    pub id: u64,
    /// A digest of the service's name.
    pub service: u32,
}

/// What several requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallFeature {
    /// The whole request.
    Request(CallDigest),
    /// A part of the prompt, whoever sends it.
    Part(PromptPart),
}

impl fmt::Display for CallFeature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => digest.fmt(f),
            Self::Part(part) => write!(f, "{PART_PREFIX}{:x}-{:08x}", part.id, part.service),
        }
    }
}

impl CallFeature {
    /// Returns a short name of the feature.
    pub fn tag(&self) -> FeatureTag {
        let (id, seed) = match self {
            Self::Request(digest) => (digest.0, 10),
            Self::Part(part) => (part.id, 11 + u64::from(part.service)),
        };
        FeatureTag(XxHash64::oneshot(seed, &id.to_le_bytes()) as u32)
    }
}

/// A short name of a [`CallFeature`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FeatureTag(pub u32);

/// A text that is no [`CallFeature`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeatureError;

impl fmt::Display for FeatureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("neither a digest of a request nor a part of a prompt")
    }
}

impl std::error::Error for FeatureError {}

impl FromStr for CallFeature {
    type Err = FeatureError;

    fn from_str(text: &str) -> Result<Self, FeatureError> {
        let Some(part) = text.strip_prefix(PART_PREFIX) else {
            return text.parse().map(Self::Request).map_err(|_| FeatureError);
        };
        let (id, service) = part.split_once('-').ok_or(FeatureError)?;
        Ok(Self::Part(PromptPart {
            id: u64::from_str_radix(id, 16).map_err(|_| FeatureError)?,
            service: u32::from_str_radix(service, 16).map_err(|_| FeatureError)?,
        }))
    }
}

/// The features of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFeatures {
    request: CallDigest,
    /// A digest of the service's name, or 0 if no part is compared.
    service: u32,
    /// In order, each once.
    parts: Arc<[PromptPart]>,
}

impl CallFeatures {
    /// Returns the features of a request to a service. `shared_blocks` are the blocks of its
    /// prompt that other requests may share.
    pub fn new(request: CallDigest, service: &ServiceName, shared_blocks: &[PromptBlock]) -> Self {
        let service = XxHash64::oneshot(8, service.as_str().as_bytes()) as u32;
        let ids = shared_blocks.iter().map(|block| block.id);
        let mut parts: Vec<PromptPart> = ids.map(|id| PromptPart { id, service }).collect();
        parts.sort_unstable();
        parts.dedup();
        if parts.len() > MAX_PARTS {
            parts.sort_by_key(|part| XxHash64::oneshot(9, &part.id.to_le_bytes()));
            parts.truncate(MAX_PARTS);
            parts.sort_unstable();
        }
        Self {
            request,
            service,
            parts: parts.into(),
        }
    }

    /// Returns the features of a request without a prompt that others may share.
    pub fn of_request(request: CallDigest) -> Self {
        Self {
            request,
            service: 0,
            parts: Arc::default(),
        }
    }

    /// Returns these features without the parts of the prompt.
    pub fn whole_request(&self) -> Self {
        Self::of_request(self.request)
    }

    /// Returns whether this is a request to the service of a part, without the part.
    pub fn lacks(&self, part: &PromptPart) -> bool {
        self.service == part.service && self.parts.binary_search(part).is_err()
    }

    /// Returns whether the request has a feature.
    pub fn contains(&self, feature: &CallFeature) -> bool {
        match feature {
            CallFeature::Request(digest) => *digest == self.request,
            CallFeature::Part(part) => self.parts.binary_search(part).is_ok(),
        }
    }

    /// Returns the tags of the features; of more than `MAX_TAGS`, those with the lowest.
    pub fn tags(&self) -> BTreeSet<FeatureTag> {
        let tags: BTreeSet<FeatureTag> = self.iter().map(|feature| feature.tag()).collect();
        tags.into_iter().take(MAX_TAGS).collect()
    }

    /// Iterates over all features.
    pub fn iter(&self) -> impl Iterator<Item = CallFeature> {
        let parts = self.parts.iter().copied().map(CallFeature::Part);
        std::iter::once(CallFeature::Request(self.request)).chain(parts)
    }
}
