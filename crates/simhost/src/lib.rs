//! The adapter to the simulator: hosts many instances of [`Balancer`] and translates between their events and
//! actions and the simulator's protocol, lines of JSON. It makes no decisions.

use std::collections::BTreeMap;
use std::io::{BufRead, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

use magpietally_policy::*;
use magpietally_settings::{
    integer, list, number, optional_number, parse_named, string, FieldError, Fields, ReceivedSettings,
};
use serde_json::{json, Value};

/// The maximum length of a line, ten times that of a batch for thousands of instances.
const LINE_BYTES_MAX: u64 = 64 << 20;

/// Answers each line read from `input` with one line to `output`, until `input` ends.
///
/// # Errors
/// A line is malformed, or reading or writing failed; further lines are not answered.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), FieldError> {
    let mut host = Host::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let length = input.by_ref().take(LINE_BYTES_MAX + 1).read_until(b'\n', &mut line);
        match length.map_err(|e| e.to_string())? as u64 {
            0 => return Ok(()),
            length if length > LINE_BYTES_MAX => {
                return Err(format!("a line of more than {LINE_BYTES_MAX} bytes"))
            }
            _ => {}
        }
        let line = std::str::from_utf8(&line).map_err(|e| format!("not UTF-8: {e}"))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.handle_line(line)?;
        writeln!(output, "{reply}").and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
}

type Names = Vec<String>;

struct Instance {
    balancer: Balancer,
    classes: Names,
    tenants: Names,
}

/// All instances hosted by one process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    /// The server lists that events refer to, by number.
    tables: BTreeMap<u64, Vec<ServerEntry>>,
    /// The names of zones and kinds; the index of a name is its number.
    names: Names,
}

fn outcome(name: &str) -> Result<Outcome, FieldError> {
    Ok(match name {
        "done" => Outcome::Done,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::ConnectFailed,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::NotSent,
        other => return Err(format!("outcome: {other} is unknown")),
    })
}

/// The index of a name in a list. Linear search: there are few classes, tenants, zones and kinds.
fn index(names: &[String], value: &Value) -> Option<usize> {
    value.as_str().and_then(|name| names.iter().position(|n| n == name))
}

fn action(action: &Action) -> Value {
    match action {
        Action::Send { id, server, timeout } => json!(["SUBMIT_TO", id.0, server.0, timeout.unwrap_or(0.0)]),
        Action::Cancel { id, attempt } => json!(["ABORT_ATTEMPT", id.0, attempt]),
        Action::Refuse { id, stay_away } => json!(["NOT_NOW", id.0, stay_away]),
        Action::Fail(id) => json!(["GIVE_UP", id.0]),
        Action::SetTimer(after) => json!(["WAKE_AT", after, 0]),
        Action::Subscribe => json!(["LISTEN", true]),
        Action::Probe(server) => json!(["TOUCH", server.0]),
    }
}

