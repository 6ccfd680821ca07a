//! Parses the headers that describe a request's prompt (PROTOCOL.md, Requests).

use hyper::header::HeaderMap;
use mosshead_routing::{Prompt, PromptPart};
use mosshead_time::Duration;

/// The maximum number of prompt parts; further ones are ignored.
const MAX_PROMPT_PARTS: usize = 64;

/// Parses the prompt from the headers; `None` if they describe none or its token count is invalid. Invalid parts are
/// ignored. `max_event_gap` is the longest gap between events that the route accepts.
pub(crate) fn parse_prompt(headers: &HeaderMap, max_event_gap: Duration) -> Option<Prompt> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let mut counts = text("x-token-count")?.split(',').map(|count| count.trim().parse::<f64>());
    let tokens = counts.next()?.ok()?;
    let max_output_tokens = counts.next().and_then(Result::ok).filter(|count| count.is_finite());
    let mut parts = Vec::new();
    let named_parts = text("x-prompt-prefix").unwrap_or_default().split(',');
    parts.extend(named_parts.take(MAX_PROMPT_PARTS).filter_map(parse_part));
    let tokens_in_parts: f64 = parts.iter().map(|part| part.tokens).sum();
    (tokens.is_finite() && tokens >= 0.0).then(|| Prompt {
        tokens: tokens.max(tokens_in_parts),
        parts,
        max_output_tokens: max_output_tokens.unwrap_or(0.0),
        max_event_gap,
    })
}

/// Parses one part, written `ID:TOKENS` with the id in hexadecimal.
fn parse_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    let tokens: f64 = tokens.parse().ok()?;
    tokens.is_finite().then(|| PromptPart { id, tokens: tokens.max(0.0) })
}
