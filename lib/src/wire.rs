//! Messages between entries, as `prost` frames, and their conversion from and
//! to the types of the decisions. A frame that does not convert is refused
//! whole with a [`WireError`] that names the field.

use std::net::SocketAddr;

use bytes::Bytes;
use prost::Message;
use prost::Oneof;

use crate::answer::AnswerHead;
use crate::configuration::RepeatRule;
use crate::gateway::document_parts::DocumentPart;
use crate::gateway::document_parts::DocumentPartFrame;
use crate::gateway::document_parts::DocumentPull;
use crate::gateway::document_parts::DocumentPullFrame;
use crate::gateway::gossip_frame::GatewayGossipFrame;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::stream_frames::StreamNotice;
use crate::gateway::stream_frames::StreamNoticeFrame;
use crate::gateway::stream_frames::StreamQuery;
use crate::gateway::stream_frames::StreamQueryFrame;
use crate::gateway::stream_frames::StreamReply;
use crate::gateway::stream_frames::StreamReplyFrame;
use crate::gossip_wire::GossipFrame;
use crate::gossip_wire::read_gossip;
use crate::gossip_wire::write_gossip;
use crate::id::Incarnation;
use crate::id::PairEpoch;
use crate::id::RevisionNumber;
use crate::id::Serial;
use crate::member_record::GossipMessage;
use crate::pair::MirrorReply;
use crate::pair::MirrorRequest;
use crate::pair::PairId;
use crate::pair::PairMessage;
use crate::pair::RequestKey;
use crate::pair::RunTerms;
use crate::request::AcceptedRequest;
use crate::wire_error::WireError;
use crate::wire_error::read_field;

/// The largest frame, in bytes.
pub const MAX_FRAME_LENGTH: usize = 8 * 1024 * 1024;

/// A message from one entry to another.
#[derive(Clone, Debug)]
pub enum PeerMessage {
    /// From a holder to its mirror.
    ToMirror(Box<PairMessage<MirrorRequest<AcceptedRequest>>>),
    /// From a mirror to the holder.
    ToHolder(PairMessage<MirrorReply>),
    /// Progress of an answer, from a holder to its mirror.
    Progress(AnswerProgress),
    /// How much of an answer the mirror has.
    ProgressNoted(ProgressNote),
    /// Membership.
    Gossip(GossipMessage),
    /// Asks for the configuration in force.
    ConfigPull {
        /// Where to answer.
        reply_to: SocketAddr,
    },
    /// The configuration in force; number 0 if there is none.
    ConfigPush(ConfigTransfer),
    /// What a gateway entry tells another.
    News(Box<GatewayGossip>),
    /// Asks a gateway entry for a part of the configuration's document.
    DocumentPull(DocumentPull),
    /// A part of the configuration's document.
    DocumentPart(DocumentPart),
    /// Tells a gateway entry which versions began streams.
    StreamNotice(StreamNotice),
    /// Asks a gateway entry which version began a stream.
    StreamQuery(StreamQuery),
    /// The reply.
    StreamReply(StreamReply),
}

/// New chunks of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerProgress {
    /// The pair that carries the request.
    pub carrier: PairId,
    /// The request.
    pub key: RequestKey,
    /// The head, on the first message.
    pub head: Option<AnswerHead>,
    /// The position of the first chunk.
    pub from: u64,
    /// The chunks.
    pub chunks: Vec<Bytes>,
    /// Whether the end marker follows the last chunk.
    pub complete: bool,
}

/// How much of an answer a mirror has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressNote {
    /// The pair that carries the request.
    pub carrier: PairId,
    /// The request.
    pub key: RequestKey,
    /// The number of contiguous chunks.
    pub length: u64,
    /// Whether the mirror has adopted the request, so that its holder stops.
    pub adopted: bool,
}

/// A configuration sent between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigTransfer {
    /// The number in force; 0 if there is none.
    pub number: RevisionNumber,
    /// The publication that won the number.
    pub publication: String,
    /// The document as JSON.
    pub document: String,
    /// Whether the sender itself knows that it is current.
    pub serving: bool,
}

#[derive(Clone, PartialEq, Message)]
struct PairFrame {
    #[prost(fixed64, tag = "1")]
    holder: u64,
    #[prost(uint32, tag = "2")]
    epoch: u32,
    #[prost(fixed64, tag = "3")]
    mirror: u64,
}

