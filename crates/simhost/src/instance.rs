//! One instance: a balancer, and the tables that map names on the wire to the balancer's numbers.

use core::fmt::Write;
use std::collections::HashSet;

use mosshead_decide::interface::*;
use mosshead_decide::{Balancer, NameTable};
use mosshead_settings::{self as settings, JsonField, NamedSettings};

use crate::error::LineError;
use crate::fields::{Fields, ListItem};
use crate::replies::write_action;

/// A balancer and the state needed to translate its wire messages.
pub(crate) struct Instance {
    balancer: Balancer,
    can_advise_retry_after: bool,
    endpoints: NameTable,
    zones: NameTable,
    kinds: NameTable,
    classes: NameTable,
    tenants: NameTable,
    /// All requests received so far, since an outcome may arrive after its request has ended.
    requests: HashSet<RequestId>,
    /// The lines of its decisions in the current batch.
    reply: String,
}

impl Instance {
    /// Creates an instance from the platform's settings in JSON, and a seed for its random numbers.
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

    /// Moves the decisions of the current batch to the end of `reply`, if there are any.
    pub(crate) fn append_reply(&mut self, number: u32, reply: &mut String) {
        if !self.reply.is_empty() {
            // Writing to a string can't fail.
            let _ = writeln!(reply, "as i={number}");
            reply.push_str(&self.reply);
            self.reply.clear();
        }
    }

    /// Converts an item to a list entry, with numbers in place of names. New names get the next free numbers.
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

    /// Parses an event message: one about a request, an attempt, a probe or a timer.
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

    /// Passes an event to the balancer and adds its decisions to the reply of the current batch.
    pub(crate) fn handle_event(&mut self, now: Seconds, event: Event) {
        if let Event::RequestReceived(request) = &event {
            self.requests.insert(request.id);
        }
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        for action in actions {
            // Writing to a string can't fail.
            let _ = write_action(&mut self.reply, action, &self.endpoints, self.can_advise_retry_after);
        }
    }
}

fn known_number(names: &NameTable, subject: &'static str, name: &str) -> Result<usize, LineError> {
    names.find_number(name).ok_or_else(|| LineError::UnknownName { subject, name: name.to_owned() })
}
