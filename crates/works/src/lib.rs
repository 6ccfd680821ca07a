//! The programs of the fleet: thin, settings and logs.