#[derive(Clone, PartialEq, Message)]
struct KeyFrame {
    #[prost(message, optional, tag = "1")]
    pair: Option<PairFrame>,
    #[prost(uint64, tag = "2")]
    serial: u64,
}

#[derive(Clone, PartialEq, Message)]
struct RequestFrame {
    #[prost(message, optional, tag = "1")]
    carrier: Option<PairFrame>,
    #[prost(message, optional, tag = "2")]
    key: Option<KeyFrame>,
    #[prost(uint32, tag = "3")]
    kind: u32,
    #[prost(bool, tag = "4")]
    at_most_once: bool,
    #[prost(bool, tag = "5")]
    may_have_run: bool,
    #[prost(message, optional, tag = "6")]
    payload: Option<AcceptedRequest>,
}

#[derive(Clone, PartialEq, Message)]
struct ReplyFrame {
    #[prost(message, optional, tag = "1")]
    carrier: Option<PairFrame>,
    #[prost(message, optional, tag = "2")]
    key: Option<KeyFrame>,
    #[prost(uint32, tag = "3")]
    kind: u32,
}

#[derive(Clone, PartialEq, Message)]
struct ProgressFrame {
    #[prost(message, optional, tag = "1")]
    carrier: Option<PairFrame>,
    #[prost(message, optional, tag = "2")]
    key: Option<KeyFrame>,
    #[prost(uint32, tag = "3")]
    status: u32,
    #[prost(string, tag = "4")]
    content_type: String,
    #[prost(uint64, tag = "5")]
    from: u64,
    #[prost(bytes = "bytes", repeated, tag = "6")]
    chunks: Vec<Bytes>,
    #[prost(bool, tag = "7")]
    complete: bool,
}

#[derive(Clone, PartialEq, Message)]
struct NoteFrame {
    #[prost(message, optional, tag = "1")]
    carrier: Option<PairFrame>,
    #[prost(message, optional, tag = "2")]
    key: Option<KeyFrame>,
    #[prost(uint64, tag = "3")]
    length: u64,
    #[prost(bool, tag = "4")]
    adopted: bool,
}

#[derive(Clone, PartialEq, Message)]
struct ConfigFrame {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, tag = "2")]
    publication: String,
    #[prost(string, tag = "3")]
    document: String,
    #[prost(bool, tag = "4")]
    serving: bool,
}

#[derive(Clone, PartialEq, Message)]
struct PullFrame {
    #[prost(string, tag = "1")]
    reply_to: String,
}

#[derive(Clone, PartialEq, Oneof)]
enum FrameBody {
    #[prost(message, boxed, tag = "1")]
    ToMirror(Box<RequestFrame>),
    #[prost(message, tag = "2")]
    ToHolder(ReplyFrame),
    #[prost(message, tag = "3")]
    Progress(ProgressFrame),
    #[prost(message, tag = "4")]
    ProgressNoted(NoteFrame),
    #[prost(message, tag = "5")]
    Gossip(GossipFrame),
    #[prost(message, tag = "6")]
    ConfigPull(PullFrame),
    #[prost(message, tag = "7")]
    ConfigPush(ConfigFrame),
    #[prost(message, boxed, tag = "8")]
    News(Box<GatewayGossipFrame>),
    #[prost(message, tag = "9")]
    DocumentPull(DocumentPullFrame),
    #[prost(message, tag = "10")]
    DocumentPart(DocumentPartFrame),
    #[prost(message, tag = "11")]
    StreamNotice(StreamNoticeFrame),
    #[prost(message, tag = "12")]
    StreamQuery(StreamQueryFrame),
    #[prost(message, tag = "13")]
    StreamReply(StreamReplyFrame),
}

#[derive(Clone, PartialEq, Message)]
struct PeerFrame {
    #[prost(
        oneof = "FrameBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13"
    )]
    body: Option<FrameBody>,
}

impl From<PairId> for PairFrame {
    fn from(pair: PairId) -> Self {
        Self {
            holder: pair.holder.0,
            epoch: pair.epoch.0,
            mirror: pair.mirror.0,
        }
    }
}

impl From<PairFrame> for PairId {
    fn from(frame: PairFrame) -> Self {
        Self {
            holder: Incarnation(frame.holder),
            epoch: PairEpoch(frame.epoch),
            mirror: Incarnation(frame.mirror),
        }
    }
}

