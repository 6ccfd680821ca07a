//! Who has the list, or counts as having it.

use super::*;

/// After a failed call, a proxy may go without the next one for so many times `ask_within`.
const SILENCE_FACTOR_AFTER_FAILURE: f64 = 4.0;

impl World {
    pub(super) fn spread(&mut self, answers: Vec<Answered>) {
        for (call, listed) in answers {
            let delay = self.jittered(self.scenario.network.same.lo);
            let delay = delay + self.slower(call.proxy, Way::List, None);
            self.queue.push(self.now + delay, Due::Listed(call, listed));
        }
        self.discovery_step += 1;
        let next = self.discovery.next();
        if next < Time::NEVER {
            self.queue.push(next, Due::Discovery(self.discovery_step));
        }
    }

    /// Discovery goes on from a copy of its state, or from all that it has learnt.
    pub(super) fn restore(&mut self, backup: Option<(u64, Vec<Shown>)>) {
        let mut answers = Vec::new();
        self.discovery.advance(self.now, &mut answers);
        self.discovery.restore(backup, &mut answers);
        self.spread(answers);
    }

    /// A proxy has the list, or counts as having it.
    pub(super) fn tell(&mut self, proxy: usize, full: bool, lines: &[Shown]) {
        let side = &mut self.sides[proxy];
        let mut news: Vec<(ServerNo, State)> =
            lines.iter().map(|shown| (shown.server, shown.state)).collect();
        if full {
            let listed: BTreeSet<ServerNo> = lines.iter().map(|shown| shown.server).collect();
            let mut missing: Vec<ServerNo> =
                side.told.keys().filter(|server| !listed.contains(server)).copied().collect();
            missing.sort_unstable();
            news.extend(missing.into_iter().map(|server| (server, State::Deleted)));
        }
        for shown in lines {
            let machine = &mut self.machines[shown.server.0 as usize];
            if machine.started == shown.started {
                machine.informed.insert(proxy);
            }
        }
        for (server, state) in news {
            if self.sides[proxy].told.insert(server, state) != Some(state) {
                self.fact(What::Told { proxy, server, state });
            }
        }
    }

    /// How long a proxy may go without a call to discovery before it counts as told: longer after a failed call, so that
    /// a fleet can back off from a discovery that is down or overloaded (WIRE-mosshead.md, `rules.ask_within_s`).
    fn allowed_silence(&self, proxy: usize) -> Time {
        if self.scenario.discovery.pushed {
            return AGENT_WITHIN;
        }
        let within = self.scenario.rules.ask_within;
        if self.sides[proxy].call_failed { within.times(SILENCE_FACTOR_AFTER_FAILURE) } else { within }
    }

    /// Once a second: idle connections end, and who neither watches nor asks counts as told.
    pub(super) fn second(&mut self) {
        for number in 0..self.machines.len() {
            let keepalive = self.machines[number].traits.keepalive;
            let old: Vec<Conn> = self.machines[number]
                .links
                .iter()
                .filter(|conn| {
                    self.links
                        .get(conn)
                        .is_some_and(|link| link.out.is_none() && link.used + keepalive <= self.now)
                })
                .copied()
                .collect();
            for conn in old {
                self.machines[number].links.remove(&conn);
                if let Some(server) = &mut self.machines[number].server {
                    server.connections(false);
                }
                self.send_back(conn, Back::Reset);
            }
        }
        self.keys.retain(|(job, _), _| self.tries.contains_key(job));
        let (_, list) = self.discovery.list();
        for proxy in 0..self.sides.len() {
            let within = self.allowed_silence(proxy);
            if self.unheard(proxy) {
                self.sides[proxy].asked = self.now;
            }
            let silent = self.sides[proxy].asked + within <= self.now;
            if self.sides[proxy].up && silent && !self.discovery.asks(proxy) {
                self.tell(proxy, true, &list);
            }
        }
        if !self.over() {
            self.queue.push(self.now + Time::ms(1000), Due::Second);
        }
    }
}
