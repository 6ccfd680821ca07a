//! Who decides.

/// What decides where requests go and which stage servers run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The real routers and the real stage scheduler, which know only what they observe.
    Adaptive,
    /// A fixed share of prefill servers; prompts of up to so many tokens are prefilled where they are decoded. Servers are chosen
    /// by their true load, which no proxy knows.
    Fixed {
        /// The share of the servers that run prefill.
        prefill_share: f64,
        /// The longest prompt that its decode server prefills, in tokens.
        max_local_tokens: f64,
    },
}

impl Policy {
    /// The rule before the router learned: three quarters run prefill, and every prompt is handed over.
    pub const FORMER: Policy = Policy::Fixed { prefill_share: 0.75, max_local_tokens: 0.0 };

    /// Fixed rules of which one fits the parameters of an engine best.
    pub fn fixed_grid() -> Vec<Policy> {
        let shares = [0.2, 0.35, 0.5, 0.65, 0.75];
        let lengths = [0.0, 200.0, 800.0, 2_500.0];
        let rule = |prefill_share, max_local_tokens| Policy::Fixed { prefill_share, max_local_tokens };
        shares.iter().flat_map(|share| lengths.iter().map(move |tokens| rule(*share, *tokens))).collect()
    }
}
