//! Membership: probes in turn, second opinions, suspicion before removal.
