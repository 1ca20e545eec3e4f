//! What a caller's request says about itself, decoded once.

use std::fmt;
use std::time::Duration;

use crate::quantity::TokenCount;

/// The caller's identifier of one try of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub String);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One part of a prompt. Parts with the same identifier have the same text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptBlock {
    /// The identifier of the part's text.
    pub id: u64,
    /// The length of the part.
    pub tokens: TokenCount,
}

/// The size of a generation as its caller states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUse {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// The most tokens that may be generated.
    pub max_generated: TokenCount,
}

impl TokenUse {
    /// Returns what a limit in tokens counts for the request.
    pub fn total(self) -> TokenCount {
        TokenCount(self.prompt.0.saturating_add(self.max_generated.0))
    }
}

/// The decoded head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's identifier of this try.
    pub id: CallId,
    /// How long the caller waits, counted from the arrival of the head.
    pub deadline: Option<Duration>,
    /// The API key that the caller presents.
    pub api_key: Option<String>,
    /// The size of a generation.
    pub tokens: Option<TokenUse>,
    /// The parts of the prompt in order; the last is the request's own.
    pub prompt_blocks: Vec<PromptBlock>,
    /// The position of the last event that the caller has, when it resumes.
    pub last_event: Option<u64>,
}

impl CallHead {
    /// Returns the last part that other requests share, if there is one.
    pub fn shared_part(&self) -> Option<PromptBlock> {
        let count = self.prompt_blocks.len();
        count.checked_sub(2).map(|index| self.prompt_blocks[index])
    }

    /// Returns the tokens of the prompt.
    pub fn prompt_tokens(&self) -> TokenCount {
        match self.tokens {
            Some(tokens) => tokens.prompt,
            None => TokenCount(self.prompt_blocks.iter().map(|part| part.tokens.0).sum()),
        }
    }
}

/// Why a request's head cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// A header that every request needs is absent.
    Missing(&'static str),
    /// A header's value has not the expected form.
    Malformed(&'static str),
    /// A header stands twice.
    Duplicate(&'static str),
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(header) => write!(f, "the header {header} is missing"),
            Self::Malformed(header) => write!(f, "the header {header} cannot be read"),
            Self::Duplicate(header) => write!(f, "the header {header} stands twice"),
        }
    }
}

impl std::error::Error for HeadError {}
