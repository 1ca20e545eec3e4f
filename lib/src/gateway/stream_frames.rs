//! Messages with which entries tell and ask each other which versions began streams, and
//! their `prost` frames.

use std::net::SocketAddr;

use prost::Message;

use crate::gateway::stream_versions::BegunStream;
use crate::gateway::stream_versions::StreamKey;
use crate::gateway::stream_versions::StreamVersion;
use crate::gateway::weight_history::RouteKey;
use crate::gateway::weight_history::RouteShares;
use crate::gateway::weight_history::ShareDigest;
use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::wire_error::WireError;

/// The most versions of one service that a reply names.
const MAX_NAMED_VERSIONS: usize = 16;

/// Tells a keeper of streams that began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamNotice {
    /// The streams, by the version of the servers that began them.
    pub groups: Vec<(Option<ServerVersion>, Vec<StreamKey>)>,
    /// Whether the store has them.
    pub is_stored: bool,
    /// Which entry has streams among them that wait until the store has them. Earlier versions
    /// name none.
    pub waits_at: Option<SocketAddr>,
    /// Whether the receiver shall tell its own streams, since several versions or services may
    /// have begun them.
    pub asks_for_streams: bool,
}

/// Asks a keeper for the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamQuery {
    /// The stream.
    pub key: StreamKey,
    /// Its service.
    pub service: ServiceName,
    /// Where to reply.
    pub reply_to: SocketAddr,
    /// The route on which it is taken up. Entries of earlier versions name none.
    pub route: Option<RouteKey>,
}

/// The reply to a [`StreamQuery`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamReply {
    /// The stream.
    pub key: StreamKey,
    /// What the keeper knows of it.
    pub version: Option<StreamVersion>,
    /// The versions of servers of the service that the keeper has or had listed.
    pub listed: Vec<Option<ServerVersion>>,
    /// How the route shares its requests. Entries of earlier versions do not tell it.
    pub shares: Option<RouteShares>,
    /// Whether the keeper knows all versions that served a short time ago. Entries of earlier
    /// versions do not tell it.
    pub is_complete: bool,
}

impl StreamNotice {
    /// Builds a notice of streams.
    pub fn new(streams: impl IntoIterator<Item = BegunStream>) -> Self {
        let mut notice = Self::default();
        for (key, version) in streams {
            let groups = &mut notice.groups;
            match groups.iter_mut().find(|(known, _)| *known == version) {
                Some((_, keys)) => keys.push(key),
                None => groups.push((version, vec![key])),
            }
        }
        notice
    }
}

/// Writes a version in a frame: an empty text if it is not known.
pub fn write_version(version: Option<ServerVersion>) -> String {
    version.map_or_else(String::new, |version| version.to_string())
}

/// Reads a version in a frame.
///
/// # Errors
///
/// The text is no version.
pub fn read_version(text: &str) -> Result<Option<ServerVersion>, WireError> {
    if text.is_empty() {
        return Ok(None);
    }
    let version = text.parse().map_err(|_| WireError::Invalid("version"))?;
    Ok(Some(version))
}

#[derive(Clone, PartialEq, Message)]
struct StreamGroupFrame {
    #[prost(string, tag = "1")]
    version: String,
    #[prost(fixed64, repeated, tag = "2")]
    keys: Vec<u64>,
}

/// The frame of [`StreamNotice`].
#[derive(Clone, PartialEq, Message)]
pub struct StreamNoticeFrame {
    #[prost(message, repeated, tag = "1")]
    groups: Vec<StreamGroupFrame>,
    #[prost(bool, tag = "2")]
    is_stored: bool,
    #[prost(bool, tag = "3")]
    asks_for_streams: bool,
    #[prost(string, optional, tag = "4")]
    waits_at: Option<String>,
}

/// The frame of [`StreamQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct StreamQueryFrame {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    reply_to: String,
    #[prost(fixed64, optional, tag = "4")]
    route: Option<u64>,
}

