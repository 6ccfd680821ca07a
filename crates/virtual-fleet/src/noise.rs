use mosshead_time::Duration;

use crate::{RandomSource, millis};

/// The longest delay of a message that is not late, after the shortest one of 1 ms.
const MAX_DELAY_VARIATION: Duration = millis(3);
/// A late message takes less than this longer.
const MAX_LATENESS: Duration = millis(500);
/// The copy of a duplicated message arrives within less than this.
const MAX_DUPLICATE_DELAY: Duration = millis(300);

/// The random disturbances of a network: how many messages of a thousand are lost, late and duplicated, each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Noise {
    per_mille: u64,
}

impl Noise {
    /// Every message arrives once and in time.
    pub const NONE: Noise = Noise { per_mille: 0 };

    /// So many messages of a thousand are lost, so many late, and so many duplicated.
    pub const fn per_mille(per_mille: u64) -> Noise {
        Noise { per_mille }
    }

    /// Draws whether a message is lost.
    pub fn draw_loss(self, random: &mut RandomSource) -> bool {
        random.is_per_mille(self.per_mille)
    }

    /// Draws whether a message is late.
    pub fn draw_is_late(self, random: &mut RandomSource) -> bool {
        random.is_per_mille(self.per_mille)
    }

    /// Draws how much longer a late message takes: less than half a second.
    pub fn draw_lateness(self, random: &mut RandomSource) -> Duration {
        random.duration_below(MAX_LATENESS)
    }

    /// Draws how long a message takes that is not late: 1 to 3 ms.
    pub fn draw_delay(self, random: &mut RandomSource) -> Duration {
        millis(1) + random.duration_below(MAX_DELAY_VARIATION)
    }

    /// Draws whether a message is duplicated, and after which time its copy arrives.
    pub fn draw_duplicate(self, random: &mut RandomSource) -> Option<Duration> {
        random.is_per_mille(self.per_mille).then(|| random.duration_below(MAX_DUPLICATE_DELAY))
    }
}
