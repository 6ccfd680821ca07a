//! Parses the members of a line.

use core::str::FromStr;

use mosshead_decide::interface::{LoadReport, Outcome, Readiness, RequestId, Seconds};

use crate::error::LineError;

/// The members of one line, each written as `name=text` and separated by spaces. A member whose text may contain spaces
/// extends to the end of the line.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(pub(crate) &'a str);

/// A list entry on the wire. It contains names, which each instance maps to its own numbers.
#[derive(Clone)]
pub(crate) struct ListItem {
    pub(crate) server: String,
    pub(crate) readiness: Readiness,
    pub(crate) zone: String,
    pub(crate) machine_kind: String,
    pub(crate) group: u64,
    pub(crate) weight: f64,
    /// When its process last started, on the simulator's clock; none if that was long ago.
    pub(crate) started_at: Option<Seconds>,
}

impl<'a> Fields<'a> {
    /// The text of an optional member.
    pub(crate) fn find(self, member: &str) -> Option<&'a str> {
        self.0
            .split(' ')
            .filter_map(|pair| pair.split_once('='))
            .find(|(name, _)| *name == member)
            .map(|(_, text)| text)
    }

    /// The text of a required member.
    pub(crate) fn get(self, member: &'static str) -> Result<&'a str, LineError> {
        self.find(member).ok_or(LineError::MissingMember(member))
    }

    /// The text of a member that extends to the end of the line.
    pub(crate) fn rest_of_line(self, member: &'static str) -> Result<&'a str, LineError> {
        let (mut rest, prefix) = (self.0, format!("{member}="));
        while !rest.is_empty() {
            if let Some(text) = rest.strip_prefix(&prefix) {
                return Ok(text);
            }
            rest = rest.split_once(' ').map_or("", |(_, rest)| rest);
        }
        Err(LineError::MissingMember(member))
    }

    pub(crate) fn finite_number(self, member: &'static str) -> Result<f64, LineError> {
        let text = self.get(member)?;
        let number = text.parse().ok().filter(|number: &f64| number.is_finite());
        number.ok_or_else(|| malformed(member, text, "a number"))
    }

    pub(crate) fn integer<T: FromStr>(self, member: &'static str) -> Result<T, LineError> {
        let text = self.get(member)?;
        text.parse().map_err(|_| malformed(member, text, "a whole number in range"))
    }

    /// False if the member is missing.
    pub(crate) fn flag(self, member: &'static str) -> Result<bool, LineError> {
        match self.find(member) {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(text) => Err(malformed(member, text, "0 or 1")),
        }
    }

    pub(crate) fn request_id(self) -> Result<RequestId, LineError> {
        let text = self.get("job")?;
        let id = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16 && !text.starts_with('+'));
        id.map(RequestId).ok_or_else(|| malformed("job", text, "16 hex digits"))
    }

    /// How an attempt or a probe ended.
    pub(crate) fn outcome(self) -> Result<Outcome, LineError> {
        Ok(match self.get("verdict")? {
            "GOOD" => Outcome::Served,
            "BAD" => Outcome::Errored,
            "FULL" => Outcome::Rejected,
            "LATE" => Outcome::TimedOut,
            "NOCONN" => Outcome::ConnectFailed,
            "RST" => Outcome::Reset,
            "CXL" => Outcome::Cancelled,
            "NOP" => Outcome::NotSent,
            word => return Err(unknown_word("verdict", word)),
        })
    }

    /// The load that a server has reported, in requests; empty if there was no report. Other metrics are ignored.
    pub(crate) fn load_report(self) -> Result<LoadReport, LineError> {
        let mut report = LoadReport::default();
        let Some(metrics) = self.find("metrics").filter(|metrics| !matches!(*metrics, "" | "-")) else {
            return Ok(report);
        };
        for pair in metrics.split(',') {
            let malformed = |problem| LineError::MalformedMetric { pair: pair.to_owned(), problem };
            let (name, value) = pair.split_once(':').ok_or_else(|| malformed("has no value"))?;
            let value: f64 = value.parse().map_err(|_| malformed("is not a number"))?;
            match name {
                "inflight" => report.in_flight = Some(value),
                "queue" => report.queued = Some(value),
                _ => {}
            }
        }
        Ok(report)
    }

    pub(crate) fn list_item(self) -> Result<ListItem, LineError> {
        let started_at: Option<Seconds> =
            self.find("started_at_s").map(|_| self.finite_number("started_at_s")).transpose()?;
        let text_or_empty = |member| self.find(member).unwrap_or_default().to_owned();
        Ok(ListItem {
            server: self.get("server")?.to_owned(),
            readiness: match self.get("readiness")? {
                "Running" => Readiness::Ready,
                "Stopping" => Readiness::Draining,
                "Deleted" => Readiness::Removed,
                word => return Err(unknown_word("readiness", word)),
            },
            zone: text_or_empty("failure_domain"),
            machine_kind: text_or_empty("family_type"),
            group: self.find("group").map_or(Ok(0), |_| self.integer("group"))?,
            weight: self.find("share").map_or(Ok(1.0), |_| self.finite_number("share"))?,
            // On the wire, 0 means long ago.
            started_at: started_at.filter(|started_at| *started_at != 0.0),
        })
    }
}

pub(crate) fn unknown_word(member: &'static str, word: &str) -> LineError {
    LineError::UnknownWord { member, word: word.to_owned() }
}

fn malformed(member: &'static str, text: &str, expected: &'static str) -> LineError {
    LineError::MalformedMember { member, text: text.to_owned(), expected }
}
