//! Drives a request by executing the router's orders until the request has ended.

use route::event::Finish;
use route::failure::{Failure, Kind};
use route::{CallKey, DispatchId, Refusal};
use tokio::sync::{mpsc, oneshot};

use super::interrupt::{cancelled, interrupted};
use super::stream::{Relay, Relayed};
use super::{Answer, Export, Outgoing, Part, attempt};
use crate::actor::claims::{self, IdempotencyKey};
use crate::actor::traffic::arrive::{Arrive, Began, Cancelled, Finished};
use crate::actor::traffic::{Order, Target};
use crate::shared::Shared;

/// Capacity of a driver's channel of orders.
const ORDER_QUEUE: usize = 16;

/// Outcome of a request.
#[derive(Clone, Debug)]
pub enum End {
    /// A complete answer.
    Answered(Answer),
    /// The stream was relayed to its end.
    Streamed,
    /// The request was refused.
    Refused(Refusal),
    /// Reports that the caller has disconnected.
    CallerGone,
    /// The node stopped while the request was in progress.
    Broken,
}

/// Identifies the call for which the claims actor grants permission before anything is sent.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// Call that was directed to run the request.
    pub call: claim::Call,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
}

/// Outcome of a dispatch.
enum Attempt {
    Finished(Finish, Option<Answer>),
    CallerGone,
}

/// A request in progress.
#[derive(Debug)]
pub struct Driver {
    shared: Shared,
    outgoing: Outgoing,
    permit: Option<Permit>,
    parts: Option<mpsc::Sender<Part>>,
    orders: mpsc::Receiver<Order>,
    call: CallKey,
    delivered: u32,
    permitted: bool,
    began: bool,
    /// KV cache exported by a leaving replica.
    import: Option<Export>,
    /// Dispatch in progress.
    current: Option<DispatchId>,
}

impl Driver {
    /// Submits the request to the router.
    pub async fn start(shared: Shared, outgoing: Outgoing) -> Option<Self> {
        let (sender, orders) = mpsc::channel(ORDER_QUEUE);
        let arrive = Arrive {
            endpoint: outgoing.endpoint.clone(),
            workspace: outgoing.workspace.clone(),
            route: outgoing.route.clone(),
            idempotent: outgoing.idempotent,
            deadline: outgoing.deadline,
            priority: outgoing.priority,
            prefix: outgoing.prefix(),
            delivered: outgoing.delivered,
            orders: sender,
        };
        let call = shared.traffic.ask(arrive).await.ok()?;
        let delivered = outgoing.delivered;
        Some(Self {
            shared,
            outgoing,
            permit: None,
            parts: None,
            orders,
            call,
            delivered,
            permitted: false,
            began: false,
            import: None,
            current: None,
        })
    }

    /// Requires this permission before anything is sent.
    pub fn with_permit(mut self, permit: Permit) -> Self {
        self.permit = Some(permit);
        self
    }

    /// Streams the answer to `parts`.
    pub fn with_parts(mut self, parts: mpsc::Sender<Part>) -> Self {
        self.parts = Some(parts);
        self
    }

    /// Whether any byte of the request may have been sent.
    pub const fn may_have_run(&self) -> bool {
        self.permitted
    }

