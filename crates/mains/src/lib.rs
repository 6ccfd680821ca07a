//! The operator's configuration: read and checked by hand, routes, patches.
