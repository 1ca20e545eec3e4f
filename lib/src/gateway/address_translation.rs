//! The addresses at which an entry reaches backend servers whose listed addresses
//! are translated on its way to them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::str::FromStr;

/// Between the listed address of a server and the one at which it is reached.
const ARROW: char = '>';
/// Between two servers.
const SEPARATOR: char = ',';

/// Why a text is no address translation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TranslationError {
    /// An item is not of the form `IP:PORT>IP:PORT`.
    Form(String),
    /// An item names something that is no address.
    Address(String, AddrParseError),
    /// A listed address stands there twice.
    Repeated(SocketAddr),
}

impl fmt::Display for TranslationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Form(item) => write!(f, "{item:?} is not of the form IP:PORT>IP:PORT"),
            Self::Address(text, error) => write!(f, "{text:?}: {error}"),
            Self::Repeated(address) => write!(f, "{address} is translated twice"),
        }
    }
}

impl std::error::Error for TranslationError {}

/// Maps listed addresses of backend servers to those at which they are reached.
/// Addresses that it does not name stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressTranslation(BTreeMap<SocketAddr, SocketAddr>);

impl AddressTranslation {
    /// Returns the address at which the server with a listed address is reached.
    pub fn translate(&self, listed: SocketAddr) -> SocketAddr {
        self.0.get(&listed).copied().unwrap_or(listed)
    }
}

impl FromIterator<(SocketAddr, SocketAddr)> for AddressTranslation {
    fn from_iter<I: IntoIterator<Item = (SocketAddr, SocketAddr)>>(pairs: I) -> Self {
        Self(pairs.into_iter().collect())
    }
}

impl fmt::Display for AddressTranslation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (listed, reached)) in self.0.iter().enumerate() {
            if index > 0 {
                write!(f, "{SEPARATOR} ")?;
            }
            write!(f, "{listed}{ARROW}{reached}")?;
        }
        Ok(())
    }
}

impl FromStr for AddressTranslation {
    type Err = TranslationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut addresses = BTreeMap::new();
        if text.trim().is_empty() {
            return Ok(Self(addresses));
        }
        for item in text.split(SEPARATOR).map(str::trim) {
            let Some((listed, reached)) = item.split_once(ARROW) else {
                return Err(TranslationError::Form(item.to_owned()));
            };
            let listed = parse_address(listed)?;
            let reached = parse_address(reached)?;
            if addresses.insert(listed, reached).is_some() {
                return Err(TranslationError::Repeated(listed));
            }
        }
        Ok(Self(addresses))
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, TranslationError> {
    let text = text.trim();
    text.parse()
        .map_err(|error| TranslationError::Address(text.to_owned(), error))
}