impl Host {
    /// Handles one batch and returns the reply, without a line ending.
    ///
    /// # Errors
    /// The line is malformed. It then has no reply, and the host should not be used any more.
    pub fn handle_line(&mut self, line: &str) -> Result<String, FieldError> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let f = Fields::from_value(&batch, "batch")?;
        let now = f.number("Time")?;
        let round = integer(f.require("round")?, "round")?;
        let mut parts = Vec::new();
        for part in f.list("parts")? {
            let p = Fields::from_value(part, "parts")?;
            let instance_id = integer(p.require("I")?, "I")?;
            let mut steps = Vec::new();
            for input in p.list("input")? {
                self.handle_input(now, instance_id, list(input, "input")?, &mut steps)?;
            }
            if !steps.is_empty() {
                parts.push(json!({"I": instance_id, "steps": steps}));
            }
        }
        Ok(json!({"round": round, "parts": parts}).to_string())
    }

    fn handle_input(
        &mut self,
        now: f64,
        instance_id: u64,
        input: &[Value],
        steps: &mut Vec<Value>,
    ) -> Result<(), FieldError> {
        let at = |i: usize| input.get(i).unwrap_or(&Value::Null);
        match string(at(0), "message")? {
            "ROSTER" => {
                let entries = list(at(2), "Members")?.iter().map(|v| self.entry(v));
                let entries = entries.collect::<Result<Vec<_>, _>>()?;
                self.tables.insert(integer(at(1), "Table")?, entries);
            }
            "CREATE" => {
                let ReceivedSettings { settings, classes, tenants, .. } = parse_named(at(2), "Options")?;
                let balancer = Balancer::new(settings, integer(at(1), "Prng")?).map_err(|e| e.to_string())?;
                self.instances.insert(instance_id, Instance { balancer, classes, tenants });
            }
            "HALT" => {
                self.instances.remove(&instance_id);
            }
            _ => {
                // Messages for an instance that was stopped are ignored.
                let Some(instance) = self.instances.get_mut(&instance_id) else { return Ok(()) };
                let Some(event) = instance.event(&self.tables, input)? else { return Ok(()) };
                let mut actions = Vec::new();
                let balancer = &mut instance.balancer;
                match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions))) {
                    Ok(()) => steps.extend(actions.iter().map(action)),
                    Err(panic) => {
                        let literal = panic.downcast_ref::<&str>().map(|s| (*s).to_string());
                        let message = literal.or_else(|| panic.downcast_ref::<String>().cloned());
                        steps.push(json!(["EXCEPTION", message.unwrap_or_else(|| "panic".to_string())]));
                    }
                }
            }
        }
        Ok(())
    }

    fn entry(&mut self, value: &Value) -> Result<ServerEntry, FieldError> {
        let row = list(value, "entry")?;
        let at = |i: usize| row.get(i).unwrap_or(&Value::Null);
        // Zones and kinds are only compared with each other, so any number that is unique for a name will do.
        let mut name = |value: &Value| {
            index(&self.names, value).unwrap_or_else(|| {
                self.names.push(value.as_str().unwrap_or_default().to_string());
                self.names.len() - 1
            }) as u64
        };
        let (zone, kind) = (name(at(1)), name(at(2)));
        Ok(ServerEntry {
            server: ServerId(integer(at(0), "Server")?),
            zone,
            cell: if at(3).is_null() { 0 } else { integer(at(3), "Cluster")? },
            kind,
            state: match string(at(4), "Condition")? {
                "on" => ListedState::Up,
                "fading" => ListedState::Draining,
                "off" => ListedState::Gone,
                other => return Err(format!("Condition: {other} is unknown")),
            },
            weight: optional_number(at(5), "Weight")?.unwrap_or(1.0),
            started: optional_number(at(6), "LastStart")?.filter(|t| *t != 0.0),
        })
    }
}

impl Instance {
    /// Translates a message to an event; `None` if its type is unknown.
    fn event(
        &self,
        tables: &BTreeMap<u64, Vec<ServerEntry>>,
        input: &[Value],
    ) -> Result<Option<Event>, FieldError> {
        let at = |i: usize| input.get(i).unwrap_or(&Value::Null);
        let id = || integer(at(1), "Corr").map(RequestId);
        let attempt = || integer(at(2), "Try").map(|n| n as usize);
        Ok(Some(match string(at(0), "message")? {
            "TOPOLOGY" => {
                let form = string(at(2), "Form")?;
                if form == "Error" {
                    return Ok(Some(Event::ListFailed(ListFailure::Broken)));
                }
                let table = integer(at(3), "Table")?;
                let entries =
                    tables.get(&table).ok_or_else(|| format!("Table: {table} was not given"))?.clone();
                match form {
                    "Partial" => Event::ListChange(entries),
                    "Complete" | "Persisted" => Event::List { entries, saved: form == "Persisted" },
                    other => return Err(format!("Form: {other} is unknown")),
                }
            }
            "SUBMIT" => Event::Request {
                id: id()?,
                class: index(&self.classes, at(2)).ok_or_else(|| "Band: unknown".to_string())?,
                tenant: index(&self.tenants, at(3)),
                deadline: number(at(5), "DropDead")?,
                non_replayable: false,
            },
            "STREAMING" => Event::Streaming { id: id()?, attempt: attempt()? },
            "RESPONSE" => Event::Ended {
                id: id()?,
                attempt: attempt()?,
                server: ServerId(integer(at(3), "Server")?),
                outcome: outcome(string(at(4), "Outcome")?)?,
                took: number(at(5), "Rtt")?,
                finished: at(6).as_bool().ok_or("Terminal: true or false expected")?,
            },
            "STATUS_BACK" => Event::Probed {
                server: ServerId(integer(at(1), "Server")?),
                outcome: outcome(string(at(2), "Outcome")?)?,
                took: number(at(3), "Rtt")?,
            },
            "GONE" => Event::ClientGone(id()?),
            "WAKE" => Event::Timer,
            _ => return Ok(None),
        }))
    }
}
