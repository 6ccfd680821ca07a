//! Control state: epochs, a primary that writes to its backups, witnesses, members.
