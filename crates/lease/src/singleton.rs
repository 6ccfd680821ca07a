//! One member's part in a duty.

use crate::terms::{Instant, Terms, Token};

/// A lease's number in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub u64);

/// What the store says of a duty, by a read that is not allowed to be old, or by the watch that goes on from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Word {
    /// Which store speaks: one that was brought back from a copy of its state is another one.
    pub store: u64,
    /// To which store the epoch was given.
    pub given: u64,
    /// The store's epoch and revision now.
    pub at: Token,
    /// The token of who holds the duty.
    pub held: Option<Token>,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The member may take part.
    Join,
    /// It is to take part no longer: it stops, drains, or was told so.
    Leave,
    /// The answer to a look, or what the watch from there tells.
    Word(Word),
    /// The look failed, or the watch has a gap: it was cancelled, compacted, or its connection broke.
    Unheard,
    /// The duty is this member's.
    Taken {
        /// Which call was answered.
        call: u64,
        /// By which store.
        store: u64,
        /// What fences its acts.
        token: Token,
        /// The lease that it hangs on.
        lease: Lease,
    },
    /// Somebody else was first, or the store has another epoch.
    NotTaken {
        /// Which call was answered.
        call: u64,
    },
    /// The store has renewed the lease.
    Renewed {
        /// Which call was answered.
        call: u64,
    },
    /// The store does not know the lease.
    Ended {
        /// Which call was answered.
        call: u64,
    },
    /// No answer, or an error: it may have been done all the same.
    Failed {
        /// Which call.
        call: u64,
    },
    /// Who was acted upon knows a newer token.
    Refused {
        /// That one.
        newest: Token,
    },
    /// The time that was asked for has come.
    Tick,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Act {
    /// Read who holds, and watch from there.
    Look,
    /// Ask for a lease of the terms' length, and with it take the duty if nobody holds it and the epoch is still this one.
    Take {
        /// The call's number.
        call: u64,
        /// The epoch.
        epoch: u64,
    },
    /// Renew the lease.
    Renew {
        /// The call's number.
        call: u64,
        /// Which.
        lease: Lease,
    },
    /// Give the lease up, and the duty with it.
    Release(Lease),
    /// Come back then.
    Wake(Instant),
}

/// The right to act until an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// Goes with each act.
    pub token: Token,
    /// What cannot be shown to begin before is not begun.
    pub until: Instant,
}

/// Why a member does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// It takes no part.
    Left,
    /// Operators have given the store no epoch: it is new, or has lost its state.
    NoEpoch,
    /// The epoch was given to another store: this one was brought back from a copy, or put beside it by mistake. Operators have
    /// to give it a higher one.
    AnotherStore,
    /// The store is at an older state than was known: the same.
    WentBack,
}

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It does nothing.
    Resting(Why),
    /// It does not know who holds.
    Blind,
    /// Another one holds, or may still act.
    Waiting,
    /// It has asked for the duty.
    Asking,
    /// It holds the duty, and may act.
    Holder,
    /// The duty may be its own, and it may not act.
    Doubting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    Resting(Why),
    /// To look then; nothing is known.
    Blind {
        look: Instant,
    },
    /// A look is out, and calls again then if nothing comes of it.
    Looking {
        until: Instant,
    },
    /// Somebody holds.
    Held,
    /// Nobody holds; whoever did may act until then.
    Free {
        from: Instant,
    },
    /// The duty was asked for.
    Asking {
        call: u64,
        sent: Instant,
    },
    /// The duty was taken.
    Holding {
        token: Token,
        lease: Lease,
        until: Instant,
        renew: Renewal,
        watches: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Renewal {
    Due(Instant),
    Sent { call: u64, at: Instant },
}

/// One member's part in a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Duty {
    terms: Terms,
    state: State,
    /// The newest token or place of the store that it has heard of.
    newest: Token,
    /// The store that told so.
    store: u64,
    calls: u64,
}

impl Duty {
    /// A member that takes no part yet.
    pub fn new(terms: Terms) -> Self {
        Self { terms, state: State::Resting(Why::Left), newest: Token::default(), store: 0, calls: 0 }
    }

