//! The data plane on sockets: clients, requests, streams, hand-overs.
