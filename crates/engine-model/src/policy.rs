//! The policies that a simulation compares.

/// Decides to which servers requests are sent and which stage each server runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The real routers and the real stage scheduler, which know only what they observe.
    Adaptive,
    /// A fixed share of prefill servers, and a fixed length up to which prompts are prefilled locally. Servers are
    /// selected by their true load, which a real proxy does not know.
    Fixed {
        /// The share of the servers that run prefill.
        prefill_share: f64,
        /// The longest prompt that is prefilled by its decode server, in tokens.
        max_local_tokens: f64,
    },
}

impl Policy {
    /// The policy of earlier routers, which did not adapt: three quarters of the servers run prefill, and every prompt
    /// is handed over.
    pub const ALL_REMOTE: Policy = Policy::Fixed { prefill_share: 0.75, max_local_tokens: 0.0 };

    /// Fixed policies for a range of shares and lengths, of which the best one for an engine serves as a reference.
    pub fn fixed_grid() -> Vec<Policy> {
        let shares = [0.2, 0.35, 0.5, 0.65, 0.75];
        let lengths = [0.0, 200.0, 800.0, 2_500.0];
        let fixed_policy =
            |prefill_share, max_local_tokens| Policy::Fixed { prefill_share, max_local_tokens };
        shares
            .iter()
            .flat_map(|share| lengths.iter().map(move |tokens| fixed_policy(*share, *tokens)))
            .collect()
    }
}
