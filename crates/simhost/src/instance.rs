//! One instance: a balancer, and the tables from the names on the wire to the numbers that the balancer uses.

use core::fmt::Write;
use std::collections::HashSet;

use mosshead_decide::interface::*;
use mosshead_decide::{Balancer, NameTable};
use mosshead_settings::{self as settings, JsonField, NamedSettings};

use crate::error::LineError;
use crate::fields::{Fields, ListItem};
use crate::replies::write_action;

/// A balancer and what the wire needs beside it.
pub(crate) struct Instance {
    balancer: Balancer,
    can_advise_retry_after: bool,
    endpoints: NameTable,
    zones: NameTable,
    kinds: NameTable,
    classes: NameTable,
    tenants: NameTable,
    /// Every request that was received so far: an outcome may come after its request has ended.
    requests: HashSet<RequestId>,
    /// The lines of what it has decided in this batch.
    reply: String,
}

impl Instance {
    /// An instance with these settings, which are the platform's JSON, and this seed of its random draws.
    pub(crate) fn start(settings_json: &str, seed: u64) -> Result<Instance, LineError> {
        let json = settings::parse_json(settings_json)?;
        let NamedSettings { settings, zones, kinds, classes, tenants } =
            settings::read_settings(&JsonField::root(&json))?;
        let can_advise_retry_after = settings.limits.can_advise_retry_after;
        Ok(Instance {
            balancer: Balancer::new(settings, seed)?,
            can_advise_retry_after,
            endpoints: NameTable::default(),
            zones,
            kinds,
            classes,
            tenants,
            requests: HashSet::new(),
            reply: String::new(),
        })
    }

    /// Moves what was decided in this batch to the end of a reply; nothing if there is nothing.
    pub(crate) fn append_reply(&mut self, number: u32, reply: &mut String) {
        if !self.reply.is_empty() {
            // Writing to a string does not fail.
            let _ = writeln!(reply, "as i={number}");
            reply.push_str(&self.reply);
            self.reply.clear();
        }
    }

    /// The item with numbers in place of names. New names get the next numbers.
    pub(crate) fn list_entry(&mut self, item: &ListItem) -> ListEntry {
        ListEntry {
            endpoint: EndpointId(self.endpoints.intern(&item.server) as u32),
            readiness: item.readiness,
            zone: ZoneId(self.zones.intern(&item.zone)),
            kind: MachineKindId(self.kinds.intern(&item.machine_kind)),
            group: GroupId(item.group),
            weight: item.weight,
            started_at: item.started_at,
        }
    }

    /// Reads the message of an event: of a request, an attempt, a probe or a timer.
    pub(crate) fn read_event(&self, message: &str, fields: Fields) -> Result<Event, LineError> {
        Ok(match message {
            "ingress" => Event::RequestReceived(self.read_request(fields)?),
            "report_back" => Event::AttemptEnded {
                request: self.known_request(fields)?,
                attempt: AttemptNumber(fields.integer("round_no")?),
                endpoint: self.known_endpoint(fields)?,
                outcome: fields.outcome()?,
                rtt: fields.finite_number("rtt_s")?,
                settled: fields.flag("settled")?,
                report: fields.load_report()?,
            },
            "begun" => Event::ResponseStarted {
                request: self.known_request(fields)?,
                attempt: AttemptNumber(fields.integer("round_no")?),
            },
            "probe_done" => Event::ProbeEnded {
                endpoint: self.known_endpoint(fields)?,
                outcome: fields.outcome()?,
                rtt: fields.finite_number("rtt_s")?,
                report: fields.load_report()?,
            },
            "withdrawn" => Event::RequestWithdrawn { request: fields.request_id()? },
            "tick_due" => Event::TimerFired(TimerToken(fields.integer("cookie")?)),
            _ => return Err(LineError::UnknownMessage(message.to_owned())),
        })
    }

    fn read_request(&self, fields: Fields) -> Result<Request, LineError> {
        let tenant = match fields.find("client_group") {
            None | Some("0") => None,
            Some(name) => Some(TenantId(known_number(&self.tenants, "tenant", name)?)),
        };
        Ok(Request {
            id: fields.request_id()?,
            time_left: fields.finite_number("ttl_s")?,
            class: ClassId(known_number(&self.classes, "class", fields.get("band")?)?),
            tenant,
        })
    }

    fn known_endpoint(&self, fields: Fields) -> Result<EndpointId, LineError> {
        Ok(EndpointId(known_number(&self.endpoints, "server", fields.get("server")?)? as u32))
    }

    fn known_request(&self, fields: Fields) -> Result<RequestId, LineError> {
        let request = fields.request_id()?;
        let known = self.requests.contains(&request).then_some(request);
        known.ok_or(LineError::UnknownRequest(request))
    }

    /// Lets the balancer decide on an event, and adds its decisions to the reply of this batch.
    pub(crate) fn handle_event(&mut self, now: Seconds, event: Event) {
        if let Event::RequestReceived(request) = &event {
            self.requests.insert(request.id);
        }
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        for action in actions {
            // Writing to a string does not fail.
            let _ = write_action(&mut self.reply, action, &self.endpoints, self.can_advise_retry_after);
        }
    }
}

fn known_number(names: &NameTable, subject: &'static str, name: &str) -> Result<usize, LineError> {
    names.find_number(name).ok_or_else(|| LineError::UnknownName { subject, name: name.to_owned() })
}
