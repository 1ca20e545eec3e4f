//! Why a message between entries was refused.

use std::fmt;
use std::str::FromStr;

/// Why a frame was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are not a frame.
    Decode(String),
    /// A required field is absent.
    Missing(&'static str),
    /// A field has a value that is not valid.
    Invalid(&'static str),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(message) => write!(f, "not a frame: {message}"),
            Self::Missing(field) => write!(f, "the field {field} is missing"),
            Self::Invalid(field) => write!(f, "the field {field} is not valid"),
        }
    }
}

impl std::error::Error for WireError {}

/// Reads a text field.
///
/// # Errors
///
/// A text that is not of the field's type.
pub fn read_field<T: FromStr>(field: &'static str, text: &str) -> Result<T, WireError> {
    text.parse().map_err(|_| WireError::Invalid(field))
}
