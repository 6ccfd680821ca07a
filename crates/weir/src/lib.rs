//! Decisions of the data plane: which pair of servers, whether again, what is refused.
