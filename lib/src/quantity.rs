//! Newtypes for sizes, rates, prices and time.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The reason why a text is not a valid quantity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuantityError {
    /// What was given.
    pub text: String,
    /// What was expected instead.
    pub expected: &'static str,
}

impl fmt::Display for QuantityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not {}", self.text, self.expected)
    }
}

impl std::error::Error for QuantityError {}

fn parse_number<T: FromStr>(text: &str, expected: &'static str) -> Result<T, QuantityError> {
    let error = |_| QuantityError {
        text: text.to_owned(),
        expected,
    };
    text.parse().map_err(error)
}

macro_rules! show_number {
    ($name:ident) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

macro_rules! count_type {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        show_number!($name);

        impl FromStr for $name {
            type Err = QuantityError;

            fn from_str(text: &str) -> Result<Self, QuantityError> {
                parse_number(text, $expected).map(Self)
            }
        }
    };
}

macro_rules! real_type {
    ($(#[$doc:meta])* $name:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub f64);

        show_number!($name);

        impl FromStr for $name {
            type Err = QuantityError;

            fn from_str(text: &str) -> Result<Self, QuantityError> {
                let number: f64 = parse_number(text, $expected)?;
                if number.is_finite() && number >= 0.0 {
                    return Ok(Self(number));
                }
                Err(QuantityError {
                    text: text.to_owned(),
                    expected: $expected,
                })
            }
        }
    };
}

count_type!(
    /// A number of tokens.
    TokenCount,
    "a whole number of tokens"
);
count_type!(
    /// A number of bytes.
    ByteCount,
    "a whole number of bytes"
);
real_type!(
    /// A price for one VM and one hour, in the currency of the cloud.
    HourlyPrice,
    "a price that is zero or more"
);
real_type!(
    /// A number of requests a second.
    RequestRate,
    "a rate that is zero or more"
);
real_type!(
    /// A number of tokens a second.
    TokenRate,
    "a rate that is zero or more"
);

/// A point in time, in microseconds since an origin that the owner of the
/// clock chooses. Decisions only compare timestamps of one origin.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Builds a timestamp from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the timestamp that lies `duration` later.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for Timestamp {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let digits = text.strip_suffix("us").unwrap_or(text);
        parse_number(digits, "a time in microseconds").map(Self)
    }
}
