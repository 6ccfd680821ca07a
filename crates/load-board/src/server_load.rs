//! One balancer's estimate of a server's load.

/// A server's last reported load, and the requests that this balancer itself has sent to it (own requests).
///
/// The unit of load is one request: sending a request adds one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// The last reported load, minus own requests that were sent before the report and have ended since. Finite and not
    /// negative.
    reported_load: f64,
    /// Own requests that were sent after the last report and are assumed to be in flight.
    sends_since_report: u32,
    /// Own requests that were sent before the last report and are assumed to be in flight. The report includes them.
    sends_before_report: u32,
}

impl ServerLoad {
    /// Replaces the reported load, in requests. The report is assumed to include all own requests sent so far. A
    /// negative or non-finite load is ignored.
    pub fn record_report(&mut self, load: f64) {
        if load.is_finite() && load >= 0.0 {
            self.reported_load = load;
            self.sends_before_report = self.sends_before_report.saturating_add(self.sends_since_report);
            self.sends_since_report = 0;
        }
    }

    /// Counts a request sent to the server.
    pub fn record_send(&mut self) {
        self.sends_since_report = self.sends_since_report.saturating_add(1);
    }

    /// Counts the end of a request that was sent to the server. A balancer that only counts sends never calls this.
    ///
    /// It is unknown which request has ended, so the oldest one is assumed. If the end were subtracted from the sends
    /// since the report, the end of a request from before the report would hide a request that was sent after it.
    pub fn record_end(&mut self) {
        if self.sends_before_report > 0 {
            self.sends_before_report -= 1;
            self.reported_load = (self.reported_load - 1.0).max(0.0);
        } else {
            self.sends_since_report = self.sends_since_report.saturating_sub(1);
        }
    }

    /// The estimate by which candidates are compared: the last reported load plus the own requests sent since.
    pub fn estimate(&self) -> f64 {
        self.reported_load + f64::from(self.sends_since_report)
    }

    /// The number of own requests sent since the last report.
    pub fn sends_since_report(&self) -> u32 {
        self.sends_since_report
    }
}
