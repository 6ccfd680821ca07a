//! What every HTTP party shares: connections, what has been written, bodies that flow, why a connection ended.
