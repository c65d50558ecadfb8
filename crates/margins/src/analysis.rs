//! Reads lines, puts their events in order and judges them.

use crate::event::{Id, Knowledge};
use crate::line::{Fault, Fields, Form, Line};
use crate::queue::Queue;
use crate::requests::Requests;
use crate::rule::{Context, Rules};
use crate::{Bounded, Bounds, Event, Name, Names, Overflow, Reject, Rejects, Report, Row, Time};

/// Maximum time that a request lasts from its arrival to its end in milliseconds, unless the bounds give another.
const DEFAULT_REQUEST_MS: f64 = 60_000.0;
/// Maximum number of lines that are named of those that were not used for one reason.
const MAX_NAMED: u64 = 10;
/// Maximum number of nodes.
const MAX_NODES: usize = 1 << 14;

/// One pass over the logs of all nodes.
#[derive(Debug)]
pub struct Analysis {
    bounds: Bounds,
    names: Names,
    /// Time of the last line of each node.
    nodes: Bounded<Name, Time>,
    form: Option<Form>,
    requests: Requests,
    queue: Queue,
    rules: Rules,
    lines: u64,
    used: u64,
    rejects: [u64; Fault::ALL.len()],
    rejected: Vec<Reject>,
    left_out: u64,
}

impl Analysis {
    /// Creates an analysis against these bounds.
    pub fn new(bounds: Bounds) -> Self {
        let request_ms = bounds.longest_request_ms.unwrap_or(DEFAULT_REQUEST_MS);
        Self {
            bounds,
            names: Names::default(),
            nodes: Bounded::new(MAX_NODES),
            form: None,
            requests: Requests::default(),
            queue: Queue::new(request_ms as i64),
            rules: Rules::default(),
            lines: 0,
            used: 0,
            rejects: [0; Fault::ALL.len()],
            rejected: Vec::new(),
            left_out: 0,
        }
    }

    /// Reads a line without its line break. A line without a prefix is one of the node `node`.
    pub fn read(&mut self, file: &str, node: &str, number: u64, bytes: &[u8]) {
        if bytes.trim_ascii().is_empty() {
            return;
        }
        self.lines += 1;
        match Line::parse(bytes).and_then(|line| self.accept(node, &line)) {
            Ok(()) => self.used += 1,
            Err(fault) => self.reject(fault, file, number),
        }
        while let Some((at, event)) = self.queue.pop_due() {
            self.judge(at, &event);
        }
    }

    /// Judges what is left, and returns the result.
    pub fn finish(mut self) -> Report {
        let open = self
            .requests
            .finish(|node| self.nodes.get(&node).copied().unwrap_or(Time::MIN));
        for (at, event) in open {
            self.queue.push(at, event);
        }
        while let Some((at, event)) = self.queue.pop() {
            self.judge(at, &event);
        }
        let context = Context {
            bounds: &self.bounds,
            names: &self.names,
        };
        self.rules.finish(&self.nodes, context);
        self.report()
    }

    fn judge(&mut self, at: Time, event: &Event) {
        let context = Context {
            bounds: &self.bounds,
            names: &self.names,
        };
        self.rules.apply(at, event, context);
    }

    fn reject(&mut self, fault: Fault, file: &str, number: u64) {
        let mut count = 0;
        for (own, rejects) in Fault::ALL.iter().zip(&mut self.rejects) {
            if *own == fault {
                *rejects += 1;
                count = *rejects;
            }
        }
        if count <= MAX_NAMED {
            self.rejected.push(Reject {
                reason: fault.label(),
                file: file.to_owned(),
                line: number,
            });
        }
    }

    fn accept(&mut self, node: &str, line: &Line<'_>) -> Result<(), Fault> {
        if *self.form.get_or_insert(line.form) != line.form {
            return Err(Fault::OtherForm);
        }
        let Some(node) = self.names.intern(line.node.unwrap_or(node)) else {
            // Counted as a name that there is no room for.
            return Ok(());
        };
        let before = self.nodes.get(&node).copied();
        if let Some(last) = self.nodes.get_or_insert_with(node, || line.time) {
            *last = (*last).max(line.time);
        }
        self.queue.advance(line.time);
        self.left_out += line.fields.lines_dropped_before.known().unwrap_or(0.0) as u64;
        if before.is_none() {
            self.queue.push(line.time, Event::Appeared { node });
        }
        let used = self.extract(line.time, node, before, &line.fields);
        used.ok_or(Fault::Incomplete)
    }