    /// The right to act, if there is one now.
    pub fn permit(&self, now: Instant) -> Option<Permit> {
        match self.state {
            State::Holding { token, until, .. } if now < until => Some(Permit { token, until }),
            _ => None,
        }
    }

    /// Where it stands.
    pub fn standing(&self, now: Instant) -> Standing {
        match self.state {
            State::Resting(why) => Standing::Resting(why),
            State::Blind { .. } | State::Looking { .. } => Standing::Blind,
            State::Held | State::Free { .. } => Standing::Waiting,
            State::Asking { .. } => Standing::Asking,
            State::Holding { .. } if self.permit(now).is_some() => Standing::Holder,
            State::Holding { .. } => Standing::Doubting,
        }
    }

    /// Takes one event and appends what is to be done. `chance`, a draw from 0 to 999,999, spreads what a fleet would do at once.
    pub fn handle(&mut self, now: Instant, event: Event, chance: u64, acts: &mut Vec<Act>) {
        match event {
            Event::Join => {
                if let State::Resting(Why::Left) = self.state {
                    self.look(now, acts);
                }
            }
            Event::Leave => self.rest(Why::Left, acts),
            Event::Word(word) => self.word(now, word, acts),
            Event::Unheard => self.unheard(now, chance, acts),
            Event::Taken { call, store, token, lease } => self.taken(now, call, store, (token, lease), acts),
            Event::NotTaken { call } => {
                // What the watch has told meanwhile was not taken up.
                if self.asks(call) {
                    self.look(now, acts);
                }
            }
            Event::Renewed { call } => self.renewed(now, call, acts),
            Event::Ended { call } => {
                if self.renews(call) {
                    self.look(now, acts);
                }
            }
            Event::Failed { call } => self.failed(now, call, chance, acts),
            Event::Refused { newest } => {
                self.newest = self.newest.max(newest);
                if let State::Holding { token, .. } = self.state
                    && token < newest
                {
                    self.rest(Why::WentBack, acts);
                    // An operator's epoch is waited for.
                    acts.push(Act::Look);
                }
            }
            Event::Tick => self.tick(now, acts),
        }
    }

    fn call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    fn asks(&self, call: u64) -> bool {
        matches!(self.state, State::Asking { call: out, .. } if out == call)
    }

    fn renews(&self, call: u64) -> bool {
        matches!(self.state, State::Holding { renew: Renewal::Sent { call: out, .. }, .. } if out == call)
    }

    /// Reads who holds. Danger: one that believed an old read would take what another still holds.
    fn look(&mut self, now: Instant, acts: &mut Vec<Act>) {
        let until = now.after(self.terms.lease);
        self.state = State::Looking { until };
        acts.extend([Act::Look, Act::Wake(until)]);
    }

    fn give_up(&mut self, acts: &mut Vec<Act>) {
        if let State::Holding { lease, .. } = self.state {
            acts.push(Act::Release(lease));
        }
    }

    fn rest(&mut self, why: Why, acts: &mut Vec<Act>) {
        self.give_up(acts);
        self.state = State::Resting(why);
    }

    fn word(&mut self, now: Instant, word: Word, acts: &mut Vec<Act>) {
        match self.state {
            State::Resting(Why::Left) => return,
            _ if word.at.epoch == 0 => return self.rest(Why::NoEpoch, acts),
            _ if word.store != word.given => return self.rest(Why::AnotherStore, acts),
            // The watch may tell of what was before the duty was taken.
            State::Holding { token, .. } if word.at < token && word.at.epoch == token.epoch => return,
            State::Holding { token, .. } if word.held == Some(token) => {
                self.newest = self.newest.max(word.at);
                return;
            }
            // Danger: an answer that is out may still say that the duty is its own; it is waited for.
            State::Asking { .. } => return,
            _ => {}
        }
        if word.at < self.newest {
            return self.rest(Why::WentBack, acts);
        }
        let same = word.at.epoch == self.newest.epoch;
        (self.newest, self.store) = (word.at, word.store);
        // A holder that is told of another one holds no longer. Its lease has ended: there is nothing to give up.
        self.state = match (word.held, self.state) {
            (Some(_), _) => State::Held,
            // Danger: after a gap nobody knows whether who held was told so, or the store has lost it: who held may still act.
            (None, State::Held) if same => State::Free { from: now },
            (None, State::Free { from }) if same => State::Free { from },
            (None, _) => State::Free { from: now.after(self.terms.over()) },
        };
        self.tick(now, acts);
    }