    /// Runs the request as a separate task, which is cancelled when the receiver is dropped.
    ///
    /// NB: closing the caller's connection drops the future that serves it at any point. Every dispatch must
    /// still be reported to the router as ended, or its slot would stay occupied.
    pub fn spawn(mut self) -> oneshot::Receiver<End> {
        let (mut sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let ended = tokio::select! {
                end = self.run() => Some(end),
                () = sender.closed() => None,
            };
            match ended {
                // A caller that has just disconnected needs no result.
                Some(end) => drop(sender.send(end)),
                None => self.abandon().await,
            }
        });
        receiver
    }

    async fn abandon(&mut self) {
        match self.current.take() {
            Some(dispatch) => self.cancel(dispatch).await,
            None => {
                let _gone = self.shared.traffic.tell(Cancelled(self.call)).await;
            }
        }
    }

    /// Executes orders until the request has ended.
    pub async fn run(&mut self) -> End {
        let mut last_answer = None;
        loop {
            let Some(order) = self.orders.recv().await else {
                return End::Broken;
            };
            match order {
                Order::Dispatch(target) => match self.run_dispatch(&target).await {
                    Attempt::Finished(finish, answer) => {
                        self.current = None;
                        let server_error = answer.as_ref().is_some_and(Answer::is_server_error);
                        last_answer = answer;
                        self.report_finished(target.dispatch, finish, server_error).await;
                    }
                    Attempt::CallerGone => {
                        self.cancel(target.dispatch).await;
                        return End::CallerGone;
                    }
                },
                // The dispatch has already ended.
                Order::Cancel(_dispatch) | Order::Leaving(_dispatch) => {}
                Order::Answered(_dispatch) => return last_answer.map_or(End::Streamed, End::Answered),
                Order::Refuse(refusal) => return self.report_refusal(refusal).await,
            }
        }
    }

    async fn report_refusal(&self, refusal: Refusal) -> End {
        if let Some(parts) = &self.parts {
            // A disconnected caller needs no refusal.
            let _gone = parts.send(Part::Refused(refusal)).await;
        }
        End::Refused(refusal)
    }

    async fn run_dispatch(&mut self, target: &Target) -> Attempt {
        self.current = Some(target.dispatch);
        if !self.request_permission().await {
            return failed(Kind::Cancelled, false);
        }
        let mut target = target.clone();
        target.delivered = target.delivered.max(self.delivered);
        let parts = self.parts.clone();
        match parts {
            Some(parts) => self.run_stream(&target, &parts).await,
            None => self.run_whole(&target).await,
        }
    }

    /// Whether the request may be sent. Permission is requested once; a second attempt happens only if the
    /// first one sent nothing.
    async fn request_permission(&mut self) -> bool {
        let Some(permit) = self.permit else { return true };
        if !self.permitted {
            let request = claims::Dispatch {
                call: permit.call,
                key: permit.key,
            };
            self.permitted = self.shared.claims.ask(request).await.unwrap_or(false);
        }
        self.permitted
    }

    async fn run_whole(&mut self, target: &Target) -> Attempt {
        let Self {
            shared,
            outgoing,
            orders,
            ..
        } = self;
        let idle = outgoing.idle;
        let exchange = async {
            let response = attempt::send(shared, outgoing, target, None).await?;
            let _gone = shared.traffic.tell(Began(target.dispatch)).await;
            attempt::read(response, target, idle).await
        };
        tokio::select! {
            result = exchange => match result {
                Ok(answer) => Attempt::Finished(Finish::Complete, Some(answer)),
                Err(failure) => Attempt::Finished(Finish::Failed(failure), None),
            },
            () = cancelled(orders, target.dispatch) => failed(Kind::Cancelled, true),
        }
    }

    async fn run_stream(&mut self, target: &Target, parts: &mpsc::Sender<Part>) -> Attempt {
        let import = self.import.take();
        let response = tokio::select! {
            sent = attempt::send(&self.shared, &self.outgoing, target, import.as_ref()) => sent,
            () = parts.closed() => return Attempt::CallerGone,
            export = interrupted(&self.shared, &mut self.orders, target) => {
                if export.is_none() {
                    return failed(Kind::Cancelled, true);
                }
                self.import = export;
                return Attempt::Finished(Finish::Interrupted { tokens: 0 }, None);
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(failure) => return Attempt::Finished(Finish::Failed(failure), None),
        };
        if !response.status().is_success() {
            let result = attempt::read(response, target, self.outgoing.idle).await;
            return match result {
                Ok(answer) => Attempt::Finished(Finish::Complete, Some(answer)),
                Err(failure) => Attempt::Finished(Finish::Failed(failure), None),
            };
        }
        let _gone = self.shared.traffic.tell(Began(target.dispatch)).await;
        if !self.began {
            self.began = true;
            let began = Part::Began {
                version: target.version.clone(),
            };
            if parts.send(began).await.is_err() {
                return Attempt::CallerGone;
            }
        }
        self.relay(target, parts, response).await
    }

    async fn relay(
        &mut self,
        target: &Target,
        parts: &mpsc::Sender<Part>,
        response: reqwest::Response,
    ) -> Attempt {
        let delivered_before = self.delivered;
        let mut relay = Relay {
            sender: parts,
            next_index: delivered_before,
            idle: self.outgoing.idle,
        };
        let relayed = tokio::select! {
            relayed = relay.run(response) => relayed,
            () = parts.closed() => Relayed::CallerGone,
            export = interrupted(&self.shared, &mut self.orders, target) => {
                self.import = export;
                Relayed::Interrupted
            }
        };
        self.delivered = relay.next_index;
        match relayed {
            Relayed::Complete => Attempt::Finished(Finish::Complete, None),
            Relayed::Interrupted => Attempt::Finished(
                Finish::Interrupted {
                    tokens: self.delivered - delivered_before,
                },
                None,
            ),
            Relayed::CallerGone => Attempt::CallerGone,
        }
    }

    async fn report_finished(&self, dispatch: DispatchId, finish: Finish, server_error: bool) {
        let _gone = self
            .shared
            .traffic
            .tell(Finished {
                dispatch,
                finish,
                server_error,
            })
            .await;
    }

    async fn cancel(&self, dispatch: DispatchId) {
        let _gone = self.shared.traffic.tell(Cancelled(self.call)).await;
        self.report_finished(
            dispatch,
            Finish::Failed(Failure::new(Kind::Cancelled, true)),
            false,
        )
        .await;
    }
}

const fn failed(kind: Kind, may_have_run: bool) -> Attempt {
    Attempt::Finished(Finish::Failed(Failure::new(kind, may_have_run)), None)
}