/// The frame of [`StreamReply`].
#[derive(Clone, PartialEq, Message)]
pub struct StreamReplyFrame {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(bool, tag = "2")]
    is_conflicting: bool,
    #[prost(string, optional, tag = "3")]
    version: Option<String>,
    #[prost(string, repeated, tag = "4")]
    listed: Vec<String>,
    #[prost(fixed64, optional, tag = "5")]
    steady_shares: Option<u64>,
    #[prost(bool, tag = "6")]
    has_changed_shares: bool,
    #[prost(bool, tag = "7")]
    is_complete: bool,
}

impl From<StreamNotice> for StreamNoticeFrame {
    fn from(notice: StreamNotice) -> Self {
        let groups = notice.groups.into_iter();
        let frames = groups.map(|(version, keys)| StreamGroupFrame {
            version: write_version(version),
            keys: keys.into_iter().map(|key| key.0).collect(),
        });
        Self {
            groups: frames.collect(),
            is_stored: notice.is_stored,
            asks_for_streams: notice.asks_for_streams,
            waits_at: notice.waits_at.map(|address| address.to_string()),
        }
    }
}

impl TryFrom<StreamNoticeFrame> for StreamNotice {
    type Error = WireError;

    fn try_from(frame: StreamNoticeFrame) -> Result<Self, WireError> {
        let read = |group: StreamGroupFrame| {
            let keys = group.keys.into_iter().map(StreamKey).collect();
            Ok((read_version(&group.version)?, keys))
        };
        let groups: Result<_, WireError> = frame.groups.into_iter().map(read).collect();
        let waits_at = frame.waits_at.map(|text| text.parse()).transpose();
        Ok(Self {
            groups: groups?,
            is_stored: frame.is_stored,
            asks_for_streams: frame.asks_for_streams,
            waits_at: waits_at.map_err(|_| WireError::Invalid("waits_at"))?,
        })
    }
}

impl From<StreamQuery> for StreamQueryFrame {
    fn from(query: StreamQuery) -> Self {
        Self {
            key: query.key.0,
            service: query.service.to_string(),
            reply_to: query.reply_to.to_string(),
            route: query.route.map(|route| route.0),
        }
    }
}

impl TryFrom<StreamQueryFrame> for StreamQuery {
    type Error = WireError;

    fn try_from(frame: StreamQueryFrame) -> Result<Self, WireError> {
        let service = frame.service.parse();
        let reply_to = frame.reply_to.parse();
        Ok(Self {
            key: StreamKey(frame.key),
            service: service.map_err(|_| WireError::Invalid("service"))?,
            reply_to: reply_to.map_err(|_| WireError::Invalid("reply_to"))?,
            route: frame.route.map(RouteKey),
        })
    }
}

impl From<StreamReply> for StreamReplyFrame {
    fn from(reply: StreamReply) -> Self {
        let listed = reply.listed.into_iter().take(MAX_NAMED_VERSIONS);
        Self {
            key: reply.key.0,
            is_conflicting: reply.version == Some(StreamVersion::Conflicting),
            version: match reply.version {
                Some(StreamVersion::Known(version)) => Some(write_version(version)),
                Some(StreamVersion::Conflicting) | None => None,
            },
            listed: listed.map(write_version).collect(),
            steady_shares: match reply.shares {
                Some(RouteShares::Steady(shares)) => Some(shares.0),
                Some(RouteShares::Changed) | None => None,
            },
            is_complete: reply.is_complete,
            has_changed_shares: reply.shares == Some(RouteShares::Changed),
        }
    }
}

impl TryFrom<StreamReplyFrame> for StreamReply {
    type Error = WireError;

    fn try_from(frame: StreamReplyFrame) -> Result<Self, WireError> {
        let version = match frame.version {
            _ if frame.is_conflicting => Some(StreamVersion::Conflicting),
            Some(text) => Some(StreamVersion::Known(read_version(&text)?)),
            None => None,
        };
        let shares = match frame.steady_shares {
            _ if frame.has_changed_shares => Some(RouteShares::Changed),
            shares => shares.map(|shares| RouteShares::Steady(ShareDigest(shares))),
        };
        let listed: Result<_, WireError> =
            frame.listed.iter().map(|text| read_version(text)).collect();
        Ok(Self {
            key: StreamKey(frame.key),
            version,
            listed: listed?,
            shares,
            is_complete: frame.is_complete,
        })
    }
}
