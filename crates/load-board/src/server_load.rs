//! The load of one server, as one balancer estimates it.

/// A server's last reported load, and the requests that this balancer itself has sent there (own requests, own sends).
///
/// Load is counted in requests: one send adds one to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// The last reported load less own requests from before it that have ended since. Finite and not negative.
    reported_load: f64,
    /// Own requests that were sent after the last report and are in flight, as far as is known.
    sends_since_report: u32,
    /// Own requests that were sent before the last report and are in flight, as far as is known. The report includes them.
    sends_before_report: u32,
}

impl ServerLoad {
    /// Takes a reported load, in requests. It replaces the last one, and includes all own sends up to now. A load that is
    /// negative or not finite is ignored.
    pub fn record_report(&mut self, load: f64) {
        if load.is_finite() && load >= 0.0 {
            self.reported_load = load;
            self.sends_before_report = self.sends_before_report.saturating_add(self.sends_since_report);
            self.sends_since_report = 0;
        }
    }

    /// Counts a request that is sent to the server.
    pub fn record_send(&mut self) {
        self.sends_since_report = self.sends_since_report.saturating_add(1);
    }

    /// Counts the end of a request that was sent to the server. A balancer that counts sends only never calls it.
    ///
    /// Which of the requests ended isn't known; the oldest is assumed. Were it taken off the sends since the report, a
    /// request from before the report would hide one that was sent after it.
    pub fn record_end(&mut self) {
        if self.sends_before_report > 0 {
            self.sends_before_report -= 1;
            self.reported_load = (self.reported_load - 1.0).max(0.0);
        } else {
            self.sends_since_report = self.sends_since_report.saturating_sub(1);
        }
    }

    /// What candidates are compared by: the last reported load plus own sends since.
    pub fn estimate(&self) -> f64 {
        self.reported_load + f64::from(self.sends_since_report)
    }

    /// Own sends since the last report.
    pub fn sends_since_report(&self) -> u32 {
        self.sends_since_report
    }
}