impl From<RequestKey> for KeyFrame {
    fn from(key: RequestKey) -> Self {
        Self {
            pair: Some(key.pair.into()),
            serial: key.serial.0,
        }
    }
}

fn read_pair(frame: Option<PairFrame>) -> Result<PairId, WireError> {
    frame.map(PairId::from).ok_or(WireError::Missing("carrier"))
}

fn read_key(frame: Option<KeyFrame>) -> Result<RequestKey, WireError> {
    let frame = frame.ok_or(WireError::Missing("key"))?;
    Ok(RequestKey {
        pair: read_pair(frame.pair)?,
        serial: Serial(frame.serial),
    })
}

const COPY: u32 = 1;
const DROP: u32 = 2;
const RELEASE: u32 = 3;
const ASK_LICENCE: u32 = 4;
const FINISH: u32 = 5;
const PASS_ON: u32 = 6;

fn write_request(message: PairMessage<MirrorRequest<AcceptedRequest>>) -> RequestFrame {
    let dropped_late = matches!(message.body, MirrorRequest::Drop { may_have_run: true });
    let (kind, content) = match message.body {
        MirrorRequest::Copy { terms, payload } => (COPY, Some((terms, payload))),
        MirrorRequest::Drop { .. } => (DROP, None),
        MirrorRequest::Release => (RELEASE, None),
        MirrorRequest::AskLicence => (ASK_LICENCE, None),
        MirrorRequest::Finish => (FINISH, None),
        MirrorRequest::PassOn { terms, payload } => (PASS_ON, Some((terms, payload))),
    };
    let terms = content.as_ref().map(|(terms, _)| *terms);
    RequestFrame {
        carrier: Some(message.carrier.into()),
        key: Some(message.key.into()),
        kind,
        at_most_once: terms.is_some_and(|terms| terms.rule == RepeatRule::AtMostOnce),
        may_have_run: dropped_late || terms.is_some_and(|terms| terms.may_have_run),
        payload: content.map(|(_, payload)| payload),
    }
}

fn read_request(
    frame: RequestFrame,
) -> Result<PairMessage<MirrorRequest<AcceptedRequest>>, WireError> {
    let rule = if frame.at_most_once {
        RepeatRule::AtMostOnce
    } else {
        RepeatRule::Repeatable
    };
    let terms = RunTerms {
        rule,
        may_have_run: frame.may_have_run,
    };
    let payload = frame.payload.ok_or(WireError::Missing("payload"));
    let body = match frame.kind {
        COPY => MirrorRequest::Copy {
            terms,
            payload: payload?,
        },
        DROP => MirrorRequest::Drop {
            may_have_run: frame.may_have_run,
        },
        RELEASE => MirrorRequest::Release,
        ASK_LICENCE => MirrorRequest::AskLicence,
        FINISH => MirrorRequest::Finish,
        PASS_ON => MirrorRequest::PassOn {
            terms,
            payload: payload?,
        },
        _ => return Err(WireError::Invalid("kind")),
    };
    Ok(PairMessage {
        carrier: read_pair(frame.carrier)?,
        key: read_key(frame.key)?,
        body,
    })
}

const REPLIES: [MirrorReply; 7] = [
    MirrorReply::Copied,
    MirrorReply::Dropped,
    MirrorReply::Granted,
    MirrorReply::Resigned,
    MirrorReply::Adopted,
    MirrorReply::NotCopied,
    MirrorReply::Noted,
];

fn write_reply(message: PairMessage<MirrorReply>) -> ReplyFrame {
    let kind = REPLIES.iter().position(|reply| *reply == message.body);
    ReplyFrame {
        carrier: Some(message.carrier.into()),
        key: Some(message.key.into()),
        kind: kind.map_or(0, |kind| kind as u32 + 1),
    }
}

fn read_reply(frame: ReplyFrame) -> Result<PairMessage<MirrorReply>, WireError> {
    let index = (frame.kind as usize).wrapping_sub(1);
    let body = REPLIES.get(index).ok_or(WireError::Invalid("kind"))?;
    Ok(PairMessage {
        carrier: read_pair(frame.carrier)?,
        key: read_key(frame.key)?,
        body: *body,
    })
}

fn write_progress(progress: AnswerProgress) -> ProgressFrame {
    let head = progress.head;
    ProgressFrame {
        carrier: Some(progress.carrier.into()),
        key: Some(progress.key.into()),
        status: head.as_ref().map_or(0, |head| u32::from(head.status)),
        content_type: head.map(|head| head.content_type).unwrap_or_default(),
        from: progress.from,
        chunks: progress.chunks,
        complete: progress.complete,
    }
}

