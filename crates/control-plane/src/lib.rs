//! Decisions of the control machines and of the proxies that follow them, without I/O and without a clock.
//!
//! The programs carry these decisions out: [`admission`] says how an operator's change is answered, [`serving`] which
//! configuration a control machine hands out, [`subscription`] what a proxy takes and whom it asks, and
//! [`acknowledgement`] when a server that leaves is told so. Times are milliseconds of any steady clock.

pub mod acknowledgement;
pub mod admission;
mod contact;
mod injected_fault;
pub mod serving;
pub mod subscription;

pub use contact::Contact;
#[doc(hidden)]
pub use injected_fault::InjectedFault;
