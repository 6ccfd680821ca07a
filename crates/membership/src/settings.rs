//! Times and bounds.

/// How a member probes, tells and forgets. All members of a fleet should have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Tag of the fleet: datagrams with another one are dropped, so fleets don't merge by accident.
    pub fleet: u64,
    /// Period of probes.
    pub probe_every_ms: u64,
    /// A probe that isn't answered for so long is repeated, also through helpers; at most half of the period.
    pub probe_timeout_ms: u64,
    /// Members asked for a second opinion.
    pub helpers: usize,
    /// Suspicion lasts so long for each factor of ten of the fleet's size ...
    pub suspect_per_decade_ms: u64,
    /// ... but at least so long ...
    pub suspect_min_ms: u64,
    /// ... and at most so long.
    pub suspect_max_ms: u64,
    /// While there is news, so many others are told each period besides those that are probed.
    pub fan_out: usize,
    /// Each piece of news is sent so many times log2 of the fleet's size.
    pub retransmit: u32,
    /// A newcomer asks again after so long; doubled with each asking up to `reach_every_ms`.
    pub ask_every_ms: u64,
    /// Period of tries at absent seeds and at addresses of lost members.
    pub reach_every_ms: u64,
    /// Digests have to differ for so long without news before a sync.
    pub sync_quiet_ms: u64,
    /// With news all the time, differing digests lead to a sync after so long.
    pub sync_anyway_ms: u64,
    /// Datagram in the answer to one asking.
    pub pages: usize,
    /// How long the dead and those who left are remembered, so that old news doesn't revive them.
    pub remember_ms: u64,
    /// Most members known at a time, the remembered dead included.
    pub members_max: usize,
    /// Off only in trials that show what refutation is for.
    #[doc(hidden)]
    pub refutes: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            fleet: 0,
            probe_every_ms: 400,
            probe_timeout_ms: 150,
            helpers: 3,
            suspect_per_decade_ms: 1_200,
            suspect_min_ms: 1_200,
            suspect_max_ms: 6_000,
            fan_out: 1,
            retransmit: 3,
            ask_every_ms: 250,
            reach_every_ms: 2_000,
            sync_quiet_ms: 2_000,
            sync_anyway_ms: 5_000,
            pages: 4,
            remember_ms: 60_000,
            members_max: 4_096,
            refutes: true,
        }
    }
}

impl Settings {
    /// Brings what would break a rule of the protocol into bounds.
    pub(crate) fn bounded(mut self) -> Settings {
        self.probe_every_ms = self.probe_every_ms.clamp(2, 3_600_000);
        self.probe_timeout_ms = self.probe_timeout_ms.clamp(1, self.probe_every_ms / 2);
        self.helpers = self.helpers.min(16);
        self.fan_out = self.fan_out.min(16);
        self.retransmit = self.retransmit.clamp(1, 16);
        self.ask_every_ms = self.ask_every_ms.clamp(1, 3_600_000);
        self.reach_every_ms = self.reach_every_ms.clamp(1, 3_600_000);
        self.suspect_min_ms = self.suspect_min_ms.clamp(1, 3_600_000);
        self.suspect_max_ms = self.suspect_max_ms.clamp(self.suspect_min_ms, 3_600_000);
        self.suspect_per_decade_ms = self.suspect_per_decade_ms.min(3_600_000);
        for span in [&mut self.sync_quiet_ms, &mut self.sync_anyway_ms, &mut self.remember_ms] {
            *span = (*span).min(86_400_000);
        }
        self.pages = self.pages.clamp(1, 16);
        self.members_max = self.members_max.clamp(2, 65_536);
        self
    }

    /// How long a suspect has time to refute in a fleet of `size`.
    pub fn suspect_ms(&self, size: usize) -> u64 {
        let decades = (size.max(1) as f64).log10().max(1.0);
        let ms = (self.suspect_per_decade_ms as f64 * decades) as u64;
        ms.clamp(self.suspect_min_ms, self.suspect_max_ms.max(self.suspect_min_ms))
    }

    /// How often a piece of news is sent in a fleet of `size`.
    pub fn sendings(&self, size: usize) -> u32 {
        self.retransmit * (size + 1).next_power_of_two().trailing_zeros()
    }
}
