//! The register of servers: sources, versions, and what a puller lacks.
