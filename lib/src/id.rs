//! Newtypes for names and numbers that identify things.
//!
//! Each type has `Display` and `FromStr`, which are inverse to each other, so
//! that the same text form serves settings, logs, headers and tickets.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash64;

/// The longest accepted name, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;

/// The reason why a text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_NAME_LENGTH`] bytes.
    TooLong(usize),
    /// The text has a character outside `a-z A-Z 0-9 . _ -`.
    BadCharacter(char),
    /// The text is not a number in the expected base.
    NotANumber(String),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a name must not be empty"),
            Self::TooLong(length) => {
                write!(
                    f,
                    "a name has at most {MAX_NAME_LENGTH} bytes, not {length}"
                )
            }
            Self::BadCharacter(character) => write!(
                f,
                "a name has letters, digits, '.', '_' and '-', not {character:?}"
            ),
            Self::NotANumber(text) => write!(f, "{text:?} is not a number of the expected form"),
        }
    }
}

impl std::error::Error for IdError {}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_NAME_LENGTH {
        return Err(IdError::TooLong(text.len()));
    }
    let bad = text
        .chars()
        .find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')));
    bad.map_or(Ok(()), |character| Err(IdError::BadCharacter(character)))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| IdError::NotANumber(text.to_owned()))
            }
        }
    };
}

name_type!(
    /// The name of an entry VM, unique among entries.
    EntryName
);

impl EntryName {
    /// Returns a number for this entry together with another one. Entries that
    /// order the same others by it get different orders.
    pub fn pair_hash(&self, other: &Self) -> u64 {
        let own = XxHash64::oneshot(0, self.as_str().as_bytes());
        XxHash64::oneshot(own, other.as_str().as_bytes())
    }
}

name_type!(
    /// The name of an availability zone.
    ZoneName
);
name_type!(
    /// The name of a service that callers address.
    ServiceName
);
name_type!(
    /// The version of the software of a backend server.
    ServerVersion
);
name_type!(
    /// The name of a client account.
    AccountName
);
name_type!(
    /// The name of a policy program.
    PolicyName
);
name_type!(
    /// The cloud's identifier of a VM.
    VmId
);
name_type!(
    /// The cloud's name of a kind of VM, which fixes its size and price.
    MachineClass
);

/// One run of an entry daemon. A restart draws a new number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdError::NotANumber(text.to_owned()))
    }
}

number_type!(
    /// Counts the pairs that one incarnation has formed with mirrors.
    PairEpoch, u32
);
number_type!(
    /// Counts the tickets issued within a pair.
    Serial, u64
);
number_type!(
    /// A revision of the configuration. The first published one is 1.
    RevisionNumber, u64
);
number_type!(
    /// The position of a record in a stream of the log service.
    LogOffset, u64
);
number_type!(
    /// The position of a chunk in an answer, counted from 0.
    ChunkPosition, u64
);
number_type!(
    /// Counts how often the store came back from an older copy. Offsets are given
    /// out again in each generation.
    StoreGeneration, u64
);
number_type!(
    /// The fence of a lease. It rises with every change of the holder.
    FenceToken, u64
);

/// The bits of a fence below the store's generation. At ten records a second they
/// last for thirteen years.
const FENCE_OFFSET_BITS: u32 = 32;

impl FenceToken {
    /// Returns the fence of a claim at an offset. It is higher than that of every
    /// claim of an earlier generation, whose offsets may have been higher.
    pub fn of_claim(generation: StoreGeneration, offset: LogOffset) -> Self {
        Self((generation.0 << FENCE_OFFSET_BITS) | offset.0)
    }

    /// Returns the generation in which the claim was made.
    pub fn generation(self) -> StoreGeneration {
        StoreGeneration(self.0 >> FENCE_OFFSET_BITS)
    }
}
