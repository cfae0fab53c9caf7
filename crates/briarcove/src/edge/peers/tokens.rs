//! Messages about the limits of organisations: tokens and shares that instances lend each other.

use std::{rc::Rc, time::Duration};

use base::{InstanceName, Time};
use slog::warn;
use tier::{
    Event, Instance,
    quota::{Asked, Loan, Question, Reply},
};
use wire::handover::{Payload, ShareLease, ShareRequest, TokenLoan, TokenRequest};

use super::Peers;
use crate::edge::shell::Shell;

impl Peers {
    /// Sends a question about limits to another instance; its reply becomes an event.
    pub(in crate::edge) fn ask(&self, shell: &Rc<Shell>, to: &Instance, asked: Asked) {
        let sent_us = asked.sent.micros();
        let request = match asked.question {
            Question::Tokens {
                organisation,
                wanted,
            } => TokenRequest {
                organisation: organisation.to_string(),
                wanted,
                sent_us,
                share: None,
            },
            Question::Share {
                from,
                lenders,
                is_claim,
            } => TokenRequest {
                sent_us,
                share: Some(ShareRequest {
                    from: from.to_string(),
                    lenders,
                    is_claim,
                }),
                ..TokenRequest::default()
            },
        };
        self.notify(
            shell,
            std::slice::from_ref(to),
            &Payload::TokenRequest(request),
        );
    }
}

/// Returns the reply to a question of another instance; `None` if it is invalid.
pub(super) fn reply(shell: &Shell, request: TokenRequest) -> Option<TokenLoan> {
    let sent_us = request.sent_us;
    let organisation = request.organisation;
    let question = match request.share {
        Some(share) => Question::Share {
            from: share.from.parse().ok()?,
            lenders: share.lenders,
            is_claim: share.is_claim,
        },
        None => Question::Tokens {
            organisation: organisation.parse().ok()?,
            wanted: request.wanted,
        },
    };
    let loan = match shell.lend(question) {
        Reply::Loan(loan) => TokenLoan {
            organisation,
            tokens: loan.tokens,
            lifetime_us: micros(loan.lifetime),
            next_us: micros(loan.next),
            sent_us,
            ..TokenLoan::default()
        },
        Reply::Declined(_) => TokenLoan {
            organisation,
            is_declined: true,
            sent_us,
            ..TokenLoan::default()
        },
        Reply::Share {
            share,
            lenders,
            is_senior,
        } => TokenLoan {
            sent_us,
            share: Some(ShareLease {
                share,
                lenders,
                is_senior,
            }),
            ..TokenLoan::default()
        },
    };
    Some(loan)
}

/// Reports a reply of another instance to the reducer.
pub(super) fn report(shell: &Rc<Shell>, from: &InstanceName, loan: TokenLoan) {
    let sent = Time::from_micros(loan.sent_us);
    match read(loan) {
        Some(reply) => shell.dispatch(Event::Lent(from.clone(), sent, reply)),
        None => warn!(shell.log, "ignoring an invalid loan of tokens"; "from" => %from),
    }
}

fn read(loan: TokenLoan) -> Option<Reply> {
    if let Some(lease) = loan.share {
        return Some(Reply::Share {
            share: lease.share,
            lenders: lease.lenders,
            is_senior: lease.is_senior,
        });
    }
    let organisation = loan.organisation.parse().ok()?;
    if loan.is_declined {
        return Some(Reply::Declined(organisation));
    }
    Some(Reply::Loan(Loan {
        organisation,
        tokens: loan.tokens,
        lifetime: Duration::from_micros(loan.lifetime_us),
        next: Duration::from_micros(loan.next_us),
    }))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
