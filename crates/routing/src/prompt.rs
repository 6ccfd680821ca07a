//! The prompt of a request, as its headers describe it, and the servers selected for it.

use std::rc::Rc;

use mosshead_time::Duration;

use crate::affinity::mix;

/// Lower bound of [`Prompt::unshared_tokens`], because even a completely cached prompt has a cost.
const MIN_UNSHARED_TOKENS: f64 = 16.0;

/// One part of a prompt, as listed in `X-Prompt-Prefix` (PROTOCOL.md, Requests).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptPart {
    /// Identifies the part; the same in every request that shares it.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: f64,
}

/// A prompt to be prefilled and decoded.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// The length of the complete prompt in tokens.
    pub tokens: f64,
    /// The prompt's parts in order. The last one belongs to this request or its session; the others are shared.
    pub parts: Vec<PromptPart>,
    /// Upper bound on the number of tokens to generate.
    pub max_output_tokens: f64,
    /// The route's target for the longest gap between events (`gap_aim_ms`).
    pub max_event_gap: Duration,
}

impl Prompt {
    /// The last part that is shared with other prompts, which is the second to last.
    pub(crate) fn last_shared_part(&self) -> Option<PromptPart> {
        self.parts.get(self.parts.len().checked_sub(2)?).copied()
    }

    /// The key that ranks servers for the prompt's shared prefix; `None` if the prompt shares nothing.
    pub(crate) fn affinity_key(&self) -> Option<u64> {
        self.last_shared_part().map(|part| mix(part.id))
    }

    /// Tokens in the parts that are shared with other prompts.
    pub(crate) fn shared_tokens(&self) -> f64 {
        self.parts.iter().rev().skip(1).map(|part| part.tokens).sum()
    }

    /// Tokens that probably no server has cached.
    pub fn unshared_tokens(&self) -> f64 {
        (self.tokens - self.shared_tokens()).max(MIN_UNSHARED_TOKENS)
    }
}

/// The servers selected for one prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPair {
    /// The server that prefills the prompt; `None` if the decode server does so itself.
    pub prefill: Option<Rc<str>>,
    /// The server that generates the tokens.
    pub decode: Rc<str>,
}