    /// Adds the events of a line. `None` if it lacks a field.
    fn extract(&mut self, at: Time, node: Name, before: Option<Time>, fields: &Fields<'_>) -> Option<()> {
        let event = match fields.event.text()? {
            "node started" => {
                for (at, event) in self.requests.restart(node, before.unwrap_or(at)) {
                    self.queue.push(at, event);
                }
                Event::Started { node, last: before }
            }
            "node ends" => Event::Ending {
                node,
                waiting: fields.waiting.known()? as u64,
            },
            "configuration in force" => Event::Configured {
                node,
                version: fields.version.known()? as u64,
            },
            "replica changed" => self.replica_changed(node, fields)?,
            "replica gone" => Event::Leaving {
                node,
                replica: self.names.intern(fields.replica.text()?)?,
                knowledge: Knowledge::Store,
            },
            "replica says that it is leaving" => Event::Leaving {
                node,
                replica: self.names.intern(fields.replica.text()?)?,
                knowledge: Knowledge::Answer,
            },
            "replica wants no requests" => Event::Paused {
                node,
                replica: self.names.intern(fields.replica.text()?)?,
                asked_ms: fields.asked_ms.known()? as i64,
            },
            "rate limit of a replica changed" => Event::Limited {
                replica: self.names.intern(fields.replica.text()?)?,
                per_s: Some(fields.per_s.number()?).filter(|it| *it >= 0.0),
            },
            "move ordered" => Event::Ordered {
                endpoint: self.names.intern(fields.endpoint.text()?)?,
                target: self.names.intern(fields.target.text()?)?,
                within_ms: fields.within_ms.known()? as i64,
            },
            "version vetoed" => self.undone(fields)?,
            "move changed" if fields.stage.text() == Some("Undone") => self.undone(fields)?,
            "request refused" => {
                let Some(version) = fields.configuration.known().filter(|it| *it > 0.0) else {
                    return Some(());
                };
                Event::Handled {
                    request: Id::from(fields.id.text()?),
                    node,
                    version: version as u64,
                }
            }
            "sent to a replica with a rate limit" => return self.requests.send(at, node, fields),
            "dispatch failed" => return self.requests.fail(at, node, fields, &mut self.names),
            "request ended" => {
                for (at, event) in self.requests.end(at, node, fields, &mut self.names)? {
                    self.queue.push(at, event);
                }
                return Some(());
            }
            _ => return Some(()),
        };
        self.queue.push(at, event);
        Some(())
    }

    fn replica_changed(&mut self, node: Name, fields: &Fields<'_>) -> Option<Event> {
        let replica = self.names.intern(fields.replica.text()?)?;
        Some(match fields.state.text()? {
            "ready" => Event::Ready {
                node,
                replica,
                version: fields.version.text().and_then(|it| self.names.intern(it)),
            },
            _ => Event::Leaving {
                node,
                replica,
                knowledge: Knowledge::Store,
            },
        })
    }

    fn undone(&mut self, fields: &Fields<'_>) -> Option<Event> {
        let endpoint = self.names.intern(fields.endpoint.text()?)?;
        Some(Event::Undone { endpoint })
    }

    fn report(self) -> Report {
        let counts = [
            ("names", self.names.overflow()),
            ("nodes", self.nodes.overflow()),
            (
                "requests that failed and have not ended",
                self.requests.overflow(),
            ),
            (
                "dispatches whose time or replica no line says",
                self.requests.unplaced(),
            ),
            (
                "events of requests that lasted too long, or of clocks that went back",
                self.queue.late(),
            ),
            ("events that were judged early", self.queue.forced()),
        ];
        let counts = counts.into_iter().filter(|(_, count)| *count > 0);
        let mut overflows: Vec<Overflow> = counts.map(|(what, count)| Overflow { what, count }).collect();
        overflows.extend(self.rules.overflows());
        let rejects = Fault::ALL.iter().zip(self.rejects);
        let rejects = rejects
            .filter(|(_, lines)| *lines > 0)
            .map(|(fault, lines)| Rejects {
                reason: fault.label(),
                lines,
            });
        let margins = self.rules.margins().into_iter();
        Report {
            rows: margins.map(|margin| Row::new(margin, &self.names)).collect(),
            lines: self.lines,
            used: self.used,
            nodes: self.nodes.iter().count(),
            rejects: rejects.collect(),
            rejected: self.rejected,
            left_out_by_nodes: self.left_out,
            overflows,
        }
    }
}
