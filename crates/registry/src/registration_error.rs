//! Errors of registering and deregistering servers.

use quick_error::quick_error;

use crate::limits::{MAX_MODEL_BYTES, MAX_NAME_BYTES};

quick_error! {
    /// Reason why a heartbeat or a deregistration was rejected. Operators know the numbers and texts from the
    /// logs.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum RegistrationError {
        /// The instance has no id.
        MissingId {
            display("registry 1: instance without an id")
        }
        /// The id, service, zone or software revision is too long.
        NameTooLong {
            display("registry 2: id, service, zone or revision over {} bytes", MAX_NAME_BYTES)
        }
        /// The models and their adapters are too large.
        ModelsTooLong {
            display("registry 3: models and adapters over {} bytes", MAX_MODEL_BYTES)
        }
        /// There are already [`MAX_SERVERS`](crate::MAX_SERVERS) servers.
        RegistryFull {
            display("registry 4: the register is full")
        }
    }
}

impl RegistrationError {
    /// Returns the number of the error, as it appears in its text.
    pub fn code(self) -> u16 {
        match self {
            RegistrationError::MissingId => 1,
            RegistrationError::NameTooLong => 2,
            RegistrationError::ModelsTooLong => 3,
            RegistrationError::RegistryFull => 4,
        }
    }
}
