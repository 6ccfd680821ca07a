//! The retry budget: one for all proxies, of which each may spend the part that follows from the number of members.

use std::collections::VecDeque;

use std::time::Duration;

use crate::Millis;

/// What the deployment allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats for each request in a window.
    pub retry_ratio: f64,
    /// Repeats beyond that, all proxies together.
    pub extra_retries: f64,
    /// The window's length.
    pub window: Duration,
}

/// So many pieces of a window are told apart.
const PIECES: u64 = 20;
/// The share of what is allowed that is spent: the windows of the rule slide, and members come and go.
const MARGIN: f64 = 0.8;

/// This proxy's count for one service.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryBudgetLimits,
    /// Start of a piece, requests and repeats in it.
    pieces: VecDeque<(Millis, f64, f64)>,
    requests: f64,
    repeats: f64,
}

impl RetryBudget {
    /// Nothing counted yet.
    pub fn new(terms: RetryBudgetLimits) -> Self {
        Self { terms, pieces: VecDeque::new(), requests: 0.0, repeats: 0.0 }
    }

    fn window_millis(&self) -> Millis {
        self.terms.window.as_millis() as Millis
    }

    fn now(&mut self, now: Millis) -> &mut (Millis, f64, f64) {
        let (window, length) = (self.window_millis(), (self.window_millis() / PIECES).max(1));
        while self.pieces.front().is_some_and(|piece| piece.0 + window + length <= now) {
            if let Some((_, requests, repeats)) = self.pieces.pop_front() {
                self.requests -= requests;
                self.repeats -= repeats;
            }
        }
        if self.pieces.back().is_none_or(|piece| piece.0 + length <= now) {
            self.pieces.push_back((now, 0.0, 0.0));
        }
        let last = self.pieces.len() - 1;
        &mut self.pieces[last]
    }

    /// A client's request for the service.
    pub fn request(&mut self, now: Millis) {
        self.now(now).1 += 1.0;
        self.requests += 1.0;
    }

    /// Takes one repeat out of the budget, if it holds one; `proxies` share what goes beyond the ratio.
    pub fn repeat(&mut self, now: Millis, proxies: usize) -> bool {
        self.now(now);
        let allowed =
            self.terms.retry_ratio * self.requests + self.terms.extra_retries / proxies.max(1) as f64;
        // Danger: every proxy that spends its part in full must leave the whole within its bound.
        if self.repeats + 1.0 > MARGIN * allowed {
            return false;
        }
        self.now(now).2 += 1.0;
        self.repeats += 1.0;
        true
    }
}
