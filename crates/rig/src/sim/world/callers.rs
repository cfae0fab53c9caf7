//! Callers: sending requests and closing connections.

use super::*;

impl World {
    /// Sends a search to an instance now and returns its request id.
    pub fn search(&mut self, instance: usize, entry: &EntryName, body: &Bytes) -> RequestId {
        let request = self.next_request();
        let call = Call::Search {
            request,
            entry: entry.clone(),
            deadline: None,
            body: body.clone(),
        };
        self.call(instance, request, None, call);
        request
    }

    /// Sends a request of the once class to an instance now and returns its request id.
    pub fn run_once(
        &mut self,
        instance: usize,
        entry: &EntryName,
        key: &IdempotencyKey,
        body: &Bytes,
    ) -> RequestId {
        let request = self.next_request();
        let call = Call::Run {
            request,
            entry: entry.clone(),
            deadline: None,
            key: key.clone(),
            body: body.clone(),
        };
        self.call(instance, request, Some(key.clone()), call);
        request
    }

    /// Closes a caller's connection before its answer.
    pub fn disconnect_caller(&mut self, request: RequestId) {
        let mut calls = self.requests.iter().filter(|(_, r)| **r == request);
        let Some((&(instance, call), _)) = calls.next() else {
            return;
        };
        if self.answers.contains_key(&request) {
            return;
        }
        self.history
            .push(self.now, Observation::CallerDisconnected { request });
        let incarnation = self.instances[instance].incarnation;
        let event = Event::CallerGone(call);
        self.schedule(
            self.now,
            Step::Event {
                instance,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn next_request(&mut self) -> RequestId {
        self.calls += 1;
        RequestId(u128::from(self.calls))
    }

    pub(super) fn call(
        &mut self,
        instance: usize,
        request: RequestId,
        key: Option<IdempotencyKey>,
        call: Call,
    ) {
        let at = &self.instances[instance];
        if at.node.is_none() || at.draining {
            return;
        }
        let (incarnation, name) = (at.incarnation, at.name.clone());
        let id = CallId(self.calls);
        self.requests.insert((instance, id), request);
        self.called_at.insert(request, self.now);
        self.history.push(
            self.now,
            Observation::Called {
                request,
                key,
                instance: name,
            },
        );
        self.schedule(
            self.now,
            Step::Event {
                instance,
                incarnation,
                event: Event::Call(id, call),
            },
        );
    }
}
