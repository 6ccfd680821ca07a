//! What the proxy is told when it starts.

use std::net::SocketAddr;

use crate::listing::{Listing, read_listing};
use mosshead_settings::{self as settings, Found, Named};

/// The configuration, read and checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The proxy's name, the same after a restart.
    pub name: String,
    /// Where submitters connect.
    pub listen: SocketAddr,
    /// Where operators call, if they do.
    pub ops: Option<SocketAddr>,
    /// Where the machine list is kept.
    pub discovery: SocketAddr,
    pub(crate) seed: u64,
    pub(crate) memory_mb: f64,
    pub(crate) sockets: u64,
    pub(crate) known: Listing,
    pub(crate) named: Named,
}

impl Config {
    /// Reads the text of a configuration; a fault names the key.
    pub fn read(text: &str) -> Result<Self, String> {
        let json = settings::json(text)?;
        let top = Found::top(&json);
        let address = |name| -> Result<SocketAddr, String> {
            let found = top.get(name)?;
            found.text()?.parse().map_err(|_| found.says("not an address with a port"))
        };
        let ops = top.find("ops")?.map(|_| address("ops")).transpose()?;
        let seed = top.get("seed")?;
        let limits = top.get("limits")?;
        let named = settings::read(&top.get("settings")?)?;
        named.settings.check().map_err(|error| error.to_string())?;
        let sockets = limits.get("sockets")?;
        if sockets.whole()? < 64 {
            return Err(sockets.says("too few to serve: at least 64 are needed"));
        }
        Ok(Self {
            name: top.get("name")?.text()?.to_owned(),
            listen: address("listen")?,
            ops,
            discovery: address("discovery")?,
            seed: u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.says("not a number in hex"))?,
            memory_mb: limits.get("memory_mb")?.number()?,
            sockets: sockets.whole()?,
            known: read_listing(&top.get("known")?)?,
            named,
        })
    }
}
