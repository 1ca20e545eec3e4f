//! The decoded head of a caller's request.

use std::fmt;
use std::time::Duration;

use crate::quantity::TokenCount;

/// The caller's identifier of one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub String);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One block of a prompt. Blocks with the same id have the same text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptBlock {
    /// Identifies the text of the block.
    pub id: u64,
    /// The length of the block.
    pub tokens: TokenCount,
}

/// The number of tokens of a request, as its caller states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUse {
    /// The tokens of the prompt.
    pub prompt: TokenCount,
    /// The largest number of tokens that may be generated.
    pub max_generated: TokenCount,
}

impl TokenUse {
    /// Returns the number of tokens that are charged to a limit in tokens.
    pub fn total(self) -> TokenCount {
        TokenCount(self.prompt.0.saturating_add(self.max_generated.0))
    }
}

/// The decoded head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's identifier of this attempt.
    pub id: CallId,
    /// How long the caller waits, counted from the arrival of the head.
    pub deadline: Option<Duration>,
    /// The API key that the caller sent.
    pub api_key: Option<String>,
    /// The number of prompt and generated tokens.
    pub tokens: Option<TokenUse>,
    /// The blocks of the prompt in order. The last block belongs to this request
    /// only; the others may be shared with other requests.
    pub prompt_blocks: Vec<PromptBlock>,
    /// The id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that the caller resumes.
    pub resumes: Option<CallId>,
    /// The caller's rough estimate of the number of generated tokens: at least one, and
    /// at most as many as may be generated.
    pub length_hint: Option<TokenCount>,
    /// Whether the caller sent a hint that was ignored or lowered.
    pub has_bad_hint: bool,
}

impl CallHead {
    /// Returns the blocks that other requests may share.
    pub fn shared_blocks(&self) -> &[PromptBlock] {
        let blocks = self.prompt_blocks.split_last();
        blocks.map_or(&[], |(_, shared)| shared)
    }

    /// Returns the last block that other requests may share, if there is one.
    pub fn last_shared_block(&self) -> Option<PromptBlock> {
        self.shared_blocks().last().copied()
    }

    /// Returns the number of prompt tokens.
    pub fn prompt_tokens(&self) -> TokenCount {
        match self.tokens {
            Some(tokens) => tokens.prompt,
            None => TokenCount(self.prompt_blocks.iter().map(|block| block.tokens.0).sum()),
        }
    }
}

/// Why the head of a request cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// A required header is missing.
    Missing(&'static str),
    /// The value of a header is malformed.
    Malformed(&'static str),
    /// A header appears more than once.
    Duplicate(&'static str),
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(header) => write!(f, "the header {header} is missing"),
            Self::Malformed(header) => write!(f, "the header {header} cannot be read"),
            Self::Duplicate(header) => write!(f, "the header {header} appears more than once"),
        }
    }
}

impl std::error::Error for HeadError {}
