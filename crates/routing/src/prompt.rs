//! What a request states about its prompt, and the servers that were selected for it.

use std::rc::Rc;

use mosshead_time::Duration;

use crate::affinity::mix;

/// The lower bound of [`Prompt::unshared_tokens`]: a prompt that is cached completely has a cost, too.
const MIN_UNSHARED_TOKENS: f64 = 16.0;

/// One part of a prompt, as `X-Prompt-Prefix` names it (PROTOCOL.md, Requests).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptPart {
    /// What the part is known by: the same in every request that shares it.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: f64,
}

/// A prompt that is to be prefilled and answered.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Tokens of the complete prompt.
    pub tokens: f64,
    /// The prompt's parts in order. The last one belongs to this request or its session; the others are shared.
    pub parts: Vec<PromptPart>,
    /// The most tokens that are generated.
    pub max_output_tokens: f64,
    /// The longest gap between events that the route wants (`gap_aim_ms`).
    pub max_event_gap: Duration,
}

impl Prompt {
    /// The last part that other prompts share, too: the one before the last of all.
    pub(crate) fn last_shared_part(&self) -> Option<PromptPart> {
        self.parts.get(self.parts.len().checked_sub(2)?).copied()
    }

    /// The key by which the home servers of the prompt's shared prefix are ranked; `None` where it shares nothing.
    pub(crate) fn affinity_key(&self) -> Option<u64> {
        self.last_shared_part().map(|part| mix(part.id))
    }

    /// Tokens of the parts that other prompts share.
    pub(crate) fn shared_tokens(&self) -> f64 {
        self.parts.iter().rev().skip(1).map(|part| part.tokens).sum()
    }

    /// Tokens that no server is likely to have cached.
    pub fn unshared_tokens(&self) -> f64 {
        (self.tokens - self.shared_tokens()).max(MIN_UNSHARED_TOKENS)
    }
}

/// The servers of one prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPair {
    /// Prefills the prompt; `None` where the decode server does so itself.
    pub prefill: Option<Rc<str>>,
    /// Generates the tokens.
    pub decode: Rc<str>,
}
