//! Messages of the membership protocol, as `prost` frames.

use prost::Message;

use crate::id::Incarnation;
use crate::id::RevisionNumber;
use crate::member_record::GossipBody;
use crate::member_record::GossipMessage;
use crate::member_record::MemberHealth;
use crate::member_record::MemberNews;
use crate::member_record::MemberRecord;
use crate::member_record::MemberState;
use crate::wire_error::WireError;
use crate::wire_error::read_field;

#[derive(Clone, PartialEq, Message)]
struct MemberFrame {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(uint32, tag = "4")]
    health: u32,
    #[prost(uint32, tag = "5")]
    state: u32,
    #[prost(string, tag = "6")]
    zone: String,
    #[prost(string, tag = "7")]
    http_address: String,
    #[prost(string, tag = "8")]
    peer_address: String,
    #[prost(uint32, tag = "9")]
    weight: u32,
    #[prost(uint64, tag = "10")]
    revision: u64,
    #[prost(fixed64, optional, tag = "11")]
    mirror: Option<u64>,
}

/// The frame of [`GossipMessage`].
#[derive(Clone, PartialEq, Message)]
pub struct GossipFrame {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(string, tag = "3")]
    target: String,
    #[prost(string, tag = "4")]
    reply_to: String,
    #[prost(message, repeated, tag = "5")]
    members: Vec<MemberFrame>,
    #[prost(string, repeated, tag = "6")]
    leaving_vms: Vec<String>,
}

fn write_member(record: MemberRecord) -> MemberFrame {
    MemberFrame {
        name: record.name.to_string(),
        incarnation: record.incarnation.0,
        version: record.version,
        health: record.health as u32,
        state: record.state as u32,
        zone: record.zone.to_string(),
        http_address: record.http_address.to_string(),
        peer_address: record.peer_address.to_string(),
        weight: record.weight,
        revision: record.revision.0,
        mirror: record.mirror.map(|mirror| mirror.0),
    }
}

fn read_member(frame: MemberFrame) -> Result<MemberRecord, WireError> {
    let health = match frame.health {
        0 => MemberHealth::Alive,
        1 => MemberHealth::Suspect,
        2 => MemberHealth::Gone,
        _ => return Err(WireError::Invalid("health")),
    };
    let state = match frame.state {
        0 => MemberState::Starting,
        1 => MemberState::Serving,
        2 => MemberState::Leaving,
        _ => return Err(WireError::Invalid("state")),
    };
    Ok(MemberRecord {
        name: read_field("name", &frame.name)?,
        incarnation: Incarnation(frame.incarnation),
        version: frame.version,
        health,
        state,
        zone: read_field("zone", &frame.zone)?,
        http_address: read_field("http_address", &frame.http_address)?,
        peer_address: read_field("peer_address", &frame.peer_address)?,
        weight: frame.weight,
        revision: RevisionNumber(frame.revision),
        mirror: frame.mirror.map(Incarnation),
    })
}

const PROBE: u32 = 1;
const PROBE_ANSWER: u32 = 2;
const INDIRECT_PROBE: u32 = 3;
const SYNC_REQUEST: u32 = 4;
const NEWS: u32 = 5;

/// Writes a message of the membership protocol.
pub fn write_gossip(message: GossipMessage) -> GossipFrame {
    let mut frame = GossipFrame {
        reply_to: message.reply_to.to_string(),
        ..GossipFrame::default()
    };
    match message.body {
        GossipBody::Probe { number } => {
            frame.kind = PROBE;
            frame.number = number;
        }
        GossipBody::ProbeAnswer { number } => {
            frame.kind = PROBE_ANSWER;
            frame.number = number;
        }
        GossipBody::IndirectProbe { number, target } => {
            frame.kind = INDIRECT_PROBE;
            frame.number = number;
            frame.target = target.to_string();
        }
        GossipBody::SyncRequest => frame.kind = SYNC_REQUEST,
        GossipBody::News => frame.kind = NEWS,
    }
    for news in message.news {
        match news {
            MemberNews::Member(record) => frame.members.push(write_member(record)),
            MemberNews::VmLeaving(vm) => frame.leaving_vms.push(vm.to_string()),
        }
    }
    frame
}

/// Reads a message of the membership protocol.
///
/// # Errors
///
/// A field that is missing or malformed.
pub fn read_gossip(frame: GossipFrame) -> Result<GossipMessage, WireError> {
    let number = frame.number;
    let body = match frame.kind {
        PROBE => GossipBody::Probe { number },
        PROBE_ANSWER => GossipBody::ProbeAnswer { number },
        INDIRECT_PROBE => GossipBody::IndirectProbe {
            number,
            target: read_field("target", &frame.target)?,
        },
        SYNC_REQUEST => GossipBody::SyncRequest,
        NEWS => GossipBody::News,
        _ => return Err(WireError::Invalid("kind")),
    };
    let mut news = Vec::new();
    for member in frame.members {
        news.push(MemberNews::Member(read_member(member)?));
    }
    for vm in &frame.leaving_vms {
        news.push(MemberNews::VmLeaving(read_field("leaving_vms", vm)?));
    }
    Ok(GossipMessage {
        body,
        reply_to: read_field("reply_to", &frame.reply_to)?,
        news,
    })
}
