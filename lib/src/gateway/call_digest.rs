//! Recognizes repetitions of the same request.

use std::fmt;
use std::hash::Hasher;
use std::num::ParseIntError;
use std::str::FromStr;

use bytes::Bytes;
use http::Method;
use http::Uri;
use twox_hash::XxHash64;

use crate::id::AccountName;

/// The digest of a request's account, method, host, path, query and body. Each
/// attempt of a caller has its own request ID, but the same digest, whichever
/// entry it arrives at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallDigest(pub u64);

impl CallDigest {
    /// Returns the digest of a request to a host.
    pub fn of(
        account: Option<&AccountName>,
        method: &Method,
        host: &str,
        uri: &Uri,
        body: &Bytes,
    ) -> Self {
        let path = uri.path_and_query().map_or("", |path| path.as_str());
        let account = account.map_or("", AccountName::as_str);
        let mut hasher = XxHash64::with_seed(3);
        for field in [account, method.as_str(), host, path] {
            // The length separates consecutive fields.
            hasher.write_u64(field.len() as u64);
            hasher.write(field.as_bytes());
        }
        hasher.write(body);
        Self(hasher.finish())
    }
}

impl fmt::Display for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CallDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