    fn unheard(&mut self, now: Instant, chance: u64, acts: &mut Vec<Act>) {
        match self.state {
            State::Resting(Why::Left) | State::Asking { .. } => {}
            // The next renewal tells when the store can be asked again.
            State::Holding { ref mut watches, .. } => *watches = false,
            _ => {
                let look = now.after(self.spread(chance));
                self.state = State::Blind { look };
                acts.push(Act::Wake(look));
            }
        }
    }

    fn spread(&self, chance: u64) -> u64 {
        self.terms.again + self.terms.again * chance.min(999_999) / 1_000_000
    }

    fn taken(&mut self, now: Instant, call: u64, store: u64, of: (Token, Lease), acts: &mut Vec<Act>) {
        let (token, lease) = of;
        let sent = match self.state {
            State::Asking { call: out, sent } if out == call => sent,
            // Danger: what an earlier call took, and nobody waits for, would be held by nobody for a lease's length.
            _ => return acts.push(Act::Release(lease)),
        };
        // Danger: a store that was brought back between the word and the taking gives what another may still act under, even under
        // the same token.
        let why = if store == self.store { Why::WentBack } else { Why::AnotherStore };
        if why == Why::AnotherStore || token < self.newest {
            acts.push(Act::Release(lease));
            self.state = State::Resting(why);
            return acts.push(Act::Look);
        }
        self.newest = token;
        // Danger: counted from the answer the permit would outlive the lease, which the store counts from the call.
        let until = sent.after(self.terms.usable());
        let renew = Renewal::Due(sent.after(self.terms.renew));
        self.state = State::Holding { token, lease, until, renew, watches: true };
        // The watch goes on from here: who deletes the duty's key takes it away.
        acts.push(Act::Look);
        self.tick(now, acts);
    }

    fn renewed(&mut self, now: Instant, call: u64, acts: &mut Vec<Act>) {
        let usable = self.terms.usable();
        let next = self.terms.renew;
        if let State::Holding { until, renew, watches, .. } = &mut self.state
            && let Renewal::Sent { call: out, at } = *renew
            && out == call
        {
            *until = at.after(usable).max(*until);
            *renew = Renewal::Due(at.after(next));
            if !std::mem::replace(watches, true) {
                acts.push(Act::Look);
            }
            self.tick(now, acts);
        }
    }

    fn failed(&mut self, now: Instant, call: u64, chance: u64, acts: &mut Vec<Act>) {
        let look = now.after(self.spread(chance));
        if self.asks(call) {
            // The duty may hang on a lease that nobody renews: it ends by itself.
            self.state = State::Blind { look };
            return acts.push(Act::Wake(look));
        }
        if let State::Holding { renew, .. } = &mut self.state
            && matches!(*renew, Renewal::Sent { call: out, .. } if out == call)
        {
            *renew = Renewal::Due(look);
            acts.push(Act::Wake(look));
        }
    }

    fn tick(&mut self, now: Instant, acts: &mut Vec<Act>) {
        match self.state {
            State::Blind { look } if now >= look => self.look(now, acts),
            State::Looking { until } if now >= until => self.look(now, acts),
            State::Free { from } if now >= from => {
                let call = self.call();
                self.state = State::Asking { call, sent: now };
                acts.push(Act::Take { call, epoch: self.newest.epoch });
            }
            State::Blind { look: at } | State::Looking { until: at } | State::Free { from: at } => {
                acts.push(Act::Wake(at));
            }
            State::Holding { lease, renew: Renewal::Due(at), until, token, watches } => {
                if now < at {
                    return acts.push(Act::Wake(at));
                }
                let call = self.call();
                let renew = Renewal::Sent { call, at: now };
                self.state = State::Holding { token, lease, until, renew, watches };
                acts.push(Act::Renew { call, lease });
            }
            State::Resting(_) | State::Held | State::Asking { .. } | State::Holding { .. } => {}
        }
    }
}
