//! The announcements of a member that shuts down.

mod cluster;

use cluster::Cluster;
use mosshead_membership::Settings;
use mosshead_time::Duration;

/// The first announcement and its repetitions.
const ANNOUNCEMENTS: usize = 4;

/// A probe in flight when the member begins to leave is abandoned, and must not postpone the announcements.
#[test]
fn a_leaving_member_sends_every_announcement_with_a_probe_in_flight() {
    for offset in (0..2_000).step_by(37) {
        let settings = Settings::default();
        let interval = settings.probe_interval;
        let mut cluster = Cluster::new(7, 9, settings);
        cluster.run(Duration::from_millis(10_000 + offset));
        let left_at = cluster.now;
        let member = cluster.membership_mut(0);
        let mut sent = vec![member.leave(left_at)];
        sent.extend((1..=6).map(|period| member.tick(left_at + interval * period)));
        let announcements = sent.iter().filter(|datagrams| !datagrams.is_empty()).count();
        assert_eq!(announcements, ANNOUNCEMENTS, "left {offset} ms later");
    }
}
