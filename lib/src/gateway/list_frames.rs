//! The `prost` frames of the list of backend servers, and its packed form.
//!
//! A list of ten thousand servers takes about 900 KB, of which most are the same names
//! of services and zones. Packed, hundreds of receivers fit into the queue of a hub.

use bytes::Bytes;
use prost::Message;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::backend_record::BackendRecord;
use crate::gateway::list_history::ListChanges;
use crate::gateway::list_history::ListUpdate;
use crate::gateway::packed_document::PackedDocument;
use crate::wire_error::WireError;
use crate::wire_error::read_field;

#[derive(Clone, PartialEq, Eq, Message)]
struct BackendFrame {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(string, tag = "4")]
    zone: String,
    #[prost(uint32, tag = "5")]
    slots: u32,
    #[prost(bool, tag = "6")]
    leaving: bool,
    #[prost(bool, tag = "7")]
    reclaimable: bool,
    #[prost(uint64, tag = "8")]
    start: u64,
    /// Empty if the version is not known.
    #[prost(string, tag = "9")]
    version: String,
}

/// The frame of a full list.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BackendListFrame {
    #[prost(message, repeated, tag = "1")]
    backends: Vec<BackendFrame>,
}

/// The frame of [`ListChanges`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ListChangesFrame {
    #[prost(message, repeated, tag = "1")]
    records: Vec<BackendFrame>,
    #[prost(string, repeated, tag = "2")]
    gone: Vec<String>,
}

/// The frame that is packed: a full list or changes.
#[derive(Clone, PartialEq, Eq, Message)]
struct ListUpdateFrame {
    #[prost(message, optional, tag = "1")]
    full: Option<BackendListFrame>,
    #[prost(message, optional, tag = "2")]
    changes: Option<ListChangesFrame>,
}

/// An update of the list, compressed. Clones share the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedList(Bytes);

impl PackedList {
    /// Packs an update, or returns `None` if there is nothing to send.
    pub fn pack(update: ListUpdate) -> Option<Self> {
        let frame = match update {
            ListUpdate::Nothing => return None,
            ListUpdate::Full(records) => ListUpdateFrame {
                full: Some(write_list(records)),
                changes: None,
            },
            ListUpdate::Changes(changes) => ListUpdateFrame {
                full: None,
                changes: Some(write_changes(changes)),
            },
        };
        let packed = PackedDocument::pack(&frame.encode_to_vec()).ok()?;
        Some(Self(packed.bytes().clone()))
    }

    /// Wraps bytes that another entry packed.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self(bytes)
    }

    /// Returns the packed bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// Unpacks the update.
    ///
    /// # Errors
    ///
    /// The bytes are damaged, or a field is not valid.
    pub fn unpack(&self) -> Result<ListUpdate, WireError> {
        let unpacked = PackedDocument::from_packed(self.0.clone()).unpack();
        let unpacked = unpacked.map_err(|error| WireError::Decode(error.to_string()))?;
        let frame = ListUpdateFrame::decode(&unpacked[..]);
        let frame = frame.map_err(|error| WireError::Decode(error.to_string()))?;
        match (frame.full, frame.changes) {
            (Some(list), _) => Ok(ListUpdate::Full(read_list(list)?)),
            (None, Some(changes)) => Ok(ListUpdate::Changes(read_changes(changes)?)),
            (None, None) => Ok(ListUpdate::Nothing),
        }
    }
}

/// Encodes a full list.
pub fn write_list(records: Vec<BackendRecord>) -> BackendListFrame {
    BackendListFrame {
        backends: records.into_iter().map(write_backend).collect(),
    }
}

/// Decodes a full list.
///
/// # Errors
///
/// A field is not valid.
pub fn read_list(frame: BackendListFrame) -> Result<Vec<BackendRecord>, WireError> {
    frame.backends.into_iter().map(read_backend).collect()
}

fn write_backend(record: BackendRecord) -> BackendFrame {
    BackendFrame {
        id: record.id.name.0,
        service: record.service.into(),
        address: record.address.to_string(),
        zone: record.zone.into(),
        slots: record.slots,
        leaving: record.draining,
        reclaimable: record.reclaimable,
        start: record.id.start.0,
        version: record.version.map(String::from).unwrap_or_default(),
    }
}

fn read_backend(frame: BackendFrame) -> Result<BackendRecord, WireError> {
    Ok(BackendRecord {
        id: BackendId::with_start(frame.id, frame.start),
        service: read_field("service", &frame.service)?,
        address: read_field("address", &frame.address)?,
        zone: read_field("zone", &frame.zone)?,
        slots: frame.slots,
        draining: frame.leaving,
        reclaimable: frame.reclaimable,
        version: frame.version.parse().ok(),
    })
}

/// Encodes changes of the list.
pub fn write_changes(changes: ListChanges) -> ListChangesFrame {
    ListChangesFrame {
        records: changes.records.into_iter().map(write_backend).collect(),
        gone: changes.gone.into_iter().map(|name| name.0).collect(),
    }
}

/// Decodes changes of the list.
///
/// # Errors
///
/// A field is not valid.
pub fn read_changes(frame: ListChangesFrame) -> Result<ListChanges, WireError> {
    let records = frame.records.into_iter().map(read_backend);
    Ok(ListChanges {
        records: records.collect::<Result<_, _>>()?,
        gone: frame.gone.into_iter().map(BackendName).collect(),
    })
}
