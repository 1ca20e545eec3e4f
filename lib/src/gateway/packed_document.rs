//! The configuration document in the form in which entries cache it and send it
//! to each other: compressed, with a digest of the compressed bytes.
//!
//! Compression pays off because routes are very similar: a document of 2,852
//! routes shrinks from 571 KB to 44 KB, which takes 35 ms on 10 Mbit/s.

use std::fmt;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use twox_hash::XxHash64;

/// The longest document, in bytes: about 30,000 routes. The limit bounds the memory
/// of an entry that reads a document from the store. A document of 7.9 MB takes
/// 51 MB at the peak, a third of the memory of the smallest VM.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Why a document was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// It is longer than [`MAX_DOCUMENT_BYTES`].
    TooLong,
    /// It cannot be packed or unpacked.
    Damaged(String),
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(f, "the document has more than {MAX_DOCUMENT_BYTES} bytes"),
            Self::Damaged(cause) => write!(f, "the packed document is damaged: {cause}"),
        }
    }
}

impl std::error::Error for DocumentError {}

/// A packed document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedDocument {
    bytes: Bytes,
    digest: u64,
}

impl PackedDocument {
    /// Packs a document.
    ///
    /// # Errors
    ///
    /// Fails if the document is too long.
    pub fn pack(document: &[u8]) -> Result<Self, DocumentError> {
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLong);
        }
        // The fastest level, since a VM may have only an eighth of a core. Higher
        // levels compress little better.
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(document).and_then(|()| encoder.finish());
        let mut packed = written.map_err(|error| DocumentError::Damaged(error.to_string()))?;
        packed.shrink_to_fit();
        Ok(Self::from_packed(packed.into()))
    }

    /// Wraps bytes that were packed by another entry.
    pub fn from_packed(bytes: Bytes) -> Self {
        let digest = XxHash64::oneshot(0, &bytes);
        Self { bytes, digest }
    }

    /// Unpacks the document.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are damaged or the document is too long.
    pub fn unpack(&self) -> Result<Vec<u8>, DocumentError> {
        let mut document = Vec::new();
        let read_limit = MAX_DOCUMENT_BYTES as u64 + 1;
        let read = DeflateDecoder::new(&self.bytes[..])
            .take(read_limit)
            .read_to_end(&mut document);
        read.map_err(|error| DocumentError::Damaged(error.to_string()))?;
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLong);
        }
        Ok(document)
    }

    /// Returns the packed bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the digest of the packed bytes.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}