fn read_progress(frame: ProgressFrame) -> Result<AnswerProgress, WireError> {
    let status = u16::try_from(frame.status).map_err(|_| WireError::Invalid("status"))?;
    let head = (status != 0).then_some(AnswerHead {
        status,
        content_type: frame.content_type,
    });
    Ok(AnswerProgress {
        carrier: read_pair(frame.carrier)?,
        key: read_key(frame.key)?,
        head,
        from: frame.from,
        chunks: frame.chunks,
        complete: frame.complete,
    })
}

impl PeerMessage {
    /// Encodes the message as the content of one frame.
    pub fn encode(self) -> Bytes {
        let body = match self {
            Self::ToMirror(message) => FrameBody::ToMirror(Box::new(write_request(*message))),
            Self::ToHolder(message) => FrameBody::ToHolder(write_reply(message)),
            Self::Progress(progress) => FrameBody::Progress(write_progress(progress)),
            Self::ProgressNoted(note) => FrameBody::ProgressNoted(NoteFrame {
                carrier: Some(note.carrier.into()),
                key: Some(note.key.into()),
                length: note.length,
                adopted: note.adopted,
            }),
            Self::Gossip(message) => FrameBody::Gossip(write_gossip(message)),
            Self::ConfigPull { reply_to } => FrameBody::ConfigPull(PullFrame {
                reply_to: reply_to.to_string(),
            }),
            Self::ConfigPush(transfer) => FrameBody::ConfigPush(ConfigFrame {
                number: transfer.number.0,
                publication: transfer.publication,
                document: transfer.document,
                serving: transfer.serving,
            }),
            Self::News(news) => FrameBody::News(Box::new((*news).into())),
            Self::DocumentPull(pull) => FrameBody::DocumentPull(pull.into()),
            Self::DocumentPart(part) => FrameBody::DocumentPart(part.into()),
            Self::StreamNotice(notice) => FrameBody::StreamNotice(notice.into()),
            Self::StreamQuery(query) => FrameBody::StreamQuery(query.into()),
            Self::StreamReply(reply) => FrameBody::StreamReply(reply.into()),
        };
        PeerFrame { body: Some(body) }.encode_to_vec().into()
    }

    /// Decodes the content of one frame.
    ///
    /// # Errors
    ///
    /// See [`WireError`].
    pub fn decode(bytes: Bytes) -> Result<Self, WireError> {
        let frame =
            PeerFrame::decode(bytes).map_err(|error| WireError::Decode(error.to_string()))?;
        let body = frame.body.ok_or(WireError::Missing("body"))?;
        Ok(match body {
            FrameBody::ToMirror(frame) => Self::ToMirror(Box::new(read_request(*frame)?)),
            FrameBody::ToHolder(frame) => Self::ToHolder(read_reply(frame)?),
            FrameBody::Progress(frame) => Self::Progress(read_progress(frame)?),
            FrameBody::ProgressNoted(frame) => Self::ProgressNoted(ProgressNote {
                carrier: read_pair(frame.carrier)?,
                key: read_key(frame.key)?,
                length: frame.length,
                adopted: frame.adopted,
            }),
            FrameBody::Gossip(frame) => Self::Gossip(read_gossip(frame)?),
            FrameBody::ConfigPull(frame) => Self::ConfigPull {
                reply_to: read_field("reply_to", &frame.reply_to)?,
            },
            FrameBody::ConfigPush(frame) => Self::ConfigPush(ConfigTransfer {
                number: RevisionNumber(frame.number),
                publication: frame.publication,
                document: frame.document,
                serving: frame.serving,
            }),
            FrameBody::News(frame) => Self::News(Box::new((*frame).try_into()?)),
            FrameBody::DocumentPull(frame) => Self::DocumentPull(frame.try_into()?),
            FrameBody::DocumentPart(frame) => Self::DocumentPart(frame.into()),
            FrameBody::StreamNotice(frame) => Self::StreamNotice(frame.try_into()?),
            FrameBody::StreamQuery(frame) => Self::StreamQuery(frame.try_into()?),
            FrameBody::StreamReply(frame) => Self::StreamReply(frame.try_into()?),
        })
    }
}
