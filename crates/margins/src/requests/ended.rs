//! What the line of a request's end says.

use crate::event::{Arrival, Dispatch, End, Id, Outcome};
use crate::line::Fields;
use crate::requests::open::Open;
use crate::{Name, Names, Time};

/// The end of an admitted request.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Id of the request.
    pub request: Id,
    /// Number of replicas that it was sent to.
    pub attempts: u64,
    /// Configuration that admitted it.
    pub configuration: Option<u64>,
    /// When it arrived.
    pub received: Time,
    node: Name,
    route: Name,
    endpoint: Name,
    workspace: Option<Name>,
    tokens: Option<u64>,
    /// The last replica.
    replica: Option<Name>,
    send_delay_ms: i64,
    outcome: Outcome,
    took_ms: i64,
    left_ms: i64,
    view_age_ms: Option<f64>,
}

impl Ended {
    /// Reads the line. `None` if it lacks a field.
    pub fn parse(at: Time, node: Name, fields: &Fields<'_>, names: &mut Names) -> Option<Self> {
        let took_ms = fields.took_ms.known()? as i64;
        let workspace = fields.workspace.text().filter(|it| !it.is_empty());
        let replica = fields.replica.text().filter(|it| !it.is_empty());
        Some(Self {
            request: Id::from(fields.id.text()?),
            attempts: fields.attempts.known()? as u64,
            configuration: fields.configuration.known().map(|it| it as u64),
            received: at - took_ms,
            node,
            route: names.intern(fields.route.text()?)?,
            endpoint: names.intern(fields.endpoint.text()?)?,
            workspace: workspace.and_then(|it| names.intern(it)),
            tokens: fields.tokens.known().map(|it| it as u64),
            replica: replica.and_then(|it| names.intern(it)),
            send_delay_ms: fields.send_delay_ms.known().unwrap_or(0.0) as i64,
            outcome: match fields.outcome.text() {
                Some("stream_broken") => Outcome::StreamBroken,
                _ => Outcome::Other,
            },
            took_ms,
            left_ms: fields.left_ms.known().unwrap_or(0.0) as i64,
            view_age_ms: fields.view_age_ms.known(),
        })
    }

    /// Its arrival.
    pub fn arrival(&self, open: &Open) -> Arrival {
        Arrival {
            request: Id::clone(&self.request),
            node: self.node,
            endpoint: self.endpoint,
            workspace: self.workspace,
            tokens: self.tokens,
            may_have_run: self.runs(open) > 0,
        }
    }

    /// A dispatch, counted from zero, and its time; `None` if no line says when it was sent or to which replica.
    pub fn dispatch(&self, index: usize, open: &Open) -> Option<(Time, Dispatch)> {
        let is_last = index as u64 + 1 == self.attempts;
        let failure = open.failures.get(index);
        let last = self.replica.filter(|_| is_last);
        let replica = failure.map(|it| it.replica).or(last)?;
        let chosen = open.chosen(index, self.received)?;
        let dispatch = Dispatch {
            request: Id::clone(&self.request),
            node: self.node,
            endpoint: self.endpoint,
            replica,
            is_repeat: index > 0,
            is_misdirected: failure.is_some_and(|it| it.is_misdirected),
        };
        let delay_ms = if is_last { self.send_delay_ms } else { 0 };
        Some((chosen + delay_ms, dispatch))
    }

    /// Its end.
    pub fn end(&self, open: &Open) -> End {
        End {
            request: Id::clone(&self.request),
            node: self.node,
            route: self.route,
            outcome: self.outcome,
            took_ms: self.took_ms,
            left_ms: self.left_ms,
            runs: self.runs(open),
            attempts: self.attempts,
            view_age_ms: self.view_age_ms,
        }
    }

    fn runs(&self, open: &Open) -> u64 {
        let not_run = open.failures.iter().filter(|it| it.is_not_run).count();
        self.attempts.saturating_sub(not_run as u64)
    }
}
