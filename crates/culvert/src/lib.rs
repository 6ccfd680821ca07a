//! Calls between own processes: a pair of types, one handler.
