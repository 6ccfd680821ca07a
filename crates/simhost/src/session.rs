//! The session with the simulator: batches, lists and instances.

use std::collections::BTreeMap;

use mosshead_decide::interface::{Event, ListUpdate, Seconds};

use crate::error::{LineError, WireError};
use crate::fields::{Fields, ListItem, unknown_word};
use crate::instance::Instance;

/// Hosts the instances of one process: takes the input line by line and sends one reply for each batch.
#[derive(Default)]
pub struct Session {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u64, Vec<ListItem>>,
    /// The list that is still missing items; while there is one, only `item` lines may follow.
    incomplete_list: Option<IncompleteList>,
    /// The batch that is being read; none between batches.
    batch: Option<Batch>,
    /// The number of the last line that was handled, counted from 1.
    line: u64,
}

#[derive(Clone, Copy)]
struct IncompleteList {
    number: u64,
    /// The number of missing items, at least 1.
    missing_items: u64,
}

struct Batch {
    /// The time at which its events happen.
    now: Seconds,
    /// The number of the instance that the next events are for.
    instance: Option<u32>,
}

impl Session {
    /// Creates a session without instances.
    pub fn new() -> Session {
        Session::default()
    }

    /// Handles one line, without its end; returns the reply once the line completes a batch.
    ///
    /// # Errors
    ///
    /// The line is not part of the protocol, or not allowed at this point.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        self.line += 1;
        let (message, members) = line.split_once(' ').unwrap_or((line, ""));
        let reply = self.handle_message(message, Fields(members));
        reply.map_err(|error| WireError { line: self.line, error })
    }

    /// Ends the input, which may end only between batches.
    ///
    /// # Errors
    ///
    /// The input ends within a batch.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.batch {
            Some(_) => Err(WireError { line: self.line, error: LineError::UnfinishedBatch }),
            None => Ok(()),
        }
    }

    fn handle_message(&mut self, message: &str, fields: Fields) -> Result<Option<String>, LineError> {
        if let Some(list) = self.incomplete_list {
            self.read_list_item(list, message, fields)?;
            return Ok(None);
        }
        let Some(batch) = &mut self.batch else {
            self.handle_message_outside_batch(message, fields)?;
            return Ok(None);
        };
        match message {
            "commit" => {
                self.batch = None;
                return Ok(Some(self.collect_reply()));
            }
            "about" => batch.instance = Some(fields.integer("i")?),
            "list" => {
                let (number, items) = (fields.integer("bank")?, fields.integer("lines")?);
                self.lists.insert(number, Vec::new());
                self.incomplete_list = IncompleteList::unless_complete(number, items);
            }
            _ => {
                let number = batch.instance.ok_or(LineError::NoInstanceSelected)?;
                let now = batch.now;
                self.handle_instance_message(number, now, message, fields)?;
            }
        }
        Ok(None)
    }

    fn read_list_item(
        &mut self,
        list: IncompleteList,
        message: &str,
        fields: Fields,
    ) -> Result<(), LineError> {
        let IncompleteList { number, missing_items } = list;
        if message != "item" {
            return Err(LineError::ItemExpected { missing: missing_items, found: message.to_owned() });
        }
        self.lists.entry(number).or_default().push(fields.list_item()?);
        self.incomplete_list = IncompleteList::unless_complete(number, missing_items - 1);
        Ok(())
    }

    /// Begins a batch; empty lines are allowed between batches.
    fn handle_message_outside_batch(&mut self, message: &str, fields: Fields) -> Result<(), LineError> {
        match message {
            "turn" => self.batch = Some(Batch { now: fields.finite_number("ts_s")?, instance: None }),
            "" => {}
            _ => return Err(LineError::OutsideBatch(message.to_owned())),
        }
        Ok(())
    }

    /// Handles a message for the selected instance, which has this `number`.
    fn handle_instance_message(
        &mut self,
        number: u32,
        now: Seconds,
        message: &str,
        fields: Fields,
    ) -> Result<(), LineError> {
        if message == "configure" {
            // `info` extends to the end of the line, so a seed after it would be parsed as part of the JSON.
            let instance = Instance::start(fields.rest_of_line("info")?, fields.integer("rng_seed")?)?;
            self.instances.insert(number, instance);
            return Ok(());
        }
        if message == "stop" {
            // Its earlier decisions in this batch are dropped with it, since its requests have ended.
            let stopped = self.instances.remove(&number);
            return stopped.map(drop).ok_or(LineError::UnknownInstance(number));
        }
        let instance = self.instances.get_mut(&number).ok_or(LineError::UnknownInstance(number))?;
        let event = match message {
            "topology" => Event::ListUpdated(read_list_update(&self.lists, instance, fields)?),
            "mail" => {
                // The balancer sends no messages to peers and receives none from them.
                fields.integer::<u32>("who")?;
                return Ok(());
            }
            _ => instance.read_event(message, fields)?,
        };
        instance.handle_event(now, event);
        Ok(())
    }

    /// The decisions of all instances in the batch, and the line that ends the reply.
    fn collect_reply(&mut self) -> String {
        let mut reply = String::new();
        for (number, instance) in &mut self.instances {
            instance.append_reply(*number, &mut reply);
        }
        reply.push_str("yield\n");
        reply
    }
}

impl IncompleteList {
    fn unless_complete(number: u64, missing_items: u64) -> Option<IncompleteList> {
        (missing_items > 0).then_some(IncompleteList { number, missing_items })
    }
}

/// Reads a `topology` message: the scope of an update, and the number of the list that the update refers to.
fn read_list_update(
    lists: &BTreeMap<u64, Vec<ListItem>>,
    instance: &mut Instance,
    fields: Fields,
) -> Result<ListUpdate, LineError> {
    let scope = fields.get("scope")?;
    if scope == "FAILED" {
        return Ok(ListUpdate::Failed);
    }
    let number = fields.integer("bank")?;
    let items = lists.get(&number).ok_or(LineError::UnknownList(number))?;
    let entries = items.iter().map(|item| instance.list_entry(item)).collect();
    Ok(match scope {
        "INCREMENTAL" => ListUpdate::Changes(entries),
        "FULL" => ListUpdate::Full(entries),
        "SAVED" => ListUpdate::Saved(entries),
        _ => return Err(unknown_word("scope", scope)),
    })
}
